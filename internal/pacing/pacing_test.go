package pacing

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	ms     = time.Millisecond
	within = 10000 * ms
)

func asked(seed uint64) *Pacer { return NewForService(within, rand.New(rand.NewPCG(seed, 1))) }

// All callers start together, and the first call is soon; after failures there is always a
// next one.
func TestFirstAndNext(t *testing.T) {
	p := asked(1)
	if w := p.FirstWait(); w <= 0 || w > within/10 {
		t.Errorf("first asks after %v", w)
	}
	for range 10 {
		if w := p.Failed(100*ms, false); w <= 0 || w > within {
			t.Errorf("asks again after %v", w)
		}
	}
}

// A call that waited in vain is not made again before twice that time, give or take half:
// whoever waits tells that discovery is behind.
func TestAgainByTheTimeWaited(t *testing.T) {
	for _, c := range []struct{ waited, least, most time.Duration }{
		{1 * ms, 250 * ms, 750 * ms},
		{2000 * ms, 2000 * ms, 6000 * ms},
		{60000 * ms, 5000 * ms, 10000 * ms},
	} {
		p := asked(1)
		if w := p.Failed(c.waited, false); w < c.least || w > c.most {
			t.Errorf("waited %v in vain, asks again after %v", c.waited, w)
		}
		// A watch that breaks after long has had its answer: its time says nothing.
		p.Succeeded()
		if w := p.Failed(0, false); w > 750*ms {
			t.Errorf("a watch broke, asks again after %v", w)
		}
	}
}

// Once a watch has fallen silent, what it misses soon counts as told. The next call comes
// soon, too, as silence is no queue; a second silence may be one, and is waited out. A no
// that comes at once never makes the waits longer than the time for which a list may be held.
func TestAgainByWhatFailed(t *testing.T) {
	type failure struct {
		waited        time.Duration
		silent, moved bool
	}
	no, silent, broken := failure{waited: 20 * ms}, failure{waited: 3000 * ms, silent: true}, failure{}
	moved := failure{moved: true}
	for _, c := range []struct {
		name        string
		failures    []failure
		least, most time.Duration
	}{
		{"silent", []failure{silent}, 250 * ms, 750 * ms},
		{"silent after others", []failure{no, no, no, silent}, 250 * ms, 750 * ms},
		{"silent twice", []failure{silent, silent}, 3000 * ms, 9000 * ms},
		{"silent often", []failure{silent, silent, silent, silent}, 5000 * ms, 10000 * ms},
		{"turned away", []failure{no}, 250 * ms, 750 * ms},
		{"turned away often", []failure{no, no, no, no, no, no, no, no}, 1250 * ms, 3750 * ms},
		{"turned away by another source", []failure{no, no, no, no, moved, no}, 250 * ms, 750 * ms},
		{"turned away after silence", []failure{silent, no}, 500 * ms, 1500 * ms},
		{"nobody there for long", []failure{broken, broken, broken, broken, broken}, 1250 * ms, 3750 * ms},
	} {
		for seed := range uint64(20) {
			p, wait := asked(seed), time.Duration(0)
			for _, f := range c.failures {
				if f.moved {
					p.SourceChanged()
				} else {
					wait = p.Failed(f.waited, f.silent)
				}
			}
			if wait < c.least || wait > c.most {
				t.Errorf("%s: asks again after %v, want %v to %v", c.name, wait, c.least, c.most)
			}
		}
	}
}

// Callers whose calls fail one after the other, as in an outage of discovery that ended all their
// watches at once, do not meet again: their waits are spread, also once they have grown as far
// as they do. As found 210 of 400 waits after the fourth failure were the whole time within
// which a call is wanted, 10 s: those callers came back in step. On a herd day, where discovery
// returns at 9.9 s, half of all processes had their first list from then at 16.8 s, after what
// counts had begun to count, and one in ten at 20.3 s.
func TestGrownWaitsAreSpread(t *testing.T) {
	const callers = 400
	waits := map[time.Duration]int{}
	for seed := range uint64(callers) {
		p := asked(seed)
		for range 3 {
			p.Failed(2000*ms, false)
		}
		waits[p.Failed(2000*ms, false).Truncate(100*ms)]++
	}
	for wait, n := range waits {
		if n > callers/10 {
			t.Errorf("%d of %d callers wait for %v", n, callers, wait)
		}
	}
}

// An agent that pushes lists is asked at once, and again soon whatever has failed.
func TestPushed(t *testing.T) {
	for seed := range uint64(20) {
		p := NewForAgent(rand.New(rand.NewPCG(seed, 1)))
		if w := p.FirstWait(); w != 0 {
			t.Errorf("first asks after %v", w)
		}
		for i, mean := range []time.Duration{250 * ms, 500 * ms, 1000 * ms, 1000 * ms} {
			if w := p.Failed(time.Minute, true); w < mean/2 || w > mean*3/2 {
				t.Errorf("after %d failures asks again after %v, want %v in the mean", i+1, w, mean)
			}
		}
		p.Succeeded()
		if w := p.Failed(0, false); w > 375*ms {
			t.Errorf("a watch broke, asks again after %v", w)
		}
	}
}

// Whatever happens in whatever order, there is a wait, and none is longer than the time
// within which the settings want a call; after a watch that told a list it is short.
func TestWaitsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := time.Duration(rapid.Int64Range(1, int64(time.Minute)).Draw(t, "within"))
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
				if w := p.Failed(waited, rapid.Bool().Draw(t, "silent")); w <= 0 || w > bound {
					t.Fatalf("after a call that waited %v the wait is %v of %v", waited, w, bound)
				}
			}
		}
	})
}

// Hundreds of callers ask one discovery that works through calls in turn, and through those,
// too, that have given up after two seconds. Guards against a herd that keeps the queue so
// long that no call is ever answered: each has the list well within the time after which
// silence counts as knowing, with few calls, and so have those that come late.
func TestHerdOfCallersGetsTheList(t *testing.T) {
	const callers, restarted, work, patience, step = 300, 60, 25 * ms, 2000 * ms, 5 * ms
	type caller struct {
		*Pacer
		dueAt  time.Duration // next to ask; -1: not waiting to
		asked  time.Duration
		calls  int
		listed bool
	}
	type call struct {
		*caller
		number int // a caller that has given up may have made another
	}
	var all []*caller
	var queue []call
	seed := uint64(0)
	begin := func(now time.Duration, n int) {
		for range n {
			seed++
			p := asked(seed)
			all = append(all, &caller{Pacer: p, dueAt: now + p.FirstWait()})
		}
	}
	free := time.Duration(0) // when discovery can take the next
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
				c.dueAt, c.asked = -1, now
				c.calls++
				queue = append(queue, call{c, c.calls})
			case c.dueAt < 0 && !c.listed && now-c.asked >= patience:
				c.dueAt = now + c.Failed(now-c.asked, false) // its call is still in the queue
			}
		}
		for free <= now && len(queue) > 0 {
			c := queue[0]
			queue = queue[1:]
			free = max(free, now-step) + work
			if c.dueAt < 0 && c.number == c.calls {
				c.listed = true
				c.Succeeded()
			}
		}
		for _, c := range all[:min(len(all), callers)] {
			if now == 30000*ms && !c.listed {
				t.Fatalf("without a list after %v and %d calls", now, c.calls)
			}
		}
	}
	calls := 0
	for i, c := range all {
		calls += c.calls
		if !c.listed {
			t.Errorf("caller %d is without a list after %d calls", i, c.calls)
		}
	}
	if calls > 4*len(all) {
		t.Errorf("%d calls for %d lists", calls, len(all))
	}
}
