package logic

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"
)

// Slow start has to hold for the whole fleet: a server in slow start is overloaded by the sum of what all
// proxies send. These tests run many instances of the real balancer in virtual time against simulated
// servers whose capacity the test knows and the balancers do not.

// slowStartRules are the operators' rules for servers in slow start. The balancers know the first two
// values only.
type slowStartRules struct {
	initialFraction float64       // share of the capacity at the start
	warmUpTime      time.Duration // time until the full capacity
	multiple        float64       // multiple of the present capacity that a server withstands
	window          time.Duration // over which multiple is measured
}

// warmUpFraction is the share of its capacity that a server has at the given age.
func (r slowStartRules) warmUpFraction(age time.Duration) float64 {
	return min(1, r.initialFraction+(1-r.initialFraction)*max(0, float64(age)/float64(r.warmUpTime)))
}

// maxCalls is how many calls a server may be sent in a window that begins at the given age: the budget N
// and a margin for chance.
func (r slowStartRules) maxCalls(capacity float64, age time.Duration) float64 {
	n := r.multiple * r.warmUpFraction(age) * capacity * r.window.Seconds()
	return n + 2*math.Sqrt(n) + 2
}

// worstWindow examines all windows that begin during the slow start of a server that started at 0. It
// returns the number of calls and the bound of the window that is closest to its bound or exceeds it
// most. The worst windows begin with a call. The capacity is that at the start of the window, its lowest.
func (r slowStartRules) worstWindow(capacity float64, sent []Time) (sum int, bound float64) {
	slices.Sort(sent)
	bound = r.maxCalls(capacity, 0)
	end := 0
	for i, at := range sent {
		if at >= r.warmUpTime {
			break
		}
		// A warmed-up server is not overloaded.
		for end < len(sent) && sent[end] < min(at+r.window, r.warmUpTime) {
			end++
		}
		if limit := r.maxCalls(capacity, at); float64(end-i)*bound > float64(sum)*limit {
			sum, bound = end-i, limit
		}
	}
	return sum, bound
}

// Checks the check itself: call histories on either side of the bound.
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
		{"as many as allowed", burst(26, 0), true},
		{"one more", burst(27, 0), false},
		{"one more in a later window, after few calls", append(spread(4, 10*ms), burst(46, 2500*ms)...),
			false},
		{"as many as allowed later in the slow start", burst(40, 5*time.Second), true},
		{"two windows' worth, in separate windows", append(burst(26, 0), burst(26, 2*time.Second)...), true},
		{"two windows' worth, across a window's end", append(burst(14, 1500*ms), burst(26, 2500*ms)...),
			false},
		{"the even rate of a warmed-up server", spread(200, 62500*time.Microsecond), false},
		{"the even rate of a server in slow start", spread(40, 250*ms), true},
		{"any number after the slow start", burst(1000, 10*time.Second), true},
		{"too many just before its end", burst(400, 9*time.Second), false},
	} {
		if sum, bound := r.worstWindow(capacity, c.sent); float64(sum) <= bound != c.holds {
			t.Errorf("%s: %d calls, bound %.1f, want it to hold: %v", c.name, sum, bound, c.holds)
		}
	}
}

// server simulates a backend: it executes some calls at a time, queues some, and rejects the rest.
type server struct {
	Backend
	capacity   float64 // calls a second after slow start
	errorShare float64 // share of calls that it answers with an error at once
	dead       bool    // no connection is possible
	executing  int
	queue      []func()
	// Since its start, by instances that knew of it: a balancer can't take others' calls into account.
	sent      []Time
	fairShare float64 // calls since then that a ramp proportional to its warm-up fraction would have got
}

// slotSeconds is how long a call takes after slow start, if the server executes more than one at a time.
const slotSeconds = 0.1

func (s *server) slots() int { return max(1, int(math.Round(s.capacity*slotSeconds))) }

// instance is one proxy: a balancer, and Actions that lead to the simulated servers.
type instance struct {
	*Balancer
	fleet          *simulatedFleet
	callsPerSecond float64
	stopped        bool
	attempts       map[string]int
	knownStarts    map[string]Time // latest start of each backend that it was informed of
}

type event struct {
	at  Time
	seq int
	do  func()
}

func (e event) before(o event) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

// eventQueue is a heap; container/heap would box each event, which slows the test noticeably.
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

// simulatedFleet is all instances and servers in virtual time.
type simulatedFleet struct {
	now            Time
	seq            int
	queue          eventQueue
	rng            *rand.Rand
	rules          slowStartRules
	settings       Settings
	classes        int // number in use
	plannedServers int // number that the load is meant for
	capacity       float64
	callsPerSecond float64 // over all instances
	servers        []*server
	instances      []*instance
	endedStarts    []*server // slow starts that were ended by another start
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

// restart records that a server begins a slow start now; an earlier one is kept for the check.
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

// updateList gives an instance changed entries or the full list.
func (i *instance) updateList(full bool, servers ...*server) {
	var list []Backend
	for _, s := range servers {
		list = append(list, s.Backend)
		i.knownStarts[s.ID] = s.StartedAt
	}
	i.UpdateList(i.fleet.now, full, list)
}

// scheduleNextCall lets the next call arrive, as a Poisson process.
func (i *instance) scheduleNextCall() {
	w := i.fleet
	w.at(w.now+Time(w.rng.ExpFloat64()/i.callsPerSecond*float64(time.Second)), func() {
		if i.stopped {
			return
		}
		w.calls++
		id := strconv.Itoa(w.calls)
		for _, s := range w.servers { // what each would get if all had warmed up
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

// executeQueued starts the next queued call if the server has a free slot.
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

// updateAll gives all instances changed entries, each at its own random time within spread.
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

// replaceInstance stops an instance and starts another one in its place with the given list.
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

// takeOutOfService changes the state of servers to Draining or Removed and informs all instances.
func (w *simulatedFleet) takeOutOfService(state State, spread time.Duration, servers ...*server) {
	for _, s := range servers {
		s.State = state
	}
	w.updateAll(spread, servers...)
}

// startNewServer starts a server that was unknown and informs all instances.
func (w *simulatedFleet) startNewServer(zone string, n int, spread time.Duration) {
	s := w.add(zone, n)
	w.restart(s)
	w.updateAll(spread, s)
}

// rampTraffic is the load on the instances, relative to the capacity of the servers.
type rampTraffic struct {
	name        string
	capacity    float64
	load        float64
	deadline    time.Duration
	eventsAt    Time    // when the case's events begin: own traffic is known by then
	playedShare float64 // share of the warm-up time that is simulated, to limit the test's duration
}

var rampTraffics = []rampTraffic{
	// With 10 servers and 30 instances: a call every 3 s at each instance.
	{"low", 1.7, 0.6, 6 * time.Second, 60 * time.Second, 1},
	{"busy", 12, 0.6, 2 * time.Second, 5 * time.Second, 0.6},
	{"full", 25, 0.9, 2 * time.Second, 4 * time.Second, 0.15},
}

// rampCase is a sequence of events in a fleet of ten servers.
type rampCase struct {
	name    string
	zones   int // 0: one
	prepare func(w *simulatedFleet)
	do      func(w *simulatedFleet)
}

// attach attaches a server again at all instances, each at its own random time within spread.
func (w *simulatedFleet) attach(s *server, spread time.Duration) {
	w.restart(s)
	for _, i := range w.instances {
		w.at(w.now+Time(w.rng.Float64()*float64(spread)), func() {
			i.knownStarts[s.ID] = s.StartedAt
			i.Attach(w.now, s.ID, w.now)
		})
	}
}

var rampCases = []rampCase{
	{name: "one new server", do: func(w *simulatedFleet) { w.startNewServer("b", 99, 0) }},
	{name: "one new server, announced within 6 s", do: func(w *simulatedFleet) {
		w.startNewServer("b", 99, 6*time.Second)
	}},
	{name: "restarted, announced within 6 s", do: func(w *simulatedFleet) {
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
	{name: "zone returns in slow start", zones: 2, do: func(w *simulatedFleet) {
		zone := slices.DeleteFunc(slices.Clone(w.servers), func(s *server) bool { return s.Zone != "b" })
		w.takeOutOfService(Removed, 0, zone...)
		w.at(w.now+5*time.Second, func() {
			for _, s := range zone {
				w.restart(s)
			}
			w.takeOutOfService(Up, 500*ms, zone...)
		})
	}},
	{name: "zone returns in slow start, the other becomes unreachable", zones: 2,
		do: func(w *simulatedFleet) {
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
	{name: "a fifth of the proxies new, with a short list", do: func(w *simulatedFleet) {
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
	{name: "seven in ten removed", do: func(w *simulatedFleet) {
		w.takeOutOfService(Removed, 500*ms, w.servers[:7]...)
		w.startNewServer("b", 99, 500*ms)
	}},
	{name: "half unreachable and ejected", do: func(w *simulatedFleet) {
		for _, s := range w.servers[:5] {
			s.dead = true
		}
		w.startNewServer("b", 99, 500*ms)
	}},
	{name: "nine in ten unreachable", do: func(w *simulatedFleet) {
		for _, s := range w.servers[:9] {
			s.dead = true
		}
		w.startNewServer("b", 99, 500*ms)
	}},
	{name: "half of its calls fail, one in five on the others", do: func(w *simulatedFleet) {
		for _, s := range w.servers {
			s.errorShare = 0.2
		}
		w.startNewServer("b", 99, 0)
		w.servers[10].errorShare = 0.5
	}},
	{name: "spill-over in addition", zones: 2, do: func(w *simulatedFleet) {
		for _, s := range w.servers[:6] {
			if s.Zone == "a" {
				w.takeOutOfService(Draining, 500*ms, s)
			}
		}
		w.startNewServer("b", 99, 500*ms)
	}},
	{name: "attached at all instances", prepare: detachFirstServer, do: func(w *simulatedFleet) {
		w.attach(w.servers[0], 0)
	}},
	{name: "attached at all instances, one after the other", prepare: detachFirstServer,
		do: func(w *simulatedFleet) {
			w.attach(w.servers[0], 3*time.Second)
		}},
}

func detachFirstServer(w *simulatedFleet) {
	for _, i := range w.instances {
		i.Detach(w.servers[0].ID)
	}
}

// rampResult is the worst window of all slow starts of a run, and the share of calls they got.
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
	for n := range weights { // uneven: a few instances get most of the calls
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

const rampSeeds = 3 // for each case; fixed, so that the result is the same each time

// Prevents the sum of the calls of all proxies from overloading a server in slow start.
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

// The same where each client process has its own balancer and a few get most of the calls.
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
	if share < 0.25 { // a bound kept by sending nothing proves nothing
		t.Errorf("%v: servers in slow start got %.2f of their fair share", what, share)
	}
}
