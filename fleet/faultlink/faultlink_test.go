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

// peer is a member that takes what comes.
type peer struct {
	Endpoint
	udp *net.UDPConn
	tcp net.Listener
	got chan string
}

func newNet(t *testing.T, seed uint64, names ...string) (*Network, map[string]*peer) {
	t.Helper()
	n, err := New(Config{Seed: seed})
	if err != nil {
		t.Fatal(err)
	}
	n.CloseAfterTest(t)
	peers := map[string]*peer{}
	for _, name := range names {
		peers[name] = n.addPeer(t, name)
	}
	return n, peers
}

// addPeer adds a member that takes what comes.
func (n *Network) addPeer(t *testing.T, name string) *peer {
	t.Helper()
	e, err := n.Add(name)
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{Endpoint: e, got: make(chan string, 4096)}
	if p.udp, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(e.Bind))); err != nil {
		t.Fatal(err)
	}
	if p.tcp, err = net.Listen("tcp4", e.Bind); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.udp.Close(); p.tcp.Close() })
	go p.take()
	go p.echo()
	return p
}

func (p *peer) take() {
	buf := make([]byte, 2048)
	for {
		size, from, err := p.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p.got <- from.String() + " " + string(buf[:size])
	}
}

func (p *peer) echo() {
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

func (p *peer) send(t *testing.T, to *peer, text string) {
	t.Helper()
	if _, err := p.udp.WriteTo([]byte(text), net.UDPAddrFromAddrPort(netip.MustParseAddrPort(to.Advertise))); err != nil {
		t.Fatal(err)
	}
}

func (p *peer) next(t *testing.T) string {
	t.Helper()
	select {
	case s := <-p.got:
		return s
	case <-time.After(10 * time.Second):
		t.Fatal("nothing came in 10 s")
		return ""
	}
}

func (p *peer) dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := p.tryDial(t, addr)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// tryDial is dial where a connection may fail to come up.
func (p *peer) tryDial(t *testing.T, addr string) (net.Conn, error) {
	t.Helper()
	ip := net.ParseIP(strings.Split(p.Bind, ":")[0])
	d := net.Dialer{Timeout: 5 * time.Second, LocalAddr: &net.TCPAddr{IP: ip}}
	c, err := d.Dial("tcp4", addr)
	if err == nil {
		t.Cleanup(func() { c.Close() })
	}
	return c, err
}

// ask writes a text and reads it back, within a time.
func ask(c net.Conn, text string, within time.Duration) error {
	c.SetDeadline(time.Now().Add(within))
	if _, err := io.WriteString(c, text); err != nil {
		return err
	}
	got := make([]byte, len(text))
	if _, err := io.ReadFull(c, got); err != nil {
		return err
	}
	if string(got) != text {
		return errors.New("came back as " + string(got))
	}
	return nil
}

func TestPassesAndKnowsSender(t *testing.T) {
	n, p := newNet(t, 1, "a", "b", "c")
	p["a"].send(t, p["b"], "one")
	if got, want := p["b"].next(t), p["a"].Advertise+" one"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if err := ask(p["a"].dial(t, p["b"].Advertise), "hello", 5*time.Second); err != nil {
		t.Error(err)
	}
	// A link of its own for one that sends from anywhere.
	addr, err := n.LinkAddress("c", "b")
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := ask(c, "linked", 5*time.Second); err != nil {
		t.Error(err)
	}
	if _, err := n.LinkAddress("c", "nobody"); err == nil {
		t.Error("a link to nobody")
	}
	if _, err := n.Add("a"); err == nil {
		t.Error("a second member of one name")
	}
}

// A datagram that must not come is followed by one that must: no time has to pass.
func TestCutIsOfOnePair(t *testing.T) {
	n, p := newNet(t, 1, "a", "b", "c")
	n.CutOneWay("a", "b")
	p["a"].send(t, p["b"], "lost")
	p["b"].send(t, p["a"], "back")
	if got := p["a"].next(t); !strings.HasSuffix(got, "back") {
		t.Errorf("got %q", got)
	}
	p["c"].send(t, p["b"], "from c")
	if got := p["b"].next(t); !strings.HasSuffix(got, "from c") {
		t.Errorf("got %q", got)
	}
	eventually(t, func() bool { return n.Counts("a", "b").Lost == 1 })
	n.Partition([]string{"a", "c"}, []string{"b"})
	p["c"].send(t, p["b"], "lost")
	eventually(t, func() bool { return n.Counts("c", "b").Lost == 1 })
	n.Heal()
	p["a"].send(t, p["b"], "whole")
	if got := p["b"].next(t); !strings.HasSuffix(got, "whole") {
		t.Errorf("got %q", got)
	}
}

func TestStreamFaults(t *testing.T) {
	n, p := newNet(t, 1, "a", "b")
	c := p["a"].dial(t, p["b"].Advertise)
	if err := ask(c, "before", 5*time.Second); err != nil {
		t.Fatal(err)
	}
	for name, fault := range map[string]Fault{"stall": {Stall: true}, "cut": {Cut: true}} {
		n.Set("a", "b", fault)
		if err := ask(c, name, 100*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: %v, want a time-out", name, err)
		}
		n.Heal()
		got := make([]byte, len(name)) // what was under way comes after all
		c.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.ReadFull(c, got); err != nil || string(got) != name {
			t.Errorf("%s: healed: %q, %v", name, got, err)
		}
	}
	n.Set("b", "a", Fault{Delay: 50 * time.Millisecond})
	start := time.Now()
	if err := ask(c, "late", 5*time.Second); err != nil || time.Since(start) < 50*time.Millisecond {
		t.Errorf("after %v: %v", time.Since(start), err)
	}
	n.Heal()
	n.ResetConnections("b", "a")
	if err := ask(c, "broken", 5*time.Second); !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
		t.Errorf("after a break: %v", err)
	}
	n.Set("a", "b", Fault{Reset: true})
	// The reset may come before the dial is done, which then tells it.
	if c, err := p["a"].tryDial(t, p["b"].Advertise); err == nil {
		if err := ask(c, "reset", 5*time.Second); err == nil {
			t.Error("passed where connections are reset")
		}
	} else if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("dial where connections are reset: %v", err)
	}
}

// One that gives up a connection over a cut link leaves nothing behind.
func TestGivenUpOverCut(t *testing.T) {
	n, p := newNet(t, 1, "a", "b")
	n.Cut("a", "b")
	c := p["a"].dial(t, p["b"].Advertise)
	eventually(t, func() bool { return n.open() == 1 })
	c.Close()
	eventually(t, func() bool { return n.open() == 0 })
}

func (n *Network) open() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns)
}

// Whole streams pass under delay and jitter unchanged.
func TestStreamKeepsOrder(t *testing.T) {
	n, p := newNet(t, 1, "a", "b")
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

// The same seed loses and doubles the same datagrams.
func TestSeededFaults(t *testing.T) {
	run := func(seed uint64) (got []string, c Counts) {
		n, p := newNet(t, seed, "a", "b")
		n.Set("a", "b", Fault{Loss: 0.3, Duplicate: 0.2})
		for i := range 200 {
			p["a"].send(t, p["b"], strconv.Itoa(i))
			// One at a time, so that none is lost in a full buffer.
			eventually(t, func() bool {
				c = n.Counts("a", "b")
				return c.Forwarded+c.Lost == uint64(i+1)
			})
		}
		for range c.Forwarded + c.Duplicated {
			got = append(got, strings.Fields(p["b"].next(t))[1])
		}
		return got, c
	}
	one, c := run(7)
	two, _ := run(7)
	if !slices.Equal(one, two) {
		t.Error("two runs of one seed differ")
	}
	if c.Lost < 30 || c.Lost > 90 || c.Duplicated < 10 || c.Duplicated > 60 {
		t.Errorf("%+v of 200", c)
	}
	if three, _ := run(8); slices.Equal(one, three) {
		t.Error("two seeds are alike")
	}
}

func TestReorder(t *testing.T) {
	n, p := newNet(t, 3, "a", "b")
	n.Set("a", "b", Fault{Reorder: 0.5, ReorderBy: 100 * time.Millisecond})
	var sent, got []string
	for i := range 40 {
		sent = append(sent, string(rune('A'+i)))
		p["a"].send(t, p["b"], sent[i])
	}
	for range sent {
		got = append(got, strings.Fields(p["b"].next(t))[1])
	}
	if slices.Equal(sent, got) {
		t.Error("nothing came out of order")
	}
	slices.Sort(got)
	if !slices.Equal(sent, got) {
		t.Errorf("not all came: %v", got)
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
			t.Errorf("no %q in\n%s", want, f.log)
		}
	}
}

func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not within 10 s")
		}
	}
}
