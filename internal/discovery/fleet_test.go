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

	askWithin  = 10 * sec
	tellWithin = 6 * sec  // what a silent watch misses counts as told then
	grace      = 500 * ms // sends that may go on after that
	slack      = 50 * ms
	service    = 20 * ms // that a backend takes for a call
	spacing    = 5       // services between a member's requests
	backends   = 8
)

// fleet is many members that ask one registry, and all that is held against them.
type fleet struct {
	reg     *standin.Registry
	began   time.Time
	deaf    bool // members do not hear that a call has failed, nor how old their list is
	tasks   sync.WaitGroup
	members []*member
	size    int // of the first start: members that are started later take the places of those killed
	turn    int // of services
	changes []news

	mu       sync.Mutex
	drained  map[string]int // by revision
	late     int            // sends to a backend whose drain counted as told, past the grace
	lateness string         // one of them
}

// member is one client with its balancer, as a proxy has them, and its requests.
type member struct {
	*fleet
	name   string
	born   time.Time
	client *discovery.Client
	end    func()

	mu       sync.Mutex
	died     time.Time
	balancer *logic.Balancer
	heard    []news
	out      logic.Outcome // of the request sent last
	served   time.Time     // last
}

// news is a revision, when it was made or when a list of it came to a balancer.
type news struct {
	at  time.Time
	rev int
}

func backendName(i int) string { return fmt.Sprintf("s-%02d", i) }

// lines are targets from first up to, not including, end.
func lines(state string, first, end int) (out []string) {
	for i := first; i < end; i++ {
		out = append(out, standin.TargetJSONInState(state, backendName(i), "127.0.0.1:80"))
	}
	return out
}

// change gives backends from first up to, not including, end another state.
func (f *fleet) change(state string, first, end int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rev := f.reg.Publish(lines(state, first, end)...)
	f.changes = append(f.changes, news{time.Now(), rev})
	for i := first; i < end; i++ {
		f.drained[backendName(i)] = rev
		if state == discovery.InService {
			delete(f.drained, backendName(i))
		}
	}
}

// start begins n members, which know the first list.
func (f *fleet) start(n int) {
	f.size = cmp.Or(f.size, n)
	for range n {
		id := len(f.members)
		m := &member{fleet: f, name: fmt.Sprintf("member-%d:80", id), born: time.Now()}
		first := 1
		if id%2 == 1 {
			first = 0 // half of them ask for the whole list
		}
		m.client = discovery.New(m.name, int64(first), m.pacer(uint64(id+1)))
		m.client.Dial = f.reg.Dial
		m.client.OnList = m.list
		m.client.OnEnd = func(discovery.CallEnd) {}
		m.client.OnFreshness = m.fresh
		m.do(func(now logic.Time) {
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
		m.end = cancel
		f.members = append(f.members, m)
		f.tasks.Go(func() { m.client.Run(ctx) })
	}
}

// kill ends members first up to, not including, end.
func (f *fleet) kill(first, end int) {
	for _, m := range f.members[first:end] {
		m.do(func(logic.Time) { m.died = time.Now() })
		m.end()
	}
}

// do makes one call to the balancer.
func (m *member) do(f func(now logic.Time)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.died.IsZero() {
		f(at(time.Now()))
	}
}

func at(t time.Time) logic.Time { return logic.Time(t.UnixNano()) }

// serve makes the members' requests and the backends' answers until a time. One goroutine
// does it for all of them: a timer for each would take most of the test's time.
func (f *fleet) serve(until time.Time) {
	for ; time.Now().Before(until); time.Sleep(service) {
		for i := f.turn % spacing; i < len(f.members); i += spacing {
			m := f.members[i]
			m.do(func(now logic.Time) { m.balancer.AttemptDone(now, m.out) })
		}
		f.turn++
		for i := f.turn % spacing; i < len(f.members); i += spacing {
			m := f.members[i]
			m.do(func(now logic.Time) {
				m.balancer.StartRequest(now, logic.Request{ID: strconv.Itoa(f.turn), Budget: 2 * sec})
			})
		}
	}
}

func (m *member) list(l *discovery.List) {
	var changed []logic.Backend
	for _, t := range l.Targets {
		b := logic.Backend{ID: t.UID, Zone: t.Zone, Cell: t.Cell, Capacity: t.CapacityHint, State: logic.Up}
		if t.State != discovery.InService {
			b.State = logic.Draining
		}
		changed = append(changed, b)
	}
	m.do(func(now logic.Time) {
		m.heard = append(m.heard, news{time.Now(), int(l.Rev)})
		m.balancer.UpdateList(now, l.Complete, changed)
	})
}

func (m *member) fresh(f discovery.Freshness) {
	if !m.deaf {
		fresh := logic.ListFreshness{FreshUntil: at(f.Until), StaleUntil: at(f.UntilIfServing), EvidenceWindow: f.ServingWindow,
			ChangesMayLag: f.MayAnnounceLate, MaxUnobserved: discovery.MaxUnobservedGap}
		if !f.ReceivedAt.IsZero() {
			fresh.ConfirmedAt, fresh.ReceivedAt = at(f.ConfirmedAt), at(f.ReceivedAt)
		}
		m.do(func(logic.Time) { m.balancer.SetListFreshness(fresh) })
	}
}

// pacer paces the member's calls. Of the deaf ones it makes the first alone.
func (m *member) pacer(seed uint64) discovery.Pacer {
	p := pacing.NewForService(askWithin, rand.New(rand.NewPCG(seed, 1)))
	if m.deaf {
		return firstOnly{p}
	}
	return p
}

// firstOnly makes no call after the first.
type firstOnly struct{ *pacing.Pacer }

func (firstOnly) Failed(time.Duration, bool) time.Duration { return time.Hour }

// Send implements logic.Actions.
func (m *member) Send(request, backend string, _ time.Duration) {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	result, rev := logic.OK, m.drained[backend]
	if rev > 0 {
		result = logic.Rejected
		told, ok := m.reg.AnnouncedAt(m.name, rev, tellWithin)
		if over := time.Since(told); ok && over > grace+slack {
			m.late++
			m.lateness = fmt.Sprintf("%s to %s %v after told, at %v", m.name, backend, over, time.Since(m.began))
		}
	} else {
		m.served = time.Now()
	}
	m.out = logic.Outcome{Request: request, Result: result, Latency: service, Final: result == logic.OK}
}

// Wake implements logic.Actions.
func (m *member) StartTimer(token uint64, after time.Duration) {
	time.AfterFunc(after, func() { m.do(func(now logic.Time) { m.balancer.TimerFired(now, token) }) })
}

// The rest of logic.Actions.
func (m *member) Refuse(string, time.Duration, logic.Cause) {}
func (m *member) Fail(string, logic.Cause)                  {}
func (m *member) Cancel(string, int)                        {}
func (m *member) CloseIdle(string)                          {}

// knows is the newest revision that the member had by a time.
func (m *member) knows(by time.Time) (rev int) {
	for _, h := range m.heard {
		if !h.at.After(by) {
			rev = max(rev, h.rev)
		}
	}
	return rev
}

// step is what happens at a time of a run. Where all is set, it begins a round, in which
// each member needs an answer to a new call: those that it started, or else all.
type step struct {
	at    time.Duration
	do    func(*fleet)
	half  time.Duration // by then more than half have it
	all   time.Duration // by then all have it, and know all that changed a second before
	calls float64       // most until the next round, in the mean over these members
}

func drain(first, end int) func(*fleet) {
	return func(f *fleet) { f.change(discovery.Terminating, first, end) }
}

func silence(f *fleet) { f.reg.SilenceWatches() }

// run runs a fleet through steps in virtual time, the last of which ends it. Sends to
// drained backends must be found if the fleet is deaf, and else there must be none.
func run(t *testing.T, f *fleet, opt standin.RegistryOptions, steps []step) {
	log.SetOutput(io.Discard)
	defer log.SetOutput(os.Stderr)
	synctest.Test(t, func(t *testing.T) {
		f.reg, f.began, f.drained = standin.NewRegistry(t, opt), time.Now(), map[string]int{}
		f.change(discovery.InService, 0, backends)
		made := []int{} // calls before each step
		for _, s := range steps {
			f.serve(f.began.Add(s.at))
			made = append(made, f.reg.CallCount())
			if s.do != nil {
				s.do(f)
			}
		}
		end := time.Now()
		f.kill(0, len(f.members))
		f.reg.Close()
		f.tasks.Wait()
		if found := f.late > 0; found != f.deaf {
			t.Errorf("%d sends to drained backends, one of them from %s", f.late, f.lateness)
		}
		for _, m := range f.members {
			if !f.deaf && m.died.Equal(end) && end.Sub(m.served) > sec {
				t.Errorf("%s serves nothing at the end", m.name)
			}
		}
		for i, s := range steps {
			if s.calls > 0 {
				next := i + 1
				for next < len(steps)-1 && steps[next].calls == 0 {
					next++
				}
				f.check(t, s, opt.NotifyDelay, made[next]-made[i])
			}
		}
	})
}

// check checks one round in which so many calls were made.
func (f *fleet) check(t *testing.T, s step, late time.Duration, calls int) {
	from := f.began.Add(s.at)
	needs := func(born bool) (out []*member) {
		for _, m := range f.members {
			if m.died.After(from) && (m.born.Equal(from) || !born && m.born.Before(from)) {
				out = append(out, m)
			}
		}
		return out
	}
	in := needs(true)
	if len(in) == 0 {
		in = needs(false)
	}
	mean := float64(calls) / float64(len(in))
	if mean > s.calls {
		t.Errorf("at %v: %.2f calls a member, want at most %v", s.at, mean, s.calls)
	}
	if s.all == 0 {
		return
	}
	limit, newest := from.Add(s.all), 0
	for _, n := range f.changes {
		if !n.at.Add(late + sec).After(limit) {
			newest = n.rev
		}
	}
	var took []time.Duration
	for _, m := range in {
		first := slices.IndexFunc(m.heard, func(n news) bool { return !n.at.Before(from) })
		if first >= 0 {
			took = append(took, m.heard[first].at.Sub(from))
		}
		if m.died.After(limit) && (first < 0 || m.heard[first].at.After(limit) || m.knows(limit) < newest) {
			t.Errorf("at %v: %s knows revision %d, want %d after %v", s.at, m.name, m.knows(limit), newest, s.all)
		}
	}
	slices.Sort(took)
	if len(took) <= len(in)/2 || took[len(in)/2] > s.half {
		t.Errorf("at %v: no more than half have an answer after %v", s.at, s.half)
	} else {
		t.Logf("at %v: half by %.1fs, %d of %d by %.1fs, %.2f calls a member", s.at,
			took[len(in)/2].Seconds(), len(took), len(in), took[len(took)-1].Seconds(), mean)
	}
}

// The service can answer one call of each of 300 members in 8 s, and keeps a queue of 1 s:
// when all ask anew, half have an answer after 4 s at the earliest and all after 8 s. A
// silent watch is noticed up to 3 s late, and who was turned away waits up to 3.75 s, a
// quarter of the time to ask within and half as much again, while the queue may run dry.
const halfBy, allBy = 6 * sec, 12 * sec

var crowded = standin.RegistryOptions{ServiceTime: 8 * sec / 300, MaxQueueDelay: sec}

// The waits of one turned away again and again are 0.5 s, 1 s, 2 s and then 2.5 s in the
// mean: five calls take 6 s, and one more is for the silent one. So many are made only by
// the last ones; the mean is well below.
const callsMost = 5

// outage is 8 s without a connection, in which members ask by the same waits.
func outage(at time.Duration, begin, end func(*fleet)) []step {
	return []step{
		{0, func(f *fleet) { f.start(300) }, halfBy, allBy, callsMost},
		{at: at, do: begin, calls: callsMost},
		{at: at + 3500*ms, do: drain(0, 1)},
		{at: at + 6200*ms, do: drain(2, 3)},
		{at + 8*sec, end, halfBy, allBy, callsMost},
		{at: at + 10*sec, do: drain(4, 5)},
		{at: at + 21*sec},
	}
}

func TestFleet(t *testing.T) {
	begin := step{0, func(f *fleet) { f.start(300) }, halfBy, allBy, callsMost}
	for _, c := range []struct {
		name  string
		opt   standin.RegistryOptions
		steps []step
	}{
		{"start", crowded, []step{
			begin,
			{at: 1 * sec, do: drain(0, 1)},
			{at: 5 * sec, do: drain(2, 3)},
			{at: 13 * sec}}},
		{"seven in ten restart", crowded, []step{
			begin,
			{10 * sec, func(f *fleet) { f.kill(0, 210); f.start(210) }, halfBy, allBy, callsMost},
			{at: 10500 * ms, do: drain(0, 3)},
			{at: 23 * sec}}},
		{"silence", crowded, []step{
			{at: 0, do: begin.do, calls: callsMost},
			{1 * sec, silence, halfBy, allBy, callsMost},
			{at: 4500 * ms, do: drain(0, 1)},
			{at: 7200 * ms, do: drain(2, 3)},
			{15 * sec, silence, halfBy, allBy, callsMost},
			{at: 18500 * ms, do: drain(4, 5)},
			{at: 21200 * ms, do: drain(6, 7)},
			{at: 28 * sec}}},
		{"down", crowded, outage(13*sec,
			func(f *fleet) { f.reg.SetDown(true) },
			func(f *fleet) { f.reg.SetDown(false) })},
		{"cut off", crowded, outage(13*sec,
			func(f *fleet) { f.reg.SilenceWatches(); f.reg.SetDialsHang(true) },
			func(f *fleet) { f.reg.SetDialsHang(false) })},
		// It answers 120 in the first 3 s, and by then nobody else waits for it any more. The
		// other 180 ask twice in vain, since those calls keep it busy for 12 s, and by the time
		// that they waited once more, over 3 s to 9 s: 4.5 s of work.
		{"no call is turned away", standin.RegistryOptions{ServiceTime: 25 * ms}, []step{
			{0, func(f *fleet) { f.start(300) }, 15 * sec, 25 * sec, 4},
			{at: 26 * sec}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, &fleet{}, c.opt, c.steps)
		})
	}
}

// In whatever form lists come, the watch stands: each member makes one call, and one more
// after the silence. Backends drained for the second time show an older revision that is
// taken for news.
func TestFleetForms(t *testing.T) {
	for _, c := range []struct {
		name string
		opt  standin.RegistryOptions
	}{
		{"plain", standin.RegistryOptions{}},
		{"indented", standin.RegistryOptions{ListFormat: standin.FormatIndented}},
		{"in pieces", standin.RegistryOptions{ListFormat: standin.FormatFragmented}},
		{"doubled", standin.RegistryOptions{ListFormat: standin.FormatDuplicated}},
		{"an older line behind", standin.RegistryOptions{ListFormat: standin.FormatStaleChange}},
		{"an older list behind", standin.RegistryOptions{ListFormat: standin.FormatStaleList}},
		{"late", standin.RegistryOptions{NotifyDelay: 2 * sec}},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.opt.ServiceTime = ms
			run(t, &fleet{}, c.opt, []step{
				{0, func(f *fleet) { f.start(20) }, sec, sec, 1},
				{at: 2 * sec, do: drain(0, 4)},
				{at: 5 * sec, do: func(f *fleet) { f.change(discovery.InService, 0, 4) }},
				{at: 8 * sec, do: drain(0, 4)},
				{15 * sec, silence, 4 * sec, 7 * sec, 1},
				{at: 16 * sec, do: func(f *fleet) { f.change(discovery.InService, 2, 6) }},
				{at: 18500 * ms, do: drain(2, 6)},
				{at: 25 * sec}})
		})
	}
}

// The check of sends can fail: it finds members that never ask again.
func TestFleetOfTheDeaf(t *testing.T) {
	run(t, &fleet{deaf: true}, standin.RegistryOptions{ServiceTime: ms}, []step{
		{at: 0, do: func(f *fleet) { f.start(20) }},
		{at: 5 * sec, do: silence},
		{at: 8 * sec, do: drain(0, 4)},
		{at: 15 * sec}})
}
