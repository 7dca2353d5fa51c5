package track

import (
	"cmp"
	"errors"
	"fmt"
	"math/bits"
	"slices"
	"time"
)

const allRangesMask = ^uint64(0)

// peer is a member of the current or the previous roster, this member included.
type peer struct {
	Member
	nameHash uint64

	lastStamp        uint64 // the latest timestamp received from it
	lastStampAt      time.Duration
	hasStamp         bool // lastStamp is set
	lastReceived     time.Duration
	hasReceived      bool // lastReceived is set
	replyScheduledAt time.Duration
	outBuffer        []byte
	replyDue         bool // send a message even without records, for its timestamp
	sameEpoch        bool // the message being handled has this member's epoch

	digests          [rangeCount]uint64 // of the live entries that both replicate, by range
	listedRanges     uint64             // ranges whose entries this sweep pass summarizes for the peer
	nextListedRanges uint64
	lastRange        int
	compareAll       bool // was unreachable: compare all ranges at once
	nextSync         time.Duration

	pull rangePull
}

// Table is one member's part of the replicated table. It is not safe for concurrent
// use.
type Table struct {
	settings    Settings
	selfID      uint64
	incarnation uint32
	now         time.Duration
	hasRoster   bool // UpdateRoster was called

	epoch        uint64
	rosterAt     time.Duration
	candidates   []candidate // members eligible as replicas, sorted by name hash
	peers        []*peer     // in the order of candidates, then those that have left the roster
	byNameHash   map[uint64]*peer
	selfIndex    int // index of this member in candidates, or -1
	recovery     recoveryState
	logicalClock uint64 // the highest generation number issued or received

	slabs           [][]entry
	slotCount       int // slots in use or on the free list
	freeSlots       []uint32
	index           map[Key]uint32
	live            int
	tombstones      int
	targets         targetTable
	shadowed        map[Key]tombstone        // tombstones replaced by a Prepared entry of the same key
	agreedEnds      map[uint32]time.Duration // when this replica agreed to an end, by slot
	proposals       map[uint32]*pendingEnd
	sweepStart      time.Duration
	sweepCursor     int
	sweepNextExpiry time.Duration // least time until a keyed entry expires, in the current sweep pass
	nextExpiry      time.Duration

	pendingOpens    map[Key]*pendingOpen
	pendingOpenList []*pendingOpen
	calls           map[Key]*call
	callList        []*call // all calls
	unackedCalls    []*call // calls that some replicas have not acknowledged
	callsCheckedAt  time.Duration
	withdrawn       withdrawnSet
	lastTicket      uint64

	outbox  []OutMessage
	answers []Answer
	scratch []byte
	stats   Stats

	// Derived from the settings; fields so that tests can inject faults.
	tombstoneTTL  time.Duration
	maxMessageAge time.Duration
	quorumSize    func(n int) int
	mayEvict      func(*entry) bool
}

// NewTable returns an empty Table. It has no peers until UpdateRoster is called.
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
		settings: set, selfID: hashName(set.Self), selfIndex: -1,
		byNameHash: map[uint64]*peer{}, index: map[Key]uint32{}, shadowed: map[Key]tombstone{},
		agreedEnds: map[uint32]time.Duration{}, proposals: map[uint32]*pendingEnd{},
		pendingOpens: map[Key]*pendingOpen{}, calls: map[Key]*call{},
		quorumSize: majority,
	}
	t.targets.byName = map[string]uint32{}
	// A delayed message is accepted for up to Lag, and a replica that was unreachable
	// ends the same entry up to Bound later than the others.
	t.tombstoneTTL = set.Bound + 8*set.Lag + 2*set.Sweep
	t.maxMessageAge = set.Lag
	t.mayEvict = func(e *entry) bool { return !set.Classes[e.class].Keyed }
	return t, nil
}

func setDefault[T int | time.Duration](value *T, fallback T) {
	if *value == 0 {
		*value = fallback
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
			return fmt.Errorf("track: settings: class %d: MaxCallTime %v, DedupWindow %v", i,
				c.MaxCallTime, c.DedupWindow)
		}
		if !c.Keyed && (c.ClosedRetention <= 0 || c.IdleTimeout < 2*s.TouchEvery ||
			c.IdleTimeout+c.ClosedRetention > 24*time.Hour) {
			return fmt.Errorf("track: settings: class %d: IdleTimeout %v is under two TouchEvery of %v, "+
				"or ClosedRetention %v", i, c.IdleTimeout, s.TouchEvery, c.ClosedRetention)
		}
		// An entry must outlive every Open in which its votes count.
		if c.Keyed && c.DedupWindow < 2*s.AskWithin {
			return fmt.Errorf("track: settings: class %d: DedupWindow %v is under two AskWithin of %v",
				i, c.DedupWindow, s.AskWithin)
		}
	}
	return nil
}

// timeout returns how long an entry is kept after its last activity. Four Lags cover
// the error of idle times, which grow by Lag with each hop.
func (t *Table) timeout(class uint8, s State) time.Duration {
	c := &t.settings.Classes[class]
	d := c.IdleTimeout
	switch {
	case c.Keyed && s == Closed:
		d = c.DedupWindow
	case c.Keyed:
		d = c.MaxCallTime + c.DedupWindow
	case s >= Closing:
		d = c.ClosedRetention
	}
	return d + 4*t.settings.Lag
}

// longestTimeout returns the longest timeout of a keyed entry.
func (t *Table) longestTimeout() (d time.Duration) {
	for i, c := range t.settings.Classes {
		if c.Keyed {
			d = max(d, t.timeout(uint8(i), Open))
		}
	}
	return d
}

// ErrNotAMember is returned by UpdateRoster if the roster lacks this member's name.
var ErrNotAMember = errors.New("track: roster: this member is missing")

func (t *Table) advanceClock(now time.Duration) time.Duration {
	t.now = max(t.now, now)
	return t.now
}

// UpdateRoster sets the agreed roster with this member's view of each member's
// liveness. It must be called at least once per Lease while the roster is valid: a
// replica without an update for longer refuses to prepare calls. A roster with an
// older epoch than the last returns an error and changes nothing.
func (t *Table) UpdateRoster(now time.Duration, roster Roster) error {
	now = t.advanceClock(now)
	var self *Member
	candidates := candidatesOf(roster.Members)
	if len(candidates) != len(roster.Members) || len(candidates) >= int(noReplica) {
		return fmt.Errorf("track: roster: epoch %d: duplicate member name, or too many members", roster.Epoch)
	}
	for i := range roster.Members {
		m := &roster.Members[i]
		if m.Name == "" || len(m.Name) > MaxName {
			return fmt.Errorf("track: roster: epoch %d: member %d: invalid name %q", roster.Epoch, i, m.Name)
		}
		if m.Name == t.settings.Self {
			self = m
		}
	}
	for i := range roster.Previous {
		if self == nil && roster.Previous[i].Name == t.settings.Self {
			self = &roster.Previous[i]
		}
	}
	switch {
	case self == nil:
		return ErrNotAMember
	case t.hasRoster && roster.Epoch < t.epoch:
		return fmt.Errorf("track: roster: epoch %d is older than the last, %d", roster.Epoch, t.epoch)
	case t.hasRoster && self.Incarnation < t.incarnation:
		return fmt.Errorf("track: roster: own incarnation %d is lower than the last, %d",
			self.Incarnation, t.incarnation)
	}
	t.rosterAt = now
	firstRoster, restarted := !t.hasRoster, t.hasRoster && self.Incarnation > t.incarnation
	epochChanged := firstRoster || roster.Epoch != t.epoch
	wasCaughtUp := !firstRoster && t.caughtUp(now)
	consecutive := !firstRoster && roster.Epoch == t.epoch+1
	t.hasRoster, t.epoch, t.incarnation = true, roster.Epoch, self.Incarnation
	if restarted {
		t.reset(now)
	}
	for _, m := range roster.Members {
		t.updatePeer(now, m)
	}
	for _, m := range roster.Previous {
		t.updatePeer(now, m)
	}
	if epochChanged {
		t.applyPlacement(now, candidates, roster)
		t.startRecovery(now, roster, firstRoster || consecutive, wasCaughtUp)
	}
	if restarted || firstRoster && t.incarnation > 1 {
		t.recovery = recoveryState{active: true, restarted: true, since: now}
		t.resetPulls()
	}
	return nil
}

// updatePeer applies a roster's data on one member.
func (t *Table) updatePeer(now time.Duration, m Member) {
	hash := hashName(m.Name)
	p := t.byNameHash[hash]
	if p == nil {
		p = &peer{Member: m, nameHash: hash, compareAll: true, nextSync: now}
		t.byNameHash[hash] = p
	}
	if m.Incarnation > p.Incarnation {
		p.hasStamp, p.hasReceived, p.compareAll = false, false, true
	}
	m.Incarnation = max(m.Incarnation, p.Incarnation)
	m.Zone = cmp.Or(m.Zone, p.Zone)
	p.Member = m
}

// applyPlacement makes the roster's members the candidates for replicas and selects
// the replicas of each entry again.
func (t *Table) applyPlacement(now time.Duration, candidates []candidate, roster Roster) {
	for len(t.pendingOpenList) > 0 {
		t.refuse(now, t.pendingOpenList[0], NoQuorum, t.settings.AskWithin)
	}
	t.candidates, t.selfIndex = candidates, -1
	t.peers = t.peers[:0]
	peersByHash := map[uint64]*peer{}
	for i, s := range candidates {
		if s.nameHash == t.selfID {
			t.selfIndex = i
		}
		t.peers = append(t.peers, t.byNameHash[s.nameHash])
		peersByHash[s.nameHash] = t.byNameHash[s.nameHash]
	}
	for _, s := range candidatesOf(roster.Previous) {
		if peersByHash[s.nameHash] == nil {
			t.peers = append(t.peers, t.byNameHash[s.nameHash])
			peersByHash[s.nameHash] = t.byNameHash[s.nameHash]
		}
	}
	t.byNameHash = peersByHash
	for _, p := range t.peers {
		p.digests = [rangeCount]uint64{}
		p.listedRanges, p.nextListedRanges, p.compareAll = 0, 0, true
	}
	clear(t.proposals)
	for i := range t.slotCount {
		if e := t.entryAt(uint32(i)); e.state != stateFree {
			selectReplicas(candidates, e.key, t.settings.Replicas, &e.replicas)
			t.toggleDigest(e)
		}
	}
	for _, c := range slices.Clone(t.callList) {
		c.replicaCount = selectReplicas(candidates, c.key, t.settings.Replicas, &c.replicas)
		t.startRound(now, c)
	}
}

// reset discards the state of an earlier incarnation.
func (t *Table) reset(now time.Duration) {
	for len(t.pendingOpenList) > 0 {
		t.refuse(now, t.pendingOpenList[0], Recovering, t.settings.AskWithin)
	}
	for len(t.callList) > 0 {
		t.dropCall(t.callList[0])
	}
	t.slabs, t.slotCount, t.freeSlots, t.live, t.tombstones, t.sweepCursor = nil, 0, nil, 0, 0, 0
	clear(t.index)
	clear(t.shadowed)
	clear(t.agreedEnds)
	clear(t.proposals)
	t.targets = targetTable{byName: map[string]uint32{}}
	t.withdrawn = withdrawnSet{}
	for _, p := range t.peers {
		p.digests = [rangeCount]uint64{}
		p.hasStamp, p.hasReceived, p.compareAll, p.outBuffer = false, false, true, nil
	}
	t.outbox = nil
}

// reachable reports whether messages were exchanged in both directions recently: a
// message is accepted only if it echoes one of this member's timestamps.
func (t *Table) reachable(p *peer) bool {
	return p.Alive && p.hasReceived && t.now-p.lastReceived <= 3*t.settings.Sync
}

// Output returns the messages to be sent and the answers to be acted on since the
// last call. Messages carry the time of the last event, so send them immediately.
func (t *Table) Output() ([]OutMessage, []Answer) {
	for _, p := range t.peers {
		if len(p.outBuffer) > 0 || p.replyDue {
			t.flush(p)
		}
	}
	outs, answers := t.outbox, t.answers
	t.outbox, t.answers = nil, nil
	return outs, answers
}

// enqueue adds a record to the next message to p.
func (t *Table) enqueue(p *peer, rec []byte) {
	if len(p.outBuffer)+len(rec) > MaxMessage-headerSize {
		t.flush(p)
	}
	p.outBuffer = append(p.outBuffer, rec...)
}

func (t *Table) flush(p *peer) {
	h := header{senderHash: t.selfID, senderIncarnation: t.incarnation,
		receiverIncarnation: p.Incarnation, epoch: t.epoch,
		timestamp: uint64(t.now), logicalClock: t.logicalClock}
	if p.hasStamp {
		h.flags |= flagEcho
		h.echoedTimestamp, h.echoHoldTime = p.lastStamp, uint64(t.now-p.lastStampAt)
	}
	if !p.hasStamp {
		h.flags |= flagReplyWanted
	}
	msg := appendHeader(make([]byte, 0, headerSize+len(p.outBuffer)), &h)
	t.outbox = append(t.outbox, OutMessage{p.Name, append(msg, p.outBuffer...)})
	p.outBuffer, p.replyDue = p.outBuffer[:0], false
	t.stats.Sent++
}

// Receive processes a message from a peer.
func (t *Table) Receive(now time.Duration, from string, msg []byte) {
	now = t.advanceClock(now)
	p, r := t.acceptHeader(now, from, msg)
	if p == nil {
		return
	}
	t.stats.Received++
	for len(r.remaining) > 0 && !r.malformed {
		t.handleRecord(now, p, r)
	}
	if r.malformed {
		t.stats.Malformed++
	}
}

// acceptHeader validates a message's header. It returns nil if the message is dropped.
func (t *Table) acceptHeader(now time.Duration, from string, msg []byte) (*peer, *reader) {
	r := &reader{remaining: msg}
	if len(msg) < headerSize || len(msg) > MaxMessage {
		t.stats.Malformed++
		return nil, nil
	}
	if r.u8() != version {
		t.stats.VersionMismatch++
		return nil, nil
	}
	h := r.header()
	p := t.byNameHash[h.senderHash]
	switch {
	case p == nil || p.Name != from || h.senderHash == t.selfID || h.senderIncarnation > p.Incarnation:
		t.stats.UnknownSender++
		return nil, nil
	case h.senderIncarnation < p.Incarnation:
		t.stats.OldIncarnation++
		return nil, nil
	case h.receiverIncarnation != t.incarnation:
		t.stats.WrongIncarnation++
		return nil, nil
	case h.logicalClock >= 1<<62:
		t.stats.Malformed++
		return nil, nil
	}
	if !p.hasStamp || h.timestamp > p.lastStamp {
		p.lastStamp, p.lastStampAt, p.hasStamp = h.timestamp, now, true
	}
	messageAge := now - time.Duration(h.echoedTimestamp) - time.Duration(h.echoHoldTime)
	switch {
	case h.flags&flagEcho == 0, messageAge > t.maxMessageAge:
		t.stats.TooOld++
		t.scheduleReply(now, p)
		return nil, nil
	case h.echoedTimestamp > uint64(now), h.echoHoldTime > uint64(now), messageAge < -t.settings.Lag/10:
		t.stats.BadTimestamp++
		t.scheduleReply(now, p)
		return nil, nil
	}
	t.logicalClock = max(t.logicalClock, h.logicalClock)
	if !t.reachable(p) {
		p.compareAll = true
		p.nextSync = now
	}
	p.lastReceived, p.hasReceived = now, true
	if h.flags&flagReplyWanted != 0 {
		t.scheduleReply(now, p)
	}
	// Prepares, votes and pulls refer to the replicas of one epoch.
	p.sameEpoch = h.epoch == t.epoch
	return p, r
}

// scheduleReply schedules a message to p, so that p has a fresh timestamp to echo.
func (t *Table) scheduleReply(now time.Duration, p *peer) {
	if p.replyScheduledAt != 0 && now-p.replyScheduledAt < t.settings.Lag/8 {
		return
	}
	p.replyScheduledAt = now
	p.replyDue = true
}

// Tick advances time. Call it every few tens of milliseconds.
func (t *Table) Tick(now time.Duration) {
	now = t.advanceClock(now)
	if !t.hasRoster {
		return
	}
	t.tickOpens(now)
	t.tickCalls(now)
	t.sweep(now)
	t.tickSync(now)
	t.tickRecovery(now)
}

// Stats returns the current counters.
func (t *Table) Stats() Stats {
	s := t.stats
	s.Entries, s.Tombstones = t.live, t.tombstones
	return s
}

// CaughtUp reports whether this replica has recovered all its state and its roster is
// within the lease.
func (t *Table) CaughtUp() bool { return t.caughtUp(t.now) && t.now-t.rosterAt <= t.settings.Lease }

// CountOpen returns the number of tracked calls and flows that may be running at a
// backend or scope, as far as this member knows: those it replicates and its own.
// None is running there once all members return 0.
func (t *Table) CountOpen(target string) int {
	n := 0
	if i, ok := t.targets.byName[target]; ok {
		n = t.targets.uses[i].active
	}
	for _, c := range t.callList {
		if _, held := t.index[c.key]; !held && c.target == target && c.state < Closed {
			n++
		}
	}
	return n
}

// Each calls f for each live entry held by this member. The order is unspecified but
// deterministic: the same events give the same order.
func (t *Table) Each(f func(Info)) {
	for i := range t.slotCount {
		e := t.entryAt(uint32(i))
		if e.state == stateFree || e.state == stateTombstone {
			continue
		}
		f(Info{Key: e.key, Generation: e.generation.number, Class: int(e.class), State: e.state,
			Target: t.targets.uses[e.target].name, Idle: t.now - e.lastActivity,
			Replica: t.replicaIndex(e) >= 0, ownerID: e.generation.ownerID,
			incarnation: e.generation.ownerIncarnation})
	}
}

func onesCount(m uint8) int { return bits.OnesCount8(m) }

func removeFirst[T comparable](list []T, v T) []T {
	if i := slices.Index(list, v); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
