package agree

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"oxbowloft/fleet/agree/register"
	"oxbowloft/internal/standin"
)

func TestPropose(t *testing.T) {
	for _, n := range []int{1, 3, 5} {
		c := newCluster(t, n, newRegister, nil).start()
		k := c.client()
		for i := uint64(1); i <= 20; i++ {
			if got := c.add(k, 1); got != i {
				t.Fatalf("%d voters: add %d answered %d", n, i, got)
			}
		}
		if got := c.read(k); got != 20 {
			t.Fatalf("%d voters: read %d, not 20", n, got)
		}
	}
}

// hooked calls a hook before it applies an entry of the register machine.
type hookedMachine struct {
	*register.Machine
	hook func(entry []byte)
}

func (h hookedMachine) Apply(index uint64, entry []byte) []byte {
	h.hook(entry)
	return h.Machine.Apply(index, entry)
}

// A leader that dies between a decision and its answer leaves the asker without
// one; asked again, the entry has been applied once.
func TestLeaderStopsBeforeReply(t *testing.T) {
	var c *cluster
	var once sync.Once
	marked := register.Add(0, 1000)
	dead := make(chan *node, 1)
	c = newCluster(t, 3, nil, nil)
	for _, n := range c.nodes {
		n.machine = func() Machine {
			return hookedMachine{register.New(), func(entry []byte) {
				if bytes.Equal(entry, marked) && n.voter.leading() {
					once.Do(func() {
						n.server.Close() // the asker is without an answer from here on
						dead <- n
					})
				}
			}}
		}
	}
	c.start()
	k := c.client()
	c.add(k, 1)
	var stopped sync.WaitGroup
	stopped.Go(func() { (<-dead).stop() })
	answer, index, err := k.Propose(testContext(t), marked)
	if got := value(t, answer, err); got != 1001 {
		t.Fatalf("answered %d, not 1001", got)
	}
	if index == 0 {
		t.Fatal("no index")
	}
	stopped.Wait()
	if got := c.read(k); got != 1001 {
		t.Fatalf("read %d, not 1001", got)
	}
}

// An ask is answered alike however often it comes.
func TestRetriedProposal(t *testing.T) {
	c := newCluster(t, 3, newRegister, nil).start()
	v := c.leader().voter
	ctx := testContext(t)
	session, err := v.openSession(ctx)
	if err != nil {
		t.Fatal(err)
	}
	ask := sessionEntry{Session: session, Seq: 1, Data: register.Add(0, 5)}
	first, index, err := v.propose(ctx, ask)
	value(t, first, err)
	for range 3 {
		again, at, err := v.propose(ctx, ask)
		if value(t, again, err) != 5 || at != index {
			t.Fatalf("again: %v at %d, first %v at %d", again, at, first, index)
		}
	}
	for _, x := range []struct {
		ask  sessionEntry
		want error
	}{
		{sessionEntry{Session: session, Seq: 2, Confirmed: 1, Data: register.Add(0, 1)}, nil},
		{ask, ErrConfirmed},
		{sessionEntry{Session: session, Data: ask.Data}, ErrConfirmed},
		{sessionEntry{Session: 1 << 40, Seq: 1, Data: ask.Data}, ErrUnknownSession},
		{sessionEntry{Session: session, Seq: 3, Data: make([]byte, MaxEntry+1)}, ErrTooLong},
	} {
		if _, _, err := v.propose(ctx, x.ask); !errors.Is(err, x.want) {
			t.Errorf("%d/%d: %v, not %v", x.ask.Session, x.ask.Seq, err, x.want)
		}
	}
}

// Half of the voters cut off decide nothing, and take part once they are back.
func TestPartition(t *testing.T) {
	c := newCluster(t, 5, newRegister, nil).start()
	k := c.client()
	c.add(k, 1)
	lead := c.leader()
	cut := []*node{lead} // and one more; three are left
	for _, n := range c.nodes {
		if n != lead && len(cut) < 2 {
			cut = append(cut, n)
		}
	}
	for _, n := range cut {
		n.setIsolated(true)
	}
	// The cut leader, asked directly, grants nothing.
	if _, _, err := lead.voter.propose(testContext(t), sessionEntry{Session: 1, Seq: 1, Data: register.Add(0, 1)}); err == nil {
		t.Fatal("a leader cut off agreed to an ask")
	}
	if _, _, err := lead.voter.read(testContext(t), register.Get(0)); err == nil {
		t.Fatal("a leader cut off answered a read")
	}
	if got := c.add(k, 1); got != 2 {
		t.Fatalf("three of five: %d, not 2", got)
	}
	// A third one cut off: no majority is left.
	third := c.leader()
	third.setIsolated(true)
	ctx, cancel := context.WithTimeout(context.Background(), 5*testHeartbeat)
	defer cancel()
	asking := k.newProposal(register.Add(0, 1))
	defer asking.release()
	if _, _, err := asking.submit(ctx); err == nil {
		t.Fatal("two of five agreed")
	}
	for _, n := range append(cut, third) {
		n.setIsolated(false)
	}
	answer, _, err := asking.submit(testContext(t))
	if got := value(t, answer, err); got != 3 {
		t.Fatalf("all back: %d, not 3", got)
	}
}

// All voters ended at once go on with what they had.
func TestRestartOfAllVoters(t *testing.T) {
	c := newCluster(t, 3, newRegister, func(cfg *Config) {
		cfg.SnapshotThreshold, cfg.TrailingEntries, cfg.SnapshotInterval = 16, 4, 20*time.Millisecond
	}).start()
	k := c.client()
	for round := range uint64(3) {
		for i := range uint64(40) {
			if got := c.add(k, 1); got != 40*round+i+1 {
				t.Fatalf("round %d: add answered %d", round, got)
			}
		}
		await(t, "a snapshot", func() bool {
			found, _ := filepath.Glob(filepath.Join(c.nodes[0].cfg.Dir, "snapshots", "*[0-9]"))
			return len(found) > 0
		})
		for _, n := range c.nodes {
			n.stop()
		}
		c.start()
	}
	if got := c.read(k); got != 120 {
		t.Fatalf("read %d, not 120", got)
	}
	// One that is far behind gets a snapshot.
	behind := c.nodes[1]
	behind.stop()
	for range 60 {
		c.add(k, 1)
	}
	if err := behind.start(); err != nil {
		t.Fatal(err)
	}
	await(t, "level again", func() bool {
		behind.voter.fsm.mu.Lock()
		defer behind.voter.fsm.mu.Unlock()
		return bytes.Equal(behind.voter.fsm.machine.(*register.Machine).Query(register.Get(0)),
			[]byte{0, 0, 0, 0, 0, 0, 0, 180})
	})
}

// faulty makes a store fail from some write on, before or after it is on disk.
func injectWriteFault(s *logStore, after bool) (arm func()) {
	var armed bool
	var mu sync.Mutex
	s.update = func(f func(*bbolt.Tx) error) error {
		mu.Lock()
		defer mu.Unlock()
		if !armed {
			return s.db.Update(f)
		}
		if after {
			s.db.Update(f)
		}
		return errors.New("no space left on device")
	}
	return func() {
		mu.Lock()
		defer mu.Unlock()
		armed = true
	}
}

// A leader whose disk is full agrees to nothing and steps down; the others go
// on. With room again it comes back. So does a follower.
func TestDiskFull(t *testing.T) {
	for _, after := range []bool{false, true} {
		c := newCluster(t, 3, newRegister, nil)
		arms := map[*node]func(){}
		for _, n := range c.nodes {
			n.fault = func(s *logStore) { arms[n] = injectWriteFault(s, after) }
		}
		c.start()
		k := c.client()
		c.add(k, 1)
		for sum := uint64(2); sum < 4; sum++ {
			lead := c.leader()
			arms[lead]()
			if got := c.add(k, 1); got != sum {
				t.Fatalf("after=%v: %d, not %d", after, got, sum)
			}
			<-lead.voter.Done()
			if err := lead.voter.exitError(); err == nil || !bytes.Contains([]byte(err.Error()), []byte("no space")) {
				t.Fatalf("after=%v: ended with %v", after, err)
			}
			lead.stop()
			lead.fault = nil
			if err := lead.start(); err != nil {
				t.Fatal(err)
			}
		}
		if got := c.read(k); got != 3 {
			t.Fatalf("after=%v: read %d, not 3", after, got)
		}
	}
}

// A term or vote that can't be kept ends the voter, without raft's panic.
func TestDiskFullDuringElection(t *testing.T) {
	c := newCluster(t, 3, newRegister, nil)
	arms := map[*node]func(){}
	for _, n := range c.nodes {
		n.fault = func(s *logStore) { arms[n] = injectWriteFault(s, false) }
	}
	c.start()
	k := c.client()
	c.add(k, 1)
	lead := c.leader()
	for _, n := range c.nodes {
		if n != lead {
			arms[n]()
		}
	}
	lead.stop()
	for _, n := range c.nodes {
		n.fault = nil
	}
	// Of the two left one asks for a vote first; without it there is no second.
	await(t, "the end of one", func() bool {
		for _, n := range c.nodes {
			if n != lead && n.voter.exitError() != nil {
				return true
			}
		}
		return false
	})
	for _, n := range c.nodes {
		n.stop()
	}
	c.start()
	if got := c.read(k); got != 1 {
		t.Fatalf("read %d, not 1", got)
	}
}

// A voter that has lost its store does not vote under its old name, but may be
// removed and added by another.
func TestLostStoreIsNotReused(t *testing.T) {
	c := newCluster(t, 3, newRegister, nil).start()
	k := c.client()
	c.add(k, 7)
	lead := c.leader()
	var lost *node
	for _, n := range c.nodes {
		if n != lead {
			lost = n
		}
	}
	lost.stop()
	if err := os.RemoveAll(lost.cfg.Dir); err != nil {
		t.Fatal(err)
	}
	if err := lost.start(); err != nil {
		t.Fatal(err)
	}
	<-lost.voter.Done()
	if err := lost.voter.exitError(); !errors.Is(err, errStoreLost) {
		t.Fatalf("ended with %v", err)
	}
	lost.stop()
	old := lost.cfg.Name
	lost.cfg.Name, lost.cfg.Join = "v9", true
	lost.cfg.Dir, lost.cfg.Bind = t.TempDir(), standin.FreeAddr(t)
	if err := lost.start(); err != nil {
		t.Fatal(err)
	}
	if err := k.RemoveVoter(testContext(t), old); err != nil {
		t.Fatal(err)
	}
	if err := k.AddVoter(testContext(t), "v9", lost.cfg.Bind); err != nil {
		t.Fatal(err)
	}
	// A leader that is removed ends. Without it the new one is needed for a majority.
	lead = c.leader()
	if err := k.RemoveVoter(testContext(t), lead.cfg.Name); err != nil {
		t.Fatal(err)
	}
	<-lead.voter.Done()
	if err := lead.voter.exitError(); !errors.Is(err, errRemoved) {
		t.Fatalf("removed leader ended with %v", err)
	}
	if got := c.add(k, 1); got != 8 {
		t.Fatalf("add answered %d, not 8", got)
	}
	lost.cfg.Name, lost.cfg.Join = old, true
	if err := lost.cfg.Check(); err == nil {
		t.Fatal("a voter of the initial set may join")
	}
}

func TestBusy(t *testing.T) {
	hold := make(chan struct{})
	c := newCluster(t, 1, func() Machine {
		return hookedMachine{register.New(), func([]byte) { <-hold }}
	}, func(cfg *Config) { cfg.MaxPending = 2 }).start()
	v := c.leader().voter
	ctx, cancel := context.WithCancel(context.Background())
	session, err := v.openSession(ctx)
	if err != nil {
		t.Fatal(err)
	}
	var asks sync.WaitGroup
	saw := make(chan error, 1024)
	await(t, "busy", func() bool {
		asks.Go(func() {
			_, _, err := v.propose(ctx, sessionEntry{Session: session, Seq: 1, Data: register.Add(0, 1)})
			saw <- err
		})
		select {
		case err := <-saw:
			var busy *busyError
			if !errors.As(err, &busy) || busy.RetryAfter <= 0 {
				t.Fatalf("%v, not busy", err)
			}
			return true
		default:
			return false
		}
	})
	cancel()
	close(hold)
	asks.Wait()
	c.nodes[0].stop()
	if _, _, err := v.propose(testContext(t), sessionEntry{Session: session, Seq: 1}); !errors.Is(err, ErrShutdown) {
		t.Fatalf("after its end: %v", err)
	}
}

// Time is the leaders', without what lies between them.
func TestTicks(t *testing.T) {
	c := newCluster(t, 3, newRegister, func(cfg *Config) {
		cfg.NewTick, cfg.TickInterval = register.Tick, 10*time.Millisecond
	}).start()
	k := c.client()
	begin := time.Now()
	passed := func() time.Duration {
		answer, _, err := k.Read(testContext(t), register.Elapsed())
		return time.Duration(value(t, answer, err))
	}
	await(t, "time", func() bool { return passed() > 100*time.Millisecond })
	for range 2 {
		c.leader().stop()
		before := passed()
		await(t, "time", func() bool { return passed() > before })
		for _, n := range c.nodes {
			if n.voter == nil {
				if err := n.start(); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	if got, most := passed(), time.Since(begin); got > most {
		t.Fatalf("%v told in %v", got, most)
	}
}

func TestSubscribe(t *testing.T) {
	c := newCluster(t, 3, newRegister, nil).start()
	k := c.client()
	ctx, cancel := context.WithCancel(testContext(t))
	var got []effect
	var seen sync.WaitGroup
	const all = 300
	seen.Go(func() {
		err := k.subscribe(ctx, 1, func(e effect) error {
			if got = append(got, e); len(got) == all {
				cancel()
			}
			return nil
		})
		if !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
	asker := c.client()
	var want []effect
	for i := range all {
		answer, index, err := asker.Propose(testContext(t), register.Add(0, 1))
		value(t, answer, err)
		want = append(want, effect{index, answer})
		if i == all/2 {
			lead := c.leader()
			lead.stop()
			if err := lead.start(); err != nil {
				t.Fatal(err)
			}
		}
	}
	seen.Wait()
	if len(got) != len(want) {
		t.Fatalf("%d effects, not %d", len(got), len(want))
	}
	for i := range want {
		if got[i].Index != want[i].Index || !bytes.Equal(got[i].Answer, want[i].Answer) {
			t.Fatalf("effect %d: %v, not %v", i, got[i], want[i])
		}
	}
	v := c.leader().voter
	v.fsm.mu.Lock()
	v.fsm.lastDropped = 100
	v.fsm.mu.Unlock()
	var gone *compactedError
	if _, _, err := v.effects(100, 1); !errors.As(err, &gone) || gone.Oldest != 101 {
		t.Fatalf("effects lost: %v", err)
	}
}
