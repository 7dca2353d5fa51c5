package overload

import "slices"

// weigh finds whom this member hears, each weighed by the age of what it said, and returns the sum.
func (f *Fleet) weigh(now Time) (sum float64) {
	f.heard, f.weights = f.heard[:0], f.weights[:0]
	for _, e := range f.others {
		if w := f.weight(now, e); w > 0 {
			f.heard, f.weights = append(f.heard, e), append(f.weights, w)
			sum += w
		}
	}
	return sum
}

// weight is 1 for what is fresh, and falls to nothing over the time-out.
func (f *Fleet) weight(now Time, e *entry) float64 {
	if e.digest == nil {
		return 0
	}
	age := now - e.at + e.late
	return max(0, min(1, float64(f.set.ExpiryAge-age)/float64(f.set.ExpiryAge-f.set.FreshAge)))
}

// median is the lower median of what the members heard and this one say: of two, the lesser.
func (f *Fleet) median(of func(own *Vector, d *Digest) float64) float64 {
	said := make([]float64, 0, len(f.heard)+1)
	said = append(said, of(&f.own, nil))
	for _, e := range f.heard {
		said = append(said, of(&e.digest.Own, e.digest))
	}
	return lowerMedian(said)
}

// most is the traffic that a fifth of the members heard and this one have, or more: where traffic is
// uneven the median would hide the few that carry most, who turn the most away.
func (f *Fleet) most() float64 {
	said := []float64{f.own.total()}
	for _, e := range f.heard {
		said = append(said, e.digest.Own.total())
	}
	return told(said)
}

func lowerMedian(said []float64) float64 {
	if len(said) == 0 {
		return 0
	}
	slices.Sort(said)
	return said[(len(said)-1)/2]
}

func (f *Fleet) offered(v *Vector) (work float64) {
	for i, c := range f.set.Classes {
		work += c.Cost * v.FirstAttempts[i]
	}
	return work
}

// holder keeps what members say within a few times what most say.
type holder struct {
	f            *Fleet
	total        float64 // the most that a member's traffic counts for
	served, part float64 // medians
}

func (f *Fleet) holder() holder {
	return holder{
		f:     f,
		total: sayMost * f.most(),
		part:  f.median(func(v *Vector, _ *Digest) float64 { return v.LimitShare }),
		served: f.median(func(v *Vector, _ *Digest) float64 {
			return v.ServedCost / max(f.offered(v), 1e-9)
		}),
	}
}

// hold scales v as a whole, so that the classes' shares in it stay.
func (h holder) hold(v Vector) Vector {
	if h.total <= 0 {
		return v
	}
	if v.total() > h.total {
		by := h.total / v.total()
		for i := range v.FirstAttempts {
			v.FirstAttempts[i] *= by
		}
		v.ServedCost, v.WeightedLatency, v.RefusedCost, v.Retries = v.ServedCost*by, v.WeightedLatency*by, v.RefusedCost*by, v.Retries*by
	}
	offered := h.f.offered(&v)
	if least := workLeast * h.served * offered; v.ServedCost < least {
		v.WeightedLatency, v.ServedCost = v.WeightedLatency*least/max(v.ServedCost, 1e-9), least
		v.WeightedLatency = min(v.WeightedLatency, 4*v.ServedCost)
	}
	v.ServedCost = min(v.ServedCost, max(offered, 0)) // nobody serves more than it was offered
	v.WeightedLatency = min(v.WeightedLatency, 4*v.ServedCost)
	v.RefusedCost = min(v.RefusedCost, offered)
	v.Retries = min(v.Retries, v.total())
	v.LimitShare = min(v.LimitShare, sayMost*max(1, h.part))
	return v
}

func (v *Vector) add(x *Vector, weight float64) {
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

func (v *Vector) scale(by float64) {
	x := *v
	*v = Vector{}
	v.add(&x, by)
}

// estimate sets the fleet's means: over all where half or more are heard, this member counted in; else over
// the means that those heard have of others, for theirs are of other members.
func (f *Fleet) estimate(sum, seconds float64) {
	own := f.own
	own.LimitShare, own.AdmittedFraction = f.part, f.level
	if len(f.heard) == 0 { // while trust fades the means stay, but a queue is seen by oneself alone
		f.strain, f.turned, f.repeating = strain(&own), f.share(&own), repeating(&own)
		if f.trust == 0 {
			f.means, f.layer = own, Vector{}
		}
		return
	}
	h := f.holder()
	var layer Vector
	strains, turned, repeats := []float64{strain(&own)}, []float64{f.share(&own)}, []float64{repeating(&own)}
	for i, e := range f.heard {
		v := h.hold(e.digest.Own)
		layer.add(&v, f.weights[i]/sum)
		if v.ServedCost > 0 {
			strains = append(strains, strain(&v))
		}
		turned, repeats = append(turned, f.share(&v)), append(repeats, repeating(&v))
	}
	f.layer = layer
	was := f.means
	f.means = Vector{}
	v := h.hold(own)
	f.means.add(&layer, sum/(sum+1))
	f.means.add(&v, 1/(sum+1))
	now := f.means
	if 2*len(f.heard) < f.roster-1 {
		f.means = f.second(sum, &layer)
		if f.offered(&was) > 0 { // each second others are heard: over some seconds, more of them
			f.means.scale(seconds / (seconds + meanOver))
			f.means.add(&was, meanOver/(seconds+meanOver))
		}
	}
	// The second layer is of more members, and later: what changes much is seen in the first.
	if slow, is := f.offered(&f.means), f.offered(&now); is > changed*slow || slow > changed*is {
		f.means = now
	}
	f.means.AdmittedFraction = f.agreedLevel()
	f.strain = min(strain(&now), tellMost*told(strains))
	f.turned = min(f.share(&now), tellMost*told(turned))
	f.repeating = min(repeating(&f.means), repeatsMost*lowerMedian(repeats))
}

// agreedLevel is the median of the levels of the members in a spell, and 1 while these are not the most:
// those that are in none have no say in how deep it is.
func (f *Fleet) agreedLevel() float64 {
	levels, all := []float64{}, 1+len(f.heard)
	if f.level < 1 {
		levels = append(levels, f.level)
	}
	for _, e := range f.heard {
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
func (f *Fleet) second(sum float64, layer *Vector) Vector {
	n := len(f.set.Classes)
	said := make([]Vector, len(f.heard))
	for i, e := range f.heard {
		if said[i] = e.digest.PeerMean; said[i] == (Vector{}) {
			said[i] = *layer
		}
	}
	var mean Vector
	one := make([]float64, len(said))
	for k, to := range mean.fields(n) {
		for i := range said {
			one[i] = *said[i].fields(n)[k]
		}
		middle := lowerMedian(slices.Clone(one))
		for i, v := range one {
			*to += f.weights[i] / sum * max(middle/2, min(2*middle, v))
		}
	}
	return mean
}

// strain is the mean over answers, 1 at its target.
func strain(v *Vector) float64 {
	if v.ServedCost <= 0 {
		return 0
	}
	return min(4, v.WeightedLatency/v.ServedCost)
}

// share is that of what was offered that limits turned away.
func (f *Fleet) share(v *Vector) float64 { return min(1, v.RefusedCost/max(f.offered(v), 1e-9)) }

// repeating is how many repeats are made to a first try.
func repeating(v *Vector) float64 { return min(1, v.Retries/max(v.total(), 1e-9)) }

// told is what a fifth of all, and not one alone, say or more.
func told(said []float64) float64 {
	slices.Sort(said)
	above := min(len(said)-1, max(1, int(tellers*float64(len(said)))))
	return said[len(said)-1-above]
}

// advance brings all that changes with time up to now, in steps no shorter than a tick.
func (f *Fleet) advance(now Time) {
	if now-f.last < tick {
		return
	}
	seconds := min((now - f.last).Seconds(), 1)
	whole := (now - f.last).Seconds()
	f.last = now
	sum := f.weigh(now)
	wanted := f.wantedTrust(sum)
	if wanted > f.trust {
		f.trust = min(wanted, f.trust+0.5*seconds)
	} else {
		f.trust = max(wanted, f.trust-whole/f.set.FallbackTime.Seconds())
	}
	f.estimate(sum, seconds)
	f.count(now)
	f.steerPart(seconds)
	f.steerRepeats()
	f.steerCut(now, seconds)
	f.backs = slices.DeleteFunc(f.backs, func(b found) bool { return now-b.at > backFor })
}

// wantedTrust is whole once a few are heard, or all where there are fewer.
func (f *Fleet) wantedTrust(sum float64) float64 {
	others := min(quorum, f.roster-1)
	if others < 1 {
		return 0
	}
	return min(1, sum/float64(others))
}

// count finds whether a majority of the roster sees the same members gone: of those heard themselves, so
// that where members hear a few only nothing is freed by it.
func (f *Fleet) count(now Time) {
	same := 1
	for i, e := range f.heard {
		if f.weights[i] > 0.5 && !e.digest.Compact && e.digest.UnreachableHash == f.goneSum {
			same++
		}
	}
	if f.gone == 0 || 2*same <= f.roster {
		f.agreed = -1
	} else if f.agreed < 0 {
		f.agreed = now
	}
}

// freed is the share of the whole that others left, by which each one's part grows.
func (f *Fleet) freed() float64 {
	n := float64(f.roster)
	gone := 0.0
	if f.agreed >= 0 && f.last-f.agreed >= goneHold {
		gone = min(float64(f.gone), freedMost*n)
	}
	return min(0.9, (float64(f.left)+gone)/n)
}

// steerPart moves the part of the limit to the own share of the traffic. The mean is over those in touch,
// not the sum over all: so each side of a partition has what its members had in N-ths, and both together one
// whole. Where more is held than there is, as when some hear nobody and are heard, those who hold more than an
// N-th give of that until it fits.
func (f *Fleet) steerPart(seconds float64) {
	if over := f.means.LimitShare*(1-f.freed()) - partOver; over > 0 && len(f.heard) > 0 {
		f.kept *= 1 - min(1, 2*over*seconds)
	} else {
		f.kept = min(1, f.kept+0.05*seconds)
	}
	wanted := 1.0
	if f.trust > 0 && f.told >= partYoung { // what a new life's traffic is nobody knows yet
		h := f.holder()
		own := h.hold(f.own)
		if mean := f.means.total(); mean > 0 {
			share := partEven + (1-partEven)*min(own.total()/mean, shareMost)
			if share > 1 {
				share = 1 + (share-1)*f.kept
			}
			wanted = 1 + f.trust*(share/(1-f.freed())-1)
		}
	}
	f.part = min(wanted, f.part+partRise*seconds)
}

// steerRepeats cuts every member's repeats alike while all together make more than the budget.
func (f *Fleet) steerRepeats() {
	f.repeats = 1
	if f.trust > 0 && f.repeating > f.set.RetryBudget {
		f.repeats = 1 + f.trust*(max(repeatsLeast, f.set.RetryBudget/f.repeating)-1)
	}
}
