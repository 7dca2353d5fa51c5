package logic

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"
)

// The slow start ramp has to hold for a fleet: cold servers fall under the sum of what all
// proxies send. Here the real module runs in many instances, in virtual time, before modelled
// servers whose capacity the test knows and the module does not.

// coldRules are what the operators' settings say of cold servers. The module reads the first
// two only.
type coldRules struct {
	share    float64       // of the capacity, at the start
	within   time.Duration // it has all of it after this
	multiple float64       // of its capacity at the time, that a server stands
	window   time.Duration // for so long
}

// warmth is the share of its capacity that a server has at an age.
func (r coldRules) warmth(age time.Duration) float64 {
	return min(1, r.share+(1-r.share)*max(0, float64(age)/float64(r.within)))
}

// most is how many calls a server may be sent in a window that begins at an age: the budget N,
// and what is put down to chance.
func (r coldRules) most(capacity float64, age time.Duration) float64 {
	n := r.multiple * r.warmth(age) * capacity * r.window.Seconds()
	return n + 2*math.Sqrt(n) + 2
}

// fullest looks at all windows that begin while a server that started at 0 is cold, and returns
// the one that comes nearest to its bound or goes furthest over: the sum and the bound. The worst
// windows begin with a call. The capacity is that of the window's first moment, its least.
func (r coldRules) fullest(capacity float64, sent []Time) (sum int, bound float64) {
	slices.Sort(sent)
	bound = r.most(capacity, 0)
	end := 0
	for i, at := range sent {
		if at >= r.within {
			break
		}
		for end < len(sent) && sent[end] < min(at+r.window, r.within) { // a warm one does not fall
			end++
		}
		if most := r.most(capacity, at); float64(end-i)*bound > float64(sum)*most {
			sum, bound = end-i, most
		}
	}
	return sum, bound
}

// A check that can't fail says nothing: made-up histories on either side of the bound.
func TestRampCheckSeesAViolation(t *testing.T) {
	r := coldRules{0.2, 10 * time.Second, 2.5, 2 * time.Second}
	const capacity = 16.0 // N = 16 at the start: 26 calls are the most
	burst := func(n int, at Time) (sent []Time) {
		for i := range n {
			sent = append(sent, at+Time(i)*10*ms)
		}
		return sent
	}
	spread := func(n int, each time.Duration) (sent []Time) {
		for i := range n {
			sent = append(sent, Time(i)*each)
		}
		return sent
	}
	for _, c := range []struct {
		name  string
		sent  []Time
		holds bool
	}{
		{"nothing", nil, true},
		{"all that is let", burst(26, 0), true},
		{"one more", burst(27, 0), false},
		{"one more in a later window, after quiet", append(spread(4, 10*ms), burst(46, 2500*ms)...), false},
		{"as much where it is warmer", burst(40, 5*time.Second), true},
		{"two windows' worth, apart", append(burst(26, 0), burst(26, 2*time.Second)...), true},
		{"two windows' worth, across one's end", append(burst(14, 1500*ms), burst(26, 2500*ms)...), false},
		{"a warm one's even rate", spread(200, 62500*time.Microsecond), false},
		{"a cold one's even rate", spread(40, 250*ms), true},
		{"any number once warm", burst(1000, 10*time.Second), true},
		{"too many just before", burst(400, 9*time.Second), false},
	} {
		if sum, bound := r.fullest(capacity, c.sent); float64(sum) <= bound != c.holds {
			t.Errorf("%s: %d calls, bound %.1f, want it to hold: %v", c.name, sum, bound, c.holds)
		}
	}
}

// server is a backend as it is: some calls at a time, a queue, and what is over is turned away.
type server struct {
	Backend
	capacity float64 // calls a second, warm
	fails    float64 // share of calls that it answers with an error at once
	dead     bool    // nobody there
	inWork   int
	queue    []func()
	sent     []Time  // since its start, by instances that knew of it: no module can hold back others
	fair     float64 // what a ramp in step with its warmth would have got of all calls since then
}

const slotTime = 0.1 // seconds a call takes on a warm server, where it takes more than one at a time

func (s *server) slots() int { return max(1, int(math.Round(s.capacity*slotTime))) }

// instance is one proxy: the module, and Actions that lead to the servers.
type instance struct {
	*Balancer
	w      *fleetWorld
	perSec float64
	over   bool
	tries  map[string]int
	told   map[string]Time // the last start of each backend that it heard of
}

type event struct {
	at  Time
	seq int
	do  func()
}

func (e event) before(o event) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

// eventQueue is a heap; the one of the library boxes each event, which shows in the test's time.
type eventQueue []event

func (q *eventQueue) push(e event) {
	*q = append(*q, e)
	h := *q
	n := len(h) - 1
	for n > 0 && e.before(h[(n-1)/2]) {
		h[n], n = h[(n-1)/2], (n-1)/2
	}
	h[n] = e
}

func (q *eventQueue) pop() event {
	h := *q
	first, last := h[0], h[len(h)-1]
	h[len(h)-1] = event{}
	h = h[:len(h)-1]
	*q = h
	n := 0
	for child := 1; child < len(h); child = 2*n + 1 {
		if child+1 < len(h) && h[child+1].before(h[child]) {
			child++
		}
		if !h[child].before(last) {
			break
		}
		h[n], n = h[child], child
	}
	if len(h) > 0 {
		h[n] = last
	}
	return first
}

// fleetWorld is all instances and servers in virtual time.
type fleetWorld struct {
	now       Time
	seq       int
	queue     eventQueue
	rng       *rand.Rand
	rules     coldRules
	set       Settings
	classes   int // in use
	planned   int // servers the fleet is laid out for
	capacity  float64
	perSec    float64 // calls a second, over all instances
	servers   []*server
	instances []*instance
	ended     []*server // cold starts that another one has ended
	calls     int
}

func (w *fleetWorld) at(at Time, do func()) {
	w.seq++
	w.queue.push(event{max(at, w.now), w.seq, do})
}

func (w *fleetWorld) run(end Time) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := w.queue.pop()
		w.now = e.at
		e.do()
	}
}

func (w *fleetWorld) server(id string) *server {
	if i := slices.IndexFunc(w.servers, func(s *server) bool { return s.ID == id }); i >= 0 {
		return w.servers[i]
	}
	return nil
}

func (w *fleetWorld) add(zone string, n int) *server {
	s := &server{Backend: line(zone, n), capacity: w.capacity}
	w.servers = append(w.servers, s)
	return s
}

// starts takes that a server starts cold now; the ramp of an earlier start is kept for the check.
func (w *fleetWorld) starts(s *server) {
	if s.StartedAt > 0 {
		old := *s
		w.ended = append(w.ended, &old)
	}
	s.StartedAt, s.sent, s.fair = w.now, nil, 0
	s.dead = false
}

func (w *fleetWorld) join(i *instance, me int) {
	set := w.set
	set.BalancerIndex, set.Zone = me, set.Zones[me%len(set.Zones)]
	set.Seed = w.rng.Uint64()
	i.w, i.tries, i.told = w, map[string]int{}, map[string]Time{}
	i.Balancer = New(w.now, set, i)
	w.instances = append(w.instances, i)
	i.next()
}

// tell gives an instance changed lines, or the whole list.
func (i *instance) tell(full bool, lines ...*server) {
	var list []Backend
	for _, s := range lines {
		list = append(list, s.Backend)
		i.told[s.ID] = s.StartedAt
	}
	i.UpdateList(i.w.now, full, list)
}

// next lets the next call arrive: Poisson.
func (i *instance) next() {
	w := i.w
	w.at(w.now+Time(w.rng.ExpFloat64()/i.perSec*float64(time.Second)), func() {
		if i.over {
			return
		}
		w.calls++
		id := strconv.Itoa(w.calls)
		for _, s := range w.servers { // what each would get of it with all of them warm
			if s.StartedAt > 0 && w.now < s.StartedAt+w.rules.within {
				s.fair += w.rules.warmth(w.now-s.StartedAt) / float64(w.planned)
			}
		}
		c := w.set.Classes[w.calls%w.classes]
		i.StartRequest(w.now, Request{ID: id, Class: w.calls % w.classes, Budget: c.Deadline})
		i.next()
	})
}

func (i *instance) Send(request, backend string, timeout time.Duration) {
	w, s, n := i.w, i.w.server(backend), i.tries[request]
	i.tries[request]++
	start, over := w.now, false
	if s.StartedAt > 0 && i.told[backend] == s.StartedAt && w.now < s.StartedAt+w.rules.within {
		s.sent = append(s.sent, w.now-s.StartedAt)
	}
	done := func(r Result) {
		if !over && !i.over {
			over = true
			o := Outcome{Request: request, Attempt: n, Result: r, Latency: w.now - start, Final: r == OK}
			i.AttemptDone(w.now, o)
		}
	}
	w.at(w.now+timeout, func() { done(TimedOut) })
	if s.dead || s.State == Removed {
		w.at(w.now+ms, func() { done(ConnectFailed) })
		return
	}
	if w.rng.Float64() < s.fails {
		w.at(w.now+2*ms, func() { done(Error) })
		return
	}
	if len(s.queue) >= 4*s.slots() {
		w.at(w.now+ms, func() { done(Rejected) })
		return
	}
	s.queue = append(s.queue, func() { done(OK) })
	w.work(s)
}

// work begins what waits at a server and fits.
func (w *fleetWorld) work(s *server) {
	if len(s.queue) == 0 || s.inWork >= s.slots() {
		return
	}
	done := s.queue[0]
	s.queue = s.queue[1:]
	s.inWork++
	takes := float64(s.slots()) / s.capacity * (0.5 + w.rng.Float64())
	if s.StartedAt > 0 {
		takes /= w.rules.warmth(w.now - s.StartedAt)
	}
	w.at(w.now+Time(takes*float64(time.Second)), func() {
		s.inWork--
		done()
		w.work(s)
	})
}

func (i *instance) Refuse(string, time.Duration, Cause) {}
func (i *instance) Fail(string, Cause)                  {}
func (i *instance) Cancel(string, int)                  {}
func (i *instance) CloseIdle(string)                    {}
func (i *instance) StartTimer(token uint64, after time.Duration) {
	w := i.w
	w.at(w.now+after, func() {
		if !i.over {
			i.Balancer.TimerFired(w.now, token)
		}
	})
}

// tellAll gives all instances changed lines, each at a time of its own within apart.
func (w *fleetWorld) tellAll(apart time.Duration, lines ...*server) {
	for _, i := range w.instances {
		at := w.now + Time(w.rng.Float64()*float64(apart))
		w.at(at, func() {
			if !i.over {
				i.tell(false, lines...)
			}
		})
	}
}

// replace ends an instance, and begins another one in its place that is told of lines.
func (w *fleetWorld) replace(n int, lines ...*server) {
	old := w.instances[n]
	old.over = true
	i := &instance{perSec: old.perSec}
	w.join(i, n)
	w.instances[n], w.instances = i, w.instances[:len(w.instances)-1]
	i.tell(true, lines...)
}

func (w *fleetWorld) up() []*server {
	return slices.DeleteFunc(slices.Clone(w.servers), func(s *server) bool { return s.State != Up })
}

// leave takes servers out of service: draining at first, or gone at once.
func (w *fleetWorld) leave(state State, apart time.Duration, servers ...*server) {
	for _, s := range servers {
		s.State = state
	}
	w.tellAll(apart, servers...)
}

// newcomer starts a server that nobody knew, and tells all of it.
func (w *fleetWorld) newcomer(zone string, n int, apart time.Duration) {
	s := w.add(zone, n)
	w.starts(s)
	w.tellAll(apart, s)
}

// rampTraffic is what the instances are sent, as parts of what the servers can do.
type rampTraffic struct {
	name     string
	capacity float64
	load     float64
	deadline time.Duration
	settled  Time    // when the troubles begin: own traffic is known by then
	span     float64 // how much of the warm-up is played, for the time that it takes
}

var rampTraffics = []rampTraffic{
	// At 10 servers and 30 instances: a call every 3 s at each.
	{"thin", 1.7, 0.6, 6 * time.Second, 60 * time.Second, 1},
	{"busy", 12, 0.6, 2 * time.Second, 5 * time.Second, 0.6},
	{"full", 25, 0.9, 2 * time.Second, 4 * time.Second, 0.15},
}

// rampCase is what happens to a fleet of ten servers.
type rampCase struct {
	name  string
	zones int // 0: one
	prep  func(w *fleetWorld)
	do    func(w *fleetWorld)
}

// attach brings a server back by hand at all instances, each at a time of its own within apart.
func (w *fleetWorld) attach(s *server, apart time.Duration) {
	w.starts(s)
	for _, i := range w.instances {
		w.at(w.now+Time(w.rng.Float64()*float64(apart)), func() {
			i.told[s.ID] = s.StartedAt
			i.Attach(w.now, s.ID)
		})
	}
}

var rampCases = []rampCase{
	{name: "one newcomer", do: func(w *fleetWorld) { w.newcomer("b", 99, 0) }},
	{name: "one newcomer, heard of within 6 s", do: func(w *fleetWorld) {
		w.newcomer("b", 99, 6*time.Second)
	}},
	{name: "restarted, heard of within 6 s", do: func(w *fleetWorld) {
		w.starts(w.servers[0])
		w.tellAll(6*time.Second, w.servers[0])
	}},
	{name: "restarted twice", do: func(w *fleetWorld) {
		again := func() { w.starts(w.servers[0]); w.tellAll(500*ms, w.servers[0]) }
		again()
		w.at(w.now+3*time.Second, again)
	}},
	{name: "six in ten replaced within 7 s", do: func(w *fleetWorld) {
		for n := range 6 {
			w.at(w.now+Time(n)*7*time.Second/6, func() {
				w.leave(Draining, 500*ms, w.servers[n])
				w.newcomer("b", 90+n, 500*ms)
			})
		}
	}},
	{name: "all replaced at once", do: func(w *fleetWorld) {
		w.leave(Draining, 500*ms, w.servers...)
		for n := range 10 {
			w.newcomer("b", 90+n, 500*ms)
		}
	}},
	{name: "zone returns cold", zones: 2, do: func(w *fleetWorld) {
		zone := slices.DeleteFunc(slices.Clone(w.servers), func(s *server) bool { return s.Zone != "b" })
		w.leave(Removed, 0, zone...)
		w.at(w.now+5*time.Second, func() {
			for _, s := range zone {
				w.starts(s)
			}
			w.leave(Up, 500*ms, zone...)
		})
	}},
	{name: "zone returns cold, the other goes", zones: 2, do: func(w *fleetWorld) {
		for _, s := range w.servers {
			if s.Zone == "b" {
				w.starts(s)
			}
		}
		w.tellAll(500*ms, w.servers...)
		w.at(w.now+time.Second, func() {
			for _, s := range w.servers {
				if s.Zone == "a" {
					s.dead = true
				}
			}
		})
	}},
	{name: "proxies restart at once", do: func(w *fleetWorld) {
		w.newcomer("b", 99, 0)
		for n := range w.instances {
			w.replace(n, w.up()...)
		}
	}},
	{name: "proxies restart within 5 s", do: func(w *fleetWorld) {
		w.newcomer("b", 99, 0)
		for n := range w.instances {
			at := w.now + Time(w.rng.Float64()*5*float64(time.Second))
			w.at(at, func() { w.replace(n, w.up()...) })
		}
	}},
	{name: "short list at new proxies, a fifth of them", do: func(w *fleetWorld) {
		w.newcomer("b", 99, 0)
		for n := range w.instances {
			if n%5 == 0 {
				w.replace(n, w.servers[0], w.servers[10])
			}
		}
	}},
	{name: "seven in ten drain", do: func(w *fleetWorld) {
		w.leave(Draining, 500*ms, w.servers[:7]...)
		w.newcomer("b", 99, 500*ms)
	}},
	{name: "seven in ten gone", do: func(w *fleetWorld) {
		w.leave(Removed, 500*ms, w.servers[:7]...)
		w.newcomer("b", 99, 500*ms)
	}},
	{name: "half dead and ejected", do: func(w *fleetWorld) {
		for _, s := range w.servers[:5] {
			s.dead = true
		}
		w.newcomer("b", 99, 500*ms)
	}},
	{name: "nine in ten dead", do: func(w *fleetWorld) {
		for _, s := range w.servers[:9] {
			s.dead = true
		}
		w.newcomer("b", 99, 500*ms)
	}},
	{name: "it fails half of its calls, others one in five", do: func(w *fleetWorld) {
		for _, s := range w.servers {
			s.fails = 0.2
		}
		w.newcomer("b", 99, 0)
		w.servers[10].fails = 0.5
	}},
	{name: "spill-over on top", zones: 2, do: func(w *fleetWorld) {
		for _, s := range w.servers[:6] {
			if s.Zone == "a" {
				w.leave(Draining, 500*ms, s)
			}
		}
		w.newcomer("b", 99, 500*ms)
	}},
	{name: "attached by hand at all", prep: detachFirst, do: func(w *fleetWorld) {
		w.attach(w.servers[0], 0)
	}},
	{name: "attached by hand at all, after each other", prep: detachFirst, do: func(w *fleetWorld) {
		w.attach(w.servers[0], 3*time.Second)
	}},
}

func detachFirst(w *fleetWorld) {
	for _, i := range w.instances {
		i.Detach(w.servers[0].ID)
	}
}

// rampWorst is the worst of the cold starts of a run, and what they got of their fair ramp.
type rampWorst struct {
	sum   int
	bound float64
	got   int
	fair  float64
}

func (r rampWorst) ratio() float64 { return float64(r.sum) / r.bound }

func (r *rampWorst) add(o rampWorst) {
	if r.bound == 0 || o.ratio() > r.ratio() {
		r.sum, r.bound = o.sum, o.bound
	}
	r.got, r.fair = r.got+o.got, r.fair+o.fair
}

func playRamp(c rampCase, traffic rampTraffic, r coldRules, instances, tier int, uneven bool,
	seed uint64) (all rampWorst) {
	w := &fleetWorld{rng: rand.New(rand.NewPCG(seed, 9)), rules: r, planned: 10, capacity: traffic.capacity}
	w.set = testSettings()
	w.set.Zones = []string{"b", "a"}[:max(1, c.zones)]
	w.set.BalancerCount, w.set.Tier, w.set.UnevenTraffic = instances, tier, uneven
	w.set.InitialWarmUpFraction, w.set.WarmUpTime = r.share, r.within
	for i := range w.set.Classes {
		w.set.Classes[i].Deadline, w.set.Classes[i].TargetLatency = traffic.deadline, traffic.deadline/4
	}
	w.classes = len(w.set.Classes)
	for n := range w.planned {
		w.add(w.set.Zones[n%len(w.set.Zones)], n)
	}
	w.perSec = traffic.load * float64(w.planned) * traffic.capacity
	parts, sum := make([]float64, instances), 0.0
	for n := range parts { // unlike: a few carry most
		parts[n] = 1
		if uneven {
			parts[n] = math.Exp(1.2 * w.rng.NormFloat64())
		}
		sum += parts[n]
	}
	for n := range instances {
		i := &instance{perSec: w.perSec * parts[n] / sum}
		w.join(i, n)
		i.tell(true, w.servers...)
	}
	if c.prep != nil {
		c.prep(w)
	}
	w.at(traffic.settled, func() { c.do(w) })
	w.run(traffic.settled + 5*time.Second + Time(traffic.span*float64(r.within)))
	for _, s := range append(w.ended, w.servers...) {
		if s.StartedAt > 0 {
			one := rampWorst{got: len(s.sent), fair: s.fair}
			one.sum, one.bound = r.fullest(s.capacity, s.sent)
			all.add(one)
		}
	}
	return all
}

var rampFleets = []struct {
	instances int
	coldRules
}{
	{20, coldRules{0.35, 8 * time.Second, 2.5, 2 * time.Second}},
	{30, coldRules{0.13, 24 * time.Second, 2.5, 1500 * ms}},
}

const rampSeeds = 3 // of each case: fixed, so that the verdict is the same each time

// Guards against a sum of calls, over all proxies, that a cold server falls under.
func TestRampHoldsForTheFleet(t *testing.T) {
	for _, c := range rampCases {
		for _, traffic := range rampTraffics {
			for tier := range 2 {
				var worst rampWorst
				for _, fleet := range rampFleets {
					for seed := range uint64(rampSeeds) {
						got := playRamp(c, traffic, fleet.coldRules, fleet.instances, tier, false, seed)
						got.check(t, c.name, traffic.name, "tier", tier, "of", fleet.instances, "seed", seed)
						worst.add(got)
					}
				}
				worst.report(t, c.name, traffic.name, "tier", tier)
			}
		}
	}
}

// The same where each client process has a balancer of its own, and a few carry most of the calls.
func TestRampHoldsForAMesh(t *testing.T) {
	for _, c := range rampCases {
		var worst rampWorst
		for seed := range uint64(rampSeeds) {
			got := playRamp(c, rampTraffics[1], rampFleets[1].coldRules, 150, 0, true, seed)
			got.check(t, c.name, "mesh, seed", seed)
			worst.add(got)
		}
		worst.report(t, c.name, "mesh")
	}
}

func (r rampWorst) check(t *testing.T, what ...any) {
	t.Helper()
	if float64(r.sum) > r.bound {
		t.Errorf("%v: %d calls, bound %.1f", what, r.sum, r.bound)
	}
}

func (r rampWorst) report(t *testing.T, what ...any) {
	t.Helper()
	share := float64(r.got) / r.fair
	t.Logf("%v: worst %d of %.1f, share %.2f", what, r.sum, r.bound, share)
	if share < 0.25 { // a bound that is kept by sending nothing is none
		t.Errorf("%v: cold servers got %.2f of their fair ramp", what, share)
	}
}
