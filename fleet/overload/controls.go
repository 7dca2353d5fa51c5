package overload

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Controls are the outputs for this member at one time. They change slowly: a caller may reuse them for some
// tenths of a second.
type Controls struct {
	Confidence        float64 // in the peers' reports; 0: standalone, 1: enough peers are heard
	LimitShare        float64 // own share of the concurrency limit, in N-ths
	RetryFraction     float64 // of the retries that a standalone member may make
	SlowStartFraction float64 // of the requests that a standalone member may send to a backend in slow start
	ShedFraction      [MaxClasses]float64
	Episode           uint8
}

// Standalone returns the controls of a member that hears no peers: they restrict nothing.
func Standalone() Controls { return Controls{LimitShare: 1, RetryFraction: 1, SlowStartFraction: 1} }

// Controls returns this member's controls.
func (f *Fleet) Controls(now Time) Controls {
	f.advance(now)
	return Controls{
		Confidence: f.confidence, LimitShare: f.limitShare,
		RetryFraction: f.retryFraction, SlowStartFraction: min(1, f.limitShare),
		ShedFraction: f.shedFraction, Episode: f.episode,
	}
}

// HashKey returns the hash of a request's key. It is the same at all members.
func HashKey(key []byte) uint64 { return xxhash.Sum64(key) }

// ShouldShed reports whether to shed a request of the class. The result follows from the key and the episode:
// members with the same shed fraction treat all attempts of a key alike, and another episode sheds other
// keys.
func (n *Controls) ShouldShed(class int, key uint64) bool {
	return class >= 0 && class < MaxClasses && n.ShedFraction[class] > 0 &&
		n.keyPosition(key, byte(class)) < n.ShedFraction[class]
}

// RetryAfter returns how long to tell a refused client to wait: 0.5 to 1.5 times base, spread by the key, and
// at most maxDelay.
func (n *Controls) RetryAfter(key uint64, base, maxDelay time.Duration) time.Duration {
	spread := 1 + n.Confidence*(n.keyPosition(key, 0xff)-0.5)
	return min(maxDelay, time.Duration(spread*float64(base)))
}

// keyPosition maps a key to a position from 0 to 1 that differs between episodes.
func (n *Controls) keyPosition(key uint64, salt byte) float64 {
	var b [10]byte
	binary.BigEndian.PutUint64(b[:], key)
	b[8], b[9] = n.Episode, salt
	return float64(xxhash.Sum64(b[:])>>11) / (1 << 53)
}

// updateShedding updates the fraction of the offered work that the fleet can serve, and sheds the excess from
// the classes with the lowest value per cost.
func (f *Fleet) updateShedding(now Time, seconds float64) {
	offered, served := f.offeredCost(&f.fleetMean), f.fleetMean.ServedCost
	f.adoptEpisode()
	switch {
	case f.confidence == 0:
		f.admittedFraction = 1
	case f.admittedFraction < 1:
		f.updateAdmittedFraction(offered, served, seconds)
	case f.latencyRatio >= uncongestedLatency &&
		(f.refusedFraction >= episodeRefusals || f.fleetMean.AdmittedFraction < 1):
		f.beginEpisode(now, offered, served)
	}
	target := f.targetShedding(offered)
	for i := range f.shedFraction {
		f.shedFraction[i] = max(f.shedFraction[i]-shedFall*seconds,
			min(f.shedFraction[i]+shedRise*seconds, f.confidence*target[i]))
		if f.confidence == 0 {
			f.shedFraction[i] = 0
		}
	}
}

// saturated reports whether the fleet can't serve more than it does now.
func (f *Fleet) saturated() bool {
	return f.latencyRatio >= saturatedLatency || f.refusedFraction >= saturatedRefusals
}

// beginEpisode begins an overload episode. It takes a new number unless the current one is recent, as when
// other members have just begun the same episode.
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

// adoptEpisode adopts the episode number that half of the heard members have reached.
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

// updateAdmittedFraction follows the served work while the fleet is saturated, and grows while there is spare
// capacity. As a fraction it is unaffected by which peers this member happens to hear, which changes offered
// and served work alike; only a change of the offered work beyond that noise moves it at once. It is pulled
// towards the median of the other members, as each of them hears different peers.
func (f *Fleet) updateAdmittedFraction(offered, served, seconds float64) {
	if offered > demandJump*f.demand || f.demand > demandJump*offered {
		f.admittedFraction *= f.demand / max(offered, 1e-9)
		f.demand = offered
	}
	f.demand += min(1, demandStep*seconds) * (offered - f.demand)
	f.minServed = max(minServedFraction*served, f.minServed*(1-minServedDecay*seconds))
	if f.saturated() {
		sustained := served / max(offered, 1e-9) *
			max(minServedFraction, 1-admittedLatencyPenalty*max(0, f.latencyRatio-saturatedLatency))
		// The refused fraction also shows refusals of members that the clipped mean undercounts.
		sustained = min(sustained, f.admittedFraction-max(0, f.refusedFraction-saturatedRefusals))
		f.admittedFraction += min(1, admittedStep*seconds) * (sustained - f.admittedFraction)
	} else {
		spare := max(0, spareLatency-f.latencyRatio)
		f.admittedFraction *= 1 + admittedGrowth*spare*spare*seconds
	}
	if f.fleetMean.AdmittedFraction < 1 && f.latencyRatio >= uncongestedLatency {
		f.admittedFraction += min(1, peerAdmittedStep*seconds) *
			(f.fleetMean.AdmittedFraction - f.admittedFraction)
	}
	f.admittedFraction = min(1, max(f.admittedFraction, f.minServed/max(offered, 1e-9)))
}

// targetShedding returns the fraction of each class to shed so that the rest fits the admitted fraction.
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

// MayProbe reports whether this member may send a half-open probe to an ejected backend. One member of each
// zone probes it, chosen by rendezvous hashing (Thaler, Ravishankar, IEEE/ACM ToN 1998) among the members
// that are heard. Once a member has found the backend serving, all may probe it, each after a delay of its
// own.
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
	for _, p := range f.peers {
		if p.Zone == zone && (!majorityHeard || f.peerWeight(now, p) > 0) &&
			rendezvousScore(p.hash, hash) > ownScore {
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

// ProbeSucceeded records that this member's half-open probe of a backend succeeded. Digests announce it for
// some seconds.
func (f *Fleet) ProbeSucceeded(now Time, backend string) {
	f.recordRecovery(now, uint16(xxhash.Sum64String(backend)), true)
}

func (f *Fleet) recordRecovery(now Time, hash uint16, probedLocally bool) {
	if hash == 0 {
		return
	}
	for i := range f.recovered {
		if b := &f.recovered[i]; b.hash == hash {
			b.probedLocally = b.probedLocally || probedLocally
			return
		}
	}
	if len(f.recovered) < 64 {
		position := float64(rendezvousScore(f.self.hash, uint64(hash))>>11) / (1 << 53)
		f.recovered = append(f.recovered,
			recoveredBackend{hash, now, probedLocally, Time(position * float64(recoverySpread))})
	}
}

// retryLimiter keeps retries within the budget in every second, not only on average.
type retryLimiter struct {
	currentRate, previousRate float64 // first attempts per second, in the last two reports
	recentRetries             []Time  // times of the retries in the last second
	lastSlot                  float64 // second of the last retry, for a budget of less than one per second
}

func (r *retryLimiter) recordRate(now Time, countOf func([]float64, int) float64, attempts []float64,
	seconds float64) {
	total := 0.0
	for i := range attempts {
		total += countOf(attempts, i)
	}
	r.previousRate, r.currentRate = r.currentRate, total/seconds
}

// AllowRetry reports whether an attempt that may have taken effect may be retried now, and counts the retry
// if so. It applies in addition to the retry budget that a standalone balancer has. Unused budget does not
// accumulate: hundreds of members with ten saved retries each could spend them all in the same second. The
// limit needs no peers, so it holds in a partition; it is the only difference between a member of a fleet
// that hears no peers and a balancer without a fleet.
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

// allowInSlot reports whether a budget of less than one retry per second gives this member a retry in this
// second, and uses it. Members have different phases, which spreads their retries.
func (f *Fleet) allowInSlot(now Time, budget float64) bool {
	limiter := &f.retryLimiter
	phase := float64(rendezvousScore(f.self.hash, 0)>>11) / (1 << 53)
	second := math.Floor((now - f.started).Seconds())
	slotIndex := func(second float64) float64 {
		return math.Floor(second*budget*lowRetryBudgetFraction + phase)
	}
	if second == limiter.lastSlot || slotIndex(second) == slotIndex(second-1) {
		return false
	}
	limiter.lastSlot = second
	limiter.recentRetries = append(limiter.recentRetries, now)
	return true
}
