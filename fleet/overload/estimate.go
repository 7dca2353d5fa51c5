package overload

import "slices"

// weighPeers finds the peers that are heard, weights each by the age of its digest and returns the sum of
// the weights.
func (f *Fleet) weighPeers(now Time) (sum float64) {
	f.heardPeers, f.weights = f.heardPeers[:0], f.weights[:0]
	for _, p := range f.peers {
		if weight := f.peerWeight(now, p); weight > 0 {
			f.heardPeers, f.weights = append(f.heardPeers, p), append(f.weights, weight)
			sum += weight
		}
	}
	return sum
}

// peerWeight returns the weight of a peer's last digest by its age: 1 up to FreshAge, falling to 0 at
// ExpiryAge.
func (f *Fleet) peerWeight(now Time, p *peer) float64 {
	if p.digest == nil {
		return 0
	}
	age := now - p.receivedAt + p.delay
	return max(0, min(1, float64(f.settings.ExpiryAge-age)/float64(f.settings.ExpiryAge-f.settings.FreshAge)))
}

// medianOf returns the lower median of a value over the heard peers and this member: of two, the lower one.
func (f *Fleet) medianOf(field func(own *Vector, d *Digest) float64) float64 {
	values := make([]float64, 0, len(f.heardPeers)+1)
	values = append(values, field(&f.ownRates, nil))
	for _, p := range f.heardPeers {
		values = append(values, field(&p.digest.Own, p.digest))
	}
	return lowerMedian(values)
}

// corroboratedTraffic returns the traffic that at least a fifth of the heard peers and this member have. With
// uneven traffic the median would hide the few members that carry most of it and refuse the most.
func (f *Fleet) corroboratedTraffic() float64 {
	traffic := []float64{f.ownRates.totalFirstAttempts()}
	for _, p := range f.heardPeers {
		traffic = append(traffic, p.digest.Own.totalFirstAttempts())
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

// offeredCost returns the work offered per second: the first attempts weighted by the cost of their class.
func (f *Fleet) offeredCost(v *Vector) (cost float64) {
	for i, c := range f.settings.Classes {
		cost += c.Cost * v.FirstAttempts[i]
	}
	return cost
}

// vectorBounds clips reported vectors to a few times what most members report.
type vectorBounds struct {
	fleet                               *Fleet
	maxTraffic                          float64 // the most traffic that one member counts for
	medianServedRatio, medianLimitShare float64 // over the members
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

// clamp returns v within the bounds. Traffic is scaled as a whole, which keeps the ratios between classes.
func (bounds vectorBounds) clamp(v Vector) Vector {
	if bounds.maxTraffic <= 0 {
		return v
	}
	if v.totalFirstAttempts() > bounds.maxTraffic {
		factor := bounds.maxTraffic / v.totalFirstAttempts()
		for i := range v.FirstAttempts {
			v.FirstAttempts[i] *= factor
		}
		v.ServedCost, v.WeightedLatency, v.RefusedCost, v.Retries =
			v.ServedCost*factor, v.WeightedLatency*factor, v.RefusedCost*factor, v.Retries*factor
	}
	offered := bounds.fleet.offeredCost(&v)
	if minCost := minServedRatio * bounds.medianServedRatio * offered; v.ServedCost < minCost {
		v.WeightedLatency, v.ServedCost = v.WeightedLatency*minCost/max(v.ServedCost, 1e-9), minCost
		v.WeightedLatency = min(v.WeightedLatency, 4*v.ServedCost)
	}
	v.ServedCost = min(v.ServedCost, max(offered, 0)) // a member serves no more than it was offered
	v.WeightedLatency = min(v.WeightedLatency, 4*v.ServedCost)
	v.RefusedCost = min(v.RefusedCost, offered)
	v.Retries = min(v.Retries, v.totalFirstAttempts())
	v.LimitShare = min(v.LimitShare, maxMedianRatio*max(1, bounds.medianLimitShare))
	return v
}

func (v *Vector) addScaled(x *Vector, factor float64) {
	for i := range v.FirstAttempts {
		v.FirstAttempts[i] += factor * x.FirstAttempts[i]
	}
	v.ServedCost += factor * x.ServedCost
	v.WeightedLatency += factor * x.WeightedLatency
	v.RefusedCost += factor * x.RefusedCost
	v.Retries += factor * x.Retries
	v.LimitShare += factor * x.LimitShare
	v.AdmittedFraction += factor * x.AdmittedFraction
}

func (v *Vector) scale(factor float64) {
	x := *v
	*v = Vector{}
	v.addScaled(&x, factor)
}

// updateEstimates sets the fleet-wide means. Where at least half of the peers are heard, they are the means
// over these and this member. Otherwise they are the mean over the peer means in the digests, which cover
// other members.
func (f *Fleet) updateEstimates(sum, seconds float64) {
	own := f.ownRates
	own.LimitShare, own.AdmittedFraction = f.limitShare, f.admittedFraction
	// The means stay while confidence falls, but latency and refusals are only known from own counters.
	if len(f.heardPeers) == 0 {
		f.latencyRatio, f.refusedFraction, f.retryRatio =
			meanLatencyRatio(&own), f.refusedFractionOf(&own), retryRatioOf(&own)
		if f.confidence == 0 {
			f.fleetMean, f.peerMean = own, Vector{}
		}
		return
	}
	bounds := f.vectorBounds()
	var layer Vector
	latencyRatios, refused, retries :=
		[]float64{meanLatencyRatio(&own)}, []float64{f.refusedFractionOf(&own)}, []float64{retryRatioOf(&own)}
	for i, p := range f.heardPeers {
		v := bounds.clamp(p.digest.Own)
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
		// Different peers are heard each second: averaging over some seconds covers more of them.
		if f.offeredCost(&previous) > 0 {
			f.fleetMean.scale(seconds / (seconds + secondLayerSeconds))
			f.fleetMean.addScaled(&previous, secondLayerSeconds/(seconds+secondLayerSeconds))
		}
	}
	// The second layer covers more members, but lags. A large change shows in the first layer at once.
	if slow, fast := f.offeredCost(&f.fleetMean), f.offeredCost(&firstLayer); fast > changeFactor*slow ||
		slow > changeFactor*fast {
		f.fleetMean = firstLayer
	}
	f.fleetMean.AdmittedFraction = f.peerAdmittedFraction()
	f.latencyRatio = min(meanLatencyRatio(&firstLayer), maxReportedRatio*corroboratedMax(latencyRatios))
	f.refusedFraction = min(f.refusedFractionOf(&firstLayer), maxReportedRatio*corroboratedMax(refused))
	f.retryRatio = min(retryRatioOf(&f.fleetMean), maxRetryMedianRatio*lowerMedian(retries))
}

// peerAdmittedFraction returns the median admitted fraction of the members in an episode, or 1 unless these
// are the majority. Members outside an episode don't influence how much is shed.
func (f *Fleet) peerAdmittedFraction() float64 {
	fractions, memberCount := []float64{}, 1+len(f.heardPeers)
	if f.admittedFraction < 1 {
		fractions = append(fractions, f.admittedFraction)
	}
	for _, p := range f.heardPeers {
		if p.digest.Own.AdmittedFraction < 1 {
			fractions = append(fractions, p.digest.Own.AdmittedFraction)
		}
	}
	if 2*len(fractions) <= memberCount {
		return 1
	}
	return lowerMedian(fractions)
}

// secondLayerMean returns the mean of the peer means in the digests, each field clipped to between half and
// twice its median. A peer that has no mean yet counts with this member's.
func (f *Fleet) secondLayerMean(sum float64, layer *Vector) Vector {
	n := len(f.settings.Classes)
	peerMeans := make([]Vector, len(f.heardPeers))
	for i, p := range f.heardPeers {
		if peerMeans[i] = p.digest.PeerMean; peerMeans[i] == (Vector{}) {
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

// meanLatencyRatio returns the latency ratio averaged over served work; 1: latency is at its target.
func meanLatencyRatio(v *Vector) float64 {
	if v.ServedCost <= 0 {
		return 0
	}
	return min(4, v.WeightedLatency/v.ServedCost)
}

// refusedFractionOf returns the fraction of the offered work that concurrency limits refused.
func (f *Fleet) refusedFractionOf(v *Vector) float64 {
	return min(1, v.RefusedCost/max(f.offeredCost(v), 1e-9))
}

// retryRatioOf returns the number of retries per first attempt.
func retryRatioOf(v *Vector) float64 { return min(1, v.Retries/max(v.totalFirstAttempts(), 1e-9)) }

// corroboratedMax returns the highest value that at least a fifth of the members, and more than one, reach.
func corroboratedMax(values []float64) float64 {
	slices.Sort(values)
	above := min(len(values)-1, max(1, int(reporterFraction*float64(len(values)))))
	return values[len(values)-1-above]
}

// advance updates all time-dependent state to now. Updates are at least minStep apart.
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
	f.recovered = slices.DeleteFunc(f.recovered, func(b recoveredBackend) bool {
		return now-b.reportedAt > recoveryLifetime
	})
}

// targetConfidence returns the confidence that the sum of the weights justifies: 1 once minPeersHeard peers
// are heard, or all of a smaller fleet.
func (f *Fleet) targetConfidence(sum float64) float64 {
	others := min(minPeersHeard, f.rosterSize-1)
	if others < 1 {
		return 0
	}
	return min(1, sum/float64(others))
}

// updateAgreement finds out whether a majority of the roster sees the same members as unreachable. Only peers
// heard directly count: where members hear few peers, no share is freed this way.
func (f *Fleet) updateAgreement(now Time) {
	agreeing := 1
	for i, p := range f.heardPeers {
		if f.weights[i] > 0.5 && !p.digest.Compact && p.digest.UnreachableHash == f.unreachableHash {
			agreeing++
		}
	}
	if f.unreachableCount == 0 || 2*agreeing <= f.rosterSize {
		f.agreedSince = -1
	} else if f.agreedSince < 0 {
		f.agreedSince = now
	}
}

// freedFraction returns the fraction of the whole limit that left and unreachable members free. The shares of
// the others grow by it.
func (f *Fleet) freedFraction() float64 {
	n := float64(f.rosterSize)
	unreachable := 0.0
	if f.agreedSince >= 0 && f.lastAdvance-f.agreedSince >= unreachableHold {
		unreachable = min(float64(f.unreachableCount), maxFreedFraction*n)
	}
	return min(0.9, (float64(f.leftCount)+unreachable)/n)
}

// updateLimitShare moves the share of the concurrency limit towards this member's share of the traffic. It
// divides by the mean over the heard members, not by the sum over all. So the members on each side of a
// partition keep their N-ths, and both sides together hold one whole limit. Where members hold more than the
// whole, as when some hear no peers but are heard, those above one N-th reduce the excess until the sum fits.
func (f *Fleet) updateLimitShare(seconds float64) {
	if excess := f.fleetMean.LimitShare*(1-f.freedFraction()) - overcommitThreshold; excess > 0 &&
		len(f.heardPeers) > 0 {
		f.excessRetained *= 1 - min(1, 2*excess*seconds)
	} else {
		f.excessRetained = min(1, f.excessRetained+0.05*seconds)
	}
	target := 1.0
	// The traffic of a restarted member is not known yet.
	if f.confidence > 0 && f.reportCount >= minReports {
		bounds := f.vectorBounds()
		own := bounds.clamp(f.ownRates)
		if mean := f.fleetMean.totalFirstAttempts(); mean > 0 {
			share := evenShareFraction + (1-evenShareFraction)*
				min(own.totalFirstAttempts()/mean, maxLimitShare)
			if share > 1 {
				share = 1 + (share-1)*f.excessRetained
			}
			target = 1 + f.confidence*(share/(1-f.freedFraction())-1)
		}
	}
	f.limitShare = min(target, f.limitShare+limitShareRise*seconds)
}

// updateRetryFraction reduces every member's retries alike while the fleet exceeds its retry budget.
func (f *Fleet) updateRetryFraction() {
	f.retryFraction = 1
	if f.confidence > 0 && f.retryRatio > f.settings.RetryBudget {
		f.retryFraction = 1 + f.confidence*(max(minRetryFraction, f.settings.RetryBudget/f.retryRatio)-1)
	}
}
