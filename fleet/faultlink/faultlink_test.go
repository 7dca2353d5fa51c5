package faultlink

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testMember is a member that records the datagrams it receives and echoes connections.
type testMember struct {
	Endpoint
	udp      *net.UDPConn
	tcp      net.Listener
	received chan string
}

func newNetwork(t *testing.T, seed uint64, names ...string) (*Network, map[string]*testMember) {
	t.Helper()
	n, err := New(Config{Seed: seed})
	if err != nil {
		t.Fatal(err)
	}
	n.CloseAfterTest(t)
	members := map[string]*testMember{}
	for _, name := range names {
		members[name] = n.addTestMember(t, name)
	}
	return n, members
}

// addTestMember adds a member to the network, binds its addresses and serves them.
func (n *Network) addTestMember(t *testing.T, name string) *testMember {
	t.Helper()
	e, err := n.Add(name)
	if err != nil {
		t.Fatal(err)
	}
	p := &testMember{Endpoint: e, received: make(chan string, 4096)}
	if p.udp, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(e.Bind))); err != nil {
		t.Fatal(err)
	}
	if p.tcp, err = net.Listen("tcp4", e.Bind); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.udp.Close(); p.tcp.Close() })
	go p.receiveDatagrams()
	go p.echoConns()
	return p
}

func (p *testMember) receiveDatagrams() {
	buf := make([]byte, 2048)
	for {
		size, from, err := p.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p.received <- from.String() + " " + string(buf[:size])
	}
}

func (p *testMember) echoConns() {
	for {
		c, err := p.tcp.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			io.Copy(c, c)
		}()
	}
}

func (p *testMember) send(t *testing.T, to *testMember, text string) {
	t.Helper()
	if _, err := p.udp.WriteTo([]byte(text), net.UDPAddrFromAddrPort(netip.MustParseAddrPort(to.Advertise))); err != nil {
		t.Fatal(err)
	}
}

// nextDatagram returns the source address and payload of the next datagram received.
func (p *testMember) nextDatagram(t *testing.T) string {
	t.Helper()
	select {
	case s := <-p.received:
		return s
	case <-time.After(10 * time.Second):
		t.Fatal("no datagram received within 10 s")
		return ""
	}
}

// dial connects from the member's own IP address.
func (p *testMember) dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := p.tryDial(t, addr)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// tryDial is dial for a connection that may fail.
func (p *testMember) tryDial(t *testing.T, addr string) (net.Conn, error) {
	t.Helper()
	ip := net.ParseIP(strings.Split(p.Bind, ":")[0])
	d := net.Dialer{Timeout: 5 * time.Second, LocalAddr: &net.TCPAddr{IP: ip}}
	c, err := d.Dial("tcp4", addr)
	if err == nil {
		t.Cleanup(func() { c.Close() })
	}
	return c, err
}

// exchange writes a text and reads its echo, both within the given time.
func exchange(c net.Conn, text string, within time.Duration) error {
	c.SetDeadline(time.Now().Add(within))
	if _, err := io.WriteString(c, text); err != nil {
		return err
	}
	got := make([]byte, len(text))
	if _, err := io.ReadFull(c, got); err != nil {
		return err
	}
	if string(got) != text {
		return errors.New("echo differs: " + string(got))
	}
	return nil
}

func TestForwardsFromSenderAddress(t *testing.T) {
	n, p := newNetwork(t, 1, "a", "b", "c")
	p["a"].send(t, p["b"], "one")
	if got, want := p["b"].nextDatagram(t), p["a"].Advertise+" one"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if err := exchange(p["a"].dial(t, p["b"].Advertise), "hello", 5*time.Second); err != nil {
		t.Error(err)
	}
	// LinkAddress serves a sender that doesn't send from its own address.
	addr, err := n.LinkAddress("c", "b")
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := exchange(c, "linked", 5*time.Second); err != nil {
		t.Error(err)
	}
	if _, err := n.LinkAddress("c", "nobody"); err == nil {
		t.Error("LinkAddress accepted an unknown member")
	}
	if _, err := n.Add("a"); err == nil {
		t.Error("Add accepted a name twice")
	}
}

// Sends a datagram that must be delivered after each one that must be dropped, so that the
// test doesn't have to wait for the absence of the latter.
func TestCutAffectsOneDirection(t *testing.T) {
	n, p := newNetwork(t, 1, "a", "b", "c")
	n.CutOneWay("a", "b")
	p["a"].send(t, p["b"], "lost")
	p["b"].send(t, p["a"], "back")
	if got := p["a"].nextDatagram(t); !strings.HasSuffix(got, "back") {
		t.Errorf("got %q", got)
	}
	p["c"].send(t, p["b"], "from c")
	if got := p["b"].nextDatagram(t); !strings.HasSuffix(got, "from c") {
		t.Errorf("got %q", got)
	}
	eventually(t, func() bool { return n.Counts("a", "b").Lost == 1 })
	n.Partition([]string{"a", "c"}, []string{"b"})
	p["c"].send(t, p["b"], "lost")
	eventually(t, func() bool { return n.Counts("c", "b").Lost == 1 })
	n.Heal()
	p["a"].send(t, p["b"], "whole")
	if got := p["b"].nextDatagram(t); !strings.HasSuffix(got, "whole") {
		t.Errorf("got %q", got)
	}
}

func TestStreamFaults(t *testing.T) {
	n, p := newNetwork(t, 1, "a", "b")
	c := p["a"].dial(t, p["b"].Advertise)
	if err := exchange(c, "before", 5*time.Second); err != nil {
		t.Fatal(err)
	}
	for name, fault := range map[string]Fault{"stall": {Stall: true}, "cut": {Cut: true}} {
		n.Set("a", "b", fault)
		if err := exchange(c, name, 100*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: %v, want a timeout", name, err)
		}
		n.Heal()
		got := make([]byte, len(name)) // data in flight is delivered after the fault
		c.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.ReadFull(c, got); err != nil || string(got) != name {
			t.Errorf("after %s was healed: got %q, %v", name, got, err)
		}
	}
	n.Set("b", "a", Fault{Delay: 50 * time.Millisecond})
	start := time.Now()
	if err := exchange(c, "late", 5*time.Second); err != nil || time.Since(start) < 50*time.Millisecond {
		t.Errorf("delayed echo after %v: %v", time.Since(start), err)
	}
	n.Heal()
	n.ResetConnections("b", "a")
	if err := exchange(c, "broken", 5*time.Second); !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
		t.Errorf("after ResetConnections: %v", err)
	}
	n.Set("a", "b", Fault{Reset: true})
	// The reset may arrive before the dial has finished, which then returns it.
	if c, err := p["a"].tryDial(t, p["b"].Advertise); err == nil {
		if err := exchange(c, "reset", 5*time.Second); err == nil {
			t.Error("data passed over a link that resets connections")
		}
	} else if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("dial over a link that resets connections: %v", err)
	}
}

// The relay releases a connection that its opener closes while the link is cut.
func TestAbandonedDialOverCutLink(t *testing.T) {
	n, p := newNetwork(t, 1, "a", "b")
	n.Cut("a", "b")
	c := p["a"].dial(t, p["b"].Advertise)
	eventually(t, func() bool { return n.openConns() == 1 })
	c.Close()
	eventually(t, func() bool { return n.openConns() == 0 })
}

func (n *Network) openConns() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns)
}

// Streams arrive complete and in order under delay and jitter; datagram loss doesn't affect them.
func TestStreamKeepsOrder(t *testing.T) {
	n, p := newNetwork(t, 1, "a", "b")
	n.SetBoth("a", "b", Fault{Delay: time.Millisecond, Jitter: 3 * time.Millisecond, Loss: 0.5})
	c := p["a"].dial(t, p["b"].Advertise).(*net.TCPConn)
	want := make([]byte, 1<<20)
	for i := range want {
		want[i] = byte(i * 7 >> 3)
	}
	go func() {
		c.Write(want)
		c.CloseWrite()
	}()
	c.SetReadDeadline(time.Now().Add(20 * time.Second))
	got, err := io.ReadAll(c)
	if err != nil || !bytes.Equal(got, want) {
		t.Errorf("%d bytes of %d, equal %v, %v", len(got), len(want), bytes.Equal(got, want), err)
	}
}

// The same seed loses and duplicates the same datagrams.
func TestSeededFaults(t *testing.T) {
	run := func(seed uint64) (got []string, c Counts) {
		n, p := newNetwork(t, seed, "a", "b")
		n.Set("a", "b", Fault{Loss: 0.3, Duplicate: 0.2})
		for i := range 200 {
			p["a"].send(t, p["b"], strconv.Itoa(i))
			// One at a time, so that no socket buffer overflows.
			eventually(t, func() bool {
				c = n.Counts("a", "b")
				return c.Forwarded+c.Lost == uint64(i+1)
			})
		}
		for range c.Forwarded + c.Duplicated {
			got = append(got, strings.Fields(p["b"].nextDatagram(t))[1])
		}
		return got, c
	}
	first, c := run(7)
	second, _ := run(7)
	if !slices.Equal(first, second) {
		t.Error("two runs with the same seed differ")
	}
	if c.Lost < 30 || c.Lost > 90 || c.Duplicated < 10 || c.Duplicated > 60 {
		t.Errorf("%+v of 200 datagrams", c)
	}
	if otherSeed, _ := run(8); slices.Equal(first, otherSeed) {
		t.Error("runs with different seeds are equal")
	}
}

func TestReorder(t *testing.T) {
	n, p := newNetwork(t, 3, "a", "b")
	n.Set("a", "b", Fault{Reorder: 0.5, ReorderBy: 100 * time.Millisecond})
	var sent, got []string
	for i := range 40 {
		sent = append(sent, string(rune('A'+i)))
		p["a"].send(t, p["b"], sent[i])
	}
	for range sent {
		got = append(got, strings.Fields(p["b"].nextDatagram(t))[1])
	}
	if slices.Equal(sent, got) {
		t.Error("no datagram was reordered")
	}
	slices.Sort(got)
	if !slices.Equal(sent, got) {
		t.Errorf("datagrams missing: got %v", got)
	}
}

type fakeTB struct {
	cleanup func()
	log     string
}

func (f *fakeTB) Helper()                 {}
func (f *fakeTB) Cleanup(c func())        { f.cleanup = c }
func (f *fakeTB) Failed() bool            { return true }
func (f *fakeTB) Errorf(string, ...any)   {}
func (f *fakeTB) Logf(_ string, a ...any) { f.log += a[0].(string) }

func TestTimelineOnFailure(t *testing.T) {
	n, err := New(Config{Seed: 42})
	if err != nil {
		t.Fatal(err)
	}
	var f fakeTB
	n.CloseAfterTest(&f)
	for _, name := range []string{"a", "b"} {
		if _, err := n.Add(name); err != nil {
			t.Fatal(err)
		}
	}
	n.Cut("a", "b")
	n.Set("b", "a", Fault{Loss: 0.5, Delay: time.Second})
	f.cleanup()
	for _, want := range []string{"seed=42", "cut a|b", "set b>a delay=1s,loss=0.5", "close"} {
		if !strings.Contains(f.log, want) {
			t.Errorf("timeline lacks %q:\n%s", want, f.log)
		}
	}
}

func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not met within 10 s")
		}
	}
}
