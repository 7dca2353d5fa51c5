package overload

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Numbers are this member's for now. They change slowly: a caller may hold them for some tenths of a second.
type Controls struct {
	Confidence        float64 // 0: alone; 1: the others are heard
	LimitShare        float64 // own part of the shared limit, in N-ths
	RetryFraction     float64 // of the repeats that alone allows
	SlowStartFraction float64 // of the calls to a cold backend that alone allows
	ShedFraction      [MaxClasses]float64
	Episode           uint8
}

// Alone returns the numbers of a member that hears nobody: they change nothing.
func Standalone() Controls { return Controls{LimitShare: 1, RetryFraction: 1, SlowStartFraction: 1} }

// Numbers returns this member's numbers.
func (f *Fleet) Controls(now Time) Controls {
	f.advance(now)
	return Controls{
		Confidence: f.confidence, LimitShare: f.limitShare, RetryFraction: f.retryFraction, SlowStartFraction: min(1, f.limitShare),
		ShedFraction: f.shedFraction, Episode: f.episode,
	}
}

// Key is the hash of a request's key, to be the same at all members.
func HashKey(key []byte) uint64 { return xxhash.Sum64(key) }

// Shed tells whether a request of the class is to be turned away. It follows the key and the spell, so that
// all members with the same cut answer all tries of a key alike, and another spell sheds other keys.
func (n *Controls) ShouldShed(class int, key uint64) bool {
	return class >= 0 && class < MaxClasses && n.ShedFraction[class] > 0 && n.keyPosition(key, byte(class)) < n.ShedFraction[class]
}

// ComeBack spreads what a refused client is told to wait over half to one and a half times base, by its key,
// never over most.
func (n *Controls) RetryAfter(key uint64, base, maxDelay time.Duration) time.Duration {
	spread := 1 + n.Confidence*(n.keyPosition(key, 0xff)-0.5)
	return min(maxDelay, time.Duration(spread*float64(base)))
}

// place is where a key lies from 0 to 1 in this spell.
func (n *Controls) keyPosition(key uint64, salt byte) float64 {
	var b [10]byte
	binary.BigEndian.PutUint64(b[:], key)
	b[8], b[9] = n.Episode, salt
	return float64(xxhash.Sum64(b[:])>>11) / (1 << 53)
}

// steerCut holds the level, the share of the work offered that the fleet bears, and cuts to it what is worth
// least.
func (f *Fleet) updateShedding(now Time, seconds float64) {
	offered, served := f.offeredCost(&f.fleetMean), f.fleetMean.ServedCost
	f.adoptEpisode()
	switch {
	case f.confidence == 0:
		f.admittedFraction = 1
	case f.admittedFraction < 1:
		f.updateAdmittedFraction(offered, served, seconds)
	case f.latencyRatio >= uncongestedLatency && (f.refusedFraction >= episodeRefusals || f.fleetMean.AdmittedFraction < 1):
		f.beginEpisode(now, offered, served)
	}
	target := f.targetShedding(offered)
	for i := range f.shedFraction {
		f.shedFraction[i] = max(f.shedFraction[i]-shedFall*seconds, min(f.shedFraction[i]+shedRise*seconds, f.confidence*target[i]))
		if f.confidence == 0 {
			f.shedFraction[i] = 0
		}
	}
}

// full tells whether the fleet bears no more than it has.
func (f *Fleet) saturated() bool {
	return f.latencyRatio >= saturatedLatency || f.refusedFraction >= saturatedRefusals
}

// begin starts a spell of overload. Its number is new, unless others began it a moment ago.
func (f *Fleet) beginEpisode(now Time, offered, served float64) {
	f.demand = offered
	f.admittedFraction = min(0.99, served/max(offered, 1e-9))
	if f.fleetMean.AdmittedFraction < 1 {
		f.admittedFraction = f.fleetMean.AdmittedFraction
	}
	f.minServed = minServedFraction * served
	if f.episodeStart == 0 || now-f.episodeStart > minEpisodeInterval {
		f.episode++
	}
	f.episodeStart = now
}

// followSpell takes over the number that half of the members heard have reached.
func (f *Fleet) adoptEpisode() {
	lead := int(f.medianOf(func(_ *Vector, d *Digest) float64 {
		if d == nil {
			return 128
		}
		return 128 + float64(int8(d.Episode-f.episode))
	})) - 128
	if lead > 0 {
		f.episode += uint8(lead)
		f.episodeStart = f.lastAdvance
	}
}

// steerLevel lets the level follow what is served while the fleet is full, and grow while there is room. It
// is a share, so that chance in whom this member hears is in what is offered and served alike; only a change
// of what is offered that is no chance moves it at once. It is drawn to the level of most others: each has
// seen other members.
func (f *Fleet) updateAdmittedFraction(offered, served, seconds float64) {
	if offered > demandJump*f.demand || f.demand > demandJump*offered {
		f.admittedFraction *= f.demand / max(offered, 1e-9)
		f.demand = offered
	}
	f.demand += min(1, demandStep*seconds) * (offered - f.demand)
	f.minServed = max(minServedFraction*served, f.minServed*(1-minServedDecay*seconds))
	if f.saturated() {
		sustained := served / max(offered, 1e-9) * max(minServedFraction, 1-admittedLatencyPenalty*max(0, f.latencyRatio-saturatedLatency))
		sustained = min(sustained, f.admittedFraction-max(0, f.refusedFraction-saturatedRefusals)) // whom a mean counts for less is in it, too
		f.admittedFraction += min(1, admittedStep*seconds) * (sustained - f.admittedFraction)
	} else {
		spare := max(0, spareLatency-f.latencyRatio)
		f.admittedFraction *= 1 + admittedGrowth*spare*spare*seconds
	}
	if f.fleetMean.AdmittedFraction < 1 && f.latencyRatio >= uncongestedLatency {
		f.admittedFraction += min(1, peerAdmittedStep*seconds) * (f.fleetMean.AdmittedFraction - f.admittedFraction)
	}
	f.admittedFraction = min(1, max(f.admittedFraction, f.minServed/max(offered, 1e-9)))
}

// target is the share of each class to be shed so that what is offered fits the level.
func (f *Fleet) targetShedding(offered float64) (shed [MaxClasses]float64) {
	if f.admittedFraction == 1 {
		return shed
	}
	remaining := f.admittedFraction * offered
	for _, i := range f.order {
		demand := f.settings.Classes[i].Cost * f.fleetMean.FirstAttempts[i]
		if f.settings.UniformShedding {
			shed[i] = 1 - f.admittedFraction
		} else if demand > remaining {
			shed[i] = 1 - remaining/demand
		}
		remaining = max(0, remaining-demand)
	}
	return shed
}

// Trial tells whether a trial call to a backend that is out is for this member to make: one of each zone
// makes it, by rendezvous (Thaler, Ravishankar, IEEE/ACM ToN 1998), a member not heard of passed over. Once
// another has found it serving, each may try it, at a moment of its own.
func (f *Fleet) MayProbe(now Time, backend, zone string) bool {
	f.advance(now)
	if f.confidence == 0 {
		return true
	}
	if zone != f.self.Zone {
		return false
	}
	hash := xxhash.Sum64String(backend)
	for _, b := range f.recovered {
		if b.hash == uint16(hash) && now-b.reportedAt >= b.probeDelay {
			return true
		}
	}
	ownScore, majorityHeard := rendezvousScore(f.self.hash, hash), 2*len(f.heardPeers) >= f.rosterSize-1
	for _, e := range f.peers {
		if e.Zone == zone && (!majorityHeard || f.peerWeight(now, e) > 0) && rendezvousScore(e.hash, hash) > ownScore {
			return false
		}
	}
	return true
}

func rendezvousScore(memberHash, backendHash uint64) uint64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:], memberHash)
	binary.BigEndian.PutUint64(b[8:], backendHash)
	return xxhash.Sum64(b[:])
}

// Found takes that a trial call of this member's served: the others are told for some seconds.
func (f *Fleet) ProbeSucceeded(now Time, backend string) {
	f.recordRecovery(now, uint16(xxhash.Sum64String(backend)), true)
}

func (f *Fleet) recordRecovery(now Time, hash uint16, here bool) {
	if hash == 0 {
		return
	}
	for i := range f.recovered {
		if b := &f.recovered[i]; b.hash == hash {
			b.probedLocally = b.probedLocally || here
			return
		}
	}
	if len(f.recovered) < 64 {
		phase := float64(rendezvousScore(f.self.hash, uint64(hash))>>11) / (1 << 53)
		f.recovered = append(f.recovered, recoveredBackend{hash, now, here, Time(phase * float64(recoverySpread))})
	}
}

// spending keeps repeats within the budget in each second, not only in the mean.
type retryLimiter struct {
	currentRate, previousRate float64 // first tries a second, in the last two spans told
	recentRetries             []Time  // in the last second
	lastSlot                  float64 // of the last repeat, where the budget is less than one a second
}

func (limiter *retryLimiter) recordRate(now Time, countOf func([]float64, int) float64, first []float64, seconds float64) {
	total := 0.0
	for i := range first {
		total += countOf(first, i)
	}
	limiter.previousRate, limiter.currentRate = limiter.currentRate, total/seconds
}

// Repeat asks whether an attempt that may have run may be made again now, and counts it if so. It is asked
// in addition to the retry budget that a balancer has alone. What is not used is not saved up: hundreds of
// members that have saved ten each would spend them in the same second. This needs nobody else's word and
// so holds while the fleet is cut apart; it is the one thing that a member with a fleet does unlike one
// without, heard or not.
func (f *Fleet) AllowRetry(now Time) bool {
	f.advance(now)
	limiter := &f.retryLimiter
	budget := f.settings.RetryBudget * f.retryFraction * min(limiter.currentRate, limiter.previousRate)
	recent := limiter.recentRetries[:0]
	for _, at := range limiter.recentRetries {
		if now-at < time.Second {
			recent = append(recent, at)
		}
	}
	limiter.recentRetries = recent
	if budget < 1 {
		return len(limiter.recentRetries) == 0 && f.allowInSlot(now, budget)
	}
	if float64(len(limiter.recentRetries))+1 > budget {
		return false
	}
	limiter.recentRetries = append(limiter.recentRetries, now)
	return true
}

// ownSecond tells whether this second is one of those that a budget of less than one a second gives this
// member, and takes it. Each has a phase of its own.
func (f *Fleet) allowInSlot(now Time, budget float64) bool {
	limiter := &f.retryLimiter
	phase := float64(rendezvousScore(f.self.hash, 0)>>11) / (1 << 53)
	second := math.Floor((now - f.started).Seconds())
	slotIndex := func(second float64) float64 { return math.Floor(second*budget*lowRetryBudgetFraction + phase) }
	if second == limiter.lastSlot || slotIndex(second) == slotIndex(second-1) {
		return false
	}
	limiter.lastSlot = second
	limiter.recentRetries = append(limiter.recentRetries, now)
	return true
}
