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

// quick makes times short, so that a death is seen within a second.
func quick(name string, e faultlink.Endpoint, join ...string) Config {
	return Config{
		Name: name, Zone: "z", Version: 3, Bind: e.Bind, Advertise: e.Advertise, Join: join,
		ProbeInterval: 100 * ms, ProbeTimeout: 40 * ms, SuspicionMult: 3, GossipInterval: 20 * ms,
		PushPullInterval: 400 * ms, StreamTimeout: 500 * ms, RejoinMin: 100 * ms, RejoinMax: 400 * ms,
	}
}

// cluster is nodes over a faultlink.Net, all of which join the first.
type cluster struct {
	t     *testing.T
	net   *faultlink.Network
	ends  map[string]faultlink.Endpoint
	nodes map[string]*Node
	mu    sync.Mutex
	seen  map[string][]Event // events of each node that is read
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

// start starts the nodes at their places and reads their events.
func (c *cluster) start(names ...string) {
	c.t.Helper()
	for _, name := range names {
		c.startAs(name, name)
	}
}

func (c *cluster) startAs(place, name string) *Node {
	c.t.Helper()
	cfg := quick(name, c.ends[place], c.ends["a"].Advertise)
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

// events returns the kinds of events that a node had about a name.
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
			c.t.Fatalf("not within 20 s: %s", what)
		}
	}
}

// same waits until all nodes that run have the same view: themselves.
func (c *cluster) same() {
	c.t.Helper()
	c.eventually("the same view at all", func() bool {
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

var five = []string{"a", "b", "c", "d", "e"}

func (c *cluster) has(at string, k Kind, name string) func() bool {
	return func() bool { return slices.Contains(c.events(at, name), k) }
}

func TestJoinLeaveKillRestart(t *testing.T) {
	c := newCluster(t, five...)
	c.start(five...)
	c.same()
	if m := c.nodes["b"].Members()[0]; m.Zone != "z" || m.Version != 3 || m.Addr != c.ends["a"].Advertise {
		t.Errorf("%+v", m)
	}
	for _, at := range []string{"a", "c"} {
		c.eventually("b joined", c.has(at, Joined, "b"))
	}

	if err := c.nodes["b"].Leave(5 * time.Second); err != nil {
		t.Error(err)
	}
	c.kill("b")
	c.kill("c")
	for _, at := range []string{"a", "d", "e"} {
		c.eventually("b left", c.has(at, Left, "b"))
		c.eventually("c died", c.has(at, Died, "c"))
		if got := c.events(at, "b"); slices.Contains(got, Died) {
			t.Errorf("%s: b has left: %v", at, got)
		}
		if got := c.events(at, "c"); slices.Contains(got, Left) {
			t.Errorf("%s: c was killed: %v", at, got)
		}
	}
	c.same()

	c.start("b", "c")
	c.same()
	for _, name := range []string{"b", "c"} {
		if got := c.nodes[name].Self().Incarnation; got < 2 {
			t.Errorf("%s has incarnation %d after a restart", name, got)
		}
		for _, at := range []string{"a", "d", "e"} {
			c.eventually(name+" restarted", c.has(at, Restarted, name))
		}
	}
}

// A restart quicker than anybody can notice is one all the same.
func TestQuickRestart(t *testing.T) {
	c := newCluster(t, five...)
	c.start(five...)
	c.same()
	old := c.nodes["c"].Self()
	c.kill("c")
	c.start("c")
	c.same()
	if now := c.nodes["c"].Self(); now.Incarnation <= old.Incarnation || now.Life == old.Life {
		t.Errorf("%v after %v", now, old)
	}
	for _, at := range []string{"a", "b", "d", "e"} {
		c.eventually("c restarted", c.has(at, Restarted, "c"))
	}
}

func TestPartitionAndHeal(t *testing.T) {
	c := newCluster(t, five...)
	// Long enough that a busy machine is not a stop.
	c.tweak = func(cfg *Config) { cfg.SuspicionMult = 8 }
	c.start(five...)
	c.same()
	life := c.nodes["e"].Self().Life
	c.net.Partition([]string{"a", "b", "c"}, []string{"d", "e"})
	c.same2("a", "b", "c")
	c.same2("d", "e")
	c.net.Heal()
	c.same()
	if got := c.nodes["e"].Self(); got.Life != life || got.Incarnation < 2 {
		t.Errorf("e is %v, its life was %d", got, life)
	}
	c.eventually("e returned", c.has("a", Returned, "e"))
	// The smaller side was dead to a majority. The larger was not, unless the other's word
	// of its death, still on its way as gossip at the heal, has won others over.
	c.eventually("e resumed", c.has("e", Resumed, "e"))
	believed := 0
	for _, at := range five {
		if slices.Contains(c.events(at, "a"), Died) {
			believed++
		}
	}
	if got := c.events("a", "a"); slices.Contains(got, Resumed) && believed <= 2 {
		t.Errorf("a was dead to %d only: %v", believed, got)
	}
}

// After memberlist has forgotten the other side nothing but rejoin brings them together.
func TestLongPartition(t *testing.T) {
	c := newCluster(t, five...)
	c.tweak = func(cfg *Config) { cfg.DeadGossip = 100 * ms }
	c.start(five...)
	c.same()
	c.net.Partition([]string{"a", "b", "c"}, []string{"d", "e"})
	c.same2("a", "b", "c")
	c.same2("d", "e")
	time.Sleep(time.Second) // several times DeadGossip
	c.net.Heal()
	c.same()
}

// A cut one way makes neither end dead for ever, and others see both.
func TestCutOneWay(t *testing.T) {
	c := newCluster(t, five...)
	c.start(five...)
	c.same()
	c.net.CutOneWay("b", "c")
	c.net.CutOneWay("d", "e")
	// As long as a few suspicions take; whoever is wrongly found dead meanwhile speaks up.
	time.Sleep(1500 * ms)
	c.same()
	c.net.Heal()
	c.same()
	// One that hears and is not heard is dead to all while it lasts, and no longer.
	for _, to := range []string{"a", "b", "d", "e"} {
		c.net.CutOneWay("c", to)
	}
	c.eventually("c is dead to a", func() bool { return len(c.nodes["a"].Members()) == 4 })
	c.net.Heal()
	c.same()
}

func TestLossyLinks(t *testing.T) {
	c := newCluster(t, five...)
	c.net.SetAll(faultlink.Fault{Loss: 0.2, Duplicate: 0.2, Reorder: 0.2, Delay: 2 * ms, Jitter: 5 * ms})
	c.start(five...)
	c.same()
	c.net.Heal()
	c.same()
}

func TestTwoClaimOneName(t *testing.T) {
	c := newCluster(t, "a", "b", "c", "d", "c2")
	c.start("a", "b", "c", "d")
	c.same()
	c.startAs("c2", "c")
	// The newcomer has asked and goes above: it is as a restart elsewhere whose old life
	// hangs on.
	c.eventually("one c steps aside", func() bool { return c.nodes["c"].Phase() == Aside })
	if m := c.nodes["c"].Members(); len(m) != 1 {
		t.Errorf("the displaced sees %v", m)
	}
	if err := c.nodes["c"].Send("a", nil); err != ErrNotReady {
		t.Errorf("the displaced sends: %v", err)
	}
	c.same()
	if got := c.nodes["a"].Members()[2].Addr; got != c.ends["c2"].Advertise {
		t.Errorf("c is at %s", got)
	}
	c.eventually("c displaced", c.has("c", Displaced, "c"))
}

// Two that started apart, neither knowing of the other.
func TestTwoClaimOneNameAfterPartition(t *testing.T) {
	c := newCluster(t, "a", "b", "c", "c2")
	c.net.Partition([]string{"a", "b", "c"}, []string{"c2"})
	c.start("a", "b", "c")
	c.startAs("c2", "c")
	c.same2("a", "b", "c")
	c.eventually("c2 serves alone", func() bool { return c.nodes["c2"].Phase() == Serving })
	keeper, other := "c", "c2"
	if compareLives(c.nodes["c2"].Self(), c.nodes["c"].Self()) > 0 {
		keeper, other = other, keeper
	}
	c.net.Heal()
	c.eventually("the lower steps aside", func() bool { return c.nodes[other].Phase() == Aside })
	c.same()
	if c.nodes[keeper].Phase() != Serving {
		t.Error("the higher did not keep the name")
	}
}

// same2 waits until the nodes named have as many members as they are.
func (c *cluster) same2(names ...string) {
	c.t.Helper()
	c.eventually("all of "+strings.Join(names, ","), func() bool {
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
	c.same()
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
		t.Error("cut short")
	}
	if err := c.nodes["a"].Send("b", make([]byte, MaxPayload+1)); err != ErrTooLong {
		t.Error(err)
	}
	if err := c.nodes["a"].Send("nobody", nil); err != ErrUnknown {
		t.Error(err)
	}

	// A word of an older life comes late.
	old := c.nodes["a"].Self()
	c.kill("a")
	c.start("a")
	c.same()
	late := message{From: "a", Incarnation: old.Incarnation, Life: old.Life, Payload: []byte("late")}
	if err := c.nodes["c"].sendMessage(c.nodes["b"].Self(), late); err != nil {
		t.Fatal(err)
	}
	b := c.nodes["b"]
	c.eventually("the late word is counted", func() bool { return b.Stats().OlderLife == 1 })
	late.From = "stranger"
	c.nodes["c"].sendMessage(b.Self(), late)
	c.eventually("the stranger's is counted", func() bool { return b.Stats().Unknown == 1 })
	c.nodes["c"].list.SendBestEffort(b.list.LocalNode(), []byte{99, 1, 2})
	c.eventually("one of a strange version is counted", func() bool { return b.Stats().BadMessage == 1 })
	if len(b.Messages()) != 0 {
		t.Error("one of them was delivered")
	}

	// A reader that does not read loses messages, and no more.
	for range 1200 {
		c.nodes["c"].Send("b", []byte("more"))
	}
	c.eventually("the rest is dropped", func() bool {
		c.nodes["c"].Send("b", nil)
		return b.Stats().Unread > 0
	})
	c.same()
}

func TestEventsWithoutReader(t *testing.T) {
	c := newCluster(t, five...)
	cfg := quick("a", c.ends["a"])
	cfg.EventRoom = 2
	a, err := Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	c.nodes["a"] = a
	c.start("b", "c", "d", "e")
	c.same()
	c.kill("e")
	c.same()
	c.eventually("events are lost", func() bool { return a.Stats().EventsLost > 0 })
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
	for e = range a.Events() { // from here on as ever; one may come between
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
		cfg := quick(name, c.ends[name], c.ends["a"].Advertise)
		if cfg.Key = key; name == "c" {
			cfg.Key = []byte("another key 1234")
		}
		n, err := Start(cfg)
		if err != nil {
			t.Fatal(err)
		}
		c.nodes[name] = n
	}
	c.same2("a", "b")
	c.eventually("c serves alone", func() bool { return c.nodes["c"].Phase() == Serving })
	if len(c.nodes["c"].Members()) != 1 {
		t.Error("c got in with a wrong key")
	}
}

func TestConfig(t *testing.T) {
	for want, c := range map[string]Config{
		"member: name: 0 bytes":           {Bind: "127.0.0.1:0"},
		"member: zone: 65 bytes":          {Name: "a", Zone: strings.Repeat("z", 65), Bind: "127.0.0.1:0"},
		"member: key: 5 bytes":            {Name: "a", Key: []byte("short"), Bind: "127.0.0.1:0"},
		"member: bind: ":                  {Name: "a", Bind: "here"},
		"member: advertise: ":             {Name: "a", Bind: "127.0.0.1:0", Advertise: "there"},
		"member: advertise: needed":       {Name: "a", Bind: "0.0.0.0:0"},
		"member: join: ":                  {Name: "a", Bind: "127.0.0.1:0", Join: []string{"nowhere"}},
		"member: probe: a time-out of 2s": {Name: "a", Bind: "127.0.0.1:0", ProbeTimeout: 2 * time.Second},
		"member: rejoin: ":                {Name: "a", Bind: "127.0.0.1:0", RejoinMin: 2, RejoinMax: 1},
		"member: times and numbers":       {Name: "a", Bind: "127.0.0.1:0", EventRoom: -1},
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

// A node alone, with the defaults: what it holds, and that Close and Leave end.
func TestFootprintAndClose(t *testing.T) {
	c := &cluster{t: t}
	c.eventually("those of other tests end", func() bool { return !running() })
	goroutines, files := runtime.NumGoroutine(), descriptors(t)
	n, err := Start(Config{Name: "a", Bind: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	for n.Self().Incarnation == 0 {
		time.Sleep(ms)
	}
	g, f := runtime.NumGoroutine()-goroutines, descriptors(t)-files
	t.Logf("a node at rest holds %d goroutines and %d descriptors", g, f)
	if g > 14 || f > 3 { // the runtime's poller may have come with the first socket
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
		t.Error("works after Close")
	}
	if _, open := <-n.Events(); open {
		t.Error("events after Close")
	}
	start := time.Now()
	c.eventually("all of it ends", func() bool { return !running() })
	t.Logf("memberlist's goroutines ended within %v of Close", time.Since(start))
}

// running tells whether goroutines of a node or of memberlist are left.
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

// More connections than a node serves wait, and it goes on.
func TestManyConnections(t *testing.T) {
	c := newCluster(t, "a", "b")
	c.start("a", "b")
	c.same()
	files := descriptors(t)
	const many = 4 * maxStreams
	for range many {
		conn, err := net.Dial("tcp", c.ends["b"].Bind)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	c.eventually("all that are served", func() bool { return len(c.nodes["b"].transport.slots) == maxStreams })
	// Those of this side, and one that the listener holds; some are of exchanges.
	if got := descriptors(t) - files; got > many+maxStreams+8 {
		t.Errorf("%d descriptors more", got)
	}
	c.eventually("the silent ones end", func() bool { return len(c.nodes["b"].transport.slots) <= 1 })
	c.same()
}

// A process that is stopped and goes on takes the next incarnation and says that what it
// holds is old, before the fleet has told it anything.
func TestStoppedProcess(t *testing.T) {
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
	c.eventually("c died", c.has("a", Died, "c"))
	cmd.Process.Signal(syscall.SIGCONT)
	c.eventually("c returned", c.has("a", Returned, "c"))
	after := c.nodes["a"].Members()[2]
	if after.Life != before.Life || after.Incarnation <= before.Incarnation {
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
			t.Fatal("the process has not noticed")
		}
	}
}

// TestChild is the other process of TestStoppedProcess: it prints its events until its
// input ends.
func TestChild(t *testing.T) {
	place := strings.Fields(os.Getenv("MEMBER_CHILD"))
	if len(place) != 3 {
		t.Skip("only as a process of TestStoppedProcess")
	}
	cfg := quick("c", faultlink.Endpoint{Bind: place[0], Advertise: place[1]}, place[2])
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
