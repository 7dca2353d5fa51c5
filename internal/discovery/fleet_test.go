package discovery_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"oxbowloft/internal/discovery"
	"oxbowloft/internal/pacing"
	"oxbowloft/internal/standin"
	"oxbowloft/logic"
)

const (
	sec = time.Second
	ms  = time.Millisecond

	maxCallWait    = 10 * sec
	announceWithin = 6 * sec  // changes missed by an unresponsive watch count as announced then
	grace          = 500 * ms // sends to a drained backend may go on so long after that
	slack          = 50 * ms
	serviceTime    = 20 * ms // of a backend for a request
	spacing        = 5       // rounds between two requests of a member
	backends       = 8
)

// fleet is many members that call one registry, with the errors found in their sends.
type fleet struct {
	reg             *standin.Registry
	startedAt       time.Time
	ignoresFailures bool // members make no call after a failure and never learn that their list is stale
	tasks           sync.WaitGroup
	members         []*member
	size            int // of the first start; members started later replace those killed
	round           int // each takes serviceTime
	changes         []revisionAt

	mu        sync.Mutex
	drained   map[string]int // backend to the revision that drained it
	lateSends int            // sends after the grace to a backend whose drain counted as announced
	lateSend  string         // one of them
}

// member is one client with its balancer and its requests, like a proxy.
type member struct {
	*fleet
	name      string
	createdAt time.Time
	client    *discovery.Client
	stop      func()

	mu          sync.Mutex
	stoppedAt   time.Time
	balancer    *logic.Balancer
	received    []revisionAt
	lastOutcome logic.Outcome // of the last request sent
	lastServed  time.Time     // when a backend last served a request
}

// revisionAt is a revision with the time at which it was published or reached a balancer.
type revisionAt struct {
	at  time.Time
	rev int
}

func backendName(i int) string { return fmt.Sprintf("s-%02d", i) }

// targetLines returns targets from first up to, but not including, end.
func targetLines(state string, first, end int) (out []string) {
	for i := first; i < end; i++ {
		out = append(out, standin.TargetJSONInState(state, backendName(i), "127.0.0.1:80"))
	}
	return out
}

// change sets the state of backends from first up to, but not including, end.
func (f *fleet) change(state string, first, end int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rev := f.reg.Publish(targetLines(state, first, end)...)
	f.changes = append(f.changes, revisionAt{time.Now(), rev})
	for i := first; i < end; i++ {
		f.drained[backendName(i)] = rev
		if state == discovery.InService {
			delete(f.drained, backendName(i))
		}
	}
}

// start starts n members, which know the first list.
func (f *fleet) start(n int) {
	f.size = cmp.Or(f.size, n)
	for range n {
		id := len(f.members)
		m := &member{fleet: f, name: fmt.Sprintf("member-%d:80", id), createdAt: time.Now()}
		first := 1
		if id%2 == 1 {
			first = 0 // half of them call for the complete list
		}
		m.client = discovery.New(m.name, int64(first), m.pacer(uint64(id+1)))
		m.client.Dial = f.reg.Dial
		m.client.OnList = m.updateList
		m.client.OnEnd = func(discovery.CallEnd) {}
		m.client.OnFreshness = m.updateFreshness
		m.withBalancer(func(now logic.Time) {
			m.balancer = logic.New(now, logic.Settings{
				Seed: uint64(id + 1), Zone: "z1", Zones: []string{"z1"}, BalancerCount: f.size, BalancerIndex: id % f.size,
				Classes:     []logic.Class{{Name: "get", TargetLatency: 500 * ms, Deadline: 2 * sec, Value: 1}},
				MaxAttempts: 1, DrainGrace: grace,
			}, m)
			var known []logic.Backend
			for i := range backends {
				known = append(known, logic.Backend{ID: backendName(i), Zone: "z1", Cell: 1, Capacity: 1})
			}
			m.balancer.UpdateList(now, true, known)
		})
		ctx, cancel := context.WithCancel(context.Background())
		m.stop = cancel
		f.members = append(f.members, m)
		f.tasks.Go(func() { m.client.Run(ctx) })
	}
}

// kill stops members from first up to, but not including, end.
func (f *fleet) kill(first, end int) {
	for _, m := range f.members[first:end] {
		m.withBalancer(func(logic.Time) { m.stoppedAt = time.Now() })
		m.stop()
	}
}

// withBalancer calls f under the lock of the balancer, unless the member is stopped.
func (m *member) withBalancer(f func(now logic.Time)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stoppedAt.IsZero() {
		f(at(time.Now()))
	}
}

func at(t time.Time) logic.Time { return logic.Time(t.UnixNano()) }

// exchangeUntil makes the members' requests and the backends' answers until a time. One goroutine
// does it for all of them, as a timer for each would take most of the test's run time.
func (f *fleet) exchangeUntil(until time.Time) {
	for ; time.Now().Before(until); time.Sleep(serviceTime) {
		for i := f.round % spacing; i < len(f.members); i += spacing {
			m := f.members[i]
			m.withBalancer(func(now logic.Time) { m.balancer.AttemptDone(now, m.lastOutcome) })
		}
		f.round++
		for i := f.round % spacing; i < len(f.members); i += spacing {
			m := f.members[i]
			m.withBalancer(func(now logic.Time) {
				m.balancer.StartRequest(now, logic.Request{ID: strconv.Itoa(f.round), Budget: 2 * sec})
			})
		}
	}
}

func (m *member) updateList(l *discovery.List) {
	var changed []logic.Backend
	for _, t := range l.Targets {
		b := logic.Backend{ID: t.UID, Zone: t.Zone, Cell: t.Cell, Capacity: t.CapacityHint, State: logic.Up}
		if t.State != discovery.InService {
			b.State = logic.Draining
		}
		changed = append(changed, b)
	}
	m.withBalancer(func(now logic.Time) {
		m.received = append(m.received, revisionAt{time.Now(), int(l.Rev)})
		m.balancer.UpdateList(now, l.Complete, changed)
	})
}

func (m *member) updateFreshness(f discovery.Freshness) {
	if !m.ignoresFailures {
		freshness := logic.ListFreshness{FreshUntil: at(f.Until), StaleUntil: at(f.UntilIfServing), EvidenceWindow: f.ServingWindow,
			ChangesMayLag: f.MayAnnounceLate, MaxUnobserved: discovery.MaxUnobservedGap}
		if !f.ReceivedAt.IsZero() {
			freshness.ConfirmedAt, freshness.ReceivedAt = at(f.ConfirmedAt), at(f.ReceivedAt)
		}
		m.withBalancer(func(logic.Time) { m.balancer.SetListFreshness(freshness) })
	}
}

// pacer returns the pacer of the member's calls, which makes only the first call if the fleet
// ignores failures.
func (m *member) pacer(seed uint64) discovery.Pacer {
	p := pacing.NewForService(maxCallWait, rand.New(rand.NewPCG(seed, 1)))
	if m.ignoresFailures {
		return firstCallOnly{p}
	}
	return p
}

// firstCallOnly makes no call after the first.
type firstCallOnly struct{ *pacing.Pacer }

func (firstCallOnly) Failed(time.Duration, bool) time.Duration { return time.Hour }

// Send implements logic.Actions.
func (m *member) Send(request, backend string, _ time.Duration) {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	result, rev := logic.OK, m.drained[backend]
	if rev > 0 {
		result = logic.Rejected
		announcedAt, ok := m.reg.AnnouncedAt(m.name, rev, announceWithin)
		if over := time.Since(announcedAt); ok && over > grace+slack {
			m.lateSends++
			m.lateSend = fmt.Sprintf("%s to %s %v after the announcement, at %v", m.name, backend, over, time.Since(m.startedAt))
		}
	} else {
		m.lastServed = time.Now()
	}
	m.lastOutcome = logic.Outcome{Request: request, Result: result, Latency: serviceTime, Final: result == logic.OK}
}

// StartTimer implements logic.Actions.
func (m *member) StartTimer(token uint64, after time.Duration) {
	time.AfterFunc(after, func() { m.withBalancer(func(now logic.Time) { m.balancer.TimerFired(now, token) }) })
}

// The rest of logic.Actions.
func (m *member) Refuse(string, time.Duration, logic.Cause) {}
func (m *member) Fail(string, logic.Cause)                  {}
func (m *member) Cancel(string, int)                        {}
func (m *member) CloseIdle(string)                          {}

// revisionBy returns the newest revision that the member had by a time.
func (m *member) revisionBy(by time.Time) (rev int) {
	for _, h := range m.received {
		if !h.at.After(by) {
			rev = max(rev, h.rev)
		}
	}
	return rev
}

// step is an action at a time of a run. If maxCalls is set, it begins a phase in which each member
// that it started, or else every member, makes a new call. If allWithin is set as well, each of
// them needs an answer to that call.
type step struct {
	at         time.Duration
	do         func(*fleet)
	halfWithin time.Duration // more than half have an answer by then
	allWithin  time.Duration // all have an answer by then, and all changes made up to a second before
	maxCalls   float64       // bound on their mean number of calls in the phase
}

func drain(first, end int) func(*fleet) {
	return func(f *fleet) { f.change(discovery.Terminating, first, end) }
}

func silenceWatches(f *fleet) { f.reg.SilenceWatches() }

// run runs a fleet through steps in virtual time; the last step ends the run. There must be no late
// sends to drained backends, except that a fleet which ignores failures must have some.
func run(t *testing.T, f *fleet, opt standin.RegistryOptions, steps []step) {
	log.SetOutput(io.Discard)
	defer log.SetOutput(os.Stderr)
	synctest.Test(t, func(t *testing.T) {
		f.reg, f.startedAt, f.drained = standin.NewRegistry(t, opt), time.Now(), map[string]int{}
		f.change(discovery.InService, 0, backends)
		callsBefore := []int{} // each step
		for _, s := range steps {
			f.exchangeUntil(f.startedAt.Add(s.at))
			callsBefore = append(callsBefore, f.reg.CallCount())
			if s.do != nil {
				s.do(f)
			}
		}
		end := time.Now()
		f.kill(0, len(f.members))
		f.reg.Close()
		f.tasks.Wait()
		if found := f.lateSends > 0; found != f.ignoresFailures {
			t.Errorf("%d late sends to drained backends, one of them from %s", f.lateSends, f.lateSend)
		}
		for _, m := range f.members {
			if !f.ignoresFailures && m.stoppedAt.Equal(end) && end.Sub(m.lastServed) > sec {
				t.Errorf("%s has no request served at the end", m.name)
			}
		}
		for i, s := range steps {
			if s.maxCalls > 0 {
				next := i + 1
				for next < len(steps)-1 && steps[next].maxCalls == 0 {
					next++
				}
				f.check(t, s, opt.NotifyDelay, callsBefore[next]-callsBefore[i])
			}
		}
	})
}

// check checks one phase in which the given number of calls was made.
func (f *fleet) check(t *testing.T, s step, notifyDelay time.Duration, calls int) {
	from := f.startedAt.Add(s.at)
	affected := func(onlyNew bool) (out []*member) {
		for _, m := range f.members {
			if m.stoppedAt.After(from) && (m.createdAt.Equal(from) || !onlyNew && m.createdAt.Before(from)) {
				out = append(out, m)
			}
		}
		return out
	}
	in := affected(true)
	if len(in) == 0 {
		in = affected(false)
	}
	mean := float64(calls) / float64(len(in))
	if mean > s.maxCalls {
		t.Errorf("at %v: %.2f calls per member, want at most %v", s.at, mean, s.maxCalls)
	}
	if s.allWithin == 0 {
		return
	}
	limit, newest := from.Add(s.allWithin), 0
	for _, n := range f.changes {
		if !n.at.Add(notifyDelay + sec).After(limit) {
			newest = n.rev
		}
	}
	var took []time.Duration
	for _, m := range in {
		first := slices.IndexFunc(m.received, func(n revisionAt) bool { return !n.at.Before(from) })
		if first >= 0 {
			took = append(took, m.received[first].at.Sub(from))
		}
		if m.stoppedAt.After(limit) && (first < 0 || m.received[first].at.After(limit) || m.revisionBy(limit) < newest) {
			t.Errorf("at %v: %s has revision %d, want %d after %v", s.at, m.name, m.revisionBy(limit), newest, s.allWithin)
		}
	}
	slices.Sort(took)
	if len(took) <= len(in)/2 || took[len(in)/2] > s.halfWithin {
		t.Errorf("at %v: at most half of the members have an answer after %v", s.at, s.halfWithin)
	} else {
		t.Logf("at %v: half by %.1fs, %d of %d by %.1fs, %.2f calls per member", s.at,
			took[len(in)/2].Seconds(), len(took), len(in), took[len(took)-1].Seconds(), mean)
	}
}

// The registry can answer one call of each of 300 members in 8 s, and has a queue of 1 s. When all
// call again, half have an answer after 4 s at the earliest and all after 8 s. An unresponsive
// watch is detected up to 3 s late, and a rejected caller waits up to 3.75 s, a quarter of the
// longest wait plus jitter of half, while the queue may be empty.
const halfWithinQueue, allWithinQueue = 6 * sec, 12 * sec

var queuedRegistry = standin.RegistryOptions{ServiceTime: 8 * sec / 300, MaxQueueDelay: sec}

// The mean waits of a caller that is rejected repeatedly are 0.5 s, 1 s, 2 s and then 2.5 s: five
// calls take 6 s, and one more is for the unresponsive call. Only the last callers make that
// many; the mean is well below.
const maxCallsInStep = 5

// outageSteps returns the steps of an outage of 8 s, in which members call with the same waits.
func outageSteps(at time.Duration, beginOutage, endOutage func(*fleet)) []step {
	return []step{
		{0, func(f *fleet) { f.start(300) }, halfWithinQueue, allWithinQueue, maxCallsInStep},
		{at: at, do: beginOutage, maxCalls: maxCallsInStep},
		{at: at + 3500*ms, do: drain(0, 1)},
		{at: at + 6200*ms, do: drain(2, 3)},
		{at + 8*sec, endOutage, halfWithinQueue, allWithinQueue, maxCallsInStep},
		{at: at + 10*sec, do: drain(4, 5)},
		{at: at + 21*sec},
	}
}

func TestFleet(t *testing.T) {
	start := step{0, func(f *fleet) { f.start(300) }, halfWithinQueue, allWithinQueue, maxCallsInStep}
	for _, c := range []struct {
		name  string
		opt   standin.RegistryOptions
		steps []step
	}{
		{"start", queuedRegistry, []step{
			start,
			{at: 1 * sec, do: drain(0, 1)},
			{at: 5 * sec, do: drain(2, 3)},
			{at: 13 * sec}}},
		{"seven in ten restart", queuedRegistry, []step{
			start,
			{10 * sec, func(f *fleet) { f.kill(0, 210); f.start(210) }, halfWithinQueue, allWithinQueue, maxCallsInStep},
			{at: 10500 * ms, do: drain(0, 3)},
			{at: 23 * sec}}},
		{"unresponsive watches", queuedRegistry, []step{
			{at: 0, do: start.do, maxCalls: maxCallsInStep},
			{1 * sec, silenceWatches, halfWithinQueue, allWithinQueue, maxCallsInStep},
			{at: 4500 * ms, do: drain(0, 1)},
			{at: 7200 * ms, do: drain(2, 3)},
			{15 * sec, silenceWatches, halfWithinQueue, allWithinQueue, maxCallsInStep},
			{at: 18500 * ms, do: drain(4, 5)},
			{at: 21200 * ms, do: drain(6, 7)},
			{at: 28 * sec}}},
		{"down", queuedRegistry, outageSteps(13*sec,
			func(f *fleet) { f.reg.SetDown(true) },
			func(f *fleet) { f.reg.SetDown(false) })},
		{"network partition", queuedRegistry, outageSteps(13*sec,
			func(f *fleet) { f.reg.SilenceWatches(); f.reg.SetDialsHang(true) },
			func(f *fleet) { f.reg.SetDialsHang(false) })},
		// The registry answers 120 callers in the first 3 s; then the calls of all others have timed
		// out. Those 180 call twice without an answer, since their calls keep the registry busy
		// for 12 s, and once more after waits spread over 3 s to 9 s: 4.5 s of work.
		{"no call is rejected", standin.RegistryOptions{ServiceTime: 25 * ms}, []step{
			{0, func(f *fleet) { f.start(300) }, 15 * sec, 25 * sec, 4},
			{at: 26 * sec}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, &fleet{}, c.opt, c.steps)
		})
	}
}

// In whatever format lists come, the watch stays open: each member makes one call, and one more after
// the unresponsive watch. Backends that are drained a second time reveal an older revision that
// was taken for a new one.
func TestFleetListFormats(t *testing.T) {
	for _, c := range []struct {
		name string
		opt  standin.RegistryOptions
	}{
		{"plain", standin.RegistryOptions{}},
		{"indented", standin.RegistryOptions{ListFormat: standin.FormatIndented}},
		{"in fragments", standin.RegistryOptions{ListFormat: standin.FormatFragmented}},
		{"duplicated", standin.RegistryOptions{ListFormat: standin.FormatDuplicated}},
		{"followed by an older line", standin.RegistryOptions{ListFormat: standin.FormatStaleChange}},
		{"followed by an older list", standin.RegistryOptions{ListFormat: standin.FormatStaleList}},
		{"delayed", standin.RegistryOptions{NotifyDelay: 2 * sec}},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.opt.ServiceTime = ms
			run(t, &fleet{}, c.opt, []step{
				{0, func(f *fleet) { f.start(20) }, sec, sec, 1},
				{at: 2 * sec, do: drain(0, 4)},
				{at: 5 * sec, do: func(f *fleet) { f.change(discovery.InService, 0, 4) }},
				{at: 8 * sec, do: drain(0, 4)},
				{15 * sec, silenceWatches, 4 * sec, 7 * sec, 1},
				{at: 16 * sec, do: func(f *fleet) { f.change(discovery.InService, 2, 6) }},
				{at: 18500 * ms, do: drain(2, 6)},
				{at: 25 * sec}})
		})
	}
}

// The check for late sends detects members that never call again.
func TestFleetThatIgnoresFailures(t *testing.T) {
	run(t, &fleet{ignoresFailures: true}, standin.RegistryOptions{ServiceTime: ms}, []step{
		{at: 0, do: func(f *fleet) { f.start(20) }},
		{at: 5 * sec, do: silenceWatches},
		{at: 8 * sec, do: drain(0, 4)},
		{at: 15 * sec}})
}
