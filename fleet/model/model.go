// Package model plays a fleet of balancers under overload in virtual time: uneven traffic, the real
// logic.Balancer and overload.Fleet of each member, backends with queues, clients that ask again, and digests
// that get lost and come late. The same Config gives the same run to the byte.
package model

import (
	"cmp"
	"container/heap"
	"encoding/binary"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"oxbowloft/fleet/overload"
	"oxbowloft/logic"
)

// Policy is who decides what is admitted.
type Policy int

// The policies compared.
const (
	Alone  Policy = iota // each balancer by itself, as it is
	Fleet                // the same, behind what the digests make each shed
	Seeing               // one that knows all rates, queues and capacity
)

// Class is one class of request and what it costs a backend.
type Class struct {
	logic.Class
	Mix     float64       // share of first tries
	Service time.Duration // mean; service times are exponential
}

// Spell is a span of time and what is offered in it, as a multiple of the backends' capacity.
type Spell struct {
	For     time.Duration
	Offered float64
}

// Config is one run.
type Config struct {
	Seed     uint64
	Policy   Policy
	Members  int
	Zones    int
	Backends int
	Cores    int // of each backend
	Queue    int // calls that wait at a backend at most; more are turned away
	Classes  []Class
	Spells   []Spell
	Sigma    float64 // of the lognormal shares of traffic; 0: even
	Uneven   bool    // the balancers are told that traffic is unlike
	Tries    int     // of a client, the first one counted
	Obey     float64 // share of clients that keep to the come-back time
	Margin   float64 // Seeing: the share of the capacity that is planned with

	Fanout  int           // members that a digest is sent to
	Every   time.Duration // between digests; 0: a second
	Loss    float64       // of digests
	Delay   time.Duration // mean, exponential
	CutOff  int           // the last so many members hear nobody and are heard by nobody
	Compact bool
}

// Result is what a run came to.
type Result struct {
	Offered, Worth []float64 // by second of the first try
	Repeats, First []float64
	Refused        float64 // first tries that ended without an answer
	Level          []float64
	Messages, Size int    // of digests sent, bytes of one
	Hash           uint64 // of everything that happened, in order
}

type kind byte

const (
	arrival kind = iota
	reach
	served
	answer
	timeout
	wake
	again
	tellOwn
	gossip
	digest
)

type event struct {
	at     time.Duration
	serial uint64
	kind   kind
	member int
	call   *call
	try    int
	token  uint64
	bytes  []byte
	result logic.Result
	to     int
}

type queue []*event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].serial < q[j].serial
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(*event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// call is one client's request over all its tries.
type call struct {
	key      uint64
	class    int
	first    time.Duration
	deadline time.Duration
	tries    int
	member   int
	over     bool
	// of the current try
	id     string
	sends  []send
	final  bool
	second int
}

type send struct {
	id      string
	at      time.Duration
	backend int
	done    bool
	mayRun  bool
}

type backend struct {
	busy  int
	queue []*event // to be served, in order
}

type member struct {
	m       *Model
	number  int
	name    string
	zone    string
	share   float64
	b       *logic.Balancer
	f       *overload.Fleet
	numbers overload.Numbers
	calls   map[string]*call
	count   overload.Counters
}

// Model is a run under way.
type Model struct {
	cfg      Config
	rng      *rand.Rand
	net      *rand.Rand // of the digests, apart: with all of them lost a run is that of balancers alone
	now      time.Duration
	serial   uint64
	queue    queue
	members  []*member
	backends []backend
	cumul    []float64
	capacity float64 // calls a second of the mix
	until    time.Duration
	res      Result
	hash     interface{ Write([]byte) (int, error) }
	sum      func() uint64
	planned  []float64 // Seeing: cut by class now
}

const link = time.Millisecond

// Run plays cfg to its end.
func Run(cfg Config) Result {
	h := fnv.New64a()
	m := &Model{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 7)), net: rand.New(rand.NewPCG(cfg.Seed, 8)), hash: h, sum: h.Sum64}
	m.build()
	for len(m.queue) > 0 {
		e := heap.Pop(&m.queue).(*event)
		m.now = e.at
		m.trace(e)
		m.handle(e)
	}
	m.res.Hash = m.sum()
	return m.res
}

func (m *Model) trace(e *event) {
	var b [34]byte
	binary.LittleEndian.PutUint64(b[0:], uint64(e.at))
	b[8], b[9] = byte(e.kind), byte(e.result)
	binary.LittleEndian.PutUint64(b[10:], uint64(e.member)<<32|uint64(uint32(e.to)))
	if e.call != nil {
		binary.LittleEndian.PutUint64(b[18:], e.call.key)
	}
	binary.LittleEndian.PutUint64(b[26:], e.token)
	m.hash.Write(b[:])
	m.hash.Write(e.bytes)
}

func (m *Model) after(d time.Duration, e *event) {
	m.serial++
	e.at, e.serial = m.now+max(d, 0), m.serial
	heap.Push(&m.queue, e)
}

func (m *Model) build() {
	cfg := &m.cfg
	mean := 0.0
	for _, c := range cfg.Classes {
		mean += c.Mix * c.Service.Seconds()
	}
	m.capacity = float64(cfg.Backends*cfg.Cores) / mean
	for _, s := range cfg.Spells {
		m.until += s.For
	}
	seconds := int(m.until/time.Second) + 1
	for _, to := range []*[]float64{&m.res.Offered, &m.res.Worth, &m.res.Repeats, &m.res.First, &m.res.Level} {
		*to = make([]float64, seconds+30)
	}
	m.backends = make([]backend, cfg.Backends)
	zones := make([]string, cfg.Zones)
	for i := range zones {
		zones[i] = "z" + strconv.Itoa(i)
	}
	list := make([]logic.Backend, cfg.Backends)
	for i := range list {
		list[i] = logic.Backend{ID: strconv.Itoa(i), Zone: zones[i%cfg.Zones], Size: 1}
	}
	classes := make([]logic.Class, len(cfg.Classes))
	told := make([]overload.Class, len(cfg.Classes))
	for i, c := range cfg.Classes {
		classes[i], told[i] = c.Class, overload.Class{Worth: c.Worth, Cost: c.Service.Seconds()}
	}
	view := make([]overload.Member, cfg.Members)
	for i := range view {
		view[i] = overload.Member{Name: "m" + strconv.Itoa(i), Zone: zones[i%cfg.Zones], Incarnation: 1}
	}
	total := 0.0
	for i, v := range view {
		p := &member{m: m, number: i, name: v.Name, zone: v.Zone, calls: map[string]*call{},
			numbers: overload.Alone(), share: math.Exp(cfg.Sigma * m.rng.NormFloat64())}
		p.b = logic.New(0, logic.Settings{
			Seed: cfg.Seed*1000 + uint64(i), Zone: v.Zone, Zones: zones, Classes: classes,
			Balancers: cfg.Members, Me: i, Uneven: cfg.Uneven, MaxAttempts: 3,
			MaxComeBack: 2 * time.Second, Grace: time.Second,
		}, p)
		p.b.List(0, true, list)
		p.f, _ = overload.New(0, overload.Settings{Classes: told, Compact: cfg.Compact}, v)
		p.f.View(0, cfg.Members, view)
		p.clear()
		total += p.share
		m.members = append(m.members, p)
	}
	at := 0.0
	for _, p := range m.members {
		p.share /= total
		at += p.share
		m.cumul = append(m.cumul, at)
		if cfg.Policy == Fleet {
			m.after(time.Duration(m.net.Float64()*float64(time.Second/2)), &event{kind: tellOwn, member: p.number})
			m.after(time.Duration(m.net.Float64()*float64(time.Second)), &event{kind: gossip, member: p.number})
		}
	}
	m.after(0, &event{kind: arrival})
}

// offered is the rate of first tries now, a second.
func (m *Model) offered(at time.Duration) float64 {
	for _, s := range m.cfg.Spells {
		if at < s.For {
			return s.Offered * m.capacity
		}
		at -= s.For
	}
	return 0
}

func (m *Model) handle(e *event) {
	switch e.kind {
	case arrival:
		m.arrive()
	case again:
		m.ask(e.call)
	case reach:
		m.reach(e)
	case served:
		m.served(e)
	case answer, timeout:
		m.members[e.member].done(e)
	case wake:
		m.members[e.member].b.Wake(m.now, e.token)
	case tellOwn:
		m.members[e.member].tell()
	case gossip:
		m.members[e.member].gossip()
	case digest:
		m.members[e.member].f.Take(m.now, e.bytes)
	}
}

// arrive brings a client's first try, and the next client.
func (m *Model) arrive() {
	rate := m.offered(m.now)
	if rate == 0 {
		return
	}
	m.after(time.Duration(m.rng.ExpFloat64()/rate*float64(time.Second)), &event{kind: arrival})
	pick, class := m.rng.Float64(), 0
	for class < len(m.cfg.Classes)-1 && pick >= m.cfg.Classes[class].Mix {
		pick -= m.cfg.Classes[class].Mix
		class++
	}
	c := &m.cfg.Classes[class]
	q := &call{key: m.rng.Uint64(), class: class, first: m.now, deadline: m.now + c.Deadline,
		member: m.someMember(), second: int(m.now / time.Second)}
	m.res.Offered[q.second] += c.Worth
	m.res.First[q.second]++
	m.ask(q)
}

func (m *Model) someMember() int {
	at, _ := slices.BinarySearch(m.cumul, m.rng.Float64())
	return min(at, len(m.members)-1)
}

// ask makes a client's next try. Every second one of the later ones meets another member.
func (m *Model) ask(q *call) {
	if q.tries > 0 && m.rng.IntN(2) == 0 {
		q.member = m.someMember()
	}
	q.tries++
	q.id, q.sends, q.final = strconv.FormatUint(q.key, 36)+"."+strconv.Itoa(q.tries), nil, false
	p := m.members[q.member]
	if q.tries == 1 {
		p.count.First[q.class]++
	}
	if m.cfg.Policy == Seeing {
		m.decide(q)
		return
	}
	if p.numbers.Shed(q.class, q.key) {
		base := m.cfg.Classes[q.class].Aim / 4
		p.refused(q, p.numbers.ComeBack(q.key, base, 2*time.Second))
		return
	}
	p.calls[q.id] = q
	p.b.Arrive(m.now, logic.Request{ID: q.id, Class: q.class, Budget: q.deadline - m.now, Retry: q.tries > 1})
}

// refused is what a client does on a refusal: some wait as they are told, the others a moment.
func (p *member) refused(q *call, comeBack time.Duration) {
	m := p.m
	wait := comeBack
	if m.rng.Float64() >= m.cfg.Obey {
		wait = time.Duration((20 + 30*m.rng.Float64()) * float64(time.Millisecond))
	}
	if q.tries >= m.cfg.Tries || m.now+wait >= q.deadline {
		m.res.Refused++
		return
	}
	m.after(wait, &event{kind: again, call: q})
}

func (m *Model) success(q *call) {
	if q.over {
		return
	}
	q.over = true
	c, took := &m.cfg.Classes[q.class], m.now-q.first
	late := float64(took-c.Aim) / float64(c.Deadline-c.Aim)
	m.res.Worth[q.second] += c.Worth * max(0, min(1, 1-late))
}

// The actions of a balancer.

func (p *member) Send(id, to string, patience time.Duration) {
	q := p.calls[id]
	n, _ := strconv.Atoi(to)
	if len(q.sends) > 0 && q.sends[len(q.sends)-1].mayRun {
		p.count.Repeats++
		p.m.res.Repeats[p.m.now/time.Second]++
	}
	q.sends = append(q.sends, send{id: id, at: p.m.now, backend: n})
	try := len(q.sends) - 1
	p.m.after(link, &event{kind: reach, member: p.number, call: q, try: try, to: n})
	p.m.after(patience, &event{kind: timeout, member: p.number, call: q, try: try, result: logic.TimedOut, token: uint64(q.tries)})
}

func (p *member) Refuse(id string, comeBack time.Duration) {
	q := p.calls[id]
	q.final = true
	p.drop(q)
	if q.tries == 1 {
		p.count.Refused[q.class]++
	}
	p.refused(q, comeBack)
}

func (p *member) Fail(id string) {
	q := p.calls[id]
	q.final = true
	p.drop(q)
	p.m.res.Refused++
}

func (p *member) drop(q *call) {
	for _, s := range q.sends {
		if !s.done {
			return
		}
	}
	delete(p.calls, q.id)
}

func (p *member) Cancel(string, int) {}
func (p *member) CloseIdle(string)   {}
func (p *member) WatchList()         {}
func (p *member) Wake(token uint64, after time.Duration) {
	p.m.after(after, &event{kind: wake, member: p.number, token: token})
}

// done takes an attempt's end: its answer or its time-out, whichever is first.
func (p *member) done(e *event) {
	m, q := p.m, e.call
	if m.cfg.Policy == Seeing {
		m.success(q)
		return
	}
	if e.token != uint64(q.tries) || e.try >= len(q.sends) || q.sends[e.try].done {
		return
	}
	s := &q.sends[e.try]
	s.done, s.mayRun = true, e.result != logic.Full
	latency := m.now - s.at
	ok := e.result == logic.OK && !q.final
	if e.result == logic.OK || e.result == logic.TimedOut {
		// The target is that of the balancer's own limit.
		const target = 0.25
		p.count.Answers++
		p.count.Strain += min(4, min(1, float64(latency)/float64(m.cfg.Classes[q.class].Aim))/target)
	}
	if ok {
		p.count.Served[q.class]++
		m.success(q)
		q.final = true
	}
	p.b.Done(m.now, logic.Outcome{Request: s.id, Attempt: e.try, Result: e.result, Latency: latency, Final: ok})
	if q.final {
		p.drop(q)
	}
}

// Backends.

func (m *Model) reach(e *event) {
	b := &m.backends[e.to]
	e.token = uint64(e.call.tries)
	if b.busy >= m.cfg.Cores {
		if len(b.queue) >= m.cfg.Queue {
			m.after(link, &event{kind: answer, member: e.member, call: e.call, try: e.try, token: e.token, result: logic.Full})
			return
		}
		b.queue = append(b.queue, e)
		return
	}
	m.serve(e)
}

func (m *Model) serve(e *event) {
	m.backends[e.to].busy++
	service := time.Duration(m.rng.ExpFloat64() * float64(m.cfg.Classes[e.call.class].Service))
	m.after(service, &event{kind: served, member: e.member, call: e.call, try: e.try, to: e.to, token: e.token})
}

func (m *Model) served(e *event) {
	b := &m.backends[e.to]
	b.busy--
	m.after(link, &event{kind: answer, member: e.member, call: e.call, try: e.try, token: e.token, result: logic.OK})
	if len(b.queue) > 0 {
		next := b.queue[0]
		b.queue = b.queue[1:]
		m.serve(next)
	}
}

// The fleet's part.

func (p *member) clear() {
	n := len(p.m.cfg.Classes)
	p.count = overload.Counters{First: make([]float64, n), Served: make([]float64, n), Refused: make([]float64, n)}
}

func (p *member) tell() {
	p.f.Own(p.m.now, p.count)
	p.clear()
	p.numbers = p.f.Numbers(p.m.now)
	p.m.res.Level[p.m.now/time.Second] += p.numbers.Cut[len(p.m.cfg.Classes)-1] / 2 / float64(len(p.m.members))
	if p.m.now < p.m.until {
		p.m.after(time.Second/2, &event{kind: tellOwn, member: p.number})
	}
}

func (p *member) gossip() {
	m := p.m
	b := p.f.Digest(m.now)
	m.res.Size = len(b)
	for range min(m.cfg.Fanout, len(m.members)-1) {
		to := m.net.IntN(len(m.members))
		lost := m.net.Float64() < m.cfg.Loss
		delay := link + time.Duration(m.net.ExpFloat64()*float64(m.cfg.Delay))
		m.res.Messages++
		if to == p.number || lost || max(to, p.number) >= len(m.members)-m.cfg.CutOff {
			continue
		}
		m.after(delay, &event{kind: digest, member: to, bytes: b})
	}
	if m.now < m.until {
		m.after(cmp.Or(m.cfg.Every, time.Second), &event{kind: gossip, member: p.number})
	}
}

// decide is the policy that sees all: what fits the capacity, worthiest for its work first, by the true
// rates; to the backend with the least to do; and nothing that would come late.
func (m *Model) decide(q *call) {
	if m.planned == nil || q.tries == 1 {
		m.plan()
	}
	place := float64(q.key>>11) / (1 << 53)
	c := &m.cfg.Classes[q.class]
	best := 0
	load := func(i int) int { return m.backends[i].busy + len(m.backends[i].queue) }
	for i := range m.backends {
		if load(i) < load(best) {
			best = i
		}
	}
	waits := max(0, load(best)+1-m.cfg.Cores)
	p := m.members[q.member]
	if place < m.planned[q.class] || time.Duration(waits)*30*time.Millisecond/time.Duration(m.cfg.Cores) > c.Aim/2 {
		p.refused(q, c.Aim/4)
		return
	}
	m.after(link, &event{kind: reach, member: q.member, call: q, to: best})
}

func (m *Model) plan() {
	m.planned = make([]float64, len(m.cfg.Classes))
	order := make([]int, len(m.cfg.Classes))
	for i := range order {
		order[i] = i
	}
	value := func(i int) float64 { return m.cfg.Classes[i].Worth / m.cfg.Classes[i].Service.Seconds() }
	slices.SortStableFunc(order, func(i, j int) int { return cmp.Compare(value(j), value(i)) })
	room := m.cfg.Margin * float64(m.cfg.Backends*m.cfg.Cores)
	for _, i := range order {
		need := m.offered(m.now) * m.cfg.Classes[i].Mix * m.cfg.Classes[i].Service.Seconds()
		if need > room {
			m.planned[i] = 1 - room/need
		}
		room = max(0, room-need)
	}
}
