// Package overload lets many balancers respond to an overload in a coordinated way. Its inputs are the
// digests that members send one another and this member's own counters, each with its time of arrival. Its
// outputs are this member's controls: its share of the concurrency limit, the fraction of each class to shed,
// its fraction of the retry budget, and which half-open probes it makes. It does no I/O, has no clock and
// starts no goroutines; the same events give the same controls.
//
// A member that hears no peers uses the controls of a standalone one (Standalone) and returns to them
// gradually.
//
// Fleet-wide sums, where each member hears only a few peers, are estimated in two layers: a digest carries
// its sender's own vector and the mean of the vectors that the sender heard, so the mean over the latter
// covers some tens of members. Push-sum (Kempe, Dobra, Gehrke, FOCS 2003) comes closer to the sum for the
// same number of messages, but it loses mass with a lost message, duplicates it with a duplicated one, and
// lets one member invent any amount. A layer is a mean over senders: each counts once, clipped to a few times
// their median.
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

// Tuning constants. Rates are per second. A limit share is counted in N-ths: 1 is an equal share of the
// concurrency limit among the N members of the roster. A latency ratio is latency over its target.
const (
	// Bounds on what one member reports, as multiples of the median or as fractions.
	maxMedianRatio     = 4.0   // medians that one member counts for in sums: bounds faulty, admits busy ones
	outlierMedianRatio = 100.0 // a digest with more traffic than this many medians is dropped
	minServedRatio     = 0.5   // a member is assumed to serve at least this fraction of the median ratio
	maxReportedRatio   = 2     // caps means at this multiple of what reporterFraction of the members report
	reporterFraction   = 0.2   // of the members must report overload, so that a few can't make one up

	// Estimates over the fleet.
	minPeersHeard      = 3   // peers to be heard for full confidence, if the fleet has as many
	changeFactor       = 2.2 // a first layer that differs by this factor is a change, not sampling noise
	secondLayerSeconds = 2.0 // averaging time of the second layer's means, in seconds

	// Times and clocks.
	smoothingTime      = 600 * time.Millisecond // time constant of the mean rates
	retrySmoothingTime = 10 * time.Second       // time constant of the mean rate of retries
	minStep            = 100 * time.Millisecond // shortest interval between two updates
	sequenceUnit       = 10 * time.Millisecond  // of the sender's clock, as carried in a digest
	maxClockDrift      = 1e-3                   // between clocks; old transit times fade at this rate

	// Share of the concurrency limit, in N-ths where no fraction is named.
	maxFreedFraction    = 0.1  // of the limit, freed by unreachable members: bounds a partition's excess
	evenShareFraction   = 0.1  // of the limit, split evenly: a quiet member can serve its first requests
	maxLimitShare       = 16.0 // of one member
	minReports          = 3    // reports of counters before the share follows them
	overcommitThreshold = 1.05 // mean share from which members shrink; less is noise in which peers are heard
	limitShareRise      = 0.1  // per second; the share falls at once

	// Shedding.
	shedRise         = 1.0 // of a class's shed fraction, per second
	shedFall         = 0.5 // per second; bounds how fast all members together admit more
	saturatedLatency = 1.2 // latency ratio from which the fleet is saturated
	// Refused fraction from which the fleet is saturated as well: limits that refuse work keep latency low,
	// so that the latency ratio alone doesn't show it.
	saturatedRefusals = 0.015
	spareLatency      = 0.75 // latency ratio below which there is spare capacity, the lower the more
	// Latency ratio below which there are no queues: no episode begins, and each member ends its own without
	// following the others.
	uncongestedLatency = 0.6
	probeFactor        = 1.0 // multiple of the served work that is admitted while saturated
	admittedStep       = 0.6 // per second, of the difference to the served fraction
	// Per second, times the square of the spare latency ratio: fast without queues.
	admittedGrowth         = 2.5
	demandJump             = 2.0 // factor between offered work that changes the admitted fraction at once
	admittedLatencyPenalty = 0.3 // for each unit of latency ratio above saturatedLatency
	// Of the episode's peak of served work. Without it slow backends alone would make the fleet shed
	// everything.
	minServedFraction = 0.7
	minServedDecay    = 0.02 // per second, of that peak
	peerAdmittedStep  = 1.0  // per second, of the difference to the peers' admitted fraction
	demandStep        = 0.3  // per second, of the difference to the offered work
	// Refused fraction that begins an episode; a burst or two stays below it.
	episodeRefusals    = 0.06
	minEpisodeInterval = 10 * time.Second // between the beginnings of two numbered episodes

	// Retries.
	maxRetryMedianRatio    = 1.25 // caps the mean retry ratio, in medians: each member keeps a budget anyway
	minRetryFraction       = 0.4  // of the own retries, whatever peers report: the own budget still holds
	lowRetryBudgetFraction = 0.5  // of a budget below 1/s: two slots of a member can meet in one second

	// Backends that were found to have recovered, and unreachable members.
	recoveryLifetime = 5 * time.Second // a recovery is announced for so long
	recoverySpread   = 2 * time.Second // members probe a recovered backend spread over this time
	// A majority must agree for so long to free unreachable members' shares.
	unreachableHold = 5 * time.Second
)

// Class describes a class of requests. All members must have the same classes to shed the same requests.
type Class struct {
	Value float64 // of a response
	Cost  float64 // work of one request, in any unit; 0 counts as 1
}

// Settings configures a member. A zero RetryBudget or duration takes the default that its comment names.
type Settings struct {
	Classes         []Class
	UniformShedding bool          // shed the same fraction of every class, whatever its value
	RetryBudget     float64       // retries per first attempt; 0: 0.1
	CompactDigests  bool          // send digests of 64 bytes, for up to four classes
	FreshAge        time.Duration // a digest has full weight up to this age; 0: 1 s
	ExpiryAge       time.Duration // and none from this age on; 0: 4 s
	FallbackTime    time.Duration // confidence falls from 1 to 0 over this time without peers; 0: 5 s
}

// State is a member's state as reported by membership.
type State int

// The states of a member.
const (
	Alive       State = iota
	Unreachable       // found dead, or not observed
	Left              // it announced that it leaves
)

// Member describes a member as membership reports it.
type Member struct {
	Name        string
	Zone        string
	Incarnation uint64
	State       State
}

// Counters holds what the caller counted, for this member alone, since its previous report.
// The slices are by class: FirstAttempts before shedding, Refused by this member's own concurrency limit.
type Counters struct {
	FirstAttempts, Served, Refused []float64
	LatencyRatioSum                float64 // over responses and timeouts: latency by its target, 4 at most
	LatencySamples                 float64 // number of responses and timeouts in LatencyRatioSum
	Retries, Probes                float64
	SlowStart, InFlight            float64 // current: fractions of backends in slow start; requests in flight
}

// Errors of ReceiveDigest. A call that returns one has changed no control.
var (
	ErrUnknownMember = errors.New("sender is not a member, or has another incarnation")
	ErrStaleDigest   = errors.New("not newer than the sender's last digest")
	ErrOutlier       = errors.New("traffic is an outlier among the members")
)

// DropCounts counts the dropped digests by reason.
type DropCounts struct{ Malformed, Unknown, Stale, Outlier int }

// peer is another member and the last digest from it.
type peer struct {
	Member
	hash           uint64
	digest         *Digest // last accepted; nil: none from this incarnation
	receivedAt     Time
	minClockOffset Time // lowest observed arrival time minus the sender's own time
	delay          Time // transit time of the last digest beyond minClockOffset
}

// Fleet is one member's view of the fleet. It is not safe for concurrent use.
type Fleet struct {
	settings         Settings
	order            []int // indexes of classes, by value per cost, highest first
	self             peer
	peers            []*peer // sorted by hash
	peersByHash      map[uint64]*peer
	rosterSize       int
	leftCount        int
	unreachableCount int
	unreachableHash  uint64
	dropped          DropCounts
	started          Time

	ownRates         Vector
	ownDetail        Digest // fields that only the long form carries
	countedAt        Time   // time of the last report of counters
	reportCount      int    // number of reports
	sequence         uint32
	heardPeers       []*peer // with a weight above 0, as of the last advance
	weights          []float64
	fleetMean        Vector  // fleet-wide, per member
	peerMean         Vector  // of the heard peers; sent in the digest
	latencyRatio     float64 // 1: latency is at its target
	refusedFraction  float64 // of the offered work, by concurrency limits
	retryRatio       float64 // retries per first attempt
	lastAdvance      Time
	confidence       float64 // in the peers' reports, 0 to 1
	limitShare       float64 // own share of the concurrency limit, in N-ths
	excessRetained   float64 // of the share above one N-th; falls while members hold more than the whole
	retryFraction    float64
	shedFraction     [MaxClasses]float64
	admittedFraction float64 // of the offered work that the fleet can serve; 1: no episode
	demand           float64 // offered work per member that admittedFraction refers to
	minServed        float64 // lower bound of the served work in this episode
	episode          uint8
	episodeStart     Time
	agreedSince      Time // since when a majority agrees on the unreachable members; -1: it does not
	recovered        []recoveredBackend
	retryLimiter     retryLimiter
}

// recoveredBackend is a backend whose half-open probe succeeded, at this member or at another.
type recoveredBackend struct {
	hash          uint16
	reportedAt    Time
	probedLocally bool
	probeDelay    Time // after reportedAt, before this member probes the backend
}

// New returns the state of the member self. It acts as standalone until it knows the members and hears
// digests.
func New(now Time, settings Settings, self Member) (*Fleet, error) {
	maxClasses := MaxClasses
	if settings.CompactDigests {
		maxClasses = MaxCompactClasses
	}
	if n := len(settings.Classes); n < 1 || n > maxClasses {
		return nil, fmt.Errorf("overload: %d classes configured; a digest holds 1 to %d", n, maxClasses)
	}
	settings.Classes = slices.Clone(settings.Classes)
	settings.RetryBudget = cmp.Or(settings.RetryBudget, 0.1)
	settings.FreshAge = cmp.Or(settings.FreshAge, time.Second)
	settings.ExpiryAge = cmp.Or(settings.ExpiryAge, 4*time.Second)
	settings.FallbackTime = cmp.Or(settings.FallbackTime, 5*time.Second)
	if settings.FreshAge >= settings.ExpiryAge {
		return nil, fmt.Errorf("overload: FreshAge %v must be less than ExpiryAge %v",
			settings.FreshAge, settings.ExpiryAge)
	}
	f := &Fleet{
		settings: settings, peersByHash: map[uint64]*peer{}, rosterSize: 1,
		limitShare: 1, excessRetained: 1, retryFraction: 1, admittedFraction: 1, agreedSince: -1,
		started: now, countedAt: now, lastAdvance: now,
		self: peer{Member: self, hash: xxhash.Sum64String(self.Name)}}
	for i := range settings.Classes {
		c := &settings.Classes[i]
		c.Cost, c.Value = cmp.Or(sanitize(c.Cost), 1), sanitize(c.Value)
		f.order = append(f.order, i)
	}
	value := func(i int) float64 { return settings.Classes[i].Value / settings.Classes[i].Cost }
	slices.SortStableFunc(f.order, func(i, j int) int { return cmp.Compare(value(j), value(i)) })
	return f, nil
}

// sanitize returns v, or 0 for a value that no correct counter has: negative, infinite or not a number.
func sanitize(v float64) float64 {
	if !(v > 0) || math.IsInf(v, 0) {
		return 0
	}
	return v
}

// SetMembers sets the members as membership reports them, and the size of the last agreed roster. It forgets
// what other incarnations of a member reported. It takes this member's own incarnation from the list, too.
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
		p := previous[hash]
		if p == nil || p.Incarnation != m.Incarnation {
			p = &peer{hash: hash}
		}
		p.Member = m
		f.peersByHash[hash] = p
		f.peers = append(f.peers, p)
	}
	slices.SortFunc(f.peers, func(x, y *peer) int { return cmp.Compare(x.hash, y.hash) })
	f.heardPeers, f.weights = nil, nil
	f.weighPeers(now)
}

// ReceiveDigest processes a digest of another member. A digest that is malformed, duplicated, older than the
// last one, from another incarnation or an outlier is counted and changes nothing. A delayed digest is
// weighted by its age: it carries its sender's own time, which gives its transit time beyond the fastest one.
func (f *Fleet) ReceiveDigest(now Time, b []byte) error {
	d, err := ParseDigest(b)
	if err == nil && d.Classes != len(f.settings.Classes) {
		err = fmt.Errorf("digest: %d classes, but %d are configured: %w",
			d.Classes, len(f.settings.Classes), ErrMalformed)
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
		sender.minClockOffset = min(offset,
			sender.minClockOffset+Time(maxClockDrift*float64(now-sender.receivedAt)))
	}
	sender.digest, sender.receivedAt, sender.delay = d, now, offset-sender.minClockOffset
	for _, hash := range d.Recovered {
		f.recordRecovery(now, hash, false)
	}
	return nil
}

// isOutlier reports whether d has a hundred times the traffic of the other members. Fewer than three peers
// are too few to judge by.
func (f *Fleet) isOutlier(d *Digest) bool {
	if len(f.heardPeers) < minPeersHeard {
		return false
	}
	median := f.medianOf(func(v *Vector, _ *Digest) float64 { return v.totalFirstAttempts() })
	return median > 0 && d.Own.totalFirstAttempts() > outlierMedianRatio*median
}

func (v *Vector) totalFirstAttempts() (sum float64) {
	for _, rate := range v.FirstAttempts {
		sum += rate
	}
	return sum
}

// AddCounters updates the rates with this member's own counters since its previous report. The rates follow
// the counters within a second or two.
func (f *Fleet) AddCounters(now Time, counters Counters) {
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
	updateMean := func(mean *float64, count float64) { *mean += weight * (sanitize(count)/seconds - *mean) }
	countOf := func(counts []float64, i int) float64 {
		if i < len(counts) {
			return sanitize(counts[i])
		}
		return 0
	}
	servedCost, refusedCost := 0.0, 0.0
	for i, class := range f.settings.Classes {
		updateMean(&f.ownRates.FirstAttempts[i], countOf(counters.FirstAttempts, i))
		updateMean(&f.ownDetail.Served[i], countOf(counters.Served, i))
		updateMean(&f.ownDetail.Refused[i], countOf(counters.Refused, i))
		servedCost += countOf(counters.Served, i) * class.Cost
		refusedCost += countOf(counters.Refused, i) * class.Cost
	}
	latencyRatio := 0.0
	if counters.LatencySamples > 0 {
		latencyRatio = min(4, sanitize(counters.LatencyRatioSum)/counters.LatencySamples)
	}
	updateMean(&f.ownRates.ServedCost, servedCost)
	updateMean(&f.ownRates.WeightedLatency, servedCost*latencyRatio)
	updateMean(&f.ownRates.RefusedCost, refusedCost)
	// A member makes few retries: over a shorter time a single one would look like far too many.
	f.ownRates.Retries += (1 - math.Exp(-float64(elapsed)/float64(retrySmoothingTime))) *
		(sanitize(counters.Retries)/seconds - f.ownRates.Retries)
	updateMean(&f.ownDetail.Probes, counters.Probes)
	f.ownDetail.SlowStart, f.ownDetail.InFlight = sanitize(counters.SlowStart), sanitize(counters.InFlight)
	f.retryLimiter.recordRate(now, countOf, counters.FirstAttempts, seconds)
	f.advance(now)
}

// NextDigest returns this member's next digest, to be sent to some peers now.
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

// PeersHeard returns the number of peers heard now.
func (f *Fleet) PeersHeard() int { return len(f.heardPeers) }

// Dropped returns the counts of dropped digests.
func (f *Fleet) Dropped() DropCounts { return f.dropped }
