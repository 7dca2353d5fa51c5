package track

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// pipe is a fleet whose messages arrive at once, for figures.
type pipe struct {
	tabs   []*Table
	byName map[string]*Table
	now    time.Duration
	msgs   int
	bytes  int
}

func newPipe(tb testing.TB, n, most int) *pipe {
	p := &pipe{byName: map[string]*Table{}, now: time.Second}
	r := Roster{Epoch: 1}
	for i := range n {
		set := Settings{Self: fmt.Sprintf("m%d", i), MaxEntries: most, Lease: 24 * time.Hour, Classes: []Class{
			{Keyed: true, MaxCallTime: 30 * time.Second, DedupWindow: 30 * time.Minute},
			{IdleTimeout: time.Hour, ClosedRetention: time.Minute},
		}}
		t, err := NewTable(set)
		if err != nil {
			tb.Fatal(err)
		}
		p.tabs = append(p.tabs, t)
		p.byName[set.Self] = t
		r.Members = append(r.Members, Member{Name: set.Self, Zone: fmt.Sprint(i % 3), Incarnation: 1, Alive: true})
	}
	for _, t := range p.tabs {
		if err := t.UpdateRoster(p.now, r); err != nil {
			tb.Fatal(err)
		}
	}
	p.step(10 * time.Millisecond)
	p.step(10 * time.Millisecond)
	return p
}

// deliver carries messages until there are none.
func (p *pipe) deliver() {
	for more := true; more; {
		more = false
		for _, t := range p.tabs {
			outs, _ := t.Output()
			for _, o := range outs {
				p.msgs++
				p.bytes += len(o.Payload)
				p.byName[o.To].Receive(p.now, t.set.Self, o.Payload)
				more = true
			}
		}
	}
}

func (p *pipe) step(d time.Duration) {
	p.now += d
	for _, t := range p.tabs {
		t.Tick(p.now)
	}
	p.deliver()
}

// fill opens n keyed calls and ends them, a batch at a time.
func (p *pipe) fill(tb testing.TB, n, batch int) {
	done := 0
	for done < n {
		type opened struct {
			t   *Table
			key string
		}
		var list []opened
		for ; len(list) < batch && done < n; done++ {
			key := fmt.Sprintf("key-%d", done)
			t := p.tabs[done%len(p.tabs)]
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
			o.t.Done(p.now, o.key, c.id.gen, Finished)
		}
		p.deliver()
		p.step(20 * time.Millisecond)
	}
}

// TestMemory measures the heap of an entry as the growth of HeapAlloc after a
// collection, over three tables that hold the same entries, by entries held.
func TestMemory(t *testing.T) {
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
		p := newPipe(t, 3, 1<<20)
		before := heap()
		p.fill(t, n, 500)
		p.step(2 * time.Second) // own records of ended calls go
		p.step(2 * time.Second)
		held := 0
		for _, tab := range p.tabs {
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
func TestMessages(t *testing.T) {
	p := newPipe(t, 10, 1<<20)
	for _, batch := range []int{1, 100} {
		p.msgs, p.bytes = 0, 0
		p.fill(t, 1000, batch)
		t.Logf("batches of %d: %.1f messages, %.0f bytes a call opened and ended", batch,
			float64(p.msgs)/1000, float64(p.bytes)/1000)
		for _, tab := range p.tabs {
			tab.Tick(p.now)
		}
		q := newPipe(t, 10, 1<<20)
		p = q
	}
}

// TestMillion holds a million entries over ten members.
func TestMillion(t *testing.T) {
	if testing.Short() || !testing.Verbose() {
		t.Skip("a million entries take half a minute and 0.5 GB: run with -v")
	}
	p := newPipe(t, 10, 1<<20)
	start := time.Now()
	p.fill(t, 1_000_000, 2000)
	took := time.Since(start)
	held := 0
	for _, tab := range p.tabs {
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
func BenchmarkLife(b *testing.B) {
	p := newPipe(b, 3, 1<<24)
	b.ReportAllocs()
	b.ResetTimer()
	p.fill(b, b.N, 500)
}

// BenchmarkNote is the work of one replica for one Ask.
func BenchmarkNote(b *testing.B) {
	p := newPipe(b, 3, 1<<24)
	b.ReportAllocs()
	b.ResetTimer()
	t := p.tabs[0]
	for i := range b.N {
		k := hashKey(0, fmt.Sprint(i))
		t.note(p.now, &record{key: k, id: ident{uint64(i) + 1, p.tabs[1].id, 1}, state: Prepared, where: "b1"})
	}
}

// BenchmarkSweep is one entry looked at by the sweep.
func BenchmarkSweep(b *testing.B) {
	p := newPipe(b, 3, 1<<24)
	p.fill(b, 100_000, 500)
	t := p.tabs[0]
	b.ResetTimer()
	for i := range b.N {
		t.age(p.now, uint32(i%t.size))
	}
}

// BenchmarkPlace is finding the three replicas of a key among 300 members.
func BenchmarkPlace(b *testing.B) {
	var members []Member
	for i := range 300 {
		members = append(members, Member{Name: fmt.Sprint("m", i), Zone: fmt.Sprint(i % 6)})
	}
	seats := seatsOf(members)
	var reps [maxReplicas]uint16
	for i := range b.N {
		place(seats, Key{uint64(i), uint64(i)}, 3, &reps)
	}
}

// TestAgree measures how long replicas take to hold the same again after 30 s apart.
func TestAgree(t *testing.T) {
	var worst, sum time.Duration
	const n = 2
	for seed := range uint64(n) {
		f := newFleet(seed, 5, 3, nil, nil)
		f.loss = 0.02
		f.traffic(30*ms, 30, 60*time.Second)
		f.run(5 * time.Second)
		f.partition(func(x *node) bool { return x == f.nodes[0] || x == f.nodes[3] }, 30*time.Second)
		f.run(30 * time.Second)
		f.quiet = f.now + 20*time.Second
		took := f.agree(agreeWithin)
		if f.fault != nil {
			t.Fatal(f.fault)
		}
		worst, sum = max(worst, took), sum+took
	}
	t.Logf("after 30 s apart: on average %v, at most %v of virtual time, Sync 1 s, Sweep 400 ms", sum/n, worst)
}
