package track

import (
	"cmp"
	"errors"
	"fmt"
	"math/bits"
	"slices"
	"time"
)

const allRanges = ^uint64(0)

// peer is another member of the roster or of the one before, or this one.
type peer struct {
	Member
	id uint64

	stamp   uint64 // its latest time stamp
	stampAt time.Duration
	echo    bool // stamp is set
	heard   time.Duration
	ever    bool // heard is set
	pinged  time.Duration
	buf     []byte
	say     bool // send a message even if it is empty, for its time stamp
	same    bool // the message being taken is of this member's epoch

	sums      [ranges]uint64 // of the live entries that both have, by range
	lines     uint64         // ranges that this pass of the sweep lists to it
	nextLines uint64
	turn      int
	back      bool // has been out of touch: compare all
	nextSync  time.Duration

	pull pull
}

// Table is one member's part of the fleet's table. It is not safe for use by
// several goroutines.
type Table struct {
	set  Settings
	id   uint64 // of this member
	inc  uint32
	now  time.Duration
	seen bool // UpdateRoster was called

	epoch  uint64
	viewed time.Duration
	seats  []seat  // who places, by id
	peers  []*peer // of the seats in their order, then those who have left
	byID   map[uint64]*peer
	me     int // own seat, or -1
	learn  learning
	clock  uint64 // logical; the last generation given or heard of

	slabs  [][]entry
	size   int // slots in use or on the free list
	free   []uint32
	index  map[Key]uint32
	live   int
	tombs  int
	places places
	under  map[Key]tomb             // tombstones below a Noted entry
	left   map[uint32]time.Duration // since when this replica has agreed to an end
	props  map[uint32]*proposal
	passAt time.Duration
	cursor int
	ending time.Duration // least time until a keyed entry ends, found by the sweep
	nextEn time.Duration

	asks    map[Key]*ask
	asking  []*ask
	calls   map[Key]*call
	list    []*call // all calls
	busy    []*call // those with acknowledgements missing
	listAt  time.Duration
	refused refusedList
	ticket  uint64

	outs    []OutMessage
	answers []Answer
	scratch []byte
	stats   Stats

	// Derived from the settings; fields so that tests can plant errors.
	tombKeep time.Duration
	maxAge   time.Duration // of a message
	quorum   func(n int) int
	mayEvict func(*entry) bool
}

// NewTable makes an empty Table. It has no peers until UpdateRoster is called.
func NewTable(set Settings) (*Table, error) {
	setDefault(&set.Replicas, 3)
	setDefault(&set.MaxEntries, 1<<20)
	setDefault(&set.Lag, time.Second)
	setDefault(&set.AskWithin, 300*time.Millisecond)
	setDefault(&set.Sweep, time.Second)
	setDefault(&set.Sync, 5*time.Second)
	setDefault(&set.TouchEvery, 5*time.Second)
	setDefault(&set.Bound, 60*time.Second)
	setDefault(&set.Lease, 10*time.Second)
	setDefault(&set.MaxComeBack, 5*time.Second)
	if err := set.check(); err != nil {
		return nil, err
	}
	t := &Table{
		set: set, id: nameID(set.Self), me: -1,
		byID: map[uint64]*peer{}, index: map[Key]uint32{}, under: map[Key]tomb{},
		left: map[uint32]time.Duration{}, props: map[uint32]*proposal{},
		asks: map[Key]*ask{}, calls: map[Key]*call{},
		quorum: majority,
	}
	t.places.byName = map[string]uint32{}
	// A late message lives for Lag; a replica out of touch ends the same entry up
	// to Bound later than the others.
	t.tombKeep = set.Bound + 8*set.Lag + 2*set.Sweep
	t.maxAge = set.Lag
	t.mayEvict = func(e *entry) bool { return !set.Classes[e.class].Keyed }
	return t, nil
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

func (s *Settings) check() error {
	switch {
	case s.Self == "" || len(s.Self) > MaxName:
		return fmt.Errorf("track: settings: Self: %q is not 1 to %d bytes long", s.Self, MaxName)
	case s.Replicas < 1 || s.Replicas > maxReplicas:
		return fmt.Errorf("track: settings: Replicas: %d is not 1 to %d", s.Replicas, maxReplicas)
	case s.MaxEntries < 1 || s.MaxEntries > 1<<31:
		return fmt.Errorf("track: settings: MaxEntries: %d is not 1 to 2^31", s.MaxEntries)
	case len(s.Classes) == 0 || len(s.Classes) > 255:
		return fmt.Errorf("track: settings: Classes: %d is not 1 to 255", len(s.Classes))
	}
	for _, d := range []struct {
		name string
		d    time.Duration
	}{
		{"Lag", s.Lag}, {"AskWithin", s.AskWithin}, {"Sweep", s.Sweep}, {"Sync", s.Sync},
		{"TouchEvery", s.TouchEvery}, {"Bound", s.Bound}, {"Lease", s.Lease},
		{"MaxComeBack", s.MaxComeBack},
	} {
		if d.d <= 0 || d.d > 24*time.Hour {
			return fmt.Errorf("track: settings: %s: %v is not above 0 and at most 24h", d.name, d.d)
		}
	}
	if s.Sweep > s.Lag {
		return fmt.Errorf("track: settings: Sweep: %v is over Lag of %v", s.Sweep, s.Lag)
	}
	for i, c := range s.Classes {
		if c.Keyed && (c.MaxCallTime <= 0 || c.DedupWindow <= 0 || c.MaxCallTime+c.DedupWindow > 24*time.Hour) {
			return fmt.Errorf("track: settings: class %d: MaxCallTime %v, DedupWindow %v", i, c.MaxCallTime, c.DedupWindow)
		}
		if !c.Keyed && (c.ClosedRetention <= 0 || c.IdleTimeout < 2*s.TouchEvery || c.IdleTimeout+c.ClosedRetention > 24*time.Hour) {
			return fmt.Errorf("track: settings: class %d: IdleTimeout %v is under two TouchEvery of %v, "+
				"or ClosedRetention %v", i, c.IdleTimeout, s.TouchEvery, c.ClosedRetention)
		}
		// An entry must outlive every Open that its votes count in.
		if c.Keyed && c.DedupWindow < 2*s.AskWithin {
			return fmt.Errorf("track: settings: class %d: DedupWindow %v is under two AskWithin of %v",
				i, c.DedupWindow, s.AskWithin)
		}
	}
	return nil
}

// timeout is how long an entry lives after its last activity. Four Lags cover
// what idle is overestimated by on its way.
func (t *Table) timeout(class uint8, s State) time.Duration {
	c := &t.set.Classes[class]
	d := c.IdleTimeout
	switch {
	case c.Keyed && s == Closed:
		d = c.DedupWindow
	case c.Keyed:
		d = c.MaxCallTime + c.DedupWindow
	case s >= Closing:
		d = c.ClosedRetention
	}
	return d + 4*t.set.Lag
}

// longest is the longest time-out of a keyed entry.
func (t *Table) longest() (d time.Duration) {
	for i, c := range t.set.Classes {
		if c.Keyed {
			d = max(d, t.timeout(uint8(i), Open))
		}
	}
	return d
}

// ErrNotAMember says that the roster of UpdateRoster does not have this member's name.
var ErrNotAMember = errors.New("track: view: the roster does not have this member")

func (t *Table) at(now time.Duration) time.Duration {
	t.now = max(t.now, now)
	return t.now
}

// UpdateRoster takes the agreed roster and what this member sees of it. It has to be
// called at least once a Lease while the roster is known to hold: a replica that
// was not told for longer refuses to note calls. A roster of an older epoch than
// the last is an error and changes nothing.
func (t *Table) UpdateRoster(now time.Duration, r Roster) error {
	now = t.at(now)
	var own *Member
	seats := seatsOf(r.Members)
	if len(seats) != len(r.Members) || len(seats) >= int(none) {
		return fmt.Errorf("track: view: epoch %d: two members of one name, or too many", r.Epoch)
	}
	for i := range r.Members {
		m := &r.Members[i]
		if m.Name == "" || len(m.Name) > MaxName {
			return fmt.Errorf("track: view: epoch %d: member %d: bad name %q", r.Epoch, i, m.Name)
		}
		if m.Name == t.set.Self {
			own = m
		}
	}
	for i := range r.Previous {
		if own == nil && r.Previous[i].Name == t.set.Self {
			own = &r.Previous[i]
		}
	}
	switch {
	case own == nil:
		return ErrNotAMember
	case t.seen && r.Epoch < t.epoch:
		return fmt.Errorf("track: view: epoch %d comes after %d", r.Epoch, t.epoch)
	case t.seen && own.Incarnation < t.inc:
		return fmt.Errorf("track: view: own incarnation %d comes after %d", own.Incarnation, t.inc)
	}
	t.viewed = now
	first, reborn := !t.seen, t.seen && own.Incarnation > t.inc
	moved := first || r.Epoch != t.epoch
	wasWhole := !first && t.whole(now)
	step := !first && r.Epoch == t.epoch+1
	t.seen, t.epoch, t.inc = true, r.Epoch, own.Incarnation
	if reborn {
		t.reset(now)
	}
	for _, m := range r.Members {
		t.meet(now, m)
	}
	for _, m := range r.Previous {
		t.meet(now, m)
	}
	if moved {
		t.seat(now, seats, r)
		t.startLearning(now, r, first || step, wasWhole)
	}
	if reborn || first && t.inc > 1 {
		t.learn = learning{on: true, amnesia: true, since: now}
		t.forgetPulls()
	}
	return nil
}

// meet takes what a view says of one member.
func (t *Table) meet(now time.Duration, m Member) {
	id := nameID(m.Name)
	p := t.byID[id]
	if p == nil {
		p = &peer{Member: m, id: id, back: true, nextSync: now}
		t.byID[id] = p
	}
	if m.Incarnation > p.Incarnation {
		p.echo, p.ever, p.back = false, false, true
	}
	m.Incarnation = max(m.Incarnation, p.Incarnation)
	m.Zone = cmp.Or(m.Zone, p.Zone)
	p.Member = m
}

// seat makes the roster's members the ones who place, and finds each entry's
// replicas anew.
func (t *Table) seat(now time.Duration, seats []seat, r Roster) {
	for len(t.asking) > 0 {
		t.refuse(now, t.asking[0], NoQuorum, t.set.AskWithin)
	}
	t.seats, t.me = seats, -1
	t.peers = t.peers[:0]
	keep := map[uint64]*peer{}
	for i, s := range seats {
		if s.id == t.id {
			t.me = i
		}
		t.peers = append(t.peers, t.byID[s.id])
		keep[s.id] = t.byID[s.id]
	}
	for _, s := range seatsOf(r.Previous) {
		if keep[s.id] == nil {
			t.peers = append(t.peers, t.byID[s.id])
			keep[s.id] = t.byID[s.id]
		}
	}
	t.byID = keep
	for _, p := range t.peers {
		p.sums = [ranges]uint64{}
		p.lines, p.nextLines, p.back = 0, 0, true
	}
	clear(t.props)
	for i := range t.size {
		if e := t.slot(uint32(i)); e.state != free {
			place(seats, e.key, t.set.Replicas, &e.reps)
			t.toggle(e)
		}
	}
	for _, c := range slices.Clone(t.list) {
		c.n = place(seats, c.key, t.set.Replicas, &c.reps)
		t.tell(now, c)
	}
}

// reset forgets all that an earlier life held.
func (t *Table) reset(now time.Duration) {
	for len(t.asking) > 0 {
		t.refuse(now, t.asking[0], Recovering, t.set.AskWithin)
	}
	for len(t.list) > 0 {
		t.gone(t.list[0])
	}
	t.slabs, t.size, t.free, t.live, t.tombs, t.cursor = nil, 0, nil, 0, 0, 0
	clear(t.index)
	clear(t.under)
	clear(t.left)
	clear(t.props)
	t.places = places{byName: map[string]uint32{}}
	t.refused = refusedList{}
	for _, p := range t.peers {
		p.sums = [ranges]uint64{}
		p.echo, p.ever, p.back, p.buf = false, false, true, nil
	}
	t.outs = nil
}

// inTouch says that messages went both ways lately: a message is taken only
// with an echo.
func (t *Table) inTouch(p *peer) bool {
	return p.Alive && p.ever && t.now-p.heard <= 3*t.set.Sync
}

// Output returns the messages to be sent and the answers to be acted on since the
// last call. Messages carry the time of the last event: send them at once.
func (t *Table) Output() ([]OutMessage, []Answer) {
	for _, p := range t.peers {
		if len(p.buf) > 0 || p.say {
			t.flush(p)
		}
	}
	outs, answers := t.outs, t.answers
	t.outs, t.answers = nil, nil
	return outs, answers
}

// add puts a record into the next message to p.
func (t *Table) add(p *peer, rec []byte) {
	if len(p.buf)+len(rec) > MaxMessage-headerSize {
		t.flush(p)
	}
	p.buf = append(p.buf, rec...)
}

func (t *Table) flush(p *peer) {
	h := header{from: t.id, inc: t.inc, toInc: p.Incarnation, epoch: t.epoch,
		stamp: uint64(t.now), clock: t.clock}
	if p.echo {
		h.flags |= flagEcho
		h.echo, h.hold = p.stamp, uint64(t.now-p.stampAt)
	}
	if !p.echo {
		h.flags |= flagWant
	}
	msg := putHeader(make([]byte, 0, headerSize+len(p.buf)), &h)
	t.outs = append(t.outs, OutMessage{p.Name, append(msg, p.buf...)})
	p.buf, p.say = p.buf[:0], false
	t.stats.Sent++
}

// Receive handles a message from a peer.
func (t *Table) Receive(now time.Duration, from string, msg []byte) {
	now = t.at(now)
	p, r := t.open(now, from, msg)
	if p == nil {
		return
	}
	t.stats.Received++
	for len(r.b) > 0 && !r.bad {
		t.takeRecord(now, p, r)
	}
	if r.bad {
		t.stats.Malformed++
	}
}

// open checks a message's header. It returns nil for one to be dropped.
func (t *Table) open(now time.Duration, from string, msg []byte) (*peer, *reader) {
	r := &reader{b: msg}
	if len(msg) < headerSize || len(msg) > MaxMessage {
		t.stats.Malformed++
		return nil, nil
	}
	if r.u8() != version {
		t.stats.VersionMismatch++
		return nil, nil
	}
	h := r.header()
	p := t.byID[h.from]
	switch {
	case p == nil || p.Name != from || h.from == t.id || h.inc > p.Incarnation:
		t.stats.UnknownSender++
		return nil, nil
	case h.inc < p.Incarnation:
		t.stats.OldIncarnation++
		return nil, nil
	case h.toInc != t.inc:
		t.stats.WrongIncarnation++
		return nil, nil
	case h.clock >= 1<<62:
		t.stats.Malformed++
		return nil, nil
	}
	if !p.echo || h.stamp > p.stamp {
		p.stamp, p.stampAt, p.echo = h.stamp, now, true
	}
	age := now - time.Duration(h.echo) - time.Duration(h.hold)
	switch {
	case h.flags&flagEcho == 0, age > t.maxAge:
		t.stats.TooOld++
		t.ping(now, p)
		return nil, nil
	case h.echo > uint64(now), h.hold > uint64(now), age < -t.set.Lag/10:
		t.stats.BadTimestamp++
		t.ping(now, p)
		return nil, nil
	}
	t.clock = max(t.clock, h.clock)
	if !t.inTouch(p) {
		p.back = true
		p.nextSync = now
	}
	p.heard, p.ever = now, true
	if h.flags&flagWant != 0 {
		t.ping(now, p)
	}
	// Asks, votes and pulls speak of one epoch's replicas.
	p.same = h.epoch == t.epoch
	return p, r
}

// ping sends p a message, so that it has a fresh time stamp to echo.
func (t *Table) ping(now time.Duration, p *peer) {
	if p.pinged != 0 && now-p.pinged < t.set.Lag/8 {
		return
	}
	p.pinged = now
	p.say = true
}

// Tick lets time pass. Call it every few tens of milliseconds.
func (t *Table) Tick(now time.Duration) {
	now = t.at(now)
	if !t.seen {
		return
	}
	t.tickAsks(now)
	t.tickCalls(now)
	t.sweep(now)
	t.tickSync(now)
	t.tickLearning(now)
}

// Stats returns the counts so far.
func (t *Table) Stats() Stats {
	s := t.stats
	s.Entries, s.Tombstones = t.live, t.tombs
	return s
}

// CaughtUp reports that this replica knows all it has to, and that its view is fresh.
func (t *Table) CaughtUp() bool { return t.whole(t.now) && t.now-t.viewed <= t.set.Lease }

// CountOpen counts the tracked calls and flows that may run at a backend or scope, as
// far as this member knows: those it is a replica of and its own. Nothing is
// open there once it is 0 at all members.
func (t *Table) CountOpen(where string) int {
	n := 0
	if i, ok := t.places.byName[where]; ok {
		n = t.places.list[i].open
	}
	for _, c := range t.list {
		if _, held := t.index[c.key]; !held && c.where == where && c.state < Closed {
			n++
		}
	}
	return n
}

// Each calls f for each live entry held here, in no order that means anything,
// but the same for the same events.
func (t *Table) Each(f func(Info)) {
	for i := range t.size {
		e := t.slot(uint32(i))
		if e.state == free || e.state == ended {
			continue
		}
		f(Info{Key: e.key, Generation: e.id.gen, Class: int(e.class), State: e.state,
			Target: t.places.list[e.where].name, Idle: t.now - e.seen,
			Replica: t.rank(e) >= 0, owner: e.id.owner, inc: e.id.inc})
	}
}

func onesCount(m uint8) int { return bits.OnesCount8(m) }

func remove[T comparable](list []T, v T) []T {
	if i := slices.Index(list, v); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
