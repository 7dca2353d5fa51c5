// Package overload lets many balancers answer an overload as one. It takes the digests that members send
// one another, and this member's own counters, with the times they came at, and gives this member its
// numbers: its part of the shared limit, what share of each class to shed, its part of the repeats, which
// trials are its own. It does no I/O, has no clock and starts no goroutines, and the same events give the
// same numbers.
//
// A member that hears nobody has the numbers of one that is alone (Alone), and goes back to them gradually.
//
// Sums over a fleet of which each member hears a few are estimated in two layers: a digest carries its
// sender's own vector and the mean of those that the sender hears, and the mean over the latter is that of
// some tens of members. Push-sum (Kempe, Dobra, Gehrke, FOCS 2003) is nearer to the sum for as many
// messages, but its mass is lost with a message, doubled with a doubled one, and one member can make up any
// amount of it; a layer is a mean over senders, each counted once and held to a few times their median.
package overload

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Time is a point on the caller's monotonic clock. Only differences matter.
type Time = time.Duration

// What the constants balance. Rates are a second.
const (
	maxMedianRatio         = 4.0   // medians that a member's say in a sum is held to: broken ones against busy ones
	outlierMedianRatio     = 100.0 // medians of traffic past which a digest is not taken at all
	minServedRatio         = 0.5   // of the median share of its traffic that a member is taken to serve
	maxReportedRatio       = 2     // of what a fifth of the members tell or more: a few can't make an overload up
	reporterFraction       = 0.2
	minPeersHeard          = 3   // members to be heard for whole trust, where there are as many
	changeFactor           = 2.2 // by which a first layer must differ to be taken for a change, not for chance
	secondLayerSeconds     = 2.0 // seconds that the means of the second layer go over
	maxFreedFraction       = 0.1 // of the whole that the dead may leave to the others; the slack of a partition
	smoothingTime          = 600 * time.Millisecond
	retrySmoothingTime     = 10 * time.Second
	minStep                = 100 * time.Millisecond
	sequenceUnit           = 10 * time.Millisecond
	maxClockDrift          = 1e-3 // by which clocks may differ: older, lateness reckoned by them fades
	evenShareFraction      = 0.1  // of the limit that goes by heads: a quiet member's first calls find some
	maxLimitShare          = 16.0 // N-ths that a member holds at most
	minReports             = 3    // times that counters are told before the part goes by them
	overcommitThreshold    = 1.05 // N-ths held in the mean from which members give: less is chance in whom they hear
	limitShareRise         = 0.1  // of an N-th, a second; it falls at once
	shedRise               = 1.0
	shedFall               = 0.5   // bounds what all open up a second
	saturatedLatency       = 1.2   // from there the fleet bears no more
	saturatedRefusals      = 0.015 // or from there: limits that turn work away hold their strain themselves
	spareLatency           = 0.75  // below it there is room, the more the further below
	uncongestedLatency     = 0.6   // below it there is no queue to speak of: no spell begins, and it ends as each sees fit
	probeFactor            = 1.0   // times what is served, that the level is held to while it is full
	admittedStep           = 0.6   // a second, of the way to what is served
	admittedGrowth         = 2.5   // a second, by the square of the strain below that: fast once there is no queue
	demandJump             = 2.0   // by which what is offered must change for the level to change at once
	admittedLatencyPenalty = 0.3   // for each unit of strain over the full one
	minServedFraction      = 0.7   // of the most served in the spell: else slow backends alone would shut all out
	minServedDecay         = 0.02  // a second, of that most
	peerAdmittedStep       = 1.0   // a second, of the way to the others' level
	demandStep             = 0.3   // a second, at which the offered that a level is for follows
	episodeRefusals        = 0.06  // for a spell to begin: not for a burst or two
	minEpisodeInterval     = 10 * time.Second
	maxRetryMedianRatio    = 1.25 // medians that the mean of repeats counts for: each keeps its own budget anyway
	minRetryFraction       = 0.4  // of them that no word of others takes: the own budget holds without
	lowRetryBudgetFraction = 0.5  // of the budget, where it is under one a second: two own seconds meet in one
	recoveryLifetime       = 5 * time.Second
	recoverySpread         = 2 * time.Second
	unreachableHold        = 5 * time.Second
)

// Class is what must be the same at all members for them to shed alike.
type Class struct {
	Value float64 // of an answer
	Cost  float64 // work of one call, as a multiple of any unit; 0 counts as 1
}

// Settings is what a member is told at its start. Zero durations take the value named.
type Settings struct {
	Classes         []Class
	UniformShedding bool          // no class is to be worse off than others for its worth
	RetryBudget     float64       // repeats, as a share of first tries; 0: 0.1
	CompactDigests  bool          // digests of 64 bytes, for up to four classes
	FreshAge        time.Duration // a digest counts whole for so long; 0: 1 s
	ExpiryAge       time.Duration // and not at all after this; 0: 4 s
	FallbackTime    time.Duration // whole trust is lost over this, then the numbers are Alone; 0: 5 s
}

// State is what membership says of a member.
type State int

// The states of a member.
const (
	Alive       State = iota
	Unreachable       // seen dead, or not seen
	Left              // it said that it leaves
)

// Member is one member as membership sees it.
type Member struct {
	Name        string
	Zone        string
	Incarnation uint64
	State       State
}

// Counters is what the caller counted since it last told, of this member alone.
type Counters struct {
	FirstAttempts, Served, Refused []float64 // by class; First before anything is shed, Refused first tries by the own limit
	LatencyRatioSum                float64   // sum over answers and time-outs: latency by its target, 4 at most
	LatencySamples                 float64   // how many of these
	Retries, Probes                float64
	SlowStart, InFlight            float64 // now: parts of cold backends, calls in flight
}

// Errors of Take. Nothing that returns one has changed any number.
var (
	ErrUnknownMember = errors.New("not a member, or another life of it")
	ErrStaleDigest   = errors.New("not newer than the last one")
	ErrOutlier       = errors.New("out of all proportion to the others")
)

// Dropped counts digests not taken, by why.
type DropCounts struct{ Malformed, Unknown, Stale, Outlier int }

type peer struct {
	Member
	hash           uint64
	digest         *Digest // last taken; nil: none of this life
	receivedAt     Time
	minClockOffset Time // least seen of arrival less the sender's own time
	delay          Time // by which the last one was later than that
}

// Fleet is one member's knowledge of the others. It is not safe for concurrent use.
type Fleet struct {
	settings         Settings
	order            []int // classes, worthiest for their work first
	self             peer
	peers            []*peer // in order of their hashes
	peersByHash      map[uint64]*peer
	rosterSize       int
	leftCount        int
	unreachableCount int
	unreachableHash  uint64
	dropped          DropCounts
	started          Time

	ownRates         Vector
	ownDetail        Digest // the parts of the long form
	countedAt        Time   // when own counters were last told
	reportCount      int    // how often
	sequence         uint32
	heardPeers       []*peer // of weight, as of the last advance
	weights          []float64
	fleetMean        Vector  // of the fleet, for each member
	peerMean         Vector  // of those heard, handed on
	latencyRatio     float64 // 1 at the target
	refusedFraction  float64 // share of the work offered that limits turn away
	retryRatio       float64 // repeats to a first try
	lastAdvance      Time
	confidence       float64
	limitShare       float64
	excessRetained   float64 // of the part over an N-th: less while more is held than there is
	retryFraction    float64
	shedFraction     [MaxClasses]float64
	admittedFraction float64 // share of the work offered that the fleet bears; 1: no spell
	demand           float64 // work offered, by N, that the level is for
	minServed        float64 // that the level is held over in this spell
	episode          uint8
	episodeStart     Time
	agreedSince      Time // since when a majority sees the same gone; -1: it does not
	recovered        []recoveredBackend
	retryLimiter     retryLimiter
}

// found is a backend whose trial served, here or at another.
type recoveredBackend struct {
	hash          uint16
	reportedAt    Time
	probedLocally bool
	probeDelay    Time
}

// New returns the member me, alone until it has a View and hears others.
func New(now Time, set Settings, me Member) (*Fleet, error) {
	maxClasses := MaxClasses
	if set.CompactDigests {
		maxClasses = MaxCompactClasses
	}
	if n := len(set.Classes); n < 1 || n > maxClasses {
		return nil, fmt.Errorf("overload: %d classes: 1 to %d can be told", n, maxClasses)
	}
	set.Classes = slices.Clone(set.Classes)
	set.RetryBudget = cmp.Or(set.RetryBudget, 0.1)
	set.FreshAge = cmp.Or(set.FreshAge, time.Second)
	set.ExpiryAge = cmp.Or(set.ExpiryAge, 4*time.Second)
	set.FallbackTime = cmp.Or(set.FallbackTime, 5*time.Second)
	if set.FreshAge >= set.ExpiryAge {
		return nil, fmt.Errorf("overload: fresh %v is not under timeout %v", set.FreshAge, set.ExpiryAge)
	}
	f := &Fleet{settings: set, peersByHash: map[uint64]*peer{}, rosterSize: 1, limitShare: 1, excessRetained: 1, retryFraction: 1, admittedFraction: 1, agreedSince: -1,
		started: now, countedAt: now, lastAdvance: now, self: peer{Member: me, hash: xxhash.Sum64String(me.Name)}}
	for i := range set.Classes {
		c := &set.Classes[i]
		c.Cost, c.Value = cmp.Or(sanitize(c.Cost), 1), sanitize(c.Value)
		f.order = append(f.order, i)
	}
	value := func(i int) float64 { return set.Classes[i].Value / set.Classes[i].Cost }
	slices.SortStableFunc(f.order, func(i, j int) int { return cmp.Compare(value(j), value(i)) })
	return f, nil
}

// sane is v, or 0 for what no honest counter says.
func sanitize(v float64) float64 {
	if !(v > 0) || math.IsInf(v, 0) {
		return 0
	}
	return v
}

// View takes who is there as membership sees it, and how many the last agreed roster has. What was heard of
// another life of a member is forgotten. This member's own incarnation is taken from it as well.
func (f *Fleet) SetMembers(now Time, roster int, members []Member) {
	f.advance(now)
	f.rosterSize, f.leftCount, f.unreachableCount, f.unreachableHash = max(roster, 1), 0, 0, 0
	previous := f.peersByHash
	f.peersByHash, f.peers = make(map[uint64]*peer, len(members)), f.peers[:0:0]
	for _, m := range members {
		if m.Name == f.self.Name {
			f.self.Incarnation = max(f.self.Incarnation, m.Incarnation)
			continue
		}
		hash := xxhash.Sum64String(m.Name)
		if f.peersByHash[hash] != nil {
			continue
		}
		switch m.State {
		case Left:
			f.leftCount++
			continue
		case Unreachable:
			f.unreachableCount++
			f.unreachableHash ^= hash
			continue
		}
		e := previous[hash]
		if e == nil || e.Incarnation != m.Incarnation {
			e = &peer{hash: hash}
		}
		e.Member = m
		f.peersByHash[hash] = e
		f.peers = append(f.peers, e)
	}
	slices.SortFunc(f.peers, func(x, y *peer) int { return cmp.Compare(x.hash, y.hash) })
	f.heardPeers, f.weights = nil, nil
	f.weighPeers(now)
}

// Take takes a digest of another member. One that is damaged, doubled, older than the last, of another life
// or out of all proportion is counted and changes nothing. A late one counts for its age: each carries its
// sender's own time, so that what it took beyond the quickest is known.
func (f *Fleet) ReceiveDigest(now Time, b []byte) error {
	d, err := ParseDigest(b)
	if err == nil && d.Classes != len(f.settings.Classes) {
		err = fmt.Errorf("digest: %d classes where there are %d: %w", d.Classes, len(f.settings.Classes), ErrMalformed)
	}
	if err != nil {
		f.dropped.Malformed++
		return err
	}
	sender := f.peersByHash[d.Sender]
	if sender == nil || d.Incarnation != sender.Incarnation {
		f.dropped.Unknown++
		return fmt.Errorf("digest: sender %x: %w", d.Sender, ErrUnknownMember)
	}
	if sender.digest != nil && d.Sequence <= sender.digest.Sequence {
		f.dropped.Stale++
		return fmt.Errorf("digest: %s: %w", sender.Name, ErrStaleDigest)
	}
	if f.isOutlier(d) {
		f.dropped.Outlier++
		return fmt.Errorf("digest: %s: %w", sender.Name, ErrOutlier)
	}
	offset := now - Time(d.Sequence)*sequenceUnit
	if sender.digest == nil {
		sender.minClockOffset = offset
	} else {
		sender.minClockOffset = min(offset, sender.minClockOffset+Time(maxClockDrift*float64(now-sender.receivedAt)))
	}
	sender.digest, sender.receivedAt, sender.delay = d, now, offset-sender.minClockOffset
	for _, hash := range d.Recovered {
		f.recordRecovery(now, hash, false)
	}
	return nil
}

// absurd tells whether d says a hundred times what the others do. Below three there is no telling.
func (f *Fleet) isOutlier(d *Digest) bool {
	if len(f.heardPeers) < minPeersHeard {
		return false
	}
	median := f.medianOf(func(v *Vector, _ *Digest) float64 { return v.totalFirstAttempts() })
	return median > 0 && d.Own.totalFirstAttempts() > outlierMedianRatio*median
}

func (v *Vector) totalFirstAttempts() (sum float64) {
	for _, first := range v.FirstAttempts {
		sum += first
	}
	return sum
}

// Own takes this member's own counters since they were last told. Rates follow them within a second or two.
func (f *Fleet) AddCounters(now Time, c Counters) {
	elapsed := now - f.countedAt
	if elapsed <= 0 {
		return
	}
	f.countedAt = now
	f.reportCount++
	weight, seconds := 1-math.Exp(-float64(elapsed)/float64(smoothingTime)), elapsed.Seconds()
	if f.ownRates == (Vector{}) {
		weight = 1
	}
	follow := func(mean *float64, count float64) { *mean += weight * (sanitize(count)/seconds - *mean) }
	countOf := func(counts []float64, i int) float64 {
		if i < len(counts) {
			return sanitize(counts[i])
		}
		return 0
	}
	servedCost, refusedCost := 0.0, 0.0
	for i, class := range f.settings.Classes {
		follow(&f.ownRates.FirstAttempts[i], countOf(c.FirstAttempts, i))
		follow(&f.ownDetail.Served[i], countOf(c.Served, i))
		follow(&f.ownDetail.Refused[i], countOf(c.Refused, i))
		servedCost += countOf(c.Served, i) * class.Cost
		refusedCost += countOf(c.Refused, i) * class.Cost
	}
	latencyRatio := 0.0
	if c.LatencySamples > 0 {
		latencyRatio = min(4, sanitize(c.LatencyRatioSum)/c.LatencySamples)
	}
	follow(&f.ownRates.ServedCost, servedCost)
	follow(&f.ownRates.WeightedLatency, servedCost*latencyRatio)
	follow(&f.ownRates.RefusedCost, refusedCost)
	// Few make more than one in some seconds: over less time a single one would look like far too many.
	f.ownRates.Retries += (1 - math.Exp(-float64(elapsed)/float64(retrySmoothingTime))) * (sanitize(c.Retries)/seconds - f.ownRates.Retries)
	follow(&f.ownDetail.Probes, c.Probes)
	f.ownDetail.SlowStart, f.ownDetail.InFlight = sanitize(c.SlowStart), sanitize(c.InFlight)
	f.retryLimiter.recordRate(now, countOf, c.FirstAttempts, seconds)
	f.advance(now)
}

// Digest is this member's next digest, to be sent to some others now.
func (f *Fleet) NextDigest(now Time) []byte {
	f.advance(now)
	f.sequence = max(f.sequence+1, uint32(min(math.MaxUint32, (now-f.started)/sequenceUnit)))
	d := f.ownDetail
	d.Compact, d.Classes = f.settings.CompactDigests, len(f.settings.Classes)
	d.Sender, d.Incarnation, d.Sequence = f.self.hash, f.self.Incarnation, f.sequence
	d.Episode, d.UnreachableHash = f.episode, f.unreachableHash
	d.Own, d.PeerMean = f.ownRates, f.peerMean
	d.Own.LimitShare, d.Own.AdmittedFraction = f.limitShare, f.admittedFraction
	for _, b := range f.recovered {
		if b.probedLocally && len(d.Recovered) < d.recoveredCapacity() {
			d.Recovered = append(d.Recovered, b.hash)
		}
	}
	return d.Append(nil)
}

// Heard is how many others are heard now, and Dropped what was not taken.
func (f *Fleet) PeersHeard() int     { return len(f.heardPeers) }
func (f *Fleet) Dropped() DropCounts { return f.dropped }
