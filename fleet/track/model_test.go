package track

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// This file is a fleet in virtual time: members with clocks of their own, a network
// that delays, loses, doubles, reorders and cuts, and an observer that sees what is
// opened, sent and held, and checks the rules from outside.

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

// The time that replicas back in touch have to agree on the live set: to see
// each other, to compare all ranges, to list, ask and tell, and to end what is over.
const agreeWithin = 8 * time.Second

type node struct {
	name, zone string
	set        Settings
	tab        *Table
	inc        uint32
	skew       time.Duration // own clock is the fleet's plus this
	stopped    bool
	rosterCut  bool // hears nothing of the agreed roster
	bornAt     time.Duration
	viewAt     time.Duration
	member     bool

	held    map[Key]Info
	seenAt  map[Key]time.Duration // when its idle was last seen to fall
	evicted uint64
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
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

// send is a call that went out, as the backends see it.
type send struct {
	where   string
	at, end time.Duration
}

// use is one generation of a key, as the observer knows it.
type truth struct {
	key      string
	id       ident
	class    int
	activity time.Duration // the last that any replica can have seen
	own      time.Duration // the last of its owner's or an other's use
	done     bool
	live     map[*node]bool
	ever     bool
	lost     bool // its last holder was restarted
	dead     bool
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
	before   []string
	cutUntil map[[2]string]time.Duration
	cutSince map[[2]string]time.Duration
	okSince  map[[2]string]time.Duration

	loss, dup, late float64
	calm            bool
	hook            func(from, to *node, msg []byte) []byte

	sends    map[string][]send
	truths   map[Key]map[ident]*truth
	pendings map[string]map[uint64]func(Verdict)
	fault    error
	faulty   map[int]bool
	broken   func(*node) // breaks a new table
	meddle   func(*node) // breaks a table now and then

	checkLive bool
	keys      int
	quiet     time.Duration // no traffic until then
	opening   bool          // what is observed was done by one Open
}

func (f *fleet) failf(rule int, format string, args ...any) {
	f.faulty[rule] = true
	if f.fault == nil {
		f.fault = fmt.Errorf("at %v: rule %d: %w", f.now, rule, fmt.Errorf(format, args...))
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
		rng: rand.New(rand.NewPCG(seed, 1)), broken: broken, byName: map[string]*node{}, epoch: 1,
		cutUntil: map[[2]string]time.Duration{}, cutSince: map[[2]string]time.Duration{},
		okSince: map[[2]string]time.Duration{},
		sends:   map[string][]send{}, truths: map[Key]map[ident]*truth{},
		pendings: map[string]map[uint64]func(Verdict){}, faulty: map[int]bool{},
		checkLive: true,
	}
	for i := range n {
		f.join(fmt.Sprintf("m%d", i), fmt.Sprintf("z%d", i%zones), tune)
	}
	f.before = nil
	f.epoch = 1
	for _, x := range f.nodes {
		f.view(x)
		f.loop(x)
	}
	return f
}

// join adds a node and makes the roster one longer.
func (f *fleet) join(name, zone string, tune func(*Settings)) *node {
	set := modelSettings(name)
	if tune != nil {
		tune(&set)
	}
	x := &node{name: name, zone: zone, set: set, member: true,
		skew: time.Duration(f.rng.IntN(1000)) * time.Second}
	f.nodes = append(f.nodes, x)
	f.byName[name] = x
	f.pendings[name] = map[uint64]func(Verdict){}
	f.before = slices.Clone(f.members)
	f.members = append(f.members, name)
	f.epoch++
	f.start(x)
	return x
}

func (f *fleet) start(x *node) {
	tab, err := NewTable(x.set)
	if err != nil {
		panic(err)
	}
	x.tab = tab
	x.inc++
	x.bornAt, x.stopped = f.now, false
	f.lose(x)
	if f.broken != nil {
		f.broken(x)
	}
}

// lose tells the observer that all a node held is gone with its life.
func (f *fleet) lose(x *node) {
	for _, info := range sorted(x.held) {
		if tr := f.truth(info); tr != nil && tr.live[x] {
			delete(tr.live, x)
			tr.lost = tr.lost || len(tr.live) == 0
		}
	}
	x.held, x.seenAt = map[Key]Info{}, map[Key]time.Duration{}
}

func sorted(m map[Key]Info) []Info {
	out := make([]Info, 0, len(m))
	for _, i := range m {
		out = append(out, i)
	}
	slices.SortFunc(out, func(a, b Info) int { return cmp.Compare(a.Key.hi, b.Key.hi) })
	return out
}

func (f *fleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.queue, &event{at: f.now + d, seq: f.seq, do: do})
}

func (f *fleet) run(d time.Duration) {
	end := f.now + d
	for len(f.queue) > 0 && f.queue[0].at <= end && f.fault == nil {
		e := heap.Pop(&f.queue).(*event)
		f.now = e.at
		e.do()
	}
	f.now = end
}

func (x *node) clock(now time.Duration) time.Duration { return now + x.skew + time.Second }

func (f *fleet) loop(x *node) {
	f.after(time.Duration(20+f.rng.IntN(60))*ms, func() {
		if !x.stopped {
			if f.now-x.viewAt > 700*ms && !x.rosterCut {
				f.view(x)
			}
			if f.meddle != nil {
				f.meddle(x)
			}
			x.tab.Tick(x.clock(f.now))
			f.drain(x)
			f.observe(x)
		}
		f.loop(x)
	})
}

func (f *fleet) view(x *node) {
	x.viewAt = f.now
	r := Roster{Epoch: f.epoch}
	list := func(names []string) (out []Member) {
		for _, n := range names {
			y := f.byName[n]
			alive := y == x || !y.stopped && !f.cut(x, y) && !f.cut(y, x)
			out = append(out, Member{Name: n, Zone: y.zone, Incarnation: y.inc, Alive: alive})
		}
		return out
	}
	r.Members, r.Previous = list(f.members), list(f.before)
	if err := x.tab.UpdateRoster(x.clock(f.now), r); err != nil && err != ErrNotAMember {
		panic(err)
	}
	f.drain(x)
}

func (f *fleet) cut(a, b *node) bool { return f.cutUntil[[2]string{a.name, b.name}] > f.now }

// link says whether both ways have been open, or cut, for at least d.
func (f *fleet) link(a, b *node, open bool, d time.Duration) bool {
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

func (f *fleet) drain(x *node) {
	outs, answers := x.tab.Output()
	for _, o := range outs {
		if len(o.Payload) > MaxMessage {
			f.failf(0, "%s sends %d bytes", x.name, len(o.Payload))
		}
		f.post(x, f.byName[o.To], o.Payload)
	}
	for _, a := range answers {
		if a.Kind == FlowEnded {
			continue
		}
		do := f.pendings[x.name][a.Ticket]
		delete(f.pendings[x.name], a.Ticket)
		if do != nil {
			do(a.Verdict)
		}
	}
}

func (f *fleet) post(from, to *node, msg []byte) {
	if f.cut(from, to) {
		return
	}
	if f.hook != nil {
		if msg = f.hook(from, to, msg); msg == nil {
			return
		}
	}
	copies := 1
	if !f.calm {
		if f.rng.Float64() < f.loss {
			copies = 0
		}
		if f.rng.Float64() < f.dup {
			copies++
		}
	}
	for range copies {
		d := time.Duration(1+f.rng.IntN(40)) * ms
		if !f.calm && f.rng.Float64() < f.late {
			d = time.Duration(f.rng.IntN(40000)) * ms
		}
		f.after(d, func() {
			if to.stopped || f.cut(from, to) {
				return
			}
			to.tab.Receive(to.clock(f.now), from.name, msg)
			f.drain(to)
			f.observe(to)
		})
	}
}

func (f *fleet) truth(i Info) *truth { return f.truths[i.Key][ident{i.Generation, i.owner, i.inc}] }

// base is the life that is promised for a state, without the slack.
func (x *node) base(class int, s State) time.Duration {
	return x.tab.timeout(uint8(class), s) - 4*x.set.Lag
}

// observe compares what a node holds with what it held.
func (f *fleet) observe(x *node) {
	if f.fault != nil || !f.checkLive {
		return
	}
	now := make(map[Key]Info, len(x.held))
	x.tab.Each(func(i Info) {
		if i.State > Prepared {
			now[i.Key] = i
		}
	})
	evicted := x.tab.stats.Evicted != x.evicted
	x.evicted = x.tab.stats.Evicted
	var gone []Info
	for _, was := range sorted(x.held) {
		is, ok := now[was.Key]
		if ok && is.Generation == was.Generation && is.owner == was.owner {
			if is.Idle < was.Idle {
				x.seenAt[is.Key] = f.now
			}
			continue
		}
		_, e := x.tab.find(was.Key)
		// A newer generation of a flow takes its place, be it open or over already.
		reused := ok || e != nil && (e.state == Prepared || was.Class == flow && e.id.compare(ident{was.Generation, was.owner, was.inc}) > 0)
		if !reused {
			gone = append(gone, was)
		}
		if tr := f.truth(was); tr != nil {
			f.tracef("%s loses %s gen %d %v idle %v, now %v", x.name, tr.key, was.Generation, was.State, was.Idle, is)
			delete(tr.live, x)
			// What is given up when full may be on its way to a third replica.
			// So may be a flow that a newer generation took the place of.
			aged := was.Class == keyed || x.set.MaxEntries > 100 && !reused
			tr.lost = tr.lost || !aged
			if len(tr.live) == 0 && !tr.lost && !f.noted(was.Key, tr.id) {
				tr.dead = true
			}
		}
	}
	for _, is := range sorted(now) {
		was, had := x.held[is.Key]
		if !had || was.Generation != is.Generation || was.owner != is.owner {
			x.seenAt[is.Key] = f.now
			f.appeared(x, is)
		}
		f.checkState(x, is)
	}
	old := x.held
	x.held = now
	if evicted {
		f.checkVictims(x, gone, old, now)
		return
	}
	for _, was := range gone {
		f.checkGone(x, was, old)
	}
}

// noted says whether some node still has a note of it, which a late word can open.
func (f *fleet) noted(k Key, id ident) bool {
	for _, x := range f.nodes {
		if _, e := x.tab.find(k); e != nil && e.state == Prepared && e.id == id {
			return true
		}
	}
	return false
}

func (f *fleet) appeared(x *node, is Info) {
	tr := f.truth(is)
	switch {
	case tr == nil:
		f.failf(2, "%s holds %v gen %d, which nobody opened", x.name, is.State, is.Generation)
		return
	case tr.dead:
		f.failf(2, "%s: %s gen %d comes back", x.name, tr.key, is.Generation)
	}
	tr.live[x], tr.ever = true, true
	f.tracef("%s gets %s gen %d %v idle %v", x.name, tr.key, is.Generation, is.State, is.Idle)
}

// checkState: a generation has no state that only another one was given.
func (f *fleet) checkState(x *node, is Info) {
	tr := f.truth(is)
	if tr == nil {
		return
	}
	if is.State >= Closing && !tr.done {
		f.failf(6, "%s: %s gen %d is %v, but was not ended", x.name, tr.key, is.Generation, is.State)
	}
	// Nothing lives long over its bound.
	set := &x.set
	most := x.base(is.Class, is.State) + set.Bound + 30*set.Lag
	if idle := f.now - tr.activity; idle > most {
		f.failf(4, "%s: %s gen %d %v lives on after %v", x.name, tr.key, is.Generation, is.State, idle)
	}
}

func (f *fleet) checkGone(x *node, was Info, old map[Key]Info) {
	tr := f.truth(was)
	if tr == nil || f.now-x.bornAt < agreeWithin || x.set.MaxEntries < 100 && was.Class == flow {
		return
	}
	base := x.base(was.Class, was.State)
	seats := x.tab.seats
	var reps [maxReplicas]uint16
	n := place(seats, was.Key, x.set.Replicas, &reps)
	out := 0
	for _, s := range reps[:n] {
		y := f.nodeOf(seats[s].id)
		if y == x || y.stopped {
			continue
		}
		if f.link(x, y, false, 5*x.set.Sync) {
			out++
		}
		is, ok := y.held[was.Key]
		if !ok || is.Generation != was.Generation || f.now-y.bornAt < agreeWithin {
			continue
		}
		// What y has seen in the last of an agreement's round trips can come too late.
		if f.link(x, y, true, 5*x.set.Sync) && is.Idle < y.base(is.Class, is.State) &&
			f.now-y.seenAt[was.Key] > 3*x.set.Lag && is.Replica && was.Replica {
			f.failf(1, "%s ends %s gen %d %v, which %s holds %v, idle %v",
				x.name, tr.key, was.Generation, was.State, y.name, is.State, is.Idle)
		}
	}
	if out == n-1 && n > 1 && was.Replica && was.Idle < base+x.set.Bound {
		f.failf(4, "%s, cut off, ends %s gen %d %v idle %v, bound %v",
			x.name, tr.key, was.Generation, was.State, was.Idle, base+x.set.Bound)
	}
}

func (f *fleet) checkVictims(x *node, gone []Info, old, left map[Key]Info) {
	order := func(a, b Info) int {
		over := func(i Info) int {
			if i.State >= Closing {
				return 0
			}
			return 1
		}
		return cmp.Or(cmp.Compare(over(a), over(b)), -cmp.Compare(a.Idle/idleSteps, b.Idle/idleSteps),
			cmp.Compare(a.Key.hi, b.Key.hi))
	}
	for _, g := range gone {
		if g.Class == keyed {
			if g.Idle < x.base(keyed, g.State) {
				f.failf(5, "%s gives up keyed gen %d %v", x.name, g.Generation, g.State)
			}
			continue
		}
		if !f.opening {
			continue // a message can change more than one entry
		}
		for _, l := range sorted(left) {
			if l.Class != keyed && old[l.Key].Generation == l.Generation && l.Idle > old[l.Key].Idle && order(g, l) > 0 && g.Idle < x.base(flow, g.State) {
				f.failf(5, "%s gives up gen %d %v idle %v before gen %d %v idle %v", x.name,
					g.Generation, g.State, g.Idle, l.Generation, l.State, l.Idle)
			}
		}
	}
}

func (f *fleet) nodeOf(id uint64) *node {
	for _, x := range f.nodes {
		if nameID(x.name) == id {
			return x
		}
	}
	return nil
}

// open lets a call or flow arrive at a node.
func (f *fleet) open(x *node, key string, class int, where string) {
	if x.stopped {
		return
	}
	asked := f.now
	tab := x.tab
	then := func(v Verdict) {
		if v.Kind == Refused || v.Kind == Pending {
			if v.Reason == TableFull && v.RetryAfter <= 0 {
				f.failf(5, "%s: full, and no time to come back", x.name)
			}
			return
		}
		f.goOn(x, tab, key, class, v, asked)
	}
	k := hashKey(7, key)
	for _, tr := range f.truths[k] {
		// Any replica may take the asking for activity until it is too old.
		tr.activity = max(tr.activity, f.now+x.set.AskWithin+x.set.Lag)
	}
	v := x.tab.Open(x.clock(f.now), key, class, where)
	if v.Kind == Pending {
		f.pendings[x.name][v.Ticket] = then
	} else {
		then(v)
	}
	f.opening = true
	f.observe(x)
	f.opening = false
	f.drain(x)
}

func (f *fleet) goOn(x *node, tab *Table, key string, class int, v Verdict, asked time.Duration) {
	f.tracef("%s opens %s: %+v", x.name, key, v)
	k := hashKey(7, key)
	if f.truths[k] == nil {
		f.truths[k] = map[ident]*truth{}
	}
	if v.Kind == New {
		id := ident{v.Generation, tab.id, tab.inc}
		f.truths[k][id] = &truth{key: key, id: id, class: class, activity: f.now, own: f.now,
			live: map[*node]bool{}}
	}
	for id, tr := range f.truths[k] {
		if id.gen == v.Generation {
			tr.activity, tr.own = f.now, f.now
		}
	}
	if class == flow {
		f.flowLife(x, tab, key, v, 3+f.rng.IntN(10))
		return
	}
	set := x.tab.set.Classes[keyed]
	f.checkSend(x, key, v, set)
	long := time.Duration(f.rng.Int64N(int64(set.MaxCallTime)))
	at := len(f.sends[key])
	f.sends[key] = append(f.sends[key], send{v.Target, f.now, f.now + long})
	how := Finished
	tell := long
	if f.rng.IntN(4) == 0 {
		// Given up before its end.
		how, tell = MayStillRun, long/2
		f.sends[key][at].end = f.now + set.MaxCallTime
	}
	f.after(tell, func() { f.done(x, tab, key, v.Generation, how) })
}

func (f *fleet) done(x *node, tab *Table, key string, gen uint64, how Outcome) {
	if x.stopped || x.tab != tab {
		return
	}
	k := hashKey(7, key)
	for id, tr := range f.truths[k] {
		if id.gen == gen {
			tr.done, tr.activity = true, max(tr.activity, f.now)
		}
	}
	tab.Done(x.clock(f.now), key, gen, how)
	f.drain(x)
	f.observe(x)
}

// checkSend is rule 7: no effect twice.
func (f *fleet) checkSend(x *node, key string, v Verdict, c Class) {
	for _, s := range f.sends[key] {
		over := f.now >= s.end+c.DedupWindow
		if over {
			continue
		}
		if s.where != v.Target {
			f.failf(7, "%s: %s %v at %s, %v after it went to %s", x.name, key, v.Kind, v.Target,
				f.now-s.at, s.where)
		} else if f.now+c.MaxCallTime > s.at+c.DedupWindow {
			f.failf(7, "%s: %s %v again %v after the first, too late for its scope", x.name, key,
				v.Kind, f.now-s.at)
		}
	}
}

// flowLife touches a flow now and then, then ends it.
func (f *fleet) flowLife(x *node, tab *Table, key string, v Verdict, left int) {
	f.after(time.Duration(300+f.rng.IntN(4500))*ms, func() {
		if x.stopped || x.tab != tab {
			return
		}
		if left == 0 {
			f.done(x, tab, key, v.Generation, Finished)
			return
		}
		if !tab.Touch(x.clock(f.now), key, v.Generation) {
			return
		}
		for id, tr := range f.truths[hashKey(7, key)] {
			if id.gen == v.Generation {
				tr.activity = max(tr.activity, f.now)
			}
		}
		f.drain(x)
		f.observe(x)
		f.flowLife(x, tab, key, v, left-1)
	})
}

// traffic opens something every so often.
func (f *fleet) traffic(every time.Duration, keys int, until time.Duration) {
	f.after(time.Duration(f.rng.Int64N(int64(2*every))), func() {
		if f.now >= until || f.quiet > f.now {
			return
		}
		x := f.nodes[f.rng.IntN(len(f.nodes))]
		// Most keys are new; some come again, at any member.
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

// The faults of a schedule.

func (f *fleet) restart(x *node) {
	if x.stopped {
		return
	}
	f.start(x)
	f.view(x)
}

// stop holds a process; frozen says whether its monotonic clock stands as well.
// It comes back in its next incarnation with all its old state.
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
		f.lose(x)
		x.inc++
		x.bornAt = f.now
		f.view(x)
		f.observe(x)
	})
}

func (f *fleet) partition(side func(*node) bool, d time.Duration) {
	in := 0
	for _, a := range f.nodes {
		if side(a) {
			in++
		}
		for _, b := range f.nodes {
			if side(a) != side(b) {
				f.cutLink(a, b, d)
			}
		}
	}
	for _, a := range f.nodes {
		if side(a) == (in*2 < len(f.nodes)) {
			a.rosterCut = true
			f.after(d, func() { a.rosterCut = false })
		}
	}
}

// leave takes a node out of the roster; it runs on and hands over.
func (f *fleet) leave(x *node) {
	if !x.member || len(f.members) < 4 {
		return
	}
	x.member = false
	f.before = slices.Clone(f.members)
	f.members = slices.DeleteFunc(slices.Clone(f.members), func(n string) bool { return n == x.name })
	f.epoch++
}

func (f *fleet) heal() {
	f.calm, f.loss, f.dup, f.late = true, 0, 0, 0
	for k, until := range f.cutUntil {
		f.cutUntil[k] = min(until, f.now)
	}
	for _, x := range f.nodes {
		x.rosterCut = false
	}
}

// agree waits until all replicas hold the same and says how long it took.
func (f *fleet) agree(within time.Duration) time.Duration {
	from := f.now
	why := ""
	for f.now-from <= within && f.fault == nil {
		if why = f.differ(); why == "" {
			return f.now - from
		}
		f.run(50 * ms)
	}
	if f.fault == nil {
		f.failf(3, "after %v: %s", within, why)
	}
	return within
}

// differ says what replicas hold unlike, or "".
func (f *fleet) differ() string {
	for _, a := range f.nodes {
		if a.stopped || !a.member || f.now-a.bornAt < agreeWithin {
			continue
		}
		for _, is := range sorted(a.held) {
			// What is over and only kept for a replica out of touch is not copied.
			if !is.Replica || is.Idle > a.base(is.Class, is.State)+2*a.set.Lag {
				continue
			}
			var reps [maxReplicas]uint16
			n := place(a.tab.seats, is.Key, a.set.Replicas, &reps)
			for _, s := range reps[:n] {
				b := f.nodeOf(a.tab.seats[s].id)
				if b.stopped || f.now-b.bornAt < agreeWithin || b.tab.live+b.tab.tombs >= b.set.MaxEntries {
					continue
				}
				if _, e := b.tab.find(is.Key); e != nil && e.state == Prepared {
					continue // its owner may be gone: it is refused, not forgotten
				}
				if other, ok := b.held[is.Key]; !ok || other.Generation != is.Generation || other.State != is.State {
					return fmt.Sprintf("%s holds %v gen %d %v idle %v, %s %v gen %d", a.name,
						is.Key, is.Generation, is.State, is.Idle, b.name, other.State, other.Generation)
				}
			}
		}
	}
	return ""
}
