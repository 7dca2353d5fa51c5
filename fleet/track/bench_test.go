package track

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// instantFleet is a fleet whose messages arrive without delay, for measurements.
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
		set := Settings{Self: fmt.Sprintf("m%d", i), MaxEntries: maxEntries, Lease: 24 * time.Hour,
			Classes: []Class{
				{Keyed: true, MaxCallTime: 30 * time.Second, DedupWindow: 30 * time.Minute},
				{IdleTimeout: time.Hour, ClosedRetention: time.Minute},
			}}
		t, err := NewTable(set)
		if err != nil {
			tb.Fatal(err)
		}
		p.tables = append(p.tables, t)
		p.byName[set.Self] = t
		r.Members = append(r.Members, Member{Name: set.Self, Zone: fmt.Sprint(i % 3), Incarnation: 1,
			Alive: true})
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

// deliver passes messages between the tables until none are left.
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

// fill opens and ends n keyed calls in batches.
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
				tb.Fatalf("Open(%s) = %+v", key, v)
			}
			list = append(list, opened{t, key})
		}
		p.deliver()
		for _, o := range list {
			c := o.t.calls[hashKey(0, o.key)]
			if c == nil {
				tb.Fatalf("%s: no call after Open", o.key)
			}
			o.t.Done(p.now, o.key, c.generation.number, Finished)
		}
		p.deliver()
		p.step(20 * time.Millisecond)
	}
}

// TestMemoryPerEntry measures heap bytes per entry: the growth of HeapAlloc after a
// garbage collection, over three tables with the same entries, divided by entries held.
func TestMemoryPerEntry(t *testing.T) {
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	// Maps grow by doubling, so the result depends on how close the last doubling is.
	worst := 0.0
	for _, n := range []int{50_000, 70_000, 100_000} {
		p := newInstantFleet(t, 3, 1<<20)
		before := heap()
		p.fill(t, n, 500)
		p.step(2 * time.Second) // removes the owners' records of ended calls
		p.step(2 * time.Second)
		held := 0
		for _, table := range p.tables {
			held += table.Stats().Entries
		}
		perEntry := float64(heap()-before) / float64(held)
		worst = max(worst, perEntry)
		t.Logf("%d entries on 3 replicas: %.0f bytes per entry", n, perEntry)
		runtime.KeepAlive(p)
	}
	if worst > 160 {
		t.Errorf("%.0f bytes per entry, more than 160", worst)
	}
}

// TestMessagesPerCall counts messages and bytes for opening and ending a call with three
// replicas among ten members.
func TestMessagesPerCall(t *testing.T) {
	p := newInstantFleet(t, 10, 1<<20)
	for _, batch := range []int{1, 100} {
		p.messages, p.bytes = 0, 0
		p.fill(t, 1000, batch)
		t.Logf("batches of %d: %.1f messages, %.0f bytes per call opened and ended", batch,
			float64(p.messages)/1000, float64(p.bytes)/1000)
		for _, table := range p.tables {
			table.Tick(p.now)
		}
		q := newInstantFleet(t, 10, 1<<20)
		p = q
	}
}

// TestMillionEntries holds a million entries on ten members.
func TestMillionEntries(t *testing.T) {
	if testing.Short() || !testing.Verbose() {
		t.Skip("a million entries take half a minute and 0.5 GB: run with -v")
	}
	p := newInstantFleet(t, 10, 1<<20)
	start := time.Now()
	p.fill(t, 1_000_000, 2000)
	fillTime := time.Since(start)
	copies := 0
	for _, table := range p.tables {
		copies += table.Stats().Entries
	}
	if copies != 3_000_000 {
		t.Errorf("%d copies held of a million entries, want 3 million", copies)
	}
	start = time.Now()
	p.step(time.Second)
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	t.Logf("filled in %v, %.0f calls per second over all ten members; one sweep pass of all members %v; heap %d MB, %.0f bytes per copy",
		fillTime.Round(time.Millisecond), 1e6/fillTime.Seconds(), time.Since(start).Round(time.Millisecond),
		m.HeapAlloc>>20, float64(m.HeapAlloc)/float64(copies))
	runtime.KeepAlive(p)
}

// BenchmarkCallLifecycle opens a keyed call at one member, prepares it at three replicas
// and ends it. It measures all three together: divide by three for one member's share.
func BenchmarkCallLifecycle(b *testing.B) {
	p := newInstantFleet(b, 3, 1<<24)
	b.ReportAllocs()
	b.ResetTimer()
	p.fill(b, b.N, 500)
}

// BenchmarkPrepare is one replica's work for one prepare request.
func BenchmarkPrepare(b *testing.B) {
	p := newInstantFleet(b, 3, 1<<24)
	b.ReportAllocs()
	b.ResetTimer()
	t := p.tables[0]
	for i := range b.N {
		k := hashKey(0, fmt.Sprint(i))
		t.prepare(p.now, &entryRecord{key: k, generation: generationID{uint64(i) + 1, p.tables[1].selfID,
			1}, state: Prepared, target: "b1"})
	}
}

// BenchmarkSweep is the sweep's work for one entry.
func BenchmarkSweep(b *testing.B) {
	p := newInstantFleet(b, 3, 1<<24)
	p.fill(b, 100_000, 500)
	t := p.tables[0]
	b.ResetTimer()
	for i := range b.N {
		t.expireEntry(p.now, uint32(i%t.slotCount))
	}
}

// BenchmarkSelectReplicas selects the three replicas of a key among 300 members.
func BenchmarkSelectReplicas(b *testing.B) {
	var members []Member
	for i := range 300 {
		members = append(members, Member{Name: fmt.Sprint("m", i), Zone: fmt.Sprint(i % 6)})
	}
	candidates := candidatesOf(members)
	var replicas [maxReplicas]uint16
	for i := range b.N {
		selectReplicas(candidates, Key{uint64(i), uint64(i)}, 3, &replicas)
	}
}

// TestConvergenceAfterPartition measures how long replicas take to converge after a 30 s partition.
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
		elapsed := f.waitForConvergence(convergenceLimit)
		if f.violation != nil {
			t.Fatal(f.violation)
		}
		worst, sum = max(worst, elapsed), sum+elapsed
	}
	t.Logf("convergence after a 30 s partition: average %v, maximum %v of virtual time, Sync 1 s, Sweep 400 ms",
		sum/n, worst)
}
