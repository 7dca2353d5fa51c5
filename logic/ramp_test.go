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
type slowStartRules struct {
	initialFraction float64       // of the capacity, at the start
	warmUpTime      time.Duration // it has all of it after this
	multiple        float64       // of its capacity at the time, that a server stands
	window          time.Duration // for so long
}

// warmth is the share of its capacity that a server has at an age.
func (r slowStartRules) warmUpFraction(age time.Duration) float64 {
	return min(1, r.initialFraction+(1-r.initialFraction)*max(0, float64(age)/float64(r.warmUpTime)))
}

// most is how many calls a server may be sent in a window that begins at an age: the budget N,
// and what is put down to chance.
func (r slowStartRules) maxCalls(capacity float64, age time.Duration) float64 {
	n := r.multiple * r.warmUpFraction(age) * capacity * r.window.Seconds()
	return n + 2*math.Sqrt(n) + 2
}

// fullest looks at all windows that begin while a server that started at 0 is cold, and returns
// the one that comes nearest to its bound or goes furthest over: the sum and the bound. The worst
// windows begin with a call. The capacity is that of the window's first moment, its least.
func (r slowStartRules) worstWindow(capacity float64, sent []Time) (sum int, bound float64) {
	slices.Sort(sent)
	bound = r.maxCalls(capacity, 0)
	end := 0
	for i, at := range sent {
		if at >= r.warmUpTime {
			break
		}
		for end < len(sent) && sent[end] < min(at+r.window, r.warmUpTime) { // a warm one does not fall
			end++
		}
		if limit := r.maxCalls(capacity, at); float64(end-i)*bound > float64(sum)*limit {
			sum, bound = end-i, limit
		}
	}
	return sum, bound
}

// A check that can't fail says nothing: made-up histories on either side of the bound.
func TestRampCheckDetectsViolation(t *testing.T) {
	r := slowStartRules{0.2, 10 * time.Second, 2.5, 2 * time.Second}
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
		if sum, bound := r.worstWindow(capacity, c.sent); float64(sum) <= bound != c.holds {
			t.Errorf("%s: %d calls, bound %.1f, want it to hold: %v", c.name, sum, bound, c.holds)
		}
	}
}

// server is a backend as it is: some calls at a time, a queue, and what is over is turned away.
type server struct {
	Backend
	capacity   float64 // calls a second, warm
	errorShare float64 // share of calls that it answers with an error at once
	dead       bool    // nobody there
	executing  int
	queue      []func()
	sent       []Time  // since its start, by instances that knew of it: no module can hold back others
	fairShare  float64 // what a ramp in step with its warmth would have got of all calls since then
}

const slotTime = 0.1 // seconds a call takes on a warm server, where it takes more than one at a time

func (s *server) slots() int { return max(1, int(math.Round(s.capacity*slotTime))) }

// instance is one proxy: the module, and Actions that lead to the servers.
type instance struct {
	*Balancer
	fleet          *simulatedFleet
	callsPerSecond float64
	stopped        bool
	attempts       map[string]int
	knownStarts    map[string]Time // the last start of each backend that it heard of
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
type simulatedFleet struct {
	now            Time
	seq            int
	queue          eventQueue
	rng            *rand.Rand
	rules          slowStartRules
	settings       Settings
	classes        int // in use
	plannedServers int // servers the fleet is laid out for
	capacity       float64
	callsPerSecond float64 // calls a second, over all instances
	servers        []*server
	instances      []*instance
	endedStarts    []*server // cold starts that another one has ended
	calls          int
}

func (w *simulatedFleet) at(at Time, do func()) {
	w.seq++
	w.queue.push(event{max(at, w.now), w.seq, do})
}

func (w *simulatedFleet) run(end Time) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := w.queue.pop()
		w.now = e.at
		e.do()
	}
}

func (w *simulatedFleet) server(id string) *server {
	if i := slices.IndexFunc(w.servers, func(s *server) bool { return s.ID == id }); i >= 0 {
		return w.servers[i]
	}
	return nil
}

func (w *simulatedFleet) add(zone string, n int) *server {
	s := &server{Backend: entry(zone, n), capacity: w.capacity}
	w.servers = append(w.servers, s)
	return s
}

// starts takes that a server starts cold now; the ramp of an earlier start is kept for the check.
func (w *simulatedFleet) restart(s *server) {
	if s.StartedAt > 0 {
		old := *s
		w.endedStarts = append(w.endedStarts, &old)
	}
	s.StartedAt, s.sent, s.fairShare = w.now, nil, 0
	s.dead = false
}

func (w *simulatedFleet) addInstance(i *instance, index int) {
	settings := w.settings
	settings.BalancerIndex, settings.Zone = index, settings.Zones[index%len(settings.Zones)]
	settings.Seed = w.rng.Uint64()
	i.fleet, i.attempts, i.knownStarts = w, map[string]int{}, map[string]Time{}
	i.Balancer = New(w.now, settings, i)
	w.instances = append(w.instances, i)
	i.scheduleNextCall()
}

// tell gives an instance changed lines, or the whole list.
func (i *instance) updateList(full bool, servers ...*server) {
	var list []Backend
	for _, s := range servers {
		list = append(list, s.Backend)
		i.knownStarts[s.ID] = s.StartedAt
	}
	i.UpdateList(i.fleet.now, full, list)
}

// next lets the next call arrive: Poisson.
func (i *instance) scheduleNextCall() {
	w := i.fleet
	w.at(w.now+Time(w.rng.ExpFloat64()/i.callsPerSecond*float64(time.Second)), func() {
		if i.stopped {
			return
		}
		w.calls++
		id := strconv.Itoa(w.calls)
		for _, s := range w.servers { // what each would get of it with all of them warm
			if s.StartedAt > 0 && w.now < s.StartedAt+w.rules.warmUpTime {
				s.fairShare += w.rules.warmUpFraction(w.now-s.StartedAt) / float64(w.plannedServers)
			}
		}
		c := w.settings.Classes[w.calls%w.classes]
		i.StartRequest(w.now, Request{ID: id, Class: w.calls % w.classes, Budget: c.Deadline})
		i.scheduleNextCall()
	})
}

func (i *instance) Send(request, backend string, timeout time.Duration) {
	w, s, n := i.fleet, i.fleet.server(backend), i.attempts[request]
	i.attempts[request]++
	start, ended := w.now, false
	if s.StartedAt > 0 && i.knownStarts[backend] == s.StartedAt && w.now < s.StartedAt+w.rules.warmUpTime {
		s.sent = append(s.sent, w.now-s.StartedAt)
	}
	done := func(r Result) {
		if !ended && !i.stopped {
			ended = true
			o := Outcome{Request: request, Attempt: n, Result: r, Latency: w.now - start, Final: r == OK}
			i.AttemptDone(w.now, o)
		}
	}
	w.at(w.now+timeout, func() { done(TimedOut) })
	if s.dead || s.State == Removed {
		w.at(w.now+ms, func() { done(ConnectFailed) })
		return
	}
	if w.rng.Float64() < s.errorShare {
		w.at(w.now+2*ms, func() { done(Error) })
		return
	}
	if len(s.queue) >= 4*s.slots() {
		w.at(w.now+ms, func() { done(Rejected) })
		return
	}
	s.queue = append(s.queue, func() { done(OK) })
	w.executeQueued(s)
}

// work begins what waits at a server and fits.
func (w *simulatedFleet) executeQueued(s *server) {
	if len(s.queue) == 0 || s.executing >= s.slots() {
		return
	}
	done := s.queue[0]
	s.queue = s.queue[1:]
	s.executing++
	seconds := float64(s.slots()) / s.capacity * (0.5 + w.rng.Float64())
	if s.StartedAt > 0 {
		seconds /= w.rules.warmUpFraction(w.now - s.StartedAt)
	}
	w.at(w.now+Time(seconds*float64(time.Second)), func() {
		s.executing--
		done()
		w.executeQueued(s)
	})
}

func (i *instance) Refuse(string, time.Duration, Cause) {}
func (i *instance) Fail(string, Cause)                  {}
func (i *instance) Cancel(string, int)                  {}
func (i *instance) CloseIdle(string)                    {}
func (i *instance) StartTimer(token uint64, after time.Duration) {
	w := i.fleet
	w.at(w.now+after, func() {
		if !i.stopped {
			i.Balancer.TimerFired(w.now, token)
		}
	})
}

// tellAll gives all instances changed lines, each at a time of its own within apart.
func (w *simulatedFleet) updateAll(spread time.Duration, servers ...*server) {
	for _, i := range w.instances {
		at := w.now + Time(w.rng.Float64()*float64(spread))
		w.at(at, func() {
			if !i.stopped {
				i.updateList(false, servers...)
			}
		})
	}
}

// replace ends an instance, and begins another one in its place that is told of lines.
func (w *simulatedFleet) replaceInstance(n int, servers ...*server) {
	old := w.instances[n]
	old.stopped = true
	i := &instance{callsPerSecond: old.callsPerSecond}
	w.addInstance(i, n)
	w.instances[n], w.instances = i, w.instances[:len(w.instances)-1]
	i.updateList(true, servers...)
}

func (w *simulatedFleet) up() []*server {
	return slices.DeleteFunc(slices.Clone(w.servers), func(s *server) bool { return s.State != Up })
}

// leave takes servers out of service: draining at first, or gone at once.
func (w *simulatedFleet) takeOutOfService(state State, spread time.Duration, servers ...*server) {
	for _, s := range servers {
		s.State = state
	}
	w.updateAll(spread, servers...)
}

// newcomer starts a server that nobody knew, and tells all of it.
func (w *simulatedFleet) startNewServer(zone string, n int, spread time.Duration) {
	s := w.add(zone, n)
	w.restart(s)
	w.updateAll(spread, s)
}

// rampTraffic is what the instances are sent, as parts of what the servers can do.
type rampTraffic struct {
	name        string
	capacity    float64
	load        float64
	deadline    time.Duration
	eventsAt    Time    // when the troubles begin: own traffic is known by then
	playedShare float64 // how much of the warm-up is played, for the time that it takes
}

var rampTraffics = []rampTraffic{
	// At 10 servers and 30 instances: a call every 3 s at each.
	{"thin", 1.7, 0.6, 6 * time.Second, 60 * time.Second, 1},
	{"busy", 12, 0.6, 2 * time.Second, 5 * time.Second, 0.6},
	{"full", 25, 0.9, 2 * time.Second, 4 * time.Second, 0.15},
}

// rampCase is what happens to a fleet of ten servers.
type rampCase struct {
	name    string
	zones   int // 0: one
	prepare func(w *simulatedFleet)
	do      func(w *simulatedFleet)
}

// attach brings a server back by hand at all instances, each at a time of its own within apart.
func (w *simulatedFleet) attach(s *server, spread time.Duration) {
	w.restart(s)
	for _, i := range w.instances {
		w.at(w.now+Time(w.rng.Float64()*float64(spread)), func() {
			i.knownStarts[s.ID] = s.StartedAt
			i.Attach(w.now, s.ID)
		})
	}
}

var rampCases = []rampCase{
	{name: "one newcomer", do: func(w *simulatedFleet) { w.startNewServer("b", 99, 0) }},
	{name: "one newcomer, heard of within 6 s", do: func(w *simulatedFleet) {
		w.startNewServer("b", 99, 6*time.Second)
	}},
	{name: "restarted, heard of within 6 s", do: func(w *simulatedFleet) {
		w.restart(w.servers[0])
		w.updateAll(6*time.Second, w.servers[0])
	}},
	{name: "restarted twice", do: func(w *simulatedFleet) {
		again := func() { w.restart(w.servers[0]); w.updateAll(500*ms, w.servers[0]) }
		again()
		w.at(w.now+3*time.Second, again)
	}},
	{name: "six in ten replaced within 7 s", do: func(w *simulatedFleet) {
		for n := range 6 {
			w.at(w.now+Time(n)*7*time.Second/6, func() {
				w.takeOutOfService(Draining, 500*ms, w.servers[n])
				w.startNewServer("b", 90+n, 500*ms)
			})
		}
	}},
	{name: "all replaced at once", do: func(w *simulatedFleet) {
		w.takeOutOfService(Draining, 500*ms, w.servers...)
		for n := range 10 {
			w.startNewServer("b", 90+n, 500*ms)
		}
	}},
	{name: "zone returns cold", zones: 2, do: func(w *simulatedFleet) {
		zone := slices.DeleteFunc(slices.Clone(w.servers), func(s *server) bool { return s.Zone != "b" })
		w.takeOutOfService(Removed, 0, zone...)
		w.at(w.now+5*time.Second, func() {
			for _, s := range zone {
				w.restart(s)
			}
			w.takeOutOfService(Up, 500*ms, zone...)
		})
	}},
	{name: "zone returns cold, the other goes", zones: 2, do: func(w *simulatedFleet) {
		for _, s := range w.servers {
			if s.Zone == "b" {
				w.restart(s)
			}
		}
		w.updateAll(500*ms, w.servers...)
		w.at(w.now+time.Second, func() {
			for _, s := range w.servers {
				if s.Zone == "a" {
					s.dead = true
				}
			}
		})
	}},
	{name: "proxies restart at once", do: func(w *simulatedFleet) {
		w.startNewServer("b", 99, 0)
		for n := range w.instances {
			w.replaceInstance(n, w.up()...)
		}
	}},
	{name: "proxies restart within 5 s", do: func(w *simulatedFleet) {
		w.startNewServer("b", 99, 0)
		for n := range w.instances {
			at := w.now + Time(w.rng.Float64()*5*float64(time.Second))
			w.at(at, func() { w.replaceInstance(n, w.up()...) })
		}
	}},
	{name: "short list at new proxies, a fifth of them", do: func(w *simulatedFleet) {
		w.startNewServer("b", 99, 0)
		for n := range w.instances {
			if n%5 == 0 {
				w.replaceInstance(n, w.servers[0], w.servers[10])
			}
		}
	}},
	{name: "seven in ten drain", do: func(w *simulatedFleet) {
		w.takeOutOfService(Draining, 500*ms, w.servers[:7]...)
		w.startNewServer("b", 99, 500*ms)
	}},
	{name: "seven in ten gone", do: func(w *simulatedFleet) {
		w.takeOutOfService(Removed, 500*ms, w.servers[:7]...)
		w.startNewServer("b", 99, 500*ms)
	}},
	{name: "half dead and ejected", do: func(w *simulatedFleet) {
		for _, s := range w.servers[:5] {
			s.dead = true
		}
		w.startNewServer("b", 99, 500*ms)
	}},
	{name: "nine in ten dead", do: func(w *simulatedFleet) {
		for _, s := range w.servers[:9] {
			s.dead = true
		}
		w.startNewServer("b", 99, 500*ms)
	}},
	{name: "it fails half of its calls, others one in five", do: func(w *simulatedFleet) {
		for _, s := range w.servers {
			s.errorShare = 0.2
		}
		w.startNewServer("b", 99, 0)
		w.servers[10].errorShare = 0.5
	}},
	{name: "spill-over on top", zones: 2, do: func(w *simulatedFleet) {
		for _, s := range w.servers[:6] {
			if s.Zone == "a" {
				w.takeOutOfService(Draining, 500*ms, s)
			}
		}
		w.startNewServer("b", 99, 500*ms)
	}},
	{name: "attached by hand at all", prepare: detachFirstServer, do: func(w *simulatedFleet) {
		w.attach(w.servers[0], 0)
	}},
	{name: "attached by hand at all, after each other", prepare: detachFirstServer,
		do: func(w *simulatedFleet) {
			w.attach(w.servers[0], 3*time.Second)
		}},
}

func detachFirstServer(w *simulatedFleet) {
	for _, i := range w.instances {
		i.Detach(w.servers[0].ID)
	}
}

// rampWorst is the worst of the cold starts of a run, and what they got of their fair ramp.
type rampResult struct {
	sum       int
	bound     float64
	received  int
	fairShare float64
}

func (r rampResult) ratio() float64 { return float64(r.sum) / r.bound }

func (r *rampResult) add(o rampResult) {
	if r.bound == 0 || o.ratio() > r.ratio() {
		r.sum, r.bound = o.sum, o.bound
	}
	r.received, r.fairShare = r.received+o.received, r.fairShare+o.fairShare
}

func playRamp(c rampCase, traffic rampTraffic, r slowStartRules, instances, tier int, unevenTraffic bool,
	seed uint64) (all rampResult) {
	w := &simulatedFleet{rng: rand.New(rand.NewPCG(seed, 9)), rules: r, plannedServers: 10,
		capacity: traffic.capacity}
	w.settings = testSettings()
	w.settings.Zones = []string{"b", "a"}[:max(1, c.zones)]
	w.settings.BalancerCount, w.settings.Tier, w.settings.UnevenTraffic = instances, tier, unevenTraffic
	w.settings.InitialWarmUpFraction, w.settings.WarmUpTime = r.initialFraction, r.warmUpTime
	for i := range w.settings.Classes {
		w.settings.Classes[i].Deadline, w.settings.Classes[i].TargetLatency =
			traffic.deadline, traffic.deadline/4
	}
	w.classes = len(w.settings.Classes)
	for n := range w.plannedServers {
		w.add(w.settings.Zones[n%len(w.settings.Zones)], n)
	}
	w.callsPerSecond = traffic.load * float64(w.plannedServers) * traffic.capacity
	weights, sum := make([]float64, instances), 0.0
	for n := range weights { // unlike: a few carry most
		weights[n] = 1
		if unevenTraffic {
			weights[n] = math.Exp(1.2 * w.rng.NormFloat64())
		}
		sum += weights[n]
	}
	for n := range instances {
		i := &instance{callsPerSecond: w.callsPerSecond * weights[n] / sum}
		w.addInstance(i, n)
		i.updateList(true, w.servers...)
	}
	if c.prepare != nil {
		c.prepare(w)
	}
	w.at(traffic.eventsAt, func() { c.do(w) })
	w.run(traffic.eventsAt + 5*time.Second + Time(traffic.playedShare*float64(r.warmUpTime)))
	for _, s := range append(w.endedStarts, w.servers...) {
		if s.StartedAt > 0 {
			result := rampResult{received: len(s.sent), fairShare: s.fairShare}
			result.sum, result.bound = r.worstWindow(s.capacity, s.sent)
			all.add(result)
		}
	}
	return all
}

var rampFleets = []struct {
	instances int
	slowStartRules
}{
	{20, slowStartRules{0.35, 8 * time.Second, 2.5, 2 * time.Second}},
	{30, slowStartRules{0.13, 24 * time.Second, 2.5, 1500 * ms}},
}

const rampSeeds = 3 // of each case: fixed, so that the verdict is the same each time

// Guards against a sum of calls, over all proxies, that a cold server falls under.
func TestRampHoldsForTheFleet(t *testing.T) {
	for _, c := range rampCases {
		for _, traffic := range rampTraffics {
			for tier := range 2 {
				var worst rampResult
				for _, fleet := range rampFleets {
					for seed := range uint64(rampSeeds) {
						got := playRamp(c, traffic, fleet.slowStartRules, fleet.instances, tier, false, seed)
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
		var worst rampResult
		for seed := range uint64(rampSeeds) {
			got := playRamp(c, rampTraffics[1], rampFleets[1].slowStartRules, 150, 0, true, seed)
			got.check(t, c.name, "mesh, seed", seed)
			worst.add(got)
		}
		worst.report(t, c.name, "mesh")
	}
}

func (r rampResult) check(t *testing.T, what ...any) {
	t.Helper()
	if float64(r.sum) > r.bound {
		t.Errorf("%v: %d calls, bound %.1f", what, r.sum, r.bound)
	}
}

func (r rampResult) report(t *testing.T, what ...any) {
	t.Helper()
	share := float64(r.received) / r.fairShare
	t.Logf("%v: worst %d of %.1f, share %.2f", what, r.sum, r.bound, share)
	if share < 0.25 { // a bound that is kept by sending nothing is none
		t.Errorf("%v: cold servers got %.2f of their fair ramp", what, share)
	}
}
