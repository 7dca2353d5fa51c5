package track

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// pipe is a fleet whose messages arrive at once, for figures.
type instantFleet struct {
	tables   []*Table
	byName   map[string]*Table
	now      time.Duration
	messages int
	bytes    int
}

func newInstantFleet(tb testing.TB, n, maxEntries int) *instantFleet {
	p := &instantFleet{byName: map[string]*Table{}, now: time.Second}
	r := Roster{Epoch: 1}
	for i := range n {
		set := Settings{Self: fmt.Sprintf("m%d", i), MaxEntries: maxEntries, Lease: 24 * time.Hour, Classes: []Class{
			{Keyed: true, MaxCallTime: 30 * time.Second, DedupWindow: 30 * time.Minute},
			{IdleTimeout: time.Hour, ClosedRetention: time.Minute},
		}}
		t, err := NewTable(set)
		if err != nil {
			tb.Fatal(err)
		}
		p.tables = append(p.tables, t)
		p.byName[set.Self] = t
		r.Members = append(r.Members, Member{Name: set.Self, Zone: fmt.Sprint(i % 3), Incarnation: 1, Alive: true})
	}
	for _, t := range p.tables {
		if err := t.UpdateRoster(p.now, r); err != nil {
			tb.Fatal(err)
		}
	}
	p.step(10 * time.Millisecond)
	p.step(10 * time.Millisecond)
	return p
}

// deliver carries messages until there are none.
func (p *instantFleet) deliver() {
	for more := true; more; {
		more = false
		for _, t := range p.tables {
			outs, _ := t.Output()
			for _, o := range outs {
				p.messages++
				p.bytes += len(o.Payload)
				p.byName[o.To].Receive(p.now, t.settings.Self, o.Payload)
				more = true
			}
		}
	}
}

func (p *instantFleet) step(d time.Duration) {
	p.now += d
	for _, t := range p.tables {
		t.Tick(p.now)
	}
	p.deliver()
}

// fill opens n keyed calls and ends them, a batch at a time.
func (p *instantFleet) fill(tb testing.TB, n, batch int) {
	done := 0
	for done < n {
		type opened struct {
			t   *Table
			key string
		}
		var list []opened
		for ; len(list) < batch && done < n; done++ {
			key := fmt.Sprintf("key-%d", done)
			t := p.tables[done%len(p.tables)]
			if v := t.Open(p.now, key, 0, fmt.Sprintf("b%d", done%100)); v.Kind != Pending && v.Kind != New {
				tb.Fatalf("%s: %+v", key, v)
			}
			list = append(list, opened{t, key})
		}
		p.deliver()
		for _, o := range list {
			c := o.t.calls[hashKey(0, o.key)]
			if c == nil {
				tb.Fatalf("%s was not opened", o.key)
			}
			o.t.Done(p.now, o.key, c.generation.number, Finished)
		}
		p.deliver()
		p.step(20 * time.Millisecond)
	}
}

// TestMemory measures the heap of an entry as the growth of HeapAlloc after a
// collection, over three tables that hold the same entries, by entries held.
func TestMemoryPerEntry(t *testing.T) {
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	// Maps double: the figure swings by where between two doublings it is taken.
	worst := 0.0
	for _, n := range []int{50_000, 70_000, 100_000} {
		p := newInstantFleet(t, 3, 1<<20)
		before := heap()
		p.fill(t, n, 500)
		p.step(2 * time.Second) // own records of ended calls go
		p.step(2 * time.Second)
		held := 0
		for _, tab := range p.tables {
			held += tab.Stats().Entries
		}
		each := float64(heap()-before) / float64(held)
		worst = max(worst, each)
		t.Logf("%d entries on 3 replicas: %.0f bytes each", n, each)
		runtime.KeepAlive(p)
	}
	if worst > 160 {
		t.Errorf("%.0f bytes an entry", worst)
	}
}

// TestMessages counts what an entry's life costs: opened, ended and aged out with
// three replicas of ten members.
func TestMessagesPerCall(t *testing.T) {
	p := newInstantFleet(t, 10, 1<<20)
	for _, batch := range []int{1, 100} {
		p.messages, p.bytes = 0, 0
		p.fill(t, 1000, batch)
		t.Logf("batches of %d: %.1f messages, %.0f bytes a call opened and ended", batch,
			float64(p.messages)/1000, float64(p.bytes)/1000)
		for _, tab := range p.tables {
			tab.Tick(p.now)
		}
		q := newInstantFleet(t, 10, 1<<20)
		p = q
	}
}

// TestMillion holds a million entries over ten members.
func TestMillionEntries(t *testing.T) {
	if testing.Short() || !testing.Verbose() {
		t.Skip("a million entries take half a minute and 0.5 GB: run with -v")
	}
	p := newInstantFleet(t, 10, 1<<20)
	start := time.Now()
	p.fill(t, 1_000_000, 2000)
	took := time.Since(start)
	held := 0
	for _, tab := range p.tables {
		held += tab.Stats().Entries
	}
	if held != 3_000_000 {
		t.Errorf("%d copies of a million entries", held)
	}
	start = time.Now()
	p.step(time.Second)
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	t.Logf("filled in %v, %.0f a second over all ten; a pass of all sweeps %v; heap %d MB, %.0f bytes a copy",
		took.Round(time.Millisecond), 1e6/took.Seconds(), time.Since(start).Round(time.Millisecond),
		m.HeapAlloc>>20, float64(m.HeapAlloc)/float64(held))
	runtime.KeepAlive(p)
}

// BenchmarkLife is one keyed call opened at one member, noted by three replicas
// and ended: the work of all three together. Divide by three for one member's part.
func BenchmarkCallLifecycle(b *testing.B) {
	p := newInstantFleet(b, 3, 1<<24)
	b.ReportAllocs()
	b.ResetTimer()
	p.fill(b, b.N, 500)
}

// BenchmarkNote is the work of one replica for one Ask.
func BenchmarkPrepare(b *testing.B) {
	p := newInstantFleet(b, 3, 1<<24)
	b.ReportAllocs()
	b.ResetTimer()
	t := p.tables[0]
	for i := range b.N {
		k := hashKey(0, fmt.Sprint(i))
		t.prepare(p.now, &entryRecord{key: k, generation: generationID{uint64(i) + 1, p.tables[1].selfID, 1}, state: Prepared, target: "b1"})
	}
}

// BenchmarkSweep is one entry looked at by the sweep.
func BenchmarkSweep(b *testing.B) {
	p := newInstantFleet(b, 3, 1<<24)
	p.fill(b, 100_000, 500)
	t := p.tables[0]
	b.ResetTimer()
	for i := range b.N {
		t.expireEntry(p.now, uint32(i%t.slotCount))
	}
}

// BenchmarkPlace is finding the three replicas of a key among 300 members.
func BenchmarkSelectReplicas(b *testing.B) {
	var members []Member
	for i := range 300 {
		members = append(members, Member{Name: fmt.Sprint("m", i), Zone: fmt.Sprint(i % 6)})
	}
	seats := candidatesOf(members)
	var reps [maxReplicas]uint16
	for i := range b.N {
		selectReplicas(seats, Key{uint64(i), uint64(i)}, 3, &reps)
	}
}

// TestAgree measures how long replicas take to hold the same again after 30 s apart.
func TestConvergenceAfterPartition(t *testing.T) {
	var worst, sum time.Duration
	const n = 2
	for seed := range uint64(n) {
		f := newFleet(seed, 5, 3, nil, nil)
		f.loss = 0.02
		f.traffic(30*ms, 30, 60*time.Second)
		f.run(5 * time.Second)
		f.partition(func(x *node) bool { return x == f.nodes[0] || x == f.nodes[3] }, 30*time.Second)
		f.run(30 * time.Second)
		f.quietUntil = f.now + 20*time.Second
		took := f.waitForConvergence(convergenceLimit)
		if f.violation != nil {
			t.Fatal(f.violation)
		}
		worst, sum = max(worst, took), sum+took
	}
	t.Logf("after 30 s apart: on average %v, at most %v of virtual time, Sync 1 s, Sweep 400 ms", sum/n, worst)
}
