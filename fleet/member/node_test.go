package member

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"oxbowloft/fleet/faultlink"
)

const ms = time.Millisecond

// fastConfig returns a config with short intervals, so that a death is detected within a second.
func fastConfig(name string, e faultlink.Endpoint, join ...string) Config {
	return Config{
		Name: name, Zone: "z", Version: 3, Bind: e.Bind, Advertise: e.Advertise, Join: join,
		ProbeInterval: 100 * ms, ProbeTimeout: 40 * ms, SuspicionMult: 3, GossipInterval: 20 * ms,
		PushPullInterval: 400 * ms, StreamTimeout: 500 * ms, RejoinMin: 100 * ms, RejoinMax: 400 * ms,
	}
}

// cluster is a set of nodes connected by a faultlink.Net, all of which join through node a.
type cluster struct {
	t     *testing.T
	net   *faultlink.Network
	ends  map[string]faultlink.Endpoint
	nodes map[string]*Node
	mu    sync.Mutex
	seen  map[string][]Event // events that each node emitted
	tweak func(*Config)
}

func newCluster(t *testing.T, names ...string) *cluster {
	t.Helper()
	n, err := faultlink.New(faultlink.Config{})
	if err != nil {
		t.Fatal(err)
	}
	n.CloseAfterTest(t)
	c := &cluster{t: t, net: n, ends: map[string]faultlink.Endpoint{}, nodes: map[string]*Node{},
		seen: map[string][]Event{}}
	for _, name := range names {
		if c.ends[name], err = n.Add(name); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(func() {
		for _, node := range c.nodes {
			node.Close()
		}
	})
	return c
}

// start starts the named nodes at their own endpoints and records their events.
func (c *cluster) start(names ...string) {
	c.t.Helper()
	for _, name := range names {
		c.startAs(name, name)
	}
}

func (c *cluster) startAs(place, name string) *Node {
	c.t.Helper()
	cfg := fastConfig(name, c.ends[place], c.ends["a"].Advertise)
	if c.tweak != nil {
		c.tweak(&cfg)
	}
	n, err := Start(cfg)
	if err != nil {
		c.t.Fatal(err)
	}
	c.nodes[place] = n
	go func() {
		for e := range n.Events() {
			c.mu.Lock()
			c.seen[place] = append(c.seen[place], e)
			c.mu.Unlock()
			c.net.Note("%s: %s %s (%s)", place, e.Kind, id(e.Member), e.Member.Addr)
		}
	}()
	return n
}

func (c *cluster) kill(name string) {
	c.net.Note("kill %s", name)
	c.nodes[name].Close()
	delete(c.nodes, name)
}

// events returns the kinds of the events that the node at emitted about name.
func (c *cluster) events(at, name string) (out []Kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.seen[at] {
		if e.Member.Name == name {
			out = append(out, e.Kind)
		}
	}
	return out
}

func (c *cluster) eventually(what string, ok func() bool) {
	c.t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(5 * ms) {
		if time.Now().After(end) {
			for name, n := range c.nodes {
				c.t.Logf("%s: phase %d, %v, %+v", name, n.Phase(), n.Members(), n.Stats())
			}
			c.t.Fatalf("condition not met within 20 s: %s", what)
		}
	}
}

// waitSameView waits until every serving node's view is exactly the set of serving nodes.
func (c *cluster) waitSameView() {
	c.t.Helper()
	c.eventually("all nodes have the same view", func() bool {
		var want []Member
		for _, n := range c.nodes {
			switch n.Phase() {
			case Starting:
				return false
			case Serving:
				want = append(want, n.Self())
			}
		}
		slices.SortFunc(want, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
		for _, n := range c.nodes {
			if n.Phase() == Serving && !slices.Equal(n.Members(), want) {
				return false
			}
		}
		return true
	})
}

var fiveNodes = []string{"a", "b", "c", "d", "e"}

func (c *cluster) hasEvent(at string, k Kind, name string) func() bool {
	return func() bool { return slices.Contains(c.events(at, name), k) }
}

func TestJoinLeaveKillRestart(t *testing.T) {
	c := newCluster(t, fiveNodes...)
	c.start(fiveNodes...)
	c.waitSameView()
	if m := c.nodes["b"].Members()[0]; m.Zone != "z" || m.Version != 3 || m.Addr != c.ends["a"].Advertise {
		t.Errorf("%+v", m)
	}
	for _, at := range []string{"a", "c"} {
		c.eventually("b joined", c.hasEvent(at, Joined, "b"))
	}

	if err := c.nodes["b"].Leave(5 * time.Second); err != nil {
		t.Error(err)
	}
	c.kill("b")
	c.kill("c")
	for _, at := range []string{"a", "d", "e"} {
		c.eventually("b left", c.hasEvent(at, Left, "b"))
		c.eventually("c died", c.hasEvent(at, Died, "c"))
		if got := c.events(at, "b"); slices.Contains(got, Died) {
			t.Errorf("%s: b left but was reported dead: %v", at, got)
		}
		if got := c.events(at, "c"); slices.Contains(got, Left) {
			t.Errorf("%s: c was killed but was reported as left: %v", at, got)
		}
	}
	c.waitSameView()

	c.start("b", "c")
	c.waitSameView()
	for _, name := range []string{"b", "c"} {
		if got := c.nodes[name].Self().Incarnation; got < 2 {
			t.Errorf("%s has incarnation %d after a restart", name, got)
		}
		for _, at := range []string{"a", "d", "e"} {
			c.eventually(name+" restarted", c.hasEvent(at, Restarted, name))
		}
	}
}

// A restart that is faster than failure detection is still reported as a restart.
func TestRestartBeforeDetection(t *testing.T) {
	c := newCluster(t, fiveNodes...)
	c.start(fiveNodes...)
	c.waitSameView()
	old := c.nodes["c"].Self()
	c.kill("c")
	c.start("c")
	c.waitSameView()
	if now := c.nodes["c"].Self(); now.Incarnation <= old.Incarnation || now.RunID == old.RunID {
		t.Errorf("%v after %v", now, old)
	}
	for _, at := range []string{"a", "b", "d", "e"} {
		c.eventually("c restarted", c.hasEvent(at, Restarted, "c"))
	}
}

func TestPartitionAndHeal(t *testing.T) {
	c := newCluster(t, fiveNodes...)
	// Long enough that scheduling delays on a busy machine don't count as a pause.
	c.tweak = func(cfg *Config) { cfg.SuspicionMult = 8 }
	c.start(fiveNodes...)
	c.waitSameView()
	runID := c.nodes["e"].Self().RunID
	c.net.Partition([]string{"a", "b", "c"}, []string{"d", "e"})
	c.waitMemberCount("a", "b", "c")
	c.waitMemberCount("d", "e")
	c.net.Heal()
	c.waitSameView()
	if got := c.nodes["e"].Self(); got.RunID != runID || got.Incarnation < 2 {
		t.Errorf("e is %v, its run ID was %d", got, runID)
	}
	c.eventually("e returned", c.hasEvent("a", Returned, "e"))
	// A majority had declared the smaller side dead. That doesn't hold for the larger side,
	// unless gossip about its death, still in flight when the partition healed, spread to it.
	c.eventually("e resumed", c.hasEvent("e", Resumed, "e"))
	believed := 0
	for _, at := range fiveNodes {
		if slices.Contains(c.events(at, "a"), Died) {
			believed++
		}
	}
	if got := c.events("a", "a"); slices.Contains(got, Resumed) && believed <= 2 {
		t.Errorf("a resumed, although only %d nodes declared it dead: %v", believed, got)
	}
}

// Once memberlist no longer gossips to the other side of a partition, only rejoining reunites them.
func TestLongPartition(t *testing.T) {
	c := newCluster(t, fiveNodes...)
	c.tweak = func(cfg *Config) { cfg.GossipToDeadTime = 100 * ms }
	c.start(fiveNodes...)
	c.waitSameView()
	c.net.Partition([]string{"a", "b", "c"}, []string{"d", "e"})
	c.waitMemberCount("a", "b", "c")
	c.waitMemberCount("d", "e")
	time.Sleep(time.Second) // several times GossipToDeadTime
	c.net.Heal()
	c.waitSameView()
}

// A one-way link failure makes neither end permanently dead, and the others keep seeing both.
func TestOneWayLinkFailure(t *testing.T) {
	c := newCluster(t, fiveNodes...)
	c.start(fiveNodes...)
	c.waitSameView()
	c.net.CutOneWay("b", "c")
	c.net.CutOneWay("d", "e")
	// Several suspicion timeouts; a member that is wrongly declared dead in the meantime refutes it.
	time.Sleep(1500 * ms)
	c.waitSameView()
	c.net.Heal()
	c.waitSameView()
	// A node that receives but can't send is dead to all others while that lasts, and no longer.
	for _, to := range []string{"a", "b", "d", "e"} {
		c.net.CutOneWay("c", to)
	}
	c.eventually("a declares c dead", func() bool { return len(c.nodes["a"].Members()) == 4 })
	c.net.Heal()
	c.waitSameView()
}

func TestLossyLinks(t *testing.T) {
	c := newCluster(t, fiveNodes...)
	c.net.SetAll(faultlink.Fault{Loss: 0.2, Duplicate: 0.2, Reorder: 0.2, Delay: 2 * ms, Jitter: 5 * ms})
	c.start(fiveNodes...)
	c.waitSameView()
	c.net.Heal()
	c.waitSameView()
}

func TestTwoClaimOneName(t *testing.T) {
	c := newCluster(t, "a", "b", "c", "d", "c2")
	c.start("a", "b", "c", "d")
	c.waitSameView()
	c.startAs("c2", "c")
	// The second process has learned the first one's incarnation and takes a higher one: as after
	// a restart elsewhere while the old process still runs.
	c.eventually("the older c withdraws", func() bool { return c.nodes["c"].Phase() == Superseded })
	if m := c.nodes["c"].Members(); len(m) != 1 {
		t.Errorf("the displaced node sees %v", m)
	}
	if err := c.nodes["c"].Send("a", nil); err != ErrNotReady {
		t.Errorf("Send of the displaced node returned %v, want ErrNotReady", err)
	}
	c.waitSameView()
	if got := c.nodes["a"].Members()[2].Addr; got != c.ends["c2"].Advertise {
		t.Errorf("c is at %s", got)
	}
	c.eventually("c displaced", c.hasEvent("c", Displaced, "c"))
}

// Two processes with the same name start on both sides of a partition, unaware of each other.
func TestTwoClaimOneNameAfterPartition(t *testing.T) {
	c := newCluster(t, "a", "b", "c", "c2")
	c.net.Partition([]string{"a", "b", "c"}, []string{"c2"})
	c.start("a", "b", "c")
	c.startAs("c2", "c")
	c.waitMemberCount("a", "b", "c")
	c.eventually("c2 serves as the only member", func() bool { return c.nodes["c2"].Phase() == Serving })
	keeper, other := "c", "c2"
	if compareRuns(c.nodes["c2"].Self(), c.nodes["c"].Self()) > 0 {
		keeper, other = other, keeper
	}
	c.net.Heal()
	c.eventually("the lower process run withdraws", func() bool { return c.nodes[other].Phase() == Superseded })
	c.waitSameView()
	if c.nodes[keeper].Phase() != Serving {
		t.Error("the higher process run did not keep the name")
	}
}

// waitMemberCount waits until each named node's view has as many members as there are names.
func (c *cluster) waitMemberCount(names ...string) {
	c.t.Helper()
	c.eventually("only these members in the views of "+strings.Join(names, ","), func() bool {
		for _, name := range names {
			if len(c.nodes[name].Members()) != len(names) {
				return false
			}
		}
		return true
	})
}

func TestMessages(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.start("a", "b", "c")
	c.waitSameView()
	next := func(at string) Message {
		t.Helper()
		select {
		case m := <-c.nodes[at].Messages():
			return m
		case <-time.After(10 * time.Second):
			t.Fatal("no message")
			return Message{}
		}
	}
	if err := c.nodes["a"].Send("b", []byte("hello")); err != nil {
		t.Fatal(err)
	}
	if m := next("b"); m.From != "a" || m.Incarnation != c.nodes["a"].Self().Incarnation || string(m.Payload) != "hello" {
		t.Errorf("%+v", m)
	}
	if sent, err := c.nodes["a"].Broadcast(9, make([]byte, MaxPayload)); sent != 2 || err != nil {
		t.Errorf("sent to %d, %v", sent, err)
	}
	if next("b"); len(next("c").Payload) != MaxPayload {
		t.Error("payload was truncated")
	}
	if err := c.nodes["a"].Send("b", make([]byte, MaxPayload+1)); err != ErrPayloadTooLong {
		t.Error(err)
	}
	if err := c.nodes["a"].Send("nobody", nil); err != ErrUnknownMember {
		t.Error(err)
	}

	// A message from an earlier process run arrives late.
	old := c.nodes["a"].Self()
	c.kill("a")
	c.start("a")
	c.waitSameView()
	delayed := message{From: "a", Incarnation: old.Incarnation, RunID: old.RunID, Payload: []byte("late")}
	if err := c.nodes["c"].sendMessage(c.nodes["b"].Self(), delayed); err != nil {
		t.Fatal(err)
	}
	b := c.nodes["b"]
	c.eventually("the late message is counted", func() bool { return b.Stats().StaleRun == 1 })
	delayed.From = "stranger"
	c.nodes["c"].sendMessage(b.Self(), delayed)
	c.eventually("the message of an unknown sender is counted", func() bool { return b.Stats().UnknownSender == 1 })
	c.nodes["c"].list.SendBestEffort(b.list.LocalNode(), []byte{99, 1, 2})
	c.eventually("the message of an unsupported version is counted", func() bool { return b.Stats().BadMessage == 1 })
	if len(b.Messages()) != 0 {
		t.Error("a message that should have been dropped was delivered")
	}

	// If Messages is not read, messages are dropped, with no other effect.
	for range 1200 {
		c.nodes["c"].Send("b", []byte("more"))
	}
	c.eventually("excess messages are dropped", func() bool {
		c.nodes["c"].Send("b", nil)
		return b.Stats().MessagesDropped > 0
	})
	c.waitSameView()
}

func TestEventsWithoutReader(t *testing.T) {
	c := newCluster(t, fiveNodes...)
	cfg := fastConfig("a", c.ends["a"])
	cfg.EventBuffer = 2
	a, err := Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	c.nodes["a"] = a
	c.start("b", "c", "d", "e")
	c.waitSameView()
	c.kill("e")
	c.waitSameView()
	c.eventually("events are dropped", func() bool { return a.Stats().EventsLost > 0 })
	for range 2 {
		if e := <-a.Events(); e.Kind != Joined {
			t.Errorf("%+v", e)
		}
	}
	e := <-a.Events()
	if e.Kind != Resync || len(e.View) != 4 || e.Member != a.Self() {
		t.Errorf("%+v", e)
	}
	c.start("e")
	for e = range a.Events() { // normal delivery again; another event may come in between
		if e.Member.Name == "e" {
			break
		}
	}
	if e.Kind != Restarted {
		t.Errorf("%+v", e)
	}
}

func TestKey(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	key := []byte("0123456789abcdef")
	for _, name := range []string{"a", "b", "c"} {
		cfg := fastConfig(name, c.ends[name], c.ends["a"].Advertise)
		if cfg.Key = key; name == "c" {
			cfg.Key = []byte("another key 1234")
		}
		n, err := Start(cfg)
		if err != nil {
			t.Fatal(err)
		}
		c.nodes[name] = n
	}
	c.waitMemberCount("a", "b")
	c.eventually("c serves as the only member", func() bool { return c.nodes["c"].Phase() == Serving })
	if len(c.nodes["c"].Members()) != 1 {
		t.Error("c joined with a wrong key")
	}
}

func TestConfig(t *testing.T) {
	for want, c := range map[string]Config{
		"member: name: 0 bytes":       {Bind: "127.0.0.1:0"},
		"member: zone: 65 bytes":      {Name: "a", Zone: strings.Repeat("z", 65), Bind: "127.0.0.1:0"},
		"member: key: 5 bytes":        {Name: "a", Key: []byte("short"), Bind: "127.0.0.1:0"},
		"member: bind: ":              {Name: "a", Bind: "here"},
		"member: advertise: ":         {Name: "a", Bind: "127.0.0.1:0", Advertise: "there"},
		"member: advertise: required": {Name: "a", Bind: "0.0.0.0:0"},
		"member: join: ":              {Name: "a", Bind: "127.0.0.1:0", Join: []string{"nowhere"}},
		"member: probe: timeout 2s":   {Name: "a", Bind: "127.0.0.1:0", ProbeTimeout: 2 * time.Second},
		"member: rejoin: ":            {Name: "a", Bind: "127.0.0.1:0", RejoinMin: 2, RejoinMax: 1},
		"member: intervals and sizes": {Name: "a", Bind: "127.0.0.1:0", EventBuffer: -1},
	} {
		n, err := Start(c)
		if err == nil {
			n.Close()
		}
		if err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("got %v, want %s", err, want)
		}
	}
}

// A single node with default settings: its goroutines and descriptors, and that Leave and Close clean up.
func TestFootprintAndClose(t *testing.T) {
	c := &cluster{t: t}
	c.eventually("goroutines of other tests end", func() bool { return !running() })
	goroutines, files := runtime.NumGoroutine(), descriptors(t)
	n, err := Start(Config{Name: "a", Bind: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	for n.Self().Incarnation == 0 {
		time.Sleep(ms)
	}
	g, f := runtime.NumGoroutine()-goroutines, descriptors(t)-files
	t.Logf("an idle node holds %d goroutines and %d descriptors", g, f)
	if g > 14 || f > 3 { // the first socket may have created the runtime's poller
		t.Errorf("%d goroutines, %d descriptors", g, f)
	}
	if !n.Fresh() {
		t.Error("not fresh")
	}
	if err := n.Leave(5 * time.Second); err != nil {
		t.Error(err)
	}
	n.Close()
	n.Close()
	if n.Leave(time.Second) != ErrClosed || n.Send("a", nil) == nil {
		t.Error("Leave or Send succeeded after Close")
	}
	if _, open := <-n.Events(); open {
		t.Error("the channel of Events is open after Close")
	}
	start := time.Now()
	c.eventually("all goroutines of the node end", func() bool { return !running() })
	t.Logf("memberlist's goroutines ended within %v of Close", time.Since(start))
}

// running reports whether goroutines of a node or of memberlist are still running.
func running() bool {
	buf := make([]byte, 1<<20)
	all := string(buf[:runtime.Stack(buf, true)])
	return strings.Contains(all, "hashicorp/memberlist.") || strings.Contains(all, "member.(*Node).run")
}

func descriptors(t *testing.T) int {
	t.Helper()
	fds, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip(err)
	}
	n := 0
	for _, fd := range fds {
		if link, _ := os.Readlink("/proc/self/fd/" + fd.Name()); strings.HasPrefix(link, "socket:") {
			n++
		}
	}
	return n
}

// Connections beyond maxStreams wait, and the node keeps working.
func TestManyConnections(t *testing.T) {
	c := newCluster(t, "a", "b")
	c.start("a", "b")
	c.waitSameView()
	files := descriptors(t)
	const many = 4 * maxStreams
	for range many {
		conn, err := net.Dial("tcp", c.ends["b"].Bind)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	c.eventually("all connection slots are in use", func() bool { return len(c.nodes["b"].transport.slots) == maxStreams })
	// The dialed connections, the served ones, one held by the listener, and some of full exchanges.
	if got := descriptors(t) - files; got > many+maxStreams+8 {
		t.Errorf("%d additional descriptors", got)
	}
	c.eventually("the idle connections are closed", func() bool { return len(c.nodes["b"].transport.slots) <= 1 })
	c.waitSameView()
}

// A process that is paused (SIGSTOP) and continued takes the next incarnation and emits Resumed, without
// waiting for other members to report its death.
func TestPausedProcess(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.start("a", "b")
	cmd := exec.Command(os.Args[0], "-test.run=^TestChild$")
	cmd.Env = append(os.Environ(), "MEMBER_CHILD="+strings.Join([]string{
		c.ends["c"].Bind, c.ends["c"].Advertise, c.ends["a"].Advertise}, " "))
	cmd.Stderr = os.Stderr
	in, _ := cmd.StdinPipe()
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	lines := make(chan string, 100)
	go func() {
		defer close(lines)
		for s := bufio.NewScanner(out); s.Scan(); {
			lines <- s.Text()
		}
	}()
	t.Cleanup(func() {
		in.Close()
		for range lines {
		}
		cmd.Wait()
	})
	c.eventually("c joined", func() bool { return len(c.nodes["a"].Members()) == 3 })
	before := c.nodes["a"].Members()[2]
	cmd.Process.Signal(syscall.SIGSTOP)
	c.eventually("c died", c.hasEvent("a", Died, "c"))
	cmd.Process.Signal(syscall.SIGCONT)
	c.eventually("c returned", c.hasEvent("a", Returned, "c"))
	after := c.nodes["a"].Members()[2]
	if after.RunID != before.RunID || after.Incarnation <= before.Incarnation {
		t.Errorf("%v after %v", after, before)
	}
	timeout := time.After(10 * time.Second)
	for {
		select {
		case l := <-lines:
			if strings.HasPrefix(l, "resumed c") {
				return
			}
		case <-timeout:
			t.Fatal("the process did not report the pause")
		}
	}
}

// TestChild is the child process of TestPausedProcess. It prints its events until its standard input
// is closed.
func TestChild(t *testing.T) {
	place := strings.Fields(os.Getenv("MEMBER_CHILD"))
	if len(place) != 3 {
		t.Skip("runs only as the child process of TestPausedProcess")
	}
	cfg := fastConfig("c", faultlink.Endpoint{Bind: place[0], Advertise: place[1]}, place[2])
	cfg.Logger = slog.New(slog.NewTextHandler(io.Discard, nil))
	n, err := Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		io.Copy(io.Discard, os.Stdin)
		n.Close()
	}()
	for e := range n.Events() {
		fmt.Println(e.Kind, id(e.Member))
	}
}
