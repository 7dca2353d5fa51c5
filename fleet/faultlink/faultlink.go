// Package faultlink puts faults on the links between processes on one machine, for tests.
//
// A Net stands between members, which may be nodes of one process or processes of their
// own. Each member binds an address of its own in 127.0.0.0/8 and is reached by the others
// at another one, where a relay of the Net listens for datagrams and connections. The relay
// knows who sends by the address that it comes from, so that each ordered pair of members
// has a link of its own, with faults that can be changed at any time. A member has to send
// from the address that it binds. For one that can't, Link gives an address for one ordered
// pair alone.
//
// Faults of datagrams are drawn from a seed, for each ordered pair in the order of its
// datagrams. The seed and a timeline of what was done are printed when a test fails.
package faultlink

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"
)

// Fault is what is wrong with the link from one member to another.
type Fault struct {
	// Cut lets no datagram pass. Connections between the two stall in both directions
	// while either is cut, since nothing is acknowledged; what was under way passes once
	// both are whole.
	Cut bool
	// Stall lets nothing pass on connections, which stay open. Datagrams pass.
	Stall bool
	// Reset breaks connections, those open and those to come, with a TCP reset.
	Reset bool

	Delay  time.Duration // of each datagram, and of each piece of a stream
	Jitter time.Duration // on top, from 0, drawn evenly; streams keep their order

	Loss      float64 // part of the datagrams that is lost, 0 to 1
	Duplicate float64 // part that comes twice
	Reorder   float64 // part that comes late, behind those of the next ReorderBy
	ReorderBy time.Duration
}

// Endpoint is where a member is.
type Endpoint struct {
	Bind      string // ip:port that it binds, and sends from
	Advertise string // ip:port where the others reach it
}

// Config says how a Net begins.
type Config struct {
	Seed uint64 // 0: drawn
}

const (
	maxTimeline = 10_000 // lines
	maxDatagram = 64 << 10
	pieceSize   = 32 << 10 // of a stream
	piecesAhead = 16       // of a stream under way; the writer waits beyond
	dialTimeout = 5 * time.Second
	reorderBy   = 20 * time.Millisecond
	portTries   = 64
	maxMembers  = 4096   // 33 of the 256 blocks; each takes two descriptors once it is added
	maxDelayed  = 10_000 // datagrams under way at a time; more are lost

	// blockMembers is how many members a block of 256 addresses holds, two addresses each:
	// the first two and the last two of a block stay free.
	blockMembers = 126
)

// Network is a set of members and the links between them. Its methods may be called from any
// goroutine.
type Network struct {
	seed  uint64
	start time.Time
	stop  chan struct{}
	work  sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	base     [2]byte // second byte of all addresses, third byte of the first block
	members  map[string]*relay
	byIP     map[netip.Addr]string
	links    map[pair]*link
	relays   []*relay
	conns    map[*conn]bool
	delayed  int
	changed  chan struct{} // closed at each change of a fault
	timeline []string
	counts   map[pair]*Counts
}

type pair struct{ from, to string }

// link is one ordered pair.
type link struct {
	fault Fault
	rng   *rand.Rand
}

// Counts is what has become of the datagrams of one ordered pair.
type Counts struct{ Forwarded, Lost, Duplicated, Reordered uint64 }

// relay listens for one member, or for one ordered pair.
type relay struct {
	net  *Network
	from string // "": known by the address
	to   string
	real netip.AddrPort // of the member
	udp  *net.UDPConn
	tcp  *net.TCPListener
}

// New makes a Net without members.
func New(cfg Config) (*Network, error) {
	n := &Network{
		seed:    cfg.Seed,
		start:   time.Now(),
		stop:    make(chan struct{}),
		members: map[string]*relay{},
		byIP:    map[netip.Addr]string{},
		links:   map[pair]*link{},
		conns:   map[*conn]bool{},
		changed: make(chan struct{}),
		counts:  map[pair]*Counts{},
	}
	if n.seed == 0 {
		n.seed = rand.Uint64()
	}
	// Other tests on the machine have Nets too: the block of addresses is drawn, so that the
	// ports of one are hardly ever wanted by another.
	n.base = [2]byte{byte(64 + rand.IntN(128)), byte(rand.IntN(256))}
	return n, nil
}

// Seed returns the seed that faults are drawn from.
func (n *Network) Seed() uint64 { return n.seed }

// Add makes a place for a member. The member then binds Endpoint.Bind. The port is free
// there unless another program has taken just that address.
func (n *Network) Add(name string) (Endpoint, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.closed:
		return Endpoint{}, net.ErrClosed
	case n.members[name] != nil || name == "":
		return Endpoint{}, fmt.Errorf("faultlink: member %q: there is one already, or no name", name)
	case len(n.members) >= maxMembers:
		return Endpoint{}, fmt.Errorf("faultlink: %d members at most", maxMembers)
	}
	bind, front := n.addresses(len(n.members))
	r, err := n.listen(front, "", name)
	if err != nil {
		return Endpoint{}, err
	}
	port := netip.MustParseAddrPort(r.addr()).Port()
	r.real = netip.AddrPortFrom(bind, port)
	n.members[name] = r
	n.byIP[bind] = name
	n.serve(r)
	n.note("add %s bind=%s advertise=%s", name, r.real, r.addr())
	return Endpoint{Bind: r.real.String(), Advertise: r.addr()}, nil
}

// addresses returns where the member with this number, counted from 0, binds, and where the
// others reach it. No two members share one.
func (n *Network) addresses(number int) (bind, front netip.Addr) {
	block := n.base[1] + byte(number/blockMembers) // goes on at 0 behind 255
	host := byte(2 * (number%blockMembers + 1))
	bind = netip.AddrFrom4([4]byte{127, n.base[0], block, host})
	front = netip.AddrFrom4([4]byte{127, n.base[0], block, host + 1})
	return bind, front
}

// LinkAddress returns an address at which from, and nobody else, reaches to, wherever it sends from.
func (n *Network) LinkAddress(from, to string) (string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	target := n.members[to]
	if n.closed || target == nil || n.members[from] == nil {
		return "", fmt.Errorf("faultlink: link from %q to %q: no such member, or closed", from, to)
	}
	r, err := n.listen(netip.MustParseAddrPort(target.addr()).Addr(), from, to)
	if err != nil {
		return "", err
	}
	r.real = target.real
	n.serve(r)
	return r.addr(), nil
}

// listen takes one port for both datagrams and connections.
func (n *Network) listen(ip netip.Addr, from, to string) (*relay, error) {
	var last error
	for range portTries {
		tcp, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: ip.AsSlice(), Port: 0})
		if err != nil {
			return nil, fmt.Errorf("faultlink: %w", err)
		}
		port := tcp.Addr().(*net.TCPAddr).Port
		udp, err := net.ListenUDP("udp4", &net.UDPAddr{IP: ip.AsSlice(), Port: port})
		if err == nil {
			r := &relay{net: n, from: from, to: to, udp: udp, tcp: tcp}
			n.relays = append(n.relays, r)
			return r, nil
		}
		tcp.Close()
		last = err
	}
	return nil, fmt.Errorf("faultlink: %w", last)
}

func (r *relay) addr() string { return r.tcp.Addr().String() }

func (n *Network) serve(r *relay) {
	n.work.Go(r.datagrams)
	n.work.Go(r.streams)
}

// at returns the link of an ordered pair. The Net is locked.
func (n *Network) at(p pair) *link {
	l := n.links[p]
	if l == nil {
		h := fnv.New64a()
		fmt.Fprintf(h, "%q %q", p.from, p.to)
		l = &link{rng: rand.New(rand.NewPCG(n.seed, h.Sum64()))}
		n.links[p] = l
		n.counts[p] = &Counts{}
	}
	return l
}

// Set gives the link from one member to another its faults, in place of those it had.
func (n *Network) Set(from, to string, f Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.set(from, to, f)
	n.note("set %s>%s %s", from, to, f)
	n.apply()
}

// SetBoth gives both links between two members the same faults.
func (n *Network) SetBoth(a, b string, f Fault) {
	n.Set(a, b, f)
	n.Set(b, a, f)
}

// SetAll gives all links the same faults.
func (n *Network) SetAll(f Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.each(func(from, to string) { n.set(from, to, f) })
	n.note("set all %s", f)
	n.apply()
}

// Cut separates two members. Other faults of their links stay.
func (n *Network) Cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut(a, b)
	n.cut(b, a)
	n.note("cut %s|%s", a, b)
	n.apply()
}

// CutOneWay lets nothing pass from one member to another.
func (n *Network) CutOneWay(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut(from, to)
	n.note("cut %s>%s", from, to)
	n.apply()
}

// Partition separates the members of each group from those of all others. A member in no
// group is alone.
func (n *Network) Partition(groups ...[]string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	group := map[string]int{}
	for i, g := range groups {
		for _, name := range g {
			group[name] = i + 1
		}
	}
	n.each(func(from, to string) {
		f := n.at(pair{from, to}).fault
		f.Cut = group[from] != group[to] || group[from] == 0
		n.set(from, to, f)
	})
	n.note("partition %v", groups)
	n.apply()
}

// Heal takes all faults away.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		l.fault = Fault{}
	}
	n.note("heal")
	n.apply()
}

// ResetConnections resets the connections that are open between two members, once.
func (n *Network) ResetConnections(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.note("break %s|%s", a, b)
	for c := range n.conns {
		if c.from == a && c.to == b || c.from == b && c.to == a {
			c.reset()
		}
	}
}

// Counts returns what has become of the datagrams from one member to another.
func (n *Network) Counts(from, to string) Counts {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.at(pair{from, to})
	return *n.counts[pair{from, to}]
}

func (n *Network) set(from, to string, f Fault) { n.at(pair{from, to}).fault = f }

func (n *Network) cut(from, to string) { n.at(pair{from, to}).fault.Cut = true }

func (n *Network) each(f func(from, to string)) {
	for from := range n.members {
		for to := range n.members {
			if from != to {
				f(from, to)
			}
		}
	}
}

// apply makes a change of faults felt by what is under way.
func (n *Network) apply() {
	close(n.changed)
	n.changed = make(chan struct{})
	for c := range n.conns {
		if n.at(pair{c.from, c.to}).fault.Reset || n.at(pair{c.to, c.from}).fault.Reset {
			c.reset()
		}
	}
}

func (f Fault) String() string {
	var out []string
	add := func(is bool, format string, args ...any) {
		if is {
			out = append(out, fmt.Sprintf(format, args...))
		}
	}
	add(f.Cut, "cut")
	add(f.Stall, "stall")
	add(f.Reset, "reset")
	add(f.Delay > 0, "delay=%v", f.Delay)
	add(f.Jitter > 0, "jitter=%v", f.Jitter)
	add(f.Loss > 0, "loss=%v", f.Loss)
	add(f.Duplicate > 0, "duplicate=%v", f.Duplicate)
	add(f.Reorder > 0, "reorder=%v", f.Reorder)
	if out == nil {
		return "whole"
	}
	return strings.Join(out, ",")
}

// Note puts a line of the test's own on the timeline.
func (n *Network) Note(format string, args ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.note(format, args...)
}

func (n *Network) note(format string, args ...any) {
	if len(n.timeline) < maxTimeline {
		line := fmt.Sprintf("%9.3fs ", time.Since(n.start).Seconds()) + fmt.Sprintf(format, args...)
		n.timeline = append(n.timeline, line)
	}
}

// Timeline returns the seed and what was done when, one line each.
func (n *Network) Timeline() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return fmt.Sprintf("faultlink seed=%d\n%s\n", n.seed, strings.Join(n.timeline, "\n"))
}

// TB is what Report needs of a testing.TB.
type TB interface {
	Helper()
	Cleanup(func())
	Failed() bool
	Logf(format string, args ...any)
	Errorf(format string, args ...any)
}

// CloseAfterTest closes the Net at the end of a test and prints the timeline if the test has failed.
func (n *Network) CloseAfterTest(t TB) {
	t.Helper()
	t.Cleanup(func() {
		if err := n.Close(); err != nil {
			t.Errorf("faultlink: %v", err)
		}
		if t.Failed() {
			t.Logf("%s", n.Timeline())
		}
	})
}

// Close ends all links. Its goroutines have ended on return.
func (n *Network) Close() error {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return nil
	}
	n.closed = true
	n.note("close")
	close(n.stop)
	for _, r := range n.relays {
		r.udp.Close()
		r.tcp.Close()
	}
	for c := range n.conns {
		c.reset()
	}
	n.mu.Unlock()
	n.work.Wait()
	return nil
}

// datagrams carries those to the relay's member.
func (r *relay) datagrams() {
	buf := make([]byte, maxDatagram)
	for {
		size, addr, err := r.udp.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP error of an earlier write
		}
		r.net.carry(r, addr.Addr().Unmap(), buf[:size])
	}
}

func (n *Network) carry(r *relay, source netip.Addr, b []byte) {
	n.mu.Lock()
	from := r.from
	if from == "" {
		from = n.byIP[source]
	}
	if from == "" || n.closed {
		n.mu.Unlock()
		return // from nobody of this Net
	}
	p := pair{from, r.to}
	l, counts := n.at(p), n.counts[p]
	f := l.fault
	lost, twice, late := l.draw(f.Loss), l.draw(f.Duplicate), l.draw(f.Reorder)
	copies := 1
	switch {
	case f.Cut || lost || n.delayed >= maxDelayed:
		copies = 0
		counts.Lost++
	case twice:
		copies = 2
		counts.Duplicated++
		fallthrough
	default:
		counts.Forwarded++
	}
	var waits [2]time.Duration
	for i := range copies {
		waits[i] = f.Delay + l.upTo(f.Jitter)
		if late {
			waits[i] += f.ReorderBy
			if f.ReorderBy == 0 {
				waits[i] += reorderBy
			}
		}
	}
	if late && copies > 0 {
		counts.Reordered++
	}
	source2 := n.members[from]
	n.delayed += copies
	n.mu.Unlock()

	send := func(b []byte) {
		// From the address at which the receiver knows the sender.
		source2.udp.WriteToUDPAddrPort(b, r.real)
		n.mu.Lock()
		n.delayed--
		n.mu.Unlock()
	}
	for i := range copies {
		if waits[i] == 0 {
			send(b)
			continue
		}
		piece := slices.Clone(b)
		time.AfterFunc(waits[i], func() { send(piece) })
	}
}

func (l *link) draw(part float64) bool { return part > 0 && l.rng.Float64() < part }

func (l *link) upTo(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(l.rng.Int64N(int64(d)))
}

// conn is one connection through a relay.
type conn struct {
	net      *Network
	from, to string
	over     chan struct{}

	mu   sync.Mutex
	ends []*net.TCPConn
	done bool
}

// add makes t one of the two ends. It is closed if the connection is over.
func (c *conn) add(t *net.TCPConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done {
		t.Close()
		return
	}
	c.ends = append(c.ends, t)
}

// reset breaks both ends, unless the connection is over.
func (c *conn) reset() { c.end(true) }

// end ends the connection, with a reset or in order: a reset takes back what the kernel
// has still to send.
func (c *conn) end(reset bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done {
		return
	}
	c.done = true
	close(c.over)
	for _, t := range c.ends {
		if reset {
			t.SetLinger(0)
		}
		t.Close()
	}
}

func (r *relay) streams() {
	for {
		in, err := r.tcp.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond) // out of descriptors for a moment
			continue
		}
		r.net.work.Go(func() { r.stream(in) })
	}
}

func (r *relay) stream(in *net.TCPConn) {
	n := r.net
	source := in.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	c := &conn{net: n, from: r.from, to: r.to, over: make(chan struct{})}
	c.add(in)
	n.mu.Lock()
	if c.from == "" {
		c.from = n.byIP[source]
	}
	known := c.from != "" && !n.closed
	if known {
		n.conns[c] = true
	}
	broken := known && (n.at(pair{c.from, c.to}).fault.Reset || n.at(pair{c.to, c.from}).fault.Reset)
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.conns, c)
		n.mu.Unlock()
		c.reset()
	}()
	if !known || broken {
		return
	}
	forth, ended := c.read(in, c.from, c.to)
	// A link that is cut would not have let the connection come to be. The kernel has
	// accepted it already, so that to its opener it is open and silent.
	if !c.passable(c.from, c.to, ended) {
		return
	}
	d := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: n.front(c.from)}}
	dialed, err := d.Dial("tcp4", r.real.String())
	if err != nil {
		return // as one whose process is gone: reset
	}
	out := dialed.(*net.TCPConn)
	c.add(out)
	back, _ := c.read(out, c.to, c.from)
	var both sync.WaitGroup
	both.Go(func() { c.write(out, forth, c.from, c.to) })
	both.Go(func() { c.write(in, back, c.to, c.from) })
	both.Wait()
	c.end(false) // both directions have come to their ends
}

func (n *Network) front(name string) net.IP {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members[name].tcp.Addr().(*net.TCPAddr).IP
}

type piece struct {
	due   time.Time
	bytes []byte
}

// read takes one direction in, each piece with the time at which it is due at the other
// end. Ended is closed when no more come.
func (c *conn) read(src *net.TCPConn, from, to string) (out <-chan piece, ended <-chan struct{}) {
	pieces, end := make(chan piece, piecesAhead), make(chan struct{})
	c.net.work.Go(func() {
		defer close(pieces)
		defer close(end)
		for {
			buf := make([]byte, pieceSize)
			size, err := src.Read(buf)
			if size > 0 {
				select {
				case pieces <- piece{time.Now().Add(c.net.delay(from, to)), buf[:size]}:
				case <-c.over:
					return
				}
			}
			if err != nil {
				if !errors.Is(err, io.EOF) {
					c.reset()
				}
				return
			}
		}
	})
	return pieces, end
}

// write brings one direction out, in order.
func (c *conn) write(dst *net.TCPConn, pieces <-chan piece, from, to string) {
	for p := range pieces {
		if !c.sleep(time.Until(p.due)) || !c.passable(from, to, nil) {
			return
		}
		if _, err := dst.Write(p.bytes); err != nil {
			c.reset()
			return
		}
	}
	if c.passable(from, to, nil) {
		dst.CloseWrite()
	}
}

func (c *conn) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.over:
		return false
	}
}

func (n *Network) delay(from, to string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.at(pair{from, to})
	return l.fault.Delay + l.upTo(l.fault.Jitter)
}

// passable waits until streams pass between the two, and tells whether they ever do:
// not if the connection is over, or its opener has given it up meanwhile.
func (c *conn) passable(from, to string, ended <-chan struct{}) bool {
	n := c.net
	for {
		n.mu.Lock()
		here, back := n.at(pair{from, to}).fault, n.at(pair{to, from}).fault
		changed := n.changed
		n.mu.Unlock()
		if !here.Cut && !back.Cut && !here.Stall {
			select {
			case <-c.over:
				return false
			default:
				return true
			}
		}
		select {
		case <-changed:
		case <-ended:
			return false
		case <-c.over:
			return false
		}
	}
}
