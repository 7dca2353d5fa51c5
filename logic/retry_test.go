// Attempts: whether one goes out, and what their ends teach.

package logic

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func TestFirstAttemptMustFit(t *testing.T) {
	for _, c := range []struct {
		name    string
		budget  time.Duration
		sends   int
		timeout time.Duration
	}{
		{"fits more than once", 1000 * ms, 1, 100 * ms},
		{"fits once: all that is left", 150 * ms, 1, 147 * ms},
		{"fits but for the reserve", 101 * ms, 0, 0},
		{"does not fit", 50 * ms, 0, 0},
		{"no time at all", 0, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, f := startBalancer(testSettings(), entry("b", 1))
			b.setAttemptTimeout(idempotent, 100*ms)
			b.StartRequest(0, Request{ID: "r", Class: idempotent, Budget: c.budget})
			if len(f.sends) != c.sends {
				t.Fatalf("%d sends, want %d", len(f.sends), c.sends)
			}
			if c.sends == 1 && f.sends[0].timeout != c.timeout {
				t.Errorf("time-out %v, want %v", f.sends[0].timeout, c.timeout)
			}
			if c.sends == 0 && !f.onlyAnswer(t, "r").refused {
				t.Error("nothing was sent, yet the answer is not a refusal")
			}
		})
	}
}

func TestRetryAfterOutcome(t *testing.T) {
	for _, c := range []struct {
		name    string
		class   int
		result  Result
		after   time.Duration // of the outcome
		retried bool
		refused bool // if not retried
	}{
		{"safe after an error", idempotent, Error, 50 * ms, true, false},
		{"safe after a time-out", idempotent, TimedOut, 100 * ms, true, false},
		{"safe, but nothing fits", idempotent, TimedOut, 1900 * ms, false, true},
		{"keyed after a time-out", deduplicated, TimedOut, 100 * ms, true, false},
		{"keyed, forgotten by the backends", deduplicated, TimedOut, 950 * ms, false, true},
		{"keyed in a zone, forgotten there", dedupInZone, TimedOut, 950 * ms, false, false},
		{"unsafe, proven not run", nonIdempotent, Rejected, 10 * ms, true, false},
		{"unsafe, no connection", nonIdempotent, ConnectFailed, 10 * ms, true, false},
		{"unsafe after an error", nonIdempotent, Error, 10 * ms, false, false},
		{"unsafe after a broken connection", nonIdempotent, ConnectionLost, 10 * ms, false, false},
		{"unsafe after a time-out", nonIdempotent, TimedOut, 10 * ms, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, f := startBalancer(testSettings(), entry("b", 1), entry("b", 2))
			b.retryTokens = 5
			b.setAttemptTimeout(c.class, 100*ms)
			b.StartRequest(0, Request{ID: "r", Class: c.class, Budget: 2000 * ms})
			b.AttemptDone(c.after, Outcome{Request: "r", Result: c.result, Latency: c.after})
			if !c.retried {
				if got := f.onlyAnswer(t, "r"); got.refused != c.refused {
					t.Errorf("refused = %v, want %v", got.refused, c.refused)
				}
				if len(b.requests) != 0 {
					t.Error("an answered request is still held")
				}
				return
			}
			token, wait := f.takeTimer(t)
			if wait <= 0 {
				t.Error("no backoff")
			}
			b.TimerFired(c.after+wait, token)
			if len(f.sends) != 2 {
				t.Fatalf("%d sends, want 2", len(f.sends))
			}
			end := c.after + wait + 10*ms
			b.AttemptDone(end, Outcome{Request: "r", Attempt: 1, Result: OK, Latency: 10 * ms, Final: true})
			if len(f.answers["r"]) != 0 || len(b.requests) != 0 {
				t.Error("a served request was answered again or is still held")
			}
		})
	}
}

// The fit is tested again when the backoff is over: timers may run late.
func TestRetryMustFitAfterBackoff(t *testing.T) {
	b, f := startBalancer(testSettings(), entry("b", 1))
	b.retryTokens = 5
	b.setAttemptTimeout(idempotent, 100*ms)
	b.StartRequest(0, Request{ID: "r", Class: idempotent, Budget: 1000 * ms})
	b.AttemptDone(100*ms, Outcome{Request: "r", Result: Error, Latency: 100 * ms})
	token, _ := f.takeTimer(t)
	b.TimerFired(900*ms, token)
	if len(f.sends) != 1 || !f.onlyAnswer(t, "r").refused {
		t.Error("sent though the allowance no longer fits")
	}
}

// An attempt that none may follow gains nothing from an early time-out.
func TestLastAttemptGetsAllTimeLeft(t *testing.T) {
	for _, c := range []struct {
		name     string
		class    int
		attempts int
		want     time.Duration
	}{
		{"more may follow", idempotent, 3, 100 * ms},
		{"must not run twice", nonIdempotent, 3, 980 * ms},
		{"the ceiling is reached", idempotent, 1, 980 * ms},
	} {
		b, f := startBalancer(testSettings(), entry("b", 1))
		b.settings.MaxAttempts = c.attempts
		b.setAttemptTimeout(c.class, 100*ms)
		b.StartRequest(0, Request{ID: "r", Class: c.class, Budget: 1000 * ms})
		if got := f.last(t).timeout; got != c.want {
			t.Errorf("%s: time-out %v, want %v", c.name, got, c.want)
		}
	}
}

func TestBackoffGrows(t *testing.T) {
	b, f := startBalancer(testSettings(), entry("b", 1))
	b.settings.MaxAttempts = 10
	b.setAttemptTimeout(idempotent, 100*ms)
	now := Time(0)
	b.StartRequest(now, Request{ID: "r", Class: idempotent, Budget: 2000 * ms})
	var waits []time.Duration
	for i := range 4 {
		b.AttemptDone(now, Outcome{Request: "r", Attempt: i, Result: ConnectFailed})
		token, wait := f.takeTimer(t)
		waits = append(waits, wait)
		now += wait
		b.TimerFired(now, token)
	}
	for i, w := range waits {
		mean := time.Duration(float64(100*ms)*backoffShare) << i
		if w < mean/2 || w > mean*3/2 {
			t.Errorf("wait %d is %v, want %v with jitter", i, w, mean)
		}
	}
}

func TestMaxAttempts(t *testing.T) {
	b, f := startBalancer(testSettings(), entry("b", 1))
	b.setAttemptTimeout(idempotent, 10*ms)
	b.StartRequest(0, Request{ID: "r", Class: idempotent, Budget: 2000 * ms})
	for i := range 3 {
		b.AttemptDone(Time(i)*20*ms, Outcome{Request: "r", Attempt: i, Result: ConnectFailed})
		if i < 2 {
			token, _ := f.takeTimer(t)
			b.TimerFired(Time(i)*20*ms+10*ms, token)
		}
	}
	if len(f.sends) != 3 || !f.onlyAnswer(t, "r").refused {
		t.Errorf("%d sends, want the ceiling of 3 and a refusal", len(f.sends))
	}
}

// A keyed request that may have run goes only to backends that drop its repeat.
func TestDeduplicatedStaysInScope(t *testing.T) {
	lines := []Backend{entry("b", 1), entry("b", 2), entry("a", 1), entry("c", 2)}
	for _, c := range []struct {
		class int
		same  func(x, y Backend) bool
	}{
		{dedupInZone, func(x, y Backend) bool { return x.Zone == y.Zone }},
		{dedupInCell, func(x, y Backend) bool { return x.Cell == y.Cell }},
	} {
		b, f := startBalancer(testSettings(), lines...)
		byID := map[string]Backend{}
		for _, l := range lines {
			byID[l.ID] = l
		}
		for i := range 40 {
			id := fmt.Sprint("r", i)
			now := Time(i) * 1000 * ms
			b.retryTokens = 5
			b.setAttemptTimeout(c.class, 100*ms)
			b.StartRequest(now, Request{ID: id, Class: c.class, Budget: 2000 * ms})
			first := byID[f.last(t).backend]
			b.AttemptDone(now+50*ms, Outcome{Request: id, Result: ConnectionLost, Latency: 50 * ms})
			if len(f.answers[id]) > 0 {
				continue
			}
			token, wait := f.takeTimer(t)
			sends := len(f.sends)
			b.TimerFired(now+50*ms+wait, token)
			if len(f.sends) == sends {
				f.onlyAnswer(t, id)
				continue
			}
			if second := byID[f.last(t).backend]; !c.same(first, second) {
				t.Fatalf("class %d: %s, then %s", c.class, first.ID, second.ID)
			}
			b.AttemptDone(now+90*ms, Outcome{Request: id, Attempt: 1, Result: OK, Final: true})
		}
	}
}

// Repeats saved up are what own traffic earns in the first ejection's time. Guards against
// hundreds of balancers of thin traffic that each have ten to spend when a tier slows down:
// in sum they add a fifth to what it already can't do.
func TestRetryTokensAtLowTraffic(t *testing.T) {
	for _, c := range []struct {
		perSecond, most int
	}{{10, 3}, {400, 12}} {
		set := testSettings() // a tenth of the calls of a second may be repeated
		set.Tier = 1
		b, f := startBalancer(set, zoneEntries("b", 4)...)
		now, gap := Time(0), 1000*ms/Time(c.perSecond)
		call := func(i int, r Result) {
			now += gap
			id := fmt.Sprint("r", i)
			b.StartRequest(now, Request{ID: id, Class: idempotent, Budget: 2000 * ms})
			b.AttemptDone(now+gap/2, Outcome{Request: id, Result: r, Latency: gap / 2, Final: r == OK})
		}
		for i := range 300 {
			call(i, OK)
		}
		for i := range 15 {
			call(300+i, Error)
		}
		if n := len(f.timers); n > c.most || n == 0 {
			t.Errorf("%d calls a second: %d repeats of 15 calls, want up to %d", c.perSecond, n, c.most)
		}
	}
}

// Guards against retries that burn what is left when all slow together.
func TestRetryBudget(t *testing.T) {
	b, f := startBalancer(testSettings(), zoneEntries("b", 4)...)
	b.settings.Tier = 1
	for i := range 200 {
		id := fmt.Sprint("r", i)
		b.StartRequest(0, Request{ID: id, Class: idempotent, Budget: 2000 * ms})
		b.AttemptDone(0, Outcome{Request: id, Result: Error})
	}
	if retries := len(f.timers); retries > 21 || retries < 15 {
		t.Errorf("%d retries of 200 failed calls, want about a tenth", retries)
	}
}

// Connections that are reset now and then, a few in a thousand calls, say nothing of
// those that are idle. Guards against hundreds of balancers that each answer one break
// with some twenty new connections, to backends that hold few.
func TestFewLostConnectionsCauseNoReconnects(t *testing.T) {
	closed, broken := 0, 0
	for n := range 100 {
		set := testSettings()
		set.Seed, set.Tier, set.BalancerCount, set.BalancerIndex = uint64(n), 1, 100, n
		b, f := startBalancer(set, zoneEntries("b", 20)...)
		rng := rand.New(rand.NewPCG(uint64(n), 4))
		for i := range 400 {
			now, id, r := Time(i)*50*ms, fmt.Sprint("r", i), OK
			if rng.Float64() < 0.005 {
				r = ConnectionLost
				broken++
			}
			b.StartRequest(now, Request{ID: id, Class: nonIdempotent, Budget: 2000 * ms})
			b.AttemptDone(now+ms, Outcome{Request: id, Result: r, Latency: ms, Final: r == OK})
		}
		closed += f.closed
	}
	if closed > 10*broken {
		t.Errorf("%d calls on new connections for %d breaks", closed, broken)
	}
}

// Guards against connections dropped while idle: while many calls break, each
// goes on a new connection, and no longer than that.
func TestIdleConnectionsClosedAfterLosses(t *testing.T) {
	b, f := startBalancer(testSettings(), zoneEntries("b", 4)...)
	b.settings.Tier = 1
	n := 0
	call := func(r Result) {
		id := fmt.Sprint("r", n)
		n++
		b.StartRequest(Time(n)*ms, Request{ID: id, Class: nonIdempotent, Budget: 2000 * ms})
		b.AttemptDone(Time(n)*ms, Outcome{Request: id, Result: r, Latency: ms, Final: r == OK})
	}
	call(OK)
	if f.closed != 0 {
		t.Error("connections closed though none broke")
	}
	for range 20 {
		call(ConnectionLost)
	}
	if f.closed < 15 {
		t.Errorf("closed %d times in 20 breaks", f.closed)
	}
	for range 200 {
		call(OK)
	}
	before := f.closed
	call(OK)
	if f.closed != before {
		t.Error("still closing connections long after the last break")
	}
}

// Guards against clients of little patience that are all turned away though an answer is
// likely: where no allowance fits what they give, the mean latency has to. That holds for a
// first attempt of what may be repeated, and in a lower tier of any: turned away there, the
// work above is lost. Its time-out tells of the client, and neither raises the allowance nor
// speaks against the backend.
func TestShortClientTimeouts(t *testing.T) {
	for _, c := range []struct {
		name    string
		class   int
		tier    int
		unlike  bool
		patient time.Duration
		sent    bool
	}{
		{"over the mean", idempotent, 0, false, 250 * ms, true},
		{"under the mean", idempotent, 0, false, 90 * ms, false},
		{"must not run twice", nonIdempotent, 0, false, 250 * ms, false},
		{"a lower tier", idempotent, 1, false, 250 * ms, true},
		{"a lower tier, must not run twice", nonIdempotent, 1, false, 250 * ms, true},
		{"a lower tier, under the mean", idempotent, 1, false, 90 * ms, false},
		{"unlike traffic", idempotent, 0, true, 250 * ms, false},
	} {
		set := testSettings()
		set.Tier, set.UnevenTraffic = c.tier, c.unlike
		b, f := startBalancer(set, zoneEntries("b", 4)...)
		for i := range 20 {
			id := fmt.Sprint("before", i)
			b.StartRequest(0, Request{ID: id, Class: c.class, Budget: 2000 * ms})
			b.AttemptDone(0, Outcome{Request: id, Result: OK, Latency: 100 * ms, Final: true})
		}
		b.setAttemptTimeout(c.class, 600*ms)
		before := len(f.sends)
		b.StartRequest(ms, Request{ID: "r", Class: c.class, Budget: c.patient})
		if got := len(f.sends) > before; got != c.sent {
			t.Errorf("%s: sent %t", c.name, got)
			continue
		}
		if !c.sent {
			f.onlyAnswer(t, "r")
			continue
		}
		to := b.backends[f.last(t).backend]
		attemptTimeout, relativeLatency, failureShare :=
			b.classes[c.class].attemptTimeout, to.relativeLatency, to.failureShare
		b.AttemptDone(c.patient, Outcome{Request: "r", Result: TimedOut, Latency: f.last(t).timeout})
		if f.onlyAnswer(t, "r").refused != (c.class == idempotent) {
			t.Errorf("%s: refused only where another try is harmless", c.name)
		}
		if b.classes[c.class].attemptTimeout > attemptTimeout || to.relativeLatency != relativeLatency ||
			to.failureShare != failureShare {
			t.Errorf("%s: the time-out was learned from", c.name)
		}
	}
}

// Guards against backends that lose a part of their answers and are taken for slow: all would go
// to the few that lose none. A time-out counts for no more than two mean latencies, also for the limit.
func TestLostAnswersDontCountAsSlow(t *testing.T) {
	for _, c := range []struct {
		name   string
		uneven bool
		slow   bool
	}{{"unlike", true, false}, {"alike", false, true}} {
		set := unevenSettings()
		set.UnevenTraffic = c.uneven
		b, _ := startBalancer(set, zoneEntries("b", 10)...)
		b.setAttemptTimeout(idempotent, 700*ms)
		b.classes[idempotent].meanLatency, b.classes[idempotent].answerCount = float64(100*ms), 100
		m := b.backends["b0"]
		for i := range 20 { // every fourth answer is lost
			o, latency := OK, 100*ms
			if i%4 == 3 {
				o, latency = TimedOut, 700*ms
			}
			q := &request{Request: Request{Class: idempotent}, attempts: []attempt{{backend: m}}}
			b.recordOutcome(Time(i)*100*ms, q, &q.attempts[0], Outcome{Result: o, Latency: latency})
			b.summaryVersion++
			m.ejections = 0
		}
		if slow := m.relativeLatency > 1.5; slow != c.slow {
			t.Errorf("%s: slowness %v", c.name, m.relativeLatency)
		}
	}
}

// Guards against idle connections that are dropped unseen: calls on them have no answer, where a
// new connection has one. Busy ones stay open, since a new one is dear.
func TestIdleConnectionsDroppedSilently(t *testing.T) {
	b, f := startBalancer(unevenSettings(), zoneEntries("b", 1)...)
	now := runRequest(b, f, 0, OK) // a connection is made
	for range 8 {
		now = runRequest(b, f, now+3*time.Second, TimedOut)
	}
	if f.closed == 0 {
		t.Fatal("nothing was closed while all calls on idle connections had no answer")
	}
	closed := f.closed
	for range 10 {
		now = runRequest(b, f, now+50*ms, OK)
	}
	if n := f.closed - closed; n > 1 { // the first may have been idle
		t.Errorf("connections in use were closed %d times", n)
	}
	for range 200 {
		now = runRequest(b, f, now+50*ms, OK)
	}
	if b.idleTimeoutShare > idleTimeoutThreshold {
		t.Errorf("after 200 answers %v of calls still count as lost", b.idleTimeoutShare)
	}
}

// feedOne is one request whose attempts all end with r; it returns when the last one did.
func runRequest(b *Balancer, f *recorder, now Time, r Result) Time {
	id := fmt.Sprint("one", now)
	b.StartRequest(now, Request{ID: id, Class: idempotent, Budget: 2000 * ms})
	for n := 0; len(f.sends) > 0 && f.sends[len(f.sends)-1].request == id; n++ {
		took := 100 * ms
		if r == TimedOut {
			took = f.sends[len(f.sends)-1].timeout
		}
		now += took
		before := len(f.sends)
		b.AttemptDone(now, Outcome{Request: id, Attempt: n, Result: r, Latency: took, Final: r == OK})
		for token, wait := range f.timers {
			delete(f.timers, token)
			b.TimerFired(now+wait, token)
		}
		if len(f.sends) == before {
			break
		}
	}
	return now
}
