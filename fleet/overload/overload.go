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
	sayMost      = 4.0   // medians that a member's say in a sum is held to: broken ones against busy ones
	sayAbsurd    = 100.0 // medians of traffic past which a digest is not taken at all
	workLeast    = 0.5   // of the median share of its traffic that a member is taken to serve
	tellMost     = 2     // of what a fifth of the members tell or more: a few can't make an overload up
	tellers      = 0.2
	quorum       = 3   // members to be heard for whole trust, where there are as many
	changed      = 2.2 // by which a first layer must differ to be taken for a change, not for chance
	meanOver     = 2.0 // seconds that the means of the second layer go over
	freedMost    = 0.1 // of the whole that the dead may leave to the others; the slack of a partition
	smoothing    = 600 * time.Millisecond
	repeatsOver  = 10 * time.Second
	tick         = 100 * time.Millisecond
	sequenceIs   = 10 * time.Millisecond
	driftMost    = 1e-3 // by which clocks may differ: older, lateness reckoned by them fades
	partEven     = 0.1  // of the limit that goes by heads: a quiet member's first calls find some
	shareMost    = 16.0 // N-ths that a member holds at most
	partYoung    = 3    // times that counters are told before the part goes by them
	partOver     = 1.05 // N-ths held in the mean from which members give: less is chance in whom they hear
	partRise     = 0.1  // of an N-th, a second; it falls at once
	cutRise      = 1.0
	cutFall      = 0.5   // bounds what all open up a second
	strainFull   = 1.2   // from there the fleet bears no more
	turnedFull   = 0.015 // or from there: limits that turn work away hold their strain themselves
	strainFree   = 0.75  // below it there is room, the more the further below
	strainRest   = 0.6   // below it there is no queue to speak of: no spell begins, and it ends as each sees fit
	probe        = 1.0   // times what is served, that the level is held to while it is full
	levelStep    = 0.6   // a second, of the way to what is served
	levelGrowth  = 2.5   // a second, by the square of the strain below that: fast once there is no queue
	jump         = 2.0   // by which what is offered must change for the level to change at once
	levelFall    = 0.3   // for each unit of strain over the full one
	levelLeast   = 0.7   // of the most served in the spell: else slow backends alone would shut all out
	levelFade    = 0.02  // a second, of that most
	levelShare   = 1.0   // a second, of the way to the others' level
	baseStep     = 0.3   // a second, at which the offered that a level is for follows
	turnedBegin  = 0.06  // for a spell to begin: not for a burst or two
	spellLeast   = 10 * time.Second
	repeatsMost  = 1.25 // medians that the mean of repeats counts for: each keeps its own budget anyway
	repeatsLeast = 0.4  // of them that no word of others takes: the own budget holds without
	repeatsFew   = 0.5  // of the budget, where it is under one a second: two own seconds meet in one
	backFor      = 5 * time.Second
	backSpread   = 2 * time.Second
	goneHold     = 5 * time.Second
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

type entry struct {
	Member
	hash   uint64
	digest *Digest // last taken; nil: none of this life
	at     Time
	offset Time // least seen of arrival less the sender's own time
	late   Time // by which the last one was later than that
}

// Fleet is one member's knowledge of the others. It is not safe for concurrent use.
type Fleet struct {
	set     Settings
	order   []int // classes, worthiest for their work first
	me      entry
	others  []*entry // in order of their hashes
	by      map[uint64]*entry
	roster  int
	left    int
	gone    int
	goneSum uint64
	dropped DropCounts
	started Time

	own       Vector
	detail    Digest // the parts of the long form
	owned     Time   // when own counters were last told
	told      int    // how often
	sequence  uint32
	heard     []*entry // of weight, as of the last advance
	weights   []float64
	means     Vector  // of the fleet, for each member
	layer     Vector  // of those heard, handed on
	strain    float64 // 1 at the target
	turned    float64 // share of the work offered that limits turn away
	repeating float64 // repeats to a first try
	last      Time
	trust     float64
	part      float64
	kept      float64 // of the part over an N-th: less while more is held than there is
	repeats   float64
	cut       [MaxClasses]float64
	level     float64 // share of the work offered that the fleet bears; 1: no spell
	base      float64 // work offered, by N, that the level is for
	least     float64 // that the level is held over in this spell
	spell     uint8
	spellFrom Time
	agreed    Time // since when a majority sees the same gone; -1: it does not
	backs     []found
	spending  spending
}

// found is a backend whose trial served, here or at another.
type found struct {
	hash  uint16
	at    Time
	here  bool
	phase Time
}

// New returns the member me, alone until it has a View and hears others.
func New(now Time, set Settings, me Member) (*Fleet, error) {
	most := MaxClasses
	if set.CompactDigests {
		most = MaxCompactClasses
	}
	if n := len(set.Classes); n < 1 || n > most {
		return nil, fmt.Errorf("overload: %d classes: 1 to %d can be told", n, most)
	}
	set.Classes = slices.Clone(set.Classes)
	set.RetryBudget = cmp.Or(set.RetryBudget, 0.1)
	set.FreshAge = cmp.Or(set.FreshAge, time.Second)
	set.ExpiryAge = cmp.Or(set.ExpiryAge, 4*time.Second)
	set.FallbackTime = cmp.Or(set.FallbackTime, 5*time.Second)
	if set.FreshAge >= set.ExpiryAge {
		return nil, fmt.Errorf("overload: fresh %v is not under timeout %v", set.FreshAge, set.ExpiryAge)
	}
	f := &Fleet{set: set, by: map[uint64]*entry{}, roster: 1, part: 1, kept: 1, repeats: 1, level: 1, agreed: -1,
		started: now, owned: now, last: now, me: entry{Member: me, hash: xxhash.Sum64String(me.Name)}}
	for i := range set.Classes {
		c := &set.Classes[i]
		c.Cost, c.Value = cmp.Or(sane(c.Cost), 1), sane(c.Value)
		f.order = append(f.order, i)
	}
	value := func(i int) float64 { return set.Classes[i].Value / set.Classes[i].Cost }
	slices.SortStableFunc(f.order, func(i, j int) int { return cmp.Compare(value(j), value(i)) })
	return f, nil
}

// sane is v, or 0 for what no honest counter says.
func sane(v float64) float64 {
	if !(v > 0) || math.IsInf(v, 0) {
		return 0
	}
	return v
}

// View takes who is there as membership sees it, and how many the last agreed roster has. What was heard of
// another life of a member is forgotten. This member's own incarnation is taken from it as well.
func (f *Fleet) SetMembers(now Time, roster int, members []Member) {
	f.advance(now)
	f.roster, f.left, f.gone, f.goneSum = max(roster, 1), 0, 0, 0
	before := f.by
	f.by, f.others = make(map[uint64]*entry, len(members)), f.others[:0:0]
	for _, m := range members {
		if m.Name == f.me.Name {
			f.me.Incarnation = max(f.me.Incarnation, m.Incarnation)
			continue
		}
		hash := xxhash.Sum64String(m.Name)
		if f.by[hash] != nil {
			continue
		}
		switch m.State {
		case Left:
			f.left++
			continue
		case Unreachable:
			f.gone++
			f.goneSum ^= hash
			continue
		}
		e := before[hash]
		if e == nil || e.Incarnation != m.Incarnation {
			e = &entry{hash: hash}
		}
		e.Member = m
		f.by[hash] = e
		f.others = append(f.others, e)
	}
	slices.SortFunc(f.others, func(x, y *entry) int { return cmp.Compare(x.hash, y.hash) })
	f.heard, f.weights = nil, nil
	f.weigh(now)
}

// Take takes a digest of another member. One that is damaged, doubled, older than the last, of another life
// or out of all proportion is counted and changes nothing. A late one counts for its age: each carries its
// sender's own time, so that what it took beyond the quickest is known.
func (f *Fleet) ReceiveDigest(now Time, b []byte) error {
	d, err := ParseDigest(b)
	if err == nil && d.Classes != len(f.set.Classes) {
		err = fmt.Errorf("digest: %d classes where there are %d: %w", d.Classes, len(f.set.Classes), ErrMalformed)
	}
	if err != nil {
		f.dropped.Malformed++
		return err
	}
	e := f.by[d.Sender]
	if e == nil || d.Incarnation != e.Incarnation {
		f.dropped.Unknown++
		return fmt.Errorf("digest: sender %x: %w", d.Sender, ErrUnknownMember)
	}
	if e.digest != nil && d.Sequence <= e.digest.Sequence {
		f.dropped.Stale++
		return fmt.Errorf("digest: %s: %w", e.Name, ErrStaleDigest)
	}
	if f.absurd(d) {
		f.dropped.Outlier++
		return fmt.Errorf("digest: %s: %w", e.Name, ErrOutlier)
	}
	offset := now - Time(d.Sequence)*sequenceIs
	if e.digest == nil {
		e.offset = offset
	} else {
		e.offset = min(offset, e.offset+Time(driftMost*float64(now-e.at)))
	}
	e.digest, e.at, e.late = d, now, offset-e.offset
	for _, hash := range d.Recovered {
		f.back(now, hash, false)
	}
	return nil
}

// absurd tells whether d says a hundred times what the others do. Below three there is no telling.
func (f *Fleet) absurd(d *Digest) bool {
	if len(f.heard) < quorum {
		return false
	}
	median := f.median(func(v *Vector, _ *Digest) float64 { return v.total() })
	return median > 0 && d.Own.total() > sayAbsurd*median
}

func (v *Vector) total() (sum float64) {
	for _, first := range v.FirstAttempts {
		sum += first
	}
	return sum
}

// Own takes this member's own counters since they were last told. Rates follow them within a second or two.
func (f *Fleet) AddCounters(now Time, c Counters) {
	dt := now - f.owned
	if dt <= 0 {
		return
	}
	f.owned = now
	f.told++
	weight, seconds := 1-math.Exp(-float64(dt)/float64(smoothing)), dt.Seconds()
	if f.own == (Vector{}) {
		weight = 1
	}
	follow := func(mean *float64, count float64) { *mean += weight * (sane(count)/seconds - *mean) }
	at := func(counts []float64, i int) float64 {
		if i < len(counts) {
			return sane(counts[i])
		}
		return 0
	}
	work, turned := 0.0, 0.0
	for i, class := range f.set.Classes {
		follow(&f.own.FirstAttempts[i], at(c.FirstAttempts, i))
		follow(&f.detail.Served[i], at(c.Served, i))
		follow(&f.detail.Refused[i], at(c.Refused, i))
		work += at(c.Served, i) * class.Cost
		turned += at(c.Refused, i) * class.Cost
	}
	strain := 0.0
	if c.LatencySamples > 0 {
		strain = min(4, sane(c.LatencyRatioSum)/c.LatencySamples)
	}
	follow(&f.own.ServedCost, work)
	follow(&f.own.WeightedLatency, work*strain)
	follow(&f.own.RefusedCost, turned)
	// Few make more than one in some seconds: over less time a single one would look like far too many.
	f.own.Retries += (1 - math.Exp(-float64(dt)/float64(repeatsOver))) * (sane(c.Retries)/seconds - f.own.Retries)
	follow(&f.detail.Probes, c.Probes)
	f.detail.SlowStart, f.detail.InFlight = sane(c.SlowStart), sane(c.InFlight)
	f.spending.seen(now, at, c.FirstAttempts, seconds)
	f.advance(now)
}

// Digest is this member's next digest, to be sent to some others now.
func (f *Fleet) NextDigest(now Time) []byte {
	f.advance(now)
	f.sequence = max(f.sequence+1, uint32(min(math.MaxUint32, (now-f.started)/sequenceIs)))
	d := f.detail
	d.Compact, d.Classes = f.set.CompactDigests, len(f.set.Classes)
	d.Sender, d.Incarnation, d.Sequence = f.me.hash, f.me.Incarnation, f.sequence
	d.Episode, d.UnreachableHash = f.spell, f.goneSum
	d.Own, d.PeerMean = f.own, f.layer
	d.Own.LimitShare, d.Own.AdmittedFraction = f.part, f.level
	for _, b := range f.backs {
		if b.here && len(d.Recovered) < d.backs() {
			d.Recovered = append(d.Recovered, b.hash)
		}
	}
	return d.Append(nil)
}

// Heard is how many others are heard now, and Dropped what was not taken.
func (f *Fleet) PeersHeard() int     { return len(f.heard) }
func (f *Fleet) Dropped() DropCounts { return f.dropped }
