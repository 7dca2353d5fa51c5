package overload

import "slices"

// weigh finds whom this member hears, each weighed by the age of what it said, and returns the sum.
func (f *Fleet) weighPeers(now Time) (sum float64) {
	f.heardPeers, f.weights = f.heardPeers[:0], f.weights[:0]
	for _, e := range f.peers {
		if weight := f.peerWeight(now, e); weight > 0 {
			f.heardPeers, f.weights = append(f.heardPeers, e), append(f.weights, weight)
			sum += weight
		}
	}
	return sum
}

// weight is 1 for what is fresh, and falls to nothing over the time-out.
func (f *Fleet) peerWeight(now Time, e *peer) float64 {
	if e.digest == nil {
		return 0
	}
	age := now - e.receivedAt + e.delay
	return max(0, min(1, float64(f.settings.ExpiryAge-age)/float64(f.settings.ExpiryAge-f.settings.FreshAge)))
}

// median is the lower median of what the members heard and this one say: of two, the lesser.
func (f *Fleet) medianOf(field func(own *Vector, d *Digest) float64) float64 {
	values := make([]float64, 0, len(f.heardPeers)+1)
	values = append(values, field(&f.ownRates, nil))
	for _, e := range f.heardPeers {
		values = append(values, field(&e.digest.Own, e.digest))
	}
	return lowerMedian(values)
}

// most is the traffic that a fifth of the members heard and this one have, or more: where traffic is
// uneven the median would hide the few that carry most, who turn the most away.
func (f *Fleet) corroboratedTraffic() float64 {
	traffic := []float64{f.ownRates.totalFirstAttempts()}
	for _, e := range f.heardPeers {
		traffic = append(traffic, e.digest.Own.totalFirstAttempts())
	}
	return corroboratedMax(traffic)
}

func lowerMedian(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

func (f *Fleet) offeredCost(v *Vector) (work float64) {
	for i, c := range f.settings.Classes {
		work += c.Cost * v.FirstAttempts[i]
	}
	return work
}

// holder keeps what members say within a few times what most say.
type vectorBounds struct {
	fleet                               *Fleet
	maxTraffic                          float64 // the most that a member's traffic counts for
	medianServedRatio, medianLimitShare float64 // medians
}

func (f *Fleet) vectorBounds() vectorBounds {
	return vectorBounds{
		fleet:            f,
		maxTraffic:       maxMedianRatio * f.corroboratedTraffic(),
		medianLimitShare: f.medianOf(func(v *Vector, _ *Digest) float64 { return v.LimitShare }),
		medianServedRatio: f.medianOf(func(v *Vector, _ *Digest) float64 {
			return v.ServedCost / max(f.offeredCost(v), 1e-9)
		}),
	}
}

// hold scales v as a whole, so that the classes' shares in it stay.
func (h vectorBounds) clamp(v Vector) Vector {
	if h.maxTraffic <= 0 {
		return v
	}
	if v.totalFirstAttempts() > h.maxTraffic {
		factor := h.maxTraffic / v.totalFirstAttempts()
		for i := range v.FirstAttempts {
			v.FirstAttempts[i] *= factor
		}
		v.ServedCost, v.WeightedLatency, v.RefusedCost, v.Retries = v.ServedCost*factor, v.WeightedLatency*factor, v.RefusedCost*factor, v.Retries*factor
	}
	offered := h.fleet.offeredCost(&v)
	if minCost := minServedRatio * h.medianServedRatio * offered; v.ServedCost < minCost {
		v.WeightedLatency, v.ServedCost = v.WeightedLatency*minCost/max(v.ServedCost, 1e-9), minCost
		v.WeightedLatency = min(v.WeightedLatency, 4*v.ServedCost)
	}
	v.ServedCost = min(v.ServedCost, max(offered, 0)) // nobody serves more than it was offered
	v.WeightedLatency = min(v.WeightedLatency, 4*v.ServedCost)
	v.RefusedCost = min(v.RefusedCost, offered)
	v.Retries = min(v.Retries, v.totalFirstAttempts())
	v.LimitShare = min(v.LimitShare, maxMedianRatio*max(1, h.medianLimitShare))
	return v
}

func (v *Vector) addScaled(x *Vector, weight float64) {
	for i := range v.FirstAttempts {
		v.FirstAttempts[i] += weight * x.FirstAttempts[i]
	}
	v.ServedCost += weight * x.ServedCost
	v.WeightedLatency += weight * x.WeightedLatency
	v.RefusedCost += weight * x.RefusedCost
	v.Retries += weight * x.Retries
	v.LimitShare += weight * x.LimitShare
	v.AdmittedFraction += weight * x.AdmittedFraction
}

func (v *Vector) scale(factor float64) {
	x := *v
	*v = Vector{}
	v.addScaled(&x, factor)
}

// estimate sets the fleet's means: over all where half or more are heard, this member counted in; else over
// the means that those heard have of others, for theirs are of other members.
func (f *Fleet) updateEstimates(sum, seconds float64) {
	own := f.ownRates
	own.LimitShare, own.AdmittedFraction = f.limitShare, f.admittedFraction
	if len(f.heardPeers) == 0 { // while trust fades the means stay, but a queue is seen by oneself alone
		f.latencyRatio, f.refusedFraction, f.retryRatio = meanLatencyRatio(&own), f.refusedFractionOf(&own), retryRatioOf(&own)
		if f.confidence == 0 {
			f.fleetMean, f.peerMean = own, Vector{}
		}
		return
	}
	bounds := f.vectorBounds()
	var layer Vector
	latencyRatios, refused, retries := []float64{meanLatencyRatio(&own)}, []float64{f.refusedFractionOf(&own)}, []float64{retryRatioOf(&own)}
	for i, e := range f.heardPeers {
		v := bounds.clamp(e.digest.Own)
		layer.addScaled(&v, f.weights[i]/sum)
		if v.ServedCost > 0 {
			latencyRatios = append(latencyRatios, meanLatencyRatio(&v))
		}
		refused, retries = append(refused, f.refusedFractionOf(&v)), append(retries, retryRatioOf(&v))
	}
	f.peerMean = layer
	previous := f.fleetMean
	f.fleetMean = Vector{}
	v := bounds.clamp(own)
	f.fleetMean.addScaled(&layer, sum/(sum+1))
	f.fleetMean.addScaled(&v, 1/(sum+1))
	firstLayer := f.fleetMean
	if 2*len(f.heardPeers) < f.rosterSize-1 {
		f.fleetMean = f.secondLayerMean(sum, &layer)
		if f.offeredCost(&previous) > 0 { // each second others are heard: over some seconds, more of them
			f.fleetMean.scale(seconds / (seconds + secondLayerSeconds))
			f.fleetMean.addScaled(&previous, secondLayerSeconds/(seconds+secondLayerSeconds))
		}
	}
	// The second layer is of more members, and later: what changes much is seen in the first.
	if slow, is := f.offeredCost(&f.fleetMean), f.offeredCost(&firstLayer); is > changeFactor*slow || slow > changeFactor*is {
		f.fleetMean = firstLayer
	}
	f.fleetMean.AdmittedFraction = f.peerAdmittedFraction()
	f.latencyRatio = min(meanLatencyRatio(&firstLayer), maxReportedRatio*corroboratedMax(latencyRatios))
	f.refusedFraction = min(f.refusedFractionOf(&firstLayer), maxReportedRatio*corroboratedMax(refused))
	f.retryRatio = min(retryRatioOf(&f.fleetMean), maxRetryMedianRatio*lowerMedian(retries))
}

// agreedLevel is the median of the levels of the members in a spell, and 1 while these are not the most:
// those that are in none have no say in how deep it is.
func (f *Fleet) peerAdmittedFraction() float64 {
	levels, all := []float64{}, 1+len(f.heardPeers)
	if f.admittedFraction < 1 {
		levels = append(levels, f.admittedFraction)
	}
	for _, e := range f.heardPeers {
		if e.digest.Own.AdmittedFraction < 1 {
			levels = append(levels, e.digest.Own.AdmittedFraction)
		}
	}
	if 2*len(levels) <= all {
		return 1
	}
	return lowerMedian(levels)
}

// second is the mean of the means that were heard, each part held to within twice the median. Who has none
// yet counts as having this member's.
func (f *Fleet) secondLayerMean(sum float64, layer *Vector) Vector {
	n := len(f.settings.Classes)
	peerMeans := make([]Vector, len(f.heardPeers))
	for i, e := range f.heardPeers {
		if peerMeans[i] = e.digest.PeerMean; peerMeans[i] == (Vector{}) {
			peerMeans[i] = *layer
		}
	}
	var mean Vector
	column := make([]float64, len(peerMeans))
	for k, target := range mean.encodedFields(n) {
		for i := range peerMeans {
			column[i] = *peerMeans[i].encodedFields(n)[k]
		}
		median := lowerMedian(slices.Clone(column))
		for i, v := range column {
			*target += f.weights[i] / sum * max(median/2, min(2*median, v))
		}
	}
	return mean
}

// strain is the mean over answers, 1 at its target.
func meanLatencyRatio(v *Vector) float64 {
	if v.ServedCost <= 0 {
		return 0
	}
	return min(4, v.WeightedLatency/v.ServedCost)
}

// share is that of what was offered that limits turned away.
func (f *Fleet) refusedFractionOf(v *Vector) float64 {
	return min(1, v.RefusedCost/max(f.offeredCost(v), 1e-9))
}

// repeating is how many repeats are made to a first try.
func retryRatioOf(v *Vector) float64 { return min(1, v.Retries/max(v.totalFirstAttempts(), 1e-9)) }

// told is what a fifth of all, and not one alone, say or more.
func corroboratedMax(values []float64) float64 {
	slices.Sort(values)
	above := min(len(values)-1, max(1, int(reporterFraction*float64(len(values)))))
	return values[len(values)-1-above]
}

// advance brings all that changes with time up to now, in steps no shorter than a tick.
func (f *Fleet) advance(now Time) {
	if now-f.lastAdvance < minStep {
		return
	}
	seconds := min((now - f.lastAdvance).Seconds(), 1)
	elapsed := (now - f.lastAdvance).Seconds()
	f.lastAdvance = now
	sum := f.weighPeers(now)
	target := f.targetConfidence(sum)
	if target > f.confidence {
		f.confidence = min(target, f.confidence+0.5*seconds)
	} else {
		f.confidence = max(target, f.confidence-elapsed/f.settings.FallbackTime.Seconds())
	}
	f.updateEstimates(sum, seconds)
	f.updateAgreement(now)
	f.updateLimitShare(seconds)
	f.updateRetryFraction()
	f.updateShedding(now, seconds)
	f.recovered = slices.DeleteFunc(f.recovered, func(b recoveredBackend) bool { return now-b.reportedAt > recoveryLifetime })
}

// wantedTrust is whole once a few are heard, or all where there are fewer.
func (f *Fleet) targetConfidence(sum float64) float64 {
	others := min(minPeersHeard, f.rosterSize-1)
	if others < 1 {
		return 0
	}
	return min(1, sum/float64(others))
}

// count finds whether a majority of the roster sees the same members gone: of those heard themselves, so
// that where members hear a few only nothing is freed by it.
func (f *Fleet) updateAgreement(now Time) {
	agreeing := 1
	for i, e := range f.heardPeers {
		if f.weights[i] > 0.5 && !e.digest.Compact && e.digest.UnreachableHash == f.unreachableHash {
			agreeing++
		}
	}
	if f.unreachableCount == 0 || 2*agreeing <= f.rosterSize {
		f.agreedSince = -1
	} else if f.agreedSince < 0 {
		f.agreedSince = now
	}
}

// freed is the share of the whole that others left, by which each one's part grows.
func (f *Fleet) freedFraction() float64 {
	n := float64(f.rosterSize)
	unreachable := 0.0
	if f.agreedSince >= 0 && f.lastAdvance-f.agreedSince >= unreachableHold {
		unreachable = min(float64(f.unreachableCount), maxFreedFraction*n)
	}
	return min(0.9, (float64(f.leftCount)+unreachable)/n)
}

// steerPart moves the part of the limit to the own share of the traffic. The mean is over those in touch,
// not the sum over all: so each side of a partition has what its members had in N-ths, and both together one
// whole. Where more is held than there is, as when some hear nobody and are heard, those who hold more than an
// N-th give of that until it fits.
func (f *Fleet) updateLimitShare(seconds float64) {
	if excess := f.fleetMean.LimitShare*(1-f.freedFraction()) - overcommitThreshold; excess > 0 && len(f.heardPeers) > 0 {
		f.excessRetained *= 1 - min(1, 2*excess*seconds)
	} else {
		f.excessRetained = min(1, f.excessRetained+0.05*seconds)
	}
	target := 1.0
	if f.confidence > 0 && f.reportCount >= minReports { // what a new life's traffic is nobody knows yet
		bounds := f.vectorBounds()
		own := bounds.clamp(f.ownRates)
		if mean := f.fleetMean.totalFirstAttempts(); mean > 0 {
			share := evenShareFraction + (1-evenShareFraction)*min(own.totalFirstAttempts()/mean, maxLimitShare)
			if share > 1 {
				share = 1 + (share-1)*f.excessRetained
			}
			target = 1 + f.confidence*(share/(1-f.freedFraction())-1)
		}
	}
	f.limitShare = min(target, f.limitShare+limitShareRise*seconds)
}

// steerRepeats cuts every member's repeats alike while all together make more than the budget.
func (f *Fleet) updateRetryFraction() {
	f.retryFraction = 1
	if f.confidence > 0 && f.retryRatio > f.settings.RetryBudget {
		f.retryFraction = 1 + f.confidence*(max(minRetryFraction, f.settings.RetryBudget/f.retryRatio)-1)
	}
}
