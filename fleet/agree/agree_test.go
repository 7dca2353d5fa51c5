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
		client := c.client()
		for i := uint64(1); i <= 20; i++ {
			if got := c.add(client, 1); got != i {
				t.Fatalf("%d voters: add %d: answer %d", n, i, got)
			}
		}
		if got := c.read(client); got != 20 {
			t.Fatalf("%d voters: read %d, not 20", n, got)
		}
	}
}

// hookedMachine calls a hook before it applies an entry of the register machine.
type hookedMachine struct {
	*register.Machine
	hook func(entry []byte)
}

func (h hookedMachine) Apply(index uint64, entry []byte) []byte {
	h.hook(entry)
	return h.Machine.Apply(index, entry)
}

// If a leader stops after it has committed an entry and before it has replied, the
// client's retry gets the original answer, and the entry is applied once.
func TestLeaderStopsBeforeReply(t *testing.T) {
	var c *cluster
	var once sync.Once
	markedEntry := register.Add(0, 1000)
	toStop := make(chan *node, 1)
	c = newCluster(t, 3, nil, nil)
	for _, n := range c.nodes {
		n.machine = func() Machine {
			return hookedMachine{register.New(), func(entry []byte) {
				if bytes.Equal(entry, markedEntry) && n.voter.leading() {
					once.Do(func() {
						n.server.Close() // the client can't get a reply from here on
						toStop <- n
					})
				}
			}}
		}
	}
	c.start()
	client := c.client()
	c.add(client, 1)
	var stopped sync.WaitGroup
	stopped.Go(func() { (<-toStop).stop() })
	answer, index, err := client.Propose(testContext(t), markedEntry)
	if got := registerValue(t, answer, err); got != 1001 {
		t.Fatalf("answer %d, not 1001", got)
	}
	if index == 0 {
		t.Fatal("index is 0")
	}
	stopped.Wait()
	if got := c.read(client); got != 1001 {
		t.Fatalf("read %d, not 1001", got)
	}
}

// A retry of an applied proposal gets the original answer and index.
func TestRetriedProposal(t *testing.T) {
	c := newCluster(t, 3, newRegister, nil).start()
	v := c.leader().voter
	ctx := testContext(t)
	session, err := v.openSession(ctx)
	if err != nil {
		t.Fatal(err)
	}
	proposal := sessionEntry{Session: session, Seq: 1, Data: register.Add(0, 5)}
	first, index, err := v.propose(ctx, proposal)
	registerValue(t, first, err)
	for range 3 {
		again, at, err := v.propose(ctx, proposal)
		if registerValue(t, again, err) != 5 || at != index {
			t.Fatalf("retry: answer %v at index %d, first %v at %d", again, at, first, index)
		}
	}
	for _, x := range []struct {
		proposal sessionEntry
		want     error
	}{
		{sessionEntry{Session: session, Seq: 2, Confirmed: 1, Data: register.Add(0, 1)}, nil},
		{proposal, ErrConfirmed},
		{sessionEntry{Session: session, Data: proposal.Data}, ErrConfirmed},
		{sessionEntry{Session: 1 << 40, Seq: 1, Data: proposal.Data}, ErrUnknownSession},
		{sessionEntry{Session: session, Seq: 3, Data: make([]byte, MaxEntry+1)}, ErrTooLong},
	} {
		if _, _, err := v.propose(ctx, x.proposal); !errors.Is(err, x.want) {
			t.Errorf("session %d, sequence %d: error %v, not %v", x.proposal.Session, x.proposal.Seq, err, x.want)
		}
	}
}

// Isolated voters commit nothing and answer no reads, without a majority nothing is
// committed, and all voters participate again after the partition heals.
func TestPartition(t *testing.T) {
	c := newCluster(t, 5, newRegister, nil).start()
	client := c.client()
	c.add(client, 1)
	leader := c.leader()
	isolated := []*node{leader} // and one more voter; three are left
	for _, n := range c.nodes {
		if n != leader && len(isolated) < 2 {
			isolated = append(isolated, n)
		}
	}
	for _, n := range isolated {
		n.setIsolated(true)
	}
	// The isolated leader, called directly, commits nothing.
	if _, _, err := leader.voter.propose(testContext(t), sessionEntry{Session: 1, Seq: 1, Data: register.Add(0, 1)}); err == nil {
		t.Fatal("an isolated leader committed a proposal")
	}
	if _, _, err := leader.voter.read(testContext(t), register.Get(0)); err == nil {
		t.Fatal("an isolated leader answered a read")
	}
	if got := c.add(client, 1); got != 2 {
		t.Fatalf("majority of three of five: answer %d, not 2", got)
	}
	// With a third one isolated no majority is left.
	third := c.leader()
	third.setIsolated(true)
	ctx, cancel := context.WithTimeout(context.Background(), 5*testHeartbeat)
	defer cancel()
	proposal := client.newProposal(register.Add(0, 1))
	defer proposal.release()
	if _, _, err := proposal.submit(ctx); err == nil {
		t.Fatal("two of five voters committed a proposal")
	}
	for _, n := range append(isolated, third) {
		n.setIsolated(false)
	}
	answer, _, err := proposal.submit(testContext(t))
	if got := registerValue(t, answer, err); got != 3 {
		t.Fatalf("after the partition healed: answer %d, not 3", got)
	}
}

// Voters that are all stopped at once keep their state, also if the log has been
// compacted, and a voter that is far behind catches up by a snapshot.
func TestRestartOfAllVoters(t *testing.T) {
	c := newCluster(t, 3, newRegister, func(cfg *Config) {
		cfg.SnapshotThreshold, cfg.TrailingEntries, cfg.SnapshotInterval = 16, 4, 20*time.Millisecond
	}).start()
	client := c.client()
	for round := range uint64(3) {
		for i := range uint64(40) {
			if got := c.add(client, 1); got != 40*round+i+1 {
				t.Fatalf("round %d: add: answer %d", round, got)
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
	if got := c.read(client); got != 120 {
		t.Fatalf("read %d, not 120", got)
	}
	// A voter that is behind by more than the log keeps gets a snapshot.
	behind := c.nodes[1]
	behind.stop()
	for range 60 {
		c.add(client, 1)
	}
	if err := behind.start(); err != nil {
		t.Fatal(err)
	}
	await(t, "the restarted voter to catch up", func() bool {
		behind.voter.fsm.mu.Lock()
		defer behind.voter.fsm.mu.Unlock()
		return bytes.Equal(behind.voter.fsm.machine.(*register.Machine).Query(register.Get(0)),
			[]byte{0, 0, 0, 0, 0, 0, 0, 180})
	})
}

// injectWriteFault returns a function that makes all later writes of a store fail, either before
// or, if after is true, after the data is on disk.
func injectWriteFault(s *logStore, after bool) (enable func()) {
	var failing bool
	var mu sync.Mutex
	s.update = func(f func(*bbolt.Tx) error) error {
		mu.Lock()
		defer mu.Unlock()
		if !failing {
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
		failing = true
	}
}

// A leader whose disk is full stops, and the others continue. After a restart with
// free space it participates again.
func TestDiskFull(t *testing.T) {
	for _, after := range []bool{false, true} {
		c := newCluster(t, 3, newRegister, nil)
		injectFault := map[*node]func(){}
		for _, n := range c.nodes {
			n.injectFault = func(s *logStore) { injectFault[n] = injectWriteFault(s, after) }
		}
		c.start()
		client := c.client()
		c.add(client, 1)
		for sum := uint64(2); sum < 4; sum++ {
			leader := c.leader()
			injectFault[leader]()
			if got := c.add(client, 1); got != sum {
				t.Fatalf("after=%v: answer %d, not %d", after, got, sum)
			}
			<-leader.voter.Done()
			if err := leader.voter.exitError(); err == nil || !bytes.Contains([]byte(err.Error()), []byte("no space")) {
				t.Fatalf("after=%v: voter stopped with error %v", after, err)
			}
			leader.stop()
			leader.injectFault = nil
			if err := leader.start(); err != nil {
				t.Fatal(err)
			}
		}
		if got := c.read(client); got != 3 {
			t.Fatalf("after=%v: read %d, not 3", after, got)
		}
	}
}

// A voter that can't store its term or vote stops without a panic in raft.
func TestDiskFullDuringElection(t *testing.T) {
	c := newCluster(t, 3, newRegister, nil)
	injectFault := map[*node]func(){}
	for _, n := range c.nodes {
		n.injectFault = func(s *logStore) { injectFault[n] = injectWriteFault(s, false) }
	}
	c.start()
	client := c.client()
	c.add(client, 1)
	leader := c.leader()
	for _, n := range c.nodes {
		if n != leader {
			injectFault[n]()
		}
	}
	leader.stop()
	for _, n := range c.nodes {
		n.injectFault = nil
	}
	// Of the two remaining voters only the first candidate is certain to write a term
	// and a vote, so the stop of one is enough.
	await(t, "one of the voters to stop", func() bool {
		for _, n := range c.nodes {
			if n != leader && n.voter.exitError() != nil {
				return true
			}
		}
		return false
	})
	for _, n := range c.nodes {
		n.stop()
	}
	c.start()
	if got := c.read(client); got != 1 {
		t.Fatalf("read %d, not 1", got)
	}
}

// A voter that has lost its store must not vote under its old name: it may have
// forgotten a vote. It can be removed and added under a new name.
func TestLostStoreIsNotReused(t *testing.T) {
	c := newCluster(t, 3, newRegister, nil).start()
	client := c.client()
	c.add(client, 7)
	leader := c.leader()
	var voterNode *node
	for _, n := range c.nodes {
		if n != leader {
			voterNode = n
		}
	}
	voterNode.stop()
	if err := os.RemoveAll(voterNode.cfg.Dir); err != nil {
		t.Fatal(err)
	}
	if err := voterNode.start(); err != nil {
		t.Fatal(err)
	}
	<-voterNode.voter.Done()
	if err := voterNode.voter.exitError(); !errors.Is(err, errStoreLost) {
		t.Fatalf("voter stopped with error %v", err)
	}
	voterNode.stop()
	old := voterNode.cfg.Name
	voterNode.cfg.Name, voterNode.cfg.Join = "v9", true
	voterNode.cfg.Dir, voterNode.cfg.Bind = t.TempDir(), standin.FreeAddr(t)
	if err := voterNode.start(); err != nil {
		t.Fatal(err)
	}
	if err := client.RemoveVoter(testContext(t), old); err != nil {
		t.Fatal(err)
	}
	if err := client.AddVoter(testContext(t), "v9", voterNode.cfg.Bind); err != nil {
		t.Fatal(err)
	}
	// A removed leader stops. Without it the added voter is needed for the majority.
	leader = c.leader()
	if err := client.RemoveVoter(testContext(t), leader.cfg.Name); err != nil {
		t.Fatal(err)
	}
	<-leader.voter.Done()
	if err := leader.voter.exitError(); !errors.Is(err, errRemoved) {
		t.Fatalf("removed leader stopped with error %v", err)
	}
	if got := c.add(client, 1); got != 8 {
		t.Fatalf("add: answer %d, not 8", got)
	}
	voterNode.cfg.Name, voterNode.cfg.Join = old, true
	if err := voterNode.cfg.Check(); err == nil {
		t.Fatal("a voter of the initial set was allowed to join")
	}
}

func TestBusy(t *testing.T) {
	release := make(chan struct{})
	c := newCluster(t, 1, func() Machine {
		return hookedMachine{register.New(), func([]byte) { <-release }}
	}, func(cfg *Config) { cfg.MaxPending = 2 }).start()
	v := c.leader().voter
	ctx, cancel := context.WithCancel(context.Background())
	session, err := v.openSession(ctx)
	if err != nil {
		t.Fatal(err)
	}
	var proposals sync.WaitGroup
	results := make(chan error, 1024)
	await(t, "busy", func() bool {
		proposals.Go(func() {
			_, _, err := v.propose(ctx, sessionEntry{Session: session, Seq: 1, Data: register.Add(0, 1)})
			results <- err
		})
		select {
		case err := <-results:
			var busy *busyError
			if !errors.As(err, &busy) || busy.RetryAfter <= 0 {
				t.Fatalf("error %v, not busy", err)
			}
			return true
		default:
			return false
		}
	})
	cancel()
	close(release)
	proposals.Wait()
	c.nodes[0].stop()
	if _, _, err := v.propose(testContext(t), sessionEntry{Session: session, Seq: 1}); !errors.Is(err, ErrShutdown) {
		t.Fatalf("after the voter stopped: error %v", err)
	}
}

// The machine's time is what leaders measured, without the time between leaders, so it
// increases after a change of leader and never exceeds real time.
func TestTicks(t *testing.T) {
	c := newCluster(t, 3, newRegister, func(cfg *Config) {
		cfg.NewTick, cfg.TickInterval = register.Tick, 10*time.Millisecond
	}).start()
	client := c.client()
	start := time.Now()
	elapsed := func() time.Duration {
		answer, _, err := client.Read(testContext(t), register.Elapsed())
		return time.Duration(registerValue(t, answer, err))
	}
	await(t, "time", func() bool { return elapsed() > 100*time.Millisecond })
	for range 2 {
		c.leader().stop()
		before := elapsed()
		await(t, "time", func() bool { return elapsed() > before })
		for _, n := range c.nodes {
			if n.voter == nil {
				if err := n.start(); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	if got, most := elapsed(), time.Since(start); got > most {
		t.Fatalf("ticks amount to %v after %v", got, most)
	}
}

func TestSubscribe(t *testing.T) {
	c := newCluster(t, 3, newRegister, nil).start()
	client := c.client()
	ctx, cancel := context.WithCancel(testContext(t))
	var got []effect
	var subscriber sync.WaitGroup
	const effectCount = 300
	subscriber.Go(func() {
		err := client.subscribe(ctx, 1, func(e effect) error {
			if got = append(got, e); len(got) == effectCount {
				cancel()
			}
			return nil
		})
		if !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
	proposer := c.client()
	var want []effect
	for i := range effectCount {
		answer, index, err := proposer.Propose(testContext(t), register.Add(0, 1))
		registerValue(t, answer, err)
		want = append(want, effect{index, answer})
		if i == effectCount/2 {
			leader := c.leader()
			leader.stop()
			if err := leader.start(); err != nil {
				t.Fatal(err)
			}
		}
	}
	subscriber.Wait()
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
		t.Fatalf("dropped effects: error %v", err)
	}
}
