package track

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// This file simulates a fleet in virtual time: members with separate clocks, a network
// that delays, drops, duplicates, reorders and partitions, and an observer that records
// what is opened, sent and held and checks the invariants from outside. Invariants are
// numbered as follows:
//
//  0  messages stay within MaxMessage
//  1  no replica ends an entry that a connected replica still holds as active
//  2  no entry appears that nobody opened, and no ended one reappears
//  3  connected replicas converge
//  4  entries expire in time, and not early at a replica that is cut off
//  5  a full table evicts no unexpired keyed call, evicts flows in the defined order, and
//     refuses with a positive RetryAfter
//  6  no entry gets a state that only another generation was given
//  7  no keyed call can take effect twice

const ms = time.Millisecond

const (
	keyed = 0
	flow  = 1
)

func modelSettings(me string) Settings {
	return Settings{
		Self: me, Seed: 7, Replicas: 3, MaxEntries: 4096,
		Classes: []Class{
			{Keyed: true, MaxCallTime: 2 * time.Second, DedupWindow: 20 * time.Second},
			{IdleTimeout: 6 * time.Second, ClosedRetention: 2 * time.Second},
		},
		Lag: 500 * ms, AskWithin: 300 * ms, Sweep: 400 * ms, Sync: time.Second,
		TouchEvery: time.Second, Bound: 20 * time.Second, Lease: 4 * time.Second,
	}
}

// convergenceLimit is the time that reconnected replicas have to agree on the live entries:
// to see each other, compare all ranges, exchange summaries and entries, and end what
// has expired.
const convergenceLimit = 8 * time.Second

type node struct {
	name, zone  string
	set         Settings
	table       *Table
	incarnation uint32
	skew        time.Duration // offset of the node's clock from the fleet's
	stopped     bool
	rosterCut   bool // does not receive roster updates
	startedAt   time.Duration
	rosterAt    time.Duration
	member      bool

	held       map[Key]Info
	activityAt map[Key]time.Duration // when its idle time was last seen to decrease
	evicted    uint64
}

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type events []*event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(*event)) }
func (q *events) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

// sentCall is a call sent to a target, as the target sees it.
type sentCall struct {
	target  string
	at, end time.Duration
}

// generationRecord is one generation of a key, as the observer knows it.
type generationRecord struct {
	key           string
	generation    generationID
	class         int
	activity      time.Duration // the latest that any replica can have seen
	ownerActivity time.Duration // the latest use by its owner or another member
	finished      bool
	holders       map[*node]bool
	wasHeld       bool
	holderLost    bool // its last holder was restarted
	ended         bool
}

type fleet struct {
	rng      *rand.Rand
	now      time.Duration
	seq      uint64
	queue    events
	nodes    []*node
	byName   map[string]*node
	epoch    uint64
	members  []string
	previous []string
	cutUntil map[[2]string]time.Duration
	cutSince map[[2]string]time.Duration
	okSince  map[[2]string]time.Duration

	loss, duplicate, delayed float64
	reliable                 bool
	intercept                func(from, to *node, msg []byte) []byte

	sentCalls   map[string][]sentCall
	generations map[Key]map[generationID]*generationRecord
	waiting     map[string]map[uint64]func(Verdict)
	violation   error
	violated    map[int]bool
	breakTable  func(*node) // injects a fault into a new table
	interfere   func(*node) // injects a fault into a running table, before each tick

	checkLive  bool
	keys       int
	quietUntil time.Duration // no traffic until then
	opening    bool          // the change being observed was caused by one Open
}

func (f *fleet) failf(invariant int, format string, args ...any) {
	f.violated[invariant] = true
	if f.violation == nil {
		f.violation = fmt.Errorf("at %v: invariant %d: %w", f.now, invariant, fmt.Errorf(format, args...))
	}
}

var trace func(string)

func (f *fleet) tracef(format string, args ...any) {
	if trace != nil {
		trace(fmt.Sprintf("%v ", f.now) + fmt.Sprintf(format, args...))
	}
}

func newFleet(seed uint64, n, zones int, tune func(*Settings), broken func(*node)) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 1)), breakTable: broken, byName: map[string]*node{}, epoch: 1,
		cutUntil: map[[2]string]time.Duration{}, cutSince: map[[2]string]time.Duration{},
		okSince:   map[[2]string]time.Duration{},
		sentCalls: map[string][]sentCall{}, generations: map[Key]map[generationID]*generationRecord{},
		waiting: map[string]map[uint64]func(Verdict){}, violated: map[int]bool{},
		checkLive: true,
	}
	for i := range n {
		f.join(fmt.Sprintf("m%d", i), fmt.Sprintf("z%d", i%zones), tune)
	}
	f.previous = nil
	f.epoch = 1
	for _, x := range f.nodes {
		f.updateRoster(x)
		f.scheduleTicks(x)
	}
	return f
}

// join adds a node to the fleet and the roster.
func (f *fleet) join(name, zone string, tune func(*Settings)) *node {
	set := modelSettings(name)
	if tune != nil {
		tune(&set)
	}
	x := &node{name: name, zone: zone, set: set, member: true,
		skew: time.Duration(f.rng.IntN(1000)) * time.Second}
	f.nodes = append(f.nodes, x)
	f.byName[name] = x
	f.waiting[name] = map[uint64]func(Verdict){}
	f.previous = slices.Clone(f.members)
	f.members = append(f.members, name)
	f.epoch++
	f.start(x)
	return x
}

func (f *fleet) start(x *node) {
	table, err := NewTable(x.set)
	if err != nil {
		panic(err)
	}
	x.table = table
	x.incarnation++
	x.startedAt, x.stopped = f.now, false
	f.recordLostState(x)
	if f.breakTable != nil {
		f.breakTable(x)
	}
}

// recordLostState records that a node lost all entries of its previous incarnation.
func (f *fleet) recordLostState(x *node) {
	for _, info := range sortedByKey(x.held) {
		if record := f.generationOf(info); record != nil && record.holders[x] {
			delete(record.holders, x)
			record.holderLost = record.holderLost || len(record.holders) == 0
		}
	}
	x.held, x.activityAt = map[Key]Info{}, map[Key]time.Duration{}
}

func sortedByKey(m map[Key]Info) []Info {
	out := make([]Info, 0, len(m))
	for _, i := range m {
		out = append(out, i)
	}
	slices.SortFunc(out, func(a, b Info) int { return cmp.Compare(a.Key.hi, b.Key.hi) })
	return out
}

func (f *fleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.queue, &event{at: f.now + d, seq: f.seq, run: do})
}

func (f *fleet) run(d time.Duration) {
	end := f.now + d
	for len(f.queue) > 0 && f.queue[0].at <= end && f.violation == nil {
		e := heap.Pop(&f.queue).(*event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

func (x *node) clock(now time.Duration) time.Duration { return now + x.skew + time.Second }

func (f *fleet) scheduleTicks(x *node) {
	f.after(time.Duration(20+f.rng.IntN(60))*ms, func() {
		if !x.stopped {
			if f.now-x.rosterAt > 700*ms && !x.rosterCut {
				f.updateRoster(x)
			}
			if f.interfere != nil {
				f.interfere(x)
			}
			x.table.Tick(x.clock(f.now))
			f.processOutput(x)
			f.observe(x)
		}
		f.scheduleTicks(x)
	})
}

func (f *fleet) updateRoster(x *node) {
	x.rosterAt = f.now
	r := Roster{Epoch: f.epoch}
	list := func(names []string) (out []Member) {
		for _, n := range names {
			y := f.byName[n]
			alive := y == x || !y.stopped && !f.cut(x, y) && !f.cut(y, x)
			out = append(out, Member{Name: n, Zone: y.zone, Incarnation: y.incarnation, Alive: alive})
		}
		return out
	}
	r.Members, r.Previous = list(f.members), list(f.previous)
	if err := x.table.UpdateRoster(x.clock(f.now), r); err != nil && err != ErrNotAMember {
		panic(err)
	}
	f.processOutput(x)
}

func (f *fleet) cut(a, b *node) bool { return f.cutUntil[[2]string{a.name, b.name}] > f.now }

// linkHeld reports whether both directions have been open, or cut, for at least d.
func (f *fleet) linkHeld(a, b *node, open bool, d time.Duration) bool {
	for _, k := range [][2]string{{a.name, b.name}, {b.name, a.name}} {
		until, since := f.cutUntil[k], f.cutSince[k]
		if open && (until > f.now || until > 0 && f.now-until < d) {
			return false
		}
		if !open && (until <= f.now || f.now-since < d) {
			return false
		}
	}
	return true
}

func (f *fleet) cutLink(a, b *node, d time.Duration) {
	k := [2]string{a.name, b.name}
	if f.cutUntil[k] <= f.now {
		f.cutSince[k] = f.now
	}
	f.cutUntil[k] = max(f.cutUntil[k], f.now+d)
}

func (f *fleet) processOutput(x *node) {
	outs, answers := x.table.Output()
	for _, o := range outs {
		if len(o.Payload) > MaxMessage {
			f.failf(0, "%s sends a message of %d bytes", x.name, len(o.Payload))
		}
		f.deliver(x, f.byName[o.To], o.Payload)
	}
	for _, a := range answers {
		if a.Kind == FlowEnded {
			continue
		}
		do := f.waiting[x.name][a.Ticket]
		delete(f.waiting[x.name], a.Ticket)
		if do != nil {
			do(a.Verdict)
		}
	}
}

func (f *fleet) deliver(from, to *node, msg []byte) {
	if f.cut(from, to) {
		return
	}
	if f.intercept != nil {
		if msg = f.intercept(from, to, msg); msg == nil {
			return
		}
	}
	copies := 1
	if !f.reliable {
		if f.rng.Float64() < f.loss {
			copies = 0
		}
		if f.rng.Float64() < f.duplicate {
			copies++
		}
	}
	for range copies {
		d := time.Duration(1+f.rng.IntN(40)) * ms
		if !f.reliable && f.rng.Float64() < f.delayed {
			d = time.Duration(f.rng.IntN(40000)) * ms
		}
		f.after(d, func() {
			if to.stopped || f.cut(from, to) {
				return
			}
			to.table.Receive(to.clock(f.now), from.name, msg)
			f.processOutput(to)
			f.observe(to)
		})
	}
}

func (f *fleet) generationOf(i Info) *generationRecord {
	return f.generations[i.Key][generationID{i.Generation, i.ownerID, i.incarnation}]
}

// nominalTimeout returns the configured timeout of a state, without the slack.
func (x *node) nominalTimeout(class int, s State) time.Duration {
	return x.table.timeout(uint8(class), s) - 4*x.set.Lag
}

// observe compares what a node holds with what it held before.
func (f *fleet) observe(x *node) {
	if f.violation != nil || !f.checkLive {
		return
	}
	now := make(map[Key]Info, len(x.held))
	x.table.Each(func(i Info) {
		if i.State > Prepared {
			now[i.Key] = i
		}
	})
	evicted := x.table.stats.Evicted != x.evicted
	x.evicted = x.table.stats.Evicted
	var removed []Info
	for _, was := range sortedByKey(x.held) {
		current, ok := now[was.Key]
		if ok && current.Generation == was.Generation && current.ownerID == was.ownerID {
			if current.Idle < was.Idle {
				x.activityAt[current.Key] = f.now
			}
			continue
		}
		_, e := x.table.find(was.Key)
		// A newer generation of a flow replaces it, whether open or over already.
		reused := ok || e != nil && (e.state == Prepared || was.Class == flow &&
			e.generation.compare(generationID{was.Generation, was.ownerID, was.incarnation}) > 0)
		if !reused {
			removed = append(removed, was)
		}
		if record := f.generationOf(was); record != nil {
			f.tracef("%s: %s generation %d %v, idle %v, removed; now %v", x.name, record.key, was.Generation,
				was.State, was.Idle, current)
			delete(record.holders, x)
			// An eviction may not have reached a third replica yet. The same holds for
			// the replacement of a flow by a newer generation.
			expired := was.Class == keyed || x.set.MaxEntries > 100 && !reused
			record.holderLost = record.holderLost || !expired
			if len(record.holders) == 0 && !record.holderLost && !f.isPrepared(was.Key, record.generation) {
				record.ended = true
			}
		}
	}
	for _, current := range sortedByKey(now) {
		was, had := x.held[current.Key]
		if !had || was.Generation != current.Generation || was.ownerID != current.ownerID {
			x.activityAt[current.Key] = f.now
			f.checkAppeared(x, current)
		}
		f.checkState(x, current)
	}
	old := x.held
	x.held = now
	if evicted {
		f.checkEvicted(x, removed, old, now)
		return
	}
	for _, was := range removed {
		f.checkRemoved(x, was, old)
	}
}

// isPrepared reports whether a node still has it Prepared: a delayed message can open it.
func (f *fleet) isPrepared(k Key, id generationID) bool {
	for _, x := range f.nodes {
		if _, e := x.table.find(k); e != nil && e.state == Prepared && e.generation == id {
			return true
		}
	}
	return false
}

func (f *fleet) checkAppeared(x *node, entry Info) {
	record := f.generationOf(entry)
	switch {
	case record == nil:
		f.failf(2, "%s holds %v generation %d, which no member opened", x.name, entry.State, entry.Generation)
		return
	case record.ended:
		f.failf(2, "%s: %s generation %d reappears after its end", x.name, record.key, entry.Generation)
	}
	record.holders[x], record.wasHeld = true, true
	f.tracef("%s: %s generation %d %v, idle %v, added", x.name, record.key, entry.Generation,
		entry.State, entry.Idle)
}

// checkState checks that a generation is in no state that only another one was given.
func (f *fleet) checkState(x *node, entry Info) {
	record := f.generationOf(entry)
	if record == nil {
		return
	}
	if entry.State >= Closing && !record.finished {
		f.failf(6, "%s: %s generation %d is %v without Done", x.name, record.key, entry.Generation, entry.State)
	}
	// No entry is kept much longer than its limit.
	set := &x.set
	limit := x.nominalTimeout(entry.Class, entry.State) + set.Bound + 30*set.Lag
	if idle := f.now - record.activity; idle > limit {
		f.failf(4, "%s: %s generation %d %v is still held, idle %v", x.name, record.key, entry.Generation,
			entry.State, idle)
	}
}

func (f *fleet) checkRemoved(x *node, was Info, old map[Key]Info) {
	record := f.generationOf(was)
	if record == nil || f.now-x.startedAt < convergenceLimit || x.set.MaxEntries < 100 && was.Class == flow {
		return
	}
	timeout := x.nominalTimeout(was.Class, was.State)
	candidates := x.table.candidates
	var replicas [maxReplicas]uint16
	n := selectReplicas(candidates, was.Key, x.set.Replicas, &replicas)
	cutOff := 0
	for _, s := range replicas[:n] {
		y := f.nodeOf(candidates[s].nameHash)
		if y == x || y.stopped {
			continue
		}
		if f.linkHeld(x, y, false, 5*x.set.Sync) {
			cutOff++
		}
		other, ok := y.held[was.Key]
		if !ok || other.Generation != was.Generation || f.now-y.startedAt < convergenceLimit {
			continue
		}
		// Activity that y saw during the last round trips of the agreement may be too late to prevent the end.
		if f.linkHeld(x, y, true, 5*x.set.Sync) && other.Idle < y.nominalTimeout(other.Class, other.State) &&
			f.now-y.activityAt[was.Key] > 3*x.set.Lag && other.Replica && was.Replica {
			f.failf(1, "%s ends %s generation %d %v, which %s holds as %v, idle %v",
				x.name, record.key, was.Generation, was.State, y.name, other.State, other.Idle)
		}
	}
	if cutOff == n-1 && n > 1 && was.Replica && was.Idle < timeout+x.set.Bound {
		f.failf(4, "%s, while cut off, ends %s generation %d %v, idle %v, limit %v",
			x.name, record.key, was.Generation, was.State, was.Idle, timeout+x.set.Bound)
	}
}

func (f *fleet) checkEvicted(x *node, gone []Info, old, remaining map[Key]Info) {
	order := func(a, b Info) int {
		activeRank := func(i Info) int {
			if i.State >= Closing {
				return 0
			}
			return 1
		}
		return cmp.Or(cmp.Compare(activeRank(a), activeRank(b)), -cmp.Compare(a.Idle/evictionIdleStep,
			b.Idle/evictionIdleStep),
			cmp.Compare(a.Key.hi, b.Key.hi))
	}
	for _, evicted := range gone {
		if evicted.Class == keyed {
			if evicted.Idle < x.nominalTimeout(keyed, evicted.State) {
				f.failf(5, "%s evicts keyed generation %d %v", x.name, evicted.Generation, evicted.State)
			}
			continue
		}
		if !f.opening {
			continue // a message can change more than one entry
		}
		for _, kept := range sortedByKey(remaining) {
			if kept.Class != keyed && old[kept.Key].Generation == kept.Generation &&
				kept.Idle > old[kept.Key].Idle &&
				order(evicted, kept) > 0 && evicted.Idle < x.nominalTimeout(flow, evicted.State) {
				f.failf(5, "%s evicts generation %d %v idle %v before generation %d %v idle %v", x.name,
					evicted.Generation, evicted.State, evicted.Idle, kept.Generation, kept.State, kept.Idle)
			}
		}
	}
}

func (f *fleet) nodeOf(id uint64) *node {
	for _, x := range f.nodes {
		if hashName(x.name) == id {
			return x
		}
	}
	return nil
}

// open simulates the arrival of a call or flow at a node.
func (f *fleet) open(x *node, key string, class int, target string) {
	if x.stopped {
		return
	}
	requestedAt := f.now
	table := x.table
	complete := func(v Verdict) {
		if v.Kind == Refused || v.Kind == Pending {
			if v.Reason == TableFull && v.RetryAfter <= 0 {
				f.failf(5, "%s: table full, but RetryAfter is not positive", x.name)
			}
			return
		}
		f.handleVerdict(x, table, key, class, v, requestedAt)
	}
	k := hashKey(7, key)
	for _, record := range f.generations[k] {
		// A replica may count the request as activity until the request is too old.
		record.activity = max(record.activity, f.now+x.set.AskWithin+x.set.Lag)
	}
	v := x.table.Open(x.clock(f.now), key, class, target)
	if v.Kind == Pending {
		f.waiting[x.name][v.Ticket] = complete
	} else {
		complete(v)
	}
	f.opening = true
	f.observe(x)
	f.opening = false
	f.processOutput(x)
}

func (f *fleet) handleVerdict(x *node, table *Table, key string, class int, v Verdict,
	requestedAt time.Duration) {
	f.tracef("%s opens %s: %+v", x.name, key, v)
	k := hashKey(7, key)
	if f.generations[k] == nil {
		f.generations[k] = map[generationID]*generationRecord{}
	}
	if v.Kind == New {
		id := generationID{v.Generation, table.selfID, table.incarnation}
		f.generations[k][id] = &generationRecord{key: key, generation: id, class: class, activity: f.now,
			ownerActivity: f.now, holders: map[*node]bool{}}
	}
	for id, record := range f.generations[k] {
		if id.number == v.Generation {
			record.activity, record.ownerActivity = f.now, f.now
		}
	}
	if class == flow {
		f.flowLife(x, table, key, v, 3+f.rng.IntN(10))
		return
	}
	set := x.table.settings.Classes[keyed]
	f.checkSend(x, key, v, set)
	runTime := time.Duration(f.rng.Int64N(int64(set.MaxCallTime)))
	index := len(f.sentCalls[key])
	f.sentCalls[key] = append(f.sentCalls[key], sentCall{v.Target, f.now, f.now + runTime})
	how := Finished
	reportAfter := runTime
	if f.rng.IntN(4) == 0 {
		// Abandoned before it ends.
		how, reportAfter = MayStillRun, runTime/2
		f.sentCalls[key][index].end = f.now + set.MaxCallTime
	}
	f.after(reportAfter, func() { f.done(x, table, key, v.Generation, how) })
}

func (f *fleet) done(x *node, table *Table, key string, gen uint64, how Outcome) {
	if x.stopped || x.table != table {
		return
	}
	k := hashKey(7, key)
	for id, record := range f.generations[k] {
		if id.number == gen {
			record.finished, record.activity = true, max(record.activity, f.now)
		}
	}
	table.Done(x.clock(f.now), key, gen, how)
	f.processOutput(x)
	f.observe(x)
}

// checkSend checks invariant 7: no call takes effect twice.
func (f *fleet) checkSend(x *node, key string, v Verdict, c Class) {
	for _, s := range f.sentCalls[key] {
		over := f.now >= s.end+c.DedupWindow
		if over {
			continue
		}
		if s.target != v.Target {
			f.failf(7, "%s: %s %v at %s, %v after it was sent to %s", x.name, key, v.Kind, v.Target,
				f.now-s.at, s.target)
		} else if f.now+c.MaxCallTime > s.at+c.DedupWindow {
			f.failf(7, "%s: %s %v again %v after the first attempt: may miss the deduplication window",
				x.name, key, v.Kind, f.now-s.at)
		}
	}
}

// flowLife touches a flow at random intervals, then ends it.
func (f *fleet) flowLife(x *node, table *Table, key string, v Verdict, left int) {
	f.after(time.Duration(300+f.rng.IntN(4500))*ms, func() {
		if x.stopped || x.table != table {
			return
		}
		if left == 0 {
			f.done(x, table, key, v.Generation, Finished)
			return
		}
		if !table.Touch(x.clock(f.now), key, v.Generation) {
			return
		}
		for id, record := range f.generations[hashKey(7, key)] {
			if id.number == v.Generation {
				record.activity = max(record.activity, f.now)
			}
		}
		f.processOutput(x)
		f.observe(x)
		f.flowLife(x, table, key, v, left-1)
	})
}

// traffic opens calls and flows at random intervals.
func (f *fleet) traffic(every time.Duration, keys int, until time.Duration) {
	f.after(time.Duration(f.rng.Int64N(int64(2*every))), func() {
		if f.now >= until || f.quietUntil > f.now {
			return
		}
		x := f.nodes[f.rng.IntN(len(f.nodes))]
		// Most keys are new; some are reused, at any member.
		f.keys++
		i := f.keys
		if f.rng.IntN(3) == 0 {
			i -= f.rng.IntN(keys)
		}
		class := i % 2
		f.open(x, fmt.Sprintf("k%d", i), class, fmt.Sprintf("b%d", f.rng.IntN(4)))
		f.traffic(every, keys, until)
	})
}

// Faults that a schedule injects.

func (f *fleet) restart(x *node) {
	if x.stopped {
		return
	}
	f.start(x)
	f.updateRoster(x)
}

// stop pauses a process. If frozen is set, its monotonic clock stops as well. The process
// resumes as the next incarnation with all its old state.
func (f *fleet) stop(x *node, d time.Duration, frozen bool) {
	if x.stopped {
		return
	}
	x.stopped = true
	f.after(d, func() {
		x.stopped = false
		if frozen {
			x.skew -= d
		}
		f.recordLostState(x)
		x.incarnation++
		x.startedAt = f.now
		f.updateRoster(x)
		f.observe(x)
	})
}

func (f *fleet) partition(side func(*node) bool, d time.Duration) {
	sideSize := 0
	for _, a := range f.nodes {
		if side(a) {
			sideSize++
		}
		for _, b := range f.nodes {
			if side(a) != side(b) {
				f.cutLink(a, b, d)
			}
		}
	}
	for _, a := range f.nodes {
		if side(a) == (sideSize*2 < len(f.nodes)) {
			a.rosterCut = true
			f.after(d, func() { a.rosterCut = false })
		}
	}
}

// leave removes a node from the roster; it keeps running and hands over its entries.
func (f *fleet) leave(x *node) {
	if !x.member || len(f.members) < 4 {
		return
	}
	x.member = false
	f.previous = slices.Clone(f.members)
	f.members = slices.DeleteFunc(slices.Clone(f.members), func(n string) bool { return n == x.name })
	f.epoch++
}

func (f *fleet) heal() {
	f.reliable, f.loss, f.duplicate, f.delayed = true, 0, 0, 0
	for k, until := range f.cutUntil {
		f.cutUntil[k] = min(until, f.now)
	}
	for _, x := range f.nodes {
		x.rosterCut = false
	}
}

// waitForConvergence waits until all replicas hold the same entries and returns how long
// that took.
func (f *fleet) waitForConvergence(within time.Duration) time.Duration {
	from := f.now
	why := ""
	for f.now-from <= within && f.violation == nil {
		if why = f.difference(); why == "" {
			return f.now - from
		}
		f.run(50 * ms)
	}
	if f.violation == nil {
		f.failf(3, "not converged after %v: %s", within, why)
	}
	return within
}

// difference describes a difference between replicas, or returns "".
func (f *fleet) difference() string {
	for _, a := range f.nodes {
		if a.stopped || !a.member || f.now-a.startedAt < convergenceLimit {
			continue
		}
		for _, entry := range sortedByKey(a.held) {
			// Expired entries kept only for an unreachable replica are not copied.
			if !entry.Replica || entry.Idle > a.nominalTimeout(entry.Class, entry.State)+2*a.set.Lag {
				continue
			}
			var replicas [maxReplicas]uint16
			n := selectReplicas(a.table.candidates, entry.Key, a.set.Replicas, &replicas)
			for _, s := range replicas[:n] {
				b := f.nodeOf(a.table.candidates[s].nameHash)
				if b.stopped || f.now-b.startedAt < convergenceLimit ||
					b.table.live+b.table.tombstones >= b.set.MaxEntries {
					continue
				}
				if _, e := b.table.find(entry.Key); e != nil && e.state == Prepared {
					continue // its owner may be gone; Opens are refused, so nothing is lost
				}
				if other, ok := b.held[entry.Key]; !ok || other.Generation != entry.Generation ||
					other.State != entry.State {
					return fmt.Sprintf("%s holds %v generation %d %v idle %v, %s holds %v generation %d",
						a.name,
						entry.Key, entry.Generation, entry.State, entry.Idle, b.name, other.State, other.Generation)
				}
			}
		}
	}
	return ""
}
