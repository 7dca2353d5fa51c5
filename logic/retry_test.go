// Tests of attempts: whether one is sent, and what is learned from its outcome.

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
		{"fits only without the reserve", 101 * ms, 0, 0},
		{"does not fit", 50 * ms, 0, 0},
		{"no time at all", 0, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, rec := startBalancer(testSettings(), entry("b", 1))
			b.setAttemptTimeout(idempotent, 100*ms)
			b.StartRequest(0, Request{ID: "r", Class: idempotent, Budget: c.budget})
			if len(rec.sends) != c.sends {
				t.Fatalf("%d sends, want %d", len(rec.sends), c.sends)
			}
			if c.sends == 1 && rec.sends[0].timeout != c.timeout {
				t.Errorf("timeout %v, want %v", rec.sends[0].timeout, c.timeout)
			}
			if c.sends == 0 && !rec.onlyAnswer(t, "r").refused {
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
		after   time.Duration // latency of the outcome
		retried bool
		refused bool // if not retried
	}{
		{"idempotent after an error", idempotent, Error, 50 * ms, true, false},
		{"idempotent after a timeout", idempotent, TimedOut, 100 * ms, true, false},
		{"idempotent, but nothing fits", idempotent, TimedOut, 1900 * ms, false, true},
		{"deduplicated after a timeout", deduplicated, TimedOut, 100 * ms, true, false},
		{"deduplicated, window expired", deduplicated, TimedOut, 950 * ms, false, true},
		{"deduplicated in a zone, window expired", dedupInZone, TimedOut, 950 * ms, false, false},
		{"non-idempotent, proven not executed", nonIdempotent, Rejected, 10 * ms, true, false},
		{"non-idempotent, no connection", nonIdempotent, ConnectFailed, 10 * ms, true, false},
		{"non-idempotent after an error", nonIdempotent, Error, 10 * ms, false, false},
		{"non-idempotent after a lost connection", nonIdempotent, ConnectionLost, 10 * ms, false, false},
		{"non-idempotent after a timeout", nonIdempotent, TimedOut, 10 * ms, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, rec := startBalancer(testSettings(), entry("b", 1), entry("b", 2))
			b.retryTokens = 5
			b.setAttemptTimeout(c.class, 100*ms)
			b.StartRequest(0, Request{ID: "r", Class: c.class, Budget: 2000 * ms})
			b.AttemptDone(c.after, Outcome{Request: "r", Result: c.result, Latency: c.after})
			if !c.retried {
				if got := rec.onlyAnswer(t, "r"); got.refused != c.refused {
					t.Errorf("refused = %v, want %v", got.refused, c.refused)
				}
				if len(b.requests) != 0 {
					t.Error("an answered request is still kept")
				}
				return
			}
			token, wait := rec.takeTimer(t)
			if wait <= 0 {
				t.Error("no backoff")
			}
			b.TimerFired(c.after+wait, token)
			if len(rec.sends) != 2 {
				t.Fatalf("%d sends, want 2", len(rec.sends))
			}
			end := c.after + wait + 10*ms
			b.AttemptDone(end, Outcome{Request: "r", Attempt: 1, Result: OK, Latency: 10 * ms, Final: true})
			if len(rec.answers["r"]) != 0 || len(b.requests) != 0 {
				t.Error("a served request was answered again or is still kept")
			}
		})
	}
}

// Whether the attempt fits is checked again after the backoff: timers may run late.
func TestRetryMustFitAfterBackoff(t *testing.T) {
	b, rec := startBalancer(testSettings(), entry("b", 1))
	b.retryTokens = 5
	b.setAttemptTimeout(idempotent, 100*ms)
	b.StartRequest(0, Request{ID: "r", Class: idempotent, Budget: 1000 * ms})
	b.AttemptDone(100*ms, Outcome{Request: "r", Result: Error, Latency: 100 * ms})
	token, _ := rec.takeTimer(t)
	b.TimerFired(900*ms, token)
	if len(rec.sends) != 1 || !rec.onlyAnswer(t, "r").refused {
		t.Error("sent though the attempt timeout no longer fits")
	}
}

// If no attempt can follow, a shorter timeout gains nothing.
func TestLastAttemptGetsAllTimeLeft(t *testing.T) {
	for _, c := range []struct {
		name     string
		class    int
		attempts int
		want     time.Duration
	}{
		{"retries may follow", idempotent, 3, 100 * ms},
		{"must not be executed twice", nonIdempotent, 3, 980 * ms},
		{"the maximum of attempts is reached", idempotent, 1, 980 * ms},
	} {
		b, rec := startBalancer(testSettings(), entry("b", 1))
		b.settings.MaxAttempts = c.attempts
		b.setAttemptTimeout(c.class, 100*ms)
		b.StartRequest(0, Request{ID: "r", Class: c.class, Budget: 1000 * ms})
		if got := rec.last(t).timeout; got != c.want {
			t.Errorf("%s: timeout %v, want %v", c.name, got, c.want)
		}
	}
}

func TestBackoffGrows(t *testing.T) {
	b, rec := startBalancer(testSettings(), entry("b", 1))
	b.settings.MaxAttempts = 10
	b.setAttemptTimeout(idempotent, 100*ms)
	now := Time(0)
	b.StartRequest(now, Request{ID: "r", Class: idempotent, Budget: 2000 * ms})
	var waits []time.Duration
	for i := range 4 {
		b.AttemptDone(now, Outcome{Request: "r", Attempt: i, Result: ConnectFailed})
		token, wait := rec.takeTimer(t)
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
	b, rec := startBalancer(testSettings(), entry("b", 1))
	b.setAttemptTimeout(idempotent, 10*ms)
	b.StartRequest(0, Request{ID: "r", Class: idempotent, Budget: 2000 * ms})
	for i := range 3 {
		b.AttemptDone(Time(i)*20*ms, Outcome{Request: "r", Attempt: i, Result: ConnectFailed})
		if i < 2 {
			token, _ := rec.takeTimer(t)
			b.TimerFired(Time(i)*20*ms+10*ms, token)
		}
	}
	if len(rec.sends) != 3 || !rec.onlyAnswer(t, "r").refused {
		t.Errorf("%d sends, want the maximum of 3 and a refusal", len(rec.sends))
	}
}

// A deduplicated request that may have been executed goes only to backends that drop the duplicate.
func TestDeduplicatedStaysInScope(t *testing.T) {
	entries := []Backend{entry("b", 1), entry("b", 2), entry("a", 1), entry("c", 2)}
	for _, c := range []struct {
		class int
		same  func(x, y Backend) bool
	}{
		{dedupInZone, func(x, y Backend) bool { return x.Zone == y.Zone }},
		{dedupInCell, func(x, y Backend) bool { return x.Cell == y.Cell }},
	} {
		b, rec := startBalancer(testSettings(), entries...)
		byID := map[string]Backend{}
		for _, l := range entries {
			byID[l.ID] = l
		}
		for i := range 40 {
			id := fmt.Sprint("r", i)
			now := Time(i) * 1000 * ms
			b.retryTokens = 5
			b.setAttemptTimeout(c.class, 100*ms)
			b.StartRequest(now, Request{ID: id, Class: c.class, Budget: 2000 * ms})
			first := byID[rec.last(t).backend]
			b.AttemptDone(now+50*ms, Outcome{Request: id, Result: ConnectionLost, Latency: 50 * ms})
			if len(rec.answers[id]) > 0 {
				continue
			}
			token, wait := rec.takeTimer(t)
			sends := len(rec.sends)
			b.TimerFired(now+50*ms+wait, token)
			if len(rec.sends) == sends {
				rec.onlyAnswer(t, id)
				continue
			}
			if second := byID[rec.last(t).backend]; !c.same(first, second) {
				t.Fatalf("class %d: %s, then %s", c.class, first.ID, second.ID)
			}
			b.AttemptDone(now+90*ms, Outcome{Request: id, Attempt: 1, Result: OK, Final: true})
		}
	}
}

// Saved retry tokens are limited to what own traffic earns in the base ejection time. Without this, each
// of hundreds of balancers with little traffic would have ten retries to spend when a tier slows down: in
// sum a fifth more load on a tier already overloaded.
func TestRetryTokensAtLowTraffic(t *testing.T) {
	for _, c := range []struct {
		perSecond, most int
	}{{10, 3}, {400, 12}} {
		set := testSettings() // retries of up to a tenth of the calls of a second are allowed
		set.Tier = 1
		b, rec := startBalancer(set, zoneEntries("b", 4)...)
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
		if n := len(rec.timers); n > c.most || n == 0 {
			t.Errorf("%d calls a second: %d retries of 15 calls, want up to %d", c.perSecond, n, c.most)
		}
	}
}

// Prevents retries from using up the remaining capacity when all backends slow down together.
func TestRetryBudget(t *testing.T) {
	b, rec := startBalancer(testSettings(), zoneEntries("b", 4)...)
	b.settings.Tier = 1
	for i := range 200 {
		id := fmt.Sprint("r", i)
		b.StartRequest(0, Request{ID: id, Class: idempotent, Budget: 2000 * ms})
		b.AttemptDone(0, Outcome{Request: id, Result: Error})
	}
	if retries := len(rec.timers); retries > 21 || retries < 15 {
		t.Errorf("%d retries of 200 failed calls, want about a tenth", retries)
	}
}

// Occasional connection resets, a few in a thousand calls, say nothing about idle connections. Prevents
// hundreds of balancers from each answering one lost connection with some twenty new ones, to backends
// that accept few.
func TestFewLostConnectionsCauseNoReconnects(t *testing.T) {
	closed, lost := 0, 0
	for n := range 100 {
		set := testSettings()
		set.Seed, set.Tier, set.BalancerCount, set.BalancerIndex = uint64(n), 1, 100, n
		b, rec := startBalancer(set, zoneEntries("b", 20)...)
		rng := rand.New(rand.NewPCG(uint64(n), 4))
		for i := range 400 {
			now, id, r := Time(i)*50*ms, fmt.Sprint("r", i), OK
			if rng.Float64() < 0.005 {
				r = ConnectionLost
				lost++
			}
			b.StartRequest(now, Request{ID: id, Class: nonIdempotent, Budget: 2000 * ms})
			b.AttemptDone(now+ms, Outcome{Request: id, Result: r, Latency: ms, Final: r == OK})
		}
		closed += rec.closed
	}
	if closed > 10*lost {
		t.Errorf("%d calls on new connections for %d lost ones", closed, lost)
	}
}

// Connections may be dropped while idle: while many are lost, each call uses a new connection, and no
// longer than that.
func TestIdleConnectionsClosedAfterLosses(t *testing.T) {
	b, rec := startBalancer(testSettings(), zoneEntries("b", 4)...)
	b.settings.Tier = 1
	n := 0
	call := func(r Result) {
		id := fmt.Sprint("r", n)
		n++
		b.StartRequest(Time(n)*ms, Request{ID: id, Class: nonIdempotent, Budget: 2000 * ms})
		b.AttemptDone(Time(n)*ms, Outcome{Request: id, Result: r, Latency: ms, Final: r == OK})
	}
	call(OK)
	if rec.closed != 0 {
		t.Error("connections closed though none was lost")
	}
	for range 20 {
		call(ConnectionLost)
	}
	if rec.closed < 15 {
		t.Errorf("closed %d times for 20 lost connections", rec.closed)
	}
	for range 200 {
		call(OK)
	}
	before := rec.closed
	call(OK)
	if rec.closed != before {
		t.Error("still closing connections long after the last loss")
	}
}

// Prevents clients with short timeouts from being refused throughout although an answer is likely: where
// their time does not hold the attempt timeout, it has to hold the mean latency. This applies to the
// first attempt of idempotent requests, and in a lower tier of all requests, since a refusal there wastes
// the work above. A timeout of such an attempt depends on the client: it neither raises the attempt
// timeout nor counts against the backend.
func TestShortClientTimeouts(t *testing.T) {
	for _, c := range []struct {
		name   string
		class  int
		tier   int
		uneven bool
		budget time.Duration
		sent   bool
	}{
		{"above the mean latency", idempotent, 0, false, 250 * ms, true},
		{"below the mean latency", idempotent, 0, false, 90 * ms, false},
		{"must not be executed twice", nonIdempotent, 0, false, 250 * ms, false},
		{"a lower tier", idempotent, 1, false, 250 * ms, true},
		{"a lower tier, must not be executed twice", nonIdempotent, 1, false, 250 * ms, true},
		{"a lower tier, below the mean latency", idempotent, 1, false, 90 * ms, false},
		{"uneven traffic", idempotent, 0, true, 250 * ms, false},
	} {
		set := testSettings()
		set.Tier, set.UnevenTraffic = c.tier, c.uneven
		b, rec := startBalancer(set, zoneEntries("b", 4)...)
		for i := range 20 {
			id := fmt.Sprint("before", i)
			b.StartRequest(0, Request{ID: id, Class: c.class, Budget: 2000 * ms})
			b.AttemptDone(0, Outcome{Request: id, Result: OK, Latency: 100 * ms, Final: true})
		}
		b.setAttemptTimeout(c.class, 600*ms)
		before := len(rec.sends)
		b.StartRequest(ms, Request{ID: "r", Class: c.class, Budget: c.budget})
		if got := len(rec.sends) > before; got != c.sent {
			t.Errorf("%s: sent %t", c.name, got)
			continue
		}
		if !c.sent {
			rec.onlyAnswer(t, "r")
			continue
		}
		to := b.backends[rec.last(t).backend]
		attemptTimeout, relativeLatency, failureShare :=
			b.classes[c.class].attemptTimeout, to.relativeLatency, to.failureShare
		b.AttemptDone(c.budget, Outcome{Request: "r", Result: TimedOut, Latency: rec.last(t).timeout})
		if rec.onlyAnswer(t, "r").refused != (c.class == idempotent) {
			t.Errorf("%s: want a refusal only if a retry is harmless", c.name)
		}
		if b.classes[c.class].attemptTimeout > attemptTimeout || to.relativeLatency != relativeLatency ||
			to.failureShare != failureShare {
			t.Errorf("%s: the timeout changed what is learned", c.name)
		}
	}
}

// Prevents backends that lose some of their answers from being taken for slow, which would move all calls
// to the few that lose none. A timeout counts as at most twice the mean latency, also for the limit.
func TestLostAnswersDontCountAsSlow(t *testing.T) {
	for _, c := range []struct {
		name   string
		uneven bool
		slow   bool
	}{{"uneven", true, false}, {"even", false, true}} {
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
			t.Errorf("%s: relative latency %v", c.name, m.relativeLatency)
		}
	}
}

// Idle connections may be dropped without notice: calls on them get no answer, while new connections
// work. Connections in use stay open, since new ones are expensive.
func TestIdleConnectionsDroppedSilently(t *testing.T) {
	b, rec := startBalancer(unevenSettings(), zoneEntries("b", 1)...)
	now := runRequest(b, rec, 0, OK) // a connection is established
	for range 8 {
		now = runRequest(b, rec, now+3*time.Second, TimedOut)
	}
	if rec.closed == 0 {
		t.Fatal("nothing was closed while all calls on idle connections got no answer")
	}
	closed := rec.closed
	for range 10 {
		now = runRequest(b, rec, now+50*ms, OK)
	}
	if n := rec.closed - closed; n > 1 { // the first one may have been idle
		t.Errorf("connections in use were closed %d times", n)
	}
	for range 200 {
		now = runRequest(b, rec, now+50*ms, OK)
	}
	if b.idleTimeoutShare > idleTimeoutThreshold {
		t.Errorf("after 200 answers the idle timeout share is still %v", b.idleTimeoutShare)
	}
}

// runRequest runs a request whose attempts all end with r, and returns when the last one ended.
func runRequest(b *Balancer, rec *recorder, now Time, r Result) Time {
	id := fmt.Sprint("one", now)
	b.StartRequest(now, Request{ID: id, Class: idempotent, Budget: 2000 * ms})
	for n := 0; len(rec.sends) > 0 && rec.sends[len(rec.sends)-1].request == id; n++ {
		took := 100 * ms
		if r == TimedOut {
			took = rec.sends[len(rec.sends)-1].timeout
		}
		now += took
		before := len(rec.sends)
		b.AttemptDone(now, Outcome{Request: id, Attempt: n, Result: r, Latency: took, Final: r == OK})
		for token, wait := range rec.timers {
			delete(rec.timers, token)
			b.TimerFired(now+wait, token)
		}
		if len(rec.sends) == before {
			break
		}
	}
	return now
}
