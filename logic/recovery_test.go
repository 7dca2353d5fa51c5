package logic_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"oxbowloft/logic"
)

// These tests run one balancer with little traffic in virtual time against backends that all fail for a
// while and then recover. They look for a balancer that, because of what it learned from the failures,
// makes no attempt from which it could learn of the recovery.

// behavior is how the backends answer.
type behavior int

const (
	healthy     behavior = iota
	failing              // error at once
	rejecting            // rejects calls without executing them
	unreachable          // no connection is possible
	hanging              // no answer
	slow                 // later than any attempt timeout
	lateAnswers          // mostly within the attempt timeout, but beyond the target latency
)

func (h behavior) String() string {
	return [...]string{"healthy", "failing", "rejecting", "unreachable", "hanging", "slow", "late"}[h]
}

// drawReply draws the result and latency of a call.
func (h behavior) drawReply(rng *rand.Rand) (logic.Result, time.Duration) {
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(rng.Int64N(int64(most-least)))
	}
	switch h {
	case failing:
		return logic.Error, between(time.Millisecond, 10*time.Millisecond)
	case rejecting:
		return logic.Rejected, between(time.Millisecond, 10*time.Millisecond)
	case unreachable:
		return logic.ConnectFailed, time.Millisecond
	case hanging:
		return logic.OK, time.Hour
	case slow:
		return logic.OK, between(1500*time.Millisecond, 3*time.Second)
	case lateAnswers:
		return logic.OK, between(500*time.Millisecond, 1100*time.Millisecond)
	}
	return logic.OK, between(50*time.Millisecond, 150*time.Millisecond)
}

// timer is an event due in virtual time.
type timer struct {
	at       logic.Time
	sequence int // orders timers due at the same time as they were set
	do       func()
}

// timers is a heap of timers.
type timers []timer

func (t timers) Len() int      { return len(t) }
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].sequence < t[j].sequence
}
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

// stall is a period in which requests arrived and none was attempted.
type stall struct {
	began, ended logic.Time
	requests     int
}

// A balancer that refuses all requests for so long and so many of them counts as faulty: with healthy
// backends, operators treat it as a fault.
const (
	stallTime     = 4 * time.Second
	stallRequests = 15
)

func (s stall) exceedsBounds() bool {
	return s.ended-s.began >= stallTime && s.requests >= stallRequests
}

// simulation is one balancer, its requests and its backends. It implements logic.Actions.
type simulation struct {
	balancer  *logic.Balancer
	rng       *rand.Rand
	now       logic.Time
	timers    timers
	timersSet int // over the whole run
	behavior  behavior
	requests  int // over the whole run
	attempts  map[string]int
	served    int

	recording bool // the failure is over
	current   stall
	worst     stall
}

func (p *simulation) after(wait time.Duration, do func()) {
	p.timersSet++
	heap.Push(&p.timers, timer{p.now + wait, p.timersSet, do})
}

// run simulates until end.
func (p *simulation) run(end logic.Time) {
	for len(p.timers) > 0 && p.timers[0].at <= end {
		next := heap.Pop(&p.timers).(timer)
		p.now = next.at
		next.do()
	}
	p.now = end
}

// sendRequests sends a request and schedules the next one after a random time around *gap.
func (p *simulation) sendRequests(gap *time.Duration) {
	p.requests++
	id := "request-" + strconv.Itoa(p.requests)
	class := p.rng.IntN(len(classes))
	p.balancer.StartRequest(p.now, logic.Request{ID: id, Class: class, Budget: classes[class].Deadline})
	if p.attempts[id] == 0 {
		p.current.requests++
	}
	p.recordStall()
	p.after(time.Duration((0.5+p.rng.Float64())*float64(*gap)), func() { p.sendRequests(gap) })
}

// recordStall keeps the worst period without an attempt: the first that exceeds the bounds, or else the
// one with the most requests.
func (p *simulation) recordStall() {
	p.current.ended = p.now
	if p.recording && !p.worst.exceedsBounds() &&
		(p.current.exceedsBounds() || p.current.requests > p.worst.requests) {
		p.worst = p.current
	}
}

// Send implements logic.Actions.
func (p *simulation) Send(request, _ string, timeout time.Duration) {
	p.recordStall()
	p.current = stall{began: p.now}
	number := p.attempts[request]
	p.attempts[request]++
	result, latency := p.behavior.drawReply(p.rng)
	if latency > timeout {
		result, latency = logic.TimedOut, timeout
	}
	p.after(latency, func() {
		if result == logic.OK {
			p.served++
		}
		p.balancer.AttemptDone(p.now, logic.Outcome{
			Request: request,
			Attempt: number,
			Result:  result,
			Latency: latency,
			Final:   result == logic.OK,
		})
	})
}

// Refuse implements logic.Actions.
func (p *simulation) Refuse(string, time.Duration, logic.Cause) {}

// Fail implements logic.Actions.
func (p *simulation) Fail(string, logic.Cause) {}

// Cancel implements logic.Actions. No client disconnects here.
func (p *simulation) Cancel(string, int) {}

// Wake implements logic.Actions.
func (p *simulation) StartTimer(token uint64, wait time.Duration) {
	p.after(wait, func() { p.balancer.TimerFired(p.now, token) })
}

// CloseIdle implements logic.Actions.
func (p *simulation) CloseIdle(string) {}

// WatchList does nothing: the list does not change here.
func (p *simulation) WatchList() {}

var classes = []logic.Class{
	{Name: "get", TargetLatency: 800 * time.Millisecond, Deadline: 2 * time.Second, Value: 3,
		Idempotency: logic.Idempotent},
	{Name: "put", TargetLatency: 800 * time.Millisecond, Deadline: 2 * time.Second, Value: 2,
		Idempotency: logic.Deduplicated, DedupWindow: 5 * time.Second},
	{Name: "pay", TargetLatency: 800 * time.Millisecond, Deadline: 2 * time.Second, Value: 1,
		Idempotency: logic.NonIdempotent},
}

// deployment is the environment of the balancer.
type deployment struct {
	name      string
	balancers int
	tier      int
	uneven    bool
	backends  int
}

func newSimulation(s deployment, seed uint64) *simulation {
	p := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), attempts: map[string]int{}}
	p.balancer = logic.New(0, logic.Settings{
		Seed:                  seed,
		Zone:                  "z1",
		Zones:                 []string{"z1", "z2"},
		Classes:               classes,
		Tier:                  s.tier,
		BalancerCount:         s.balancers,
		UnevenTraffic:         s.uneven,
		MaxAttempts:           4,
		MaxRetryAfter:         1500 * time.Millisecond,
		InitialWarmUpFraction: 0.2,
		WarmUpTime:            10 * time.Second,
	}, p)
	var entries []logic.Backend
	for number := range s.backends {
		zone := fmt.Sprintf("z%d", 1+number%2)
		id := fmt.Sprintf("backend-%d", number)
		entries = append(entries, logic.Backend{ID: id, Zone: zone, Cell: 1, Capacity: 1})
	}
	p.balancer.UpdateList(0, true, entries)
	return p
}

// The phases of a run, and the mean time between requests in them.
const (
	calmBefore    = 20 * time.Second
	calmAfter     = 60 * time.Second
	recoveredTime = 20 * time.Second // at the end of calmAfter, when requests must be served again

	lowTrafficGap  = 200 * time.Millisecond // 20 requests in stallTime
	highTrafficGap = 10 * time.Millisecond
)

// failAndRecover simulates a failure and the time after it. It returns the worst stall after the failure,
// and the share of requests served at the end.
func (p *simulation) failAndRecover(
	failure behavior, duration, gap time.Duration) (worst stall, served float64) {
	currentGap := lowTrafficGap
	p.after(0, func() { p.sendRequests(&currentGap) })
	p.run(calmBefore)
	p.behavior, currentGap = failure, gap
	p.run(calmBefore + duration)
	p.behavior, currentGap = healthy, lowTrafficGap
	p.recording, p.current = true, stall{began: p.now}
	p.run(p.now + calmAfter - recoveredTime)
	requests, before := p.requests, p.served
	p.run(p.now + recoveredTime)
	p.recordStall()
	return p.worst, float64(p.served-before) / float64(p.requests-requests)
}

// minServedShare is the share of requests that a balancer must serve some time after the backends have
// recovered.
const minServedShare = 0.9

// Once the backends have recovered, little traffic is enough for the balancer to recover: it never
// refuses 15 or more requests over 4 s without an attempt, and soon serves requests again. Prevents
// ejections and limits that only an attempt could lift but that permit none.
func TestLowTrafficRecovers(t *testing.T) {
	deployments := []deployment{
		{"one balancer", 1, 0, false, 10},
		{"one backend", 1, 0, false, 1},
		{"few balancers", 8, 0, false, 10},
		{"many balancers", 350, 0, false, 100},
		{"a lower tier", 8, 1, false, 10},
		{"a mesh", 100, 0, true, 30},
		{"a large mesh", 1100, 0, true, 100},
	}
	durations := []time.Duration{5 * time.Second, 30 * time.Second, 2 * time.Minute}
	for _, s := range deployments {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			longest := 0
			for failure := failing; failure <= lateAnswers; failure++ {
				for _, duration := range durations {
					for _, gap := range []time.Duration{lowTrafficGap, highTrafficGap} {
						what := fmt.Sprintf("%s for %v, a request every %v", failure, duration, gap)
						worst, served := newSimulation(s, 1).failAndRecover(failure, duration, gap)
						longest = max(longest, worst.requests)
						if worst.exceedsBounds() {
							t.Errorf("%s: from %v on no attempt for %v and %d requests",
								what, worst.began, worst.ended-worst.began, worst.requests)
						}
						if served < minServedShare {
							t.Errorf("%s: at the end %.0f%% of requests are served", what, 100*served)
						}
					}
				}
			}
			t.Logf("at most %d requests in a row without an attempt", longest)
		})
	}
}

// Checks the check itself: periods on either side of the bounds.
func TestStallBounds(t *testing.T) {
	for _, c := range []struct {
		length   time.Duration
		requests int
		exceeds  bool
	}{
		{stallTime, stallRequests, true},
		{time.Minute, 300, true},
		{stallTime - 1, 300, false},
		{time.Minute, stallRequests - 1, false},
	} {
		s := stall{began: time.Second, ended: time.Second + c.length, requests: c.requests}
		if s.exceedsBounds() != c.exceeds {
			t.Errorf("%v with %d requests: counts as a fault: %v, want %v",
				c.length, c.requests, s.exceedsBounds(), c.exceeds)
		}
	}
}
