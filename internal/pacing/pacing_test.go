package pacing

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	ms      = time.Millisecond
	maxWait = 10000 * ms
)

func newServicePacer(seed uint64) *Pacer {
	return NewForService(maxWait, rand.New(rand.NewPCG(seed, 1)))
}

// The first wait is short but not zero, and after each failure there is a wait for a next call.
func TestFirstWaitAndNext(t *testing.T) {
	p := newServicePacer(1)
	if w := p.FirstWait(); w <= 0 || w > maxWait/10 {
		t.Errorf("the first wait is %v", w)
	}
	for range 10 {
		if w := p.Failed(100*ms, false); w <= 0 || w > maxWait {
			t.Errorf("waits %v after a failure", w)
		}
	}
}

// After a call that waited and failed, the mean wait is at least twice the time that it waited,
// with jitter of half: a long wait shows that discovery is overloaded.
func TestWaitByTheTimeWaited(t *testing.T) {
	for _, c := range []struct{ waited, least, most time.Duration }{
		{1 * ms, 250 * ms, 750 * ms},
		{2000 * ms, 2000 * ms, 6000 * ms},
		{60000 * ms, 5000 * ms, 10000 * ms},
	} {
		p := newServicePacer(1)
		if w := p.Failed(c.waited, false); w < c.least || w > c.most {
			t.Errorf("after a call that waited %v and failed, waits %v", c.waited, w)
		}
		// A watch that breaks has had its answer, so its duration does not matter.
		p.Succeeded()
		if w := p.Failed(0, false); w > 750*ms {
			t.Errorf("after a watch broke, waits %v", w)
		}
	}
}

// After an unresponsive watch, missed changes soon count as announced, so the next call comes soon:
// a missing response is not a full queue. A second one in a row may be, and the wait grows.
// Immediate rejections never make the wait longer than the time for which a list may be used.
func TestWaitByFailure(t *testing.T) {
	type failure struct {
		waited                time.Duration
		unresponsive, changed bool
	}
	rejected, unresponsive, broken := failure{waited: 20 * ms}, failure{waited: 3000 * ms, unresponsive: true}, failure{}
	changed := failure{changed: true}
	for _, c := range []struct {
		name        string
		failures    []failure
		least, most time.Duration
	}{
		{"unresponsive", []failure{unresponsive}, 250 * ms, 750 * ms},
		{"unresponsive after rejections", []failure{rejected, rejected, rejected, unresponsive}, 250 * ms, 750 * ms},
		{"unresponsive twice", []failure{unresponsive, unresponsive}, 3000 * ms, 9000 * ms},
		{"unresponsive often", []failure{unresponsive, unresponsive, unresponsive, unresponsive}, 5000 * ms, 10000 * ms},
		{"rejected", []failure{rejected}, 250 * ms, 750 * ms},
		{"rejected often", []failure{rejected, rejected, rejected, rejected, rejected, rejected, rejected, rejected}, 1250 * ms, 3750 * ms},
		{"rejected by another source", []failure{rejected, rejected, rejected, rejected, changed, rejected}, 250 * ms, 750 * ms},
		{"rejected after unresponsive", []failure{unresponsive, rejected}, 500 * ms, 1500 * ms},
		{"unreachable for long", []failure{broken, broken, broken, broken, broken}, 1250 * ms, 3750 * ms},
	} {
		for seed := range uint64(20) {
			p, wait := newServicePacer(seed), time.Duration(0)
			for _, f := range c.failures {
				if f.changed {
					p.SourceChanged()
				} else {
					wait = p.Failed(f.waited, f.unresponsive)
				}
			}
			if wait < c.least || wait > c.most {
				t.Errorf("%s: waits %v, want %v to %v", c.name, wait, c.least, c.most)
			}
		}
	}
}

// An outage of discovery ends all watches at once, and the calls of all callers fail in step. Their
// waits must stay spread, also once the backoff has reached its bound. Without that bound 210 of
// 400 waits after the fourth failure were the longest possible, 10 s, and those callers returned
// together. In a simulated outage in which discovery returned at 9.9 s, half of the processes
// had a new list at 16.8 s, after missed changes had begun to count as announced, and one in
// ten at 20.3 s.
func TestGrownWaitsAreSpread(t *testing.T) {
	const callers = 400
	waits := map[time.Duration]int{}
	for seed := range uint64(callers) {
		p := newServicePacer(seed)
		for range 3 {
			p.Failed(2000*ms, false)
		}
		waits[p.Failed(2000*ms, false).Truncate(100*ms)]++
	}
	for wait, n := range waits {
		if n > callers/10 {
			t.Errorf("%d of %d callers wait %v", n, callers, wait)
		}
	}
}

// A local agent that pushes lists is called at once, and again soon after any failure.
func TestPushed(t *testing.T) {
	for seed := range uint64(20) {
		p := NewForAgent(rand.New(rand.NewPCG(seed, 1)))
		if w := p.FirstWait(); w != 0 {
			t.Errorf("the first wait is %v", w)
		}
		for i, mean := range []time.Duration{250 * ms, 500 * ms, 1000 * ms, 1000 * ms} {
			if w := p.Failed(time.Minute, true); w < mean/2 || w > mean*3/2 {
				t.Errorf("after %d failures waits %v, want a mean of %v", i+1, w, mean)
			}
		}
		p.Succeeded()
		if w := p.Failed(0, false); w > 375*ms {
			t.Errorf("after a watch broke, waits %v", w)
		}
	}
}

// For any sequence of events every wait is positive and at most the time within which the settings
// require a call, and the wait after a watch that has brought a list is short.
func TestWaitsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := time.Duration(rapid.Int64Range(1, int64(time.Minute)).Draw(t, "max wait"))
		p := NewForService(bound, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		if w := p.FirstWait(); w <= 0 || w > max(1, bound/10) {
			t.Fatalf("the first wait is %v of %v", w, bound)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				p.SourceChanged()
			case 1:
				p.Succeeded()
				if w := p.Failed(0, false); w <= 0 || w > max(1, bound/10) {
					t.Fatalf("the wait after a watch is %v of %v", w, bound)
				}
			default:
				waited := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "waited"))
				if w := p.Failed(waited, rapid.Bool().Draw(t, "unresponsive")); w <= 0 || w > bound {
					t.Fatalf("after a call that waited %v the wait is %v of %v", waited, w, bound)
				}
			}
		}
	})
}

// Hundreds of callers call one discovery that serves its queue in order, including calls that have
// timed out after two seconds. Such a crowd must not keep the queue so long that no call is
// ever answered: each caller, also one that starts later, gets the list with few calls.
func TestCrowdOfCallersGetsTheList(t *testing.T) {
	const callers, restarted, work, callTimeout, step = 300, 60, 25 * ms, 2000 * ms, 5 * ms
	type caller struct {
		*Pacer
		dueAt    time.Duration // time of the next call; -1: a call is under way or done
		calledAt time.Duration
		calls    int
		listed   bool
	}
	type call struct {
		*caller
		number int // a caller whose call timed out may have made another
	}
	var all []*caller
	var queue []call
	seed := uint64(0)
	begin := func(now time.Duration, n int) {
		for range n {
			seed++
			p := newServicePacer(seed)
			all = append(all, &caller{Pacer: p, dueAt: now + p.FirstWait()})
		}
	}
	freeAt := time.Duration(0) // when discovery can serve the next call
	for now := time.Duration(0); now < 40000*ms; now += step {
		switch now {
		case 0:
			begin(now, callers)
		case 12000 * ms:
			begin(now, restarted)
		}
		for _, c := range all {
			switch {
			case c.dueAt >= 0 && c.dueAt <= now:
				c.dueAt, c.calledAt = -1, now
				c.calls++
				queue = append(queue, call{c, c.calls})
			case c.dueAt < 0 && !c.listed && now-c.calledAt >= callTimeout:
				c.dueAt = now + c.Failed(now-c.calledAt, false) // its call is still in the queue
			}
		}
		for freeAt <= now && len(queue) > 0 {
			c := queue[0]
			queue = queue[1:]
			freeAt = max(freeAt, now-step) + work
			if c.dueAt < 0 && c.number == c.calls {
				c.listed = true
				c.Succeeded()
			}
		}
		for _, c := range all[:min(len(all), callers)] {
			if now == 30000*ms && !c.listed {
				t.Fatalf("a caller has no list after %v and %d calls", now, c.calls)
			}
		}
	}
	calls := 0
	for i, c := range all {
		calls += c.calls
		if !c.listed {
			t.Errorf("caller %d has no list after %d calls", i, c.calls)
		}
	}
	if calls > 4*len(all) {
		t.Errorf("%d calls for %d lists", calls, len(all))
	}
}
