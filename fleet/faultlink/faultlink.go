// Package faultlink injects network faults between processes on one machine, for tests.
//
// A Network relays UDP datagrams and TCP connections between members, which are nodes of one
// process or separate processes. Each member binds an address of its own in 127.0.0.0/8. The
// other members reach it at a second address, where a relay listens. The relay identifies the
// sender by its source address, so each direction between two members has its own faults,
// which can be changed at any time. A member therefore has to send from the address that it
// binds. For a member that can't, LinkAddress returns an address that serves one sender only.
//
// Datagram faults are drawn from a seeded generator per direction, in the order of the
// datagrams. The seed and a timeline of the changes are printed when a test fails.
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

// Fault describes the faults of the link from one member to another.
type Fault struct {
	// Cut drops all datagrams. Connections between the two members stall in both directions
	// while either direction is cut, because acknowledgements are lost too. Data in flight is
	// delivered once neither direction is cut.
	Cut bool
	// Stall holds back the data of connections, which stay open. Datagrams are not affected.
	Stall bool
	// Reset ends open connections, and each new one, with a TCP reset.
	Reset bool

	Delay  time.Duration // of each datagram and of each chunk of a stream
	Jitter time.Duration // upper bound of a uniform random extra delay; streams keep their order

	Loss      float64       // probability that a datagram is lost, 0 to 1
	Duplicate float64       // probability that a datagram is delivered twice
	Reorder   float64       // probability that a datagram is delayed by ReorderBy, behind later ones
	ReorderBy time.Duration // 0: defaultReorderBy
}

// Endpoint holds the addresses of a member.
type Endpoint struct {
	Bind      string // ip:port that the member binds and sends from
	Advertise string // ip:port where the other members reach it
}

// Config holds the settings of a Network.
type Config struct {
	Seed uint64 // 0: a random seed
}

const (
	maxTimelineLines    = 10_000
	maxDatagramBytes    = 64 << 10
	chunkBytes          = 32 << 10 // read from a stream at a time
	maxQueuedChunks     = 16       // per direction of a connection; reading stops while the queue is full
	dialTimeout         = 5 * time.Second
	defaultReorderBy    = 20 * time.Millisecond
	maxPortAttempts     = 64     // to find a port that is free for both UDP and TCP
	maxMembers          = 4096   // in 33 of the 256 blocks; each member takes two file descriptors
	maxPendingDatagrams = 10_000 // more are dropped

	// membersPerBlock is the number of members in a block of 256 addresses, with two addresses
	// each. The first two and the last two addresses of a block stay unused.
	membersPerBlock = 126
)

// Network is a set of members and the links between them. Its methods are safe for concurrent
// use.
type Network struct {
	seed       uint64
	start      time.Time
	stop       chan struct{}
	goroutines sync.WaitGroup

	mu               sync.Mutex
	closed           bool
	firstBlock       [2]byte // second byte of all addresses; third byte of the first block
	members          map[string]*relay
	memberByIP       map[netip.Addr]string
	links            map[direction]*linkState
	relays           []*relay
	conns            map[*conn]bool
	pendingDatagrams int
	faultsChanged    chan struct{} // closed and replaced when a fault changes
	timeline         []string      // at most maxTimelineLines
	counts           map[direction]*Counts
}

// direction is an ordered pair of members.
type direction struct{ from, to string }

// linkState is the state of one direction between two members.
type linkState struct {
	fault Fault
	rng   *rand.Rand
}

// Counts counts the datagrams of one direction by outcome.
type Counts struct{ Forwarded, Lost, Duplicated, Reordered uint64 }

// relay listens in place of one member, for all senders or for a single one.
type relay struct {
	network    *Network
	onlySender string         // "": the sender is identified by its source address
	to         string         // the member that the relay stands for
	memberAddr netip.AddrPort // where the member itself listens
	udp        *net.UDPConn
	tcp        *net.TCPListener
}

// New makes a Network without members.
func New(cfg Config) (*Network, error) {
	n := &Network{
		seed:          cfg.Seed,
		start:         time.Now(),
		stop:          make(chan struct{}),
		members:       map[string]*relay{},
		memberByIP:    map[netip.Addr]string{},
		links:         map[direction]*linkState{},
		conns:         map[*conn]bool{},
		faultsChanged: make(chan struct{}),
		counts:        map[direction]*Counts{},
	}
	if n.seed == 0 {
		n.seed = rand.Uint64()
	}
	// Other tests on the machine run Networks too. A random block of addresses makes it
	// unlikely that two of them use the same ports.
	n.firstBlock = [2]byte{byte(64 + rand.IntN(128)), byte(rand.IntN(256))}
	return n, nil
}

// Seed returns the seed of the random faults.
func (n *Network) Seed() uint64 { return n.seed }

// Add adds a member and starts its relay. The member then binds Endpoint.Bind, whose port is
// free unless another program has bound the same address.
func (n *Network) Add(name string) (Endpoint, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.closed:
		return Endpoint{}, net.ErrClosed
	case n.members[name] != nil || name == "":
		return Endpoint{}, fmt.Errorf("faultlink: member %q: name is empty or already taken", name)
	case len(n.members) >= maxMembers:
		return Endpoint{}, fmt.Errorf("faultlink: more than %d members", maxMembers)
	}
	bind, advertise := n.addresses(len(n.members))
	r, err := n.listen(advertise, "", name)
	if err != nil {
		return Endpoint{}, err
	}
	port := netip.MustParseAddrPort(r.addr()).Port()
	r.memberAddr = netip.AddrPortFrom(bind, port)
	n.members[name] = r
	n.memberByIP[bind] = name
	n.serve(r)
	n.note("add %s bind=%s advertise=%s", name, r.memberAddr, r.addr())
	return Endpoint{Bind: r.memberAddr.String(), Advertise: r.addr()}, nil
}

// addresses returns the address that the member with this number, counted from 0, binds and
// the address where the others reach it. No two members share an address.
func (n *Network) addresses(number int) (bind, advertise netip.Addr) {
	block := n.firstBlock[1] + byte(number/membersPerBlock) // wraps around from 255 to 0
	host := byte(2 * (number%membersPerBlock + 1))
	bind = netip.AddrFrom4([4]byte{127, n.firstBlock[0], block, host})
	advertise = netip.AddrFrom4([4]byte{127, n.firstBlock[0], block, host + 1})
	return bind, advertise
}

// LinkAddress returns an address of the member to for the use of the member from alone: all that
// arrives there counts as sent by from, whatever its source address.
func (n *Network) LinkAddress(from, to string) (string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	target := n.members[to]
	if n.closed || target == nil || n.members[from] == nil {
		return "", fmt.Errorf("faultlink: link from %q to %q: unknown member or closed network", from, to)
	}
	r, err := n.listen(netip.MustParseAddrPort(target.addr()).Addr(), from, to)
	if err != nil {
		return "", err
	}
	r.memberAddr = target.memberAddr
	n.serve(r)
	return r.addr(), nil
}

// listen opens a relay with the same port for UDP and TCP.
func (n *Network) listen(ip netip.Addr, from, to string) (*relay, error) {
	var last error
	for range maxPortAttempts {
		tcp, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: ip.AsSlice(), Port: 0})
		if err != nil {
			return nil, fmt.Errorf("faultlink: %w", err)
		}
		port := tcp.Addr().(*net.TCPAddr).Port
		udp, err := net.ListenUDP("udp4", &net.UDPAddr{IP: ip.AsSlice(), Port: port})
		if err == nil {
			r := &relay{network: n, onlySender: from, to: to, udp: udp, tcp: tcp}
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
	n.goroutines.Go(r.readDatagrams)
	n.goroutines.Go(r.acceptConns)
}

// linkFor returns the state of a direction. The caller holds n.mu.
func (n *Network) linkFor(p direction) *linkState {
	l := n.links[p]
	if l == nil {
		h := fnv.New64a()
		fmt.Fprintf(h, "%q %q", p.from, p.to)
		l = &linkState{rng: rand.New(rand.NewPCG(n.seed, h.Sum64()))}
		n.links[p] = l
		n.counts[p] = &Counts{}
	}
	return l
}

// Set replaces the faults of the link from one member to another.
func (n *Network) Set(from, to string, f Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.setFault(from, to, f)
	n.note("set %s>%s %s", from, to, f)
	n.applyFaults()
}

// SetBoth replaces the faults of both directions between two members.
func (n *Network) SetBoth(a, b string, f Fault) {
	n.Set(a, b, f)
	n.Set(b, a, f)
}

// SetAll replaces the faults of all links.
func (n *Network) SetAll(f Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.forEachDirection(func(from, to string) { n.setFault(from, to, f) })
	n.note("set all %s", f)
	n.applyFaults()
}

// Cut cuts both directions between two members. Other faults of these links stay.
func (n *Network) Cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.setCut(a, b)
	n.setCut(b, a)
	n.note("cut %s|%s", a, b)
	n.applyFaults()
}

// CutOneWay cuts the link from one member to another. Its other faults stay.
func (n *Network) CutOneWay(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.setCut(from, to)
	n.note("cut %s>%s", from, to)
	n.applyFaults()
}

// Partition cuts all links between members of different groups and restores those within a
// group. A member in no group is isolated.
func (n *Network) Partition(groups ...[]string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	group := map[string]int{}
	for i, g := range groups {
		for _, name := range g {
			group[name] = i + 1
		}
	}
	n.forEachDirection(func(from, to string) {
		f := n.linkFor(direction{from, to}).fault
		f.Cut = group[from] != group[to] || group[from] == 0
		n.setFault(from, to, f)
	})
	n.note("partition %v", groups)
	n.applyFaults()
}

// Heal removes all faults.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		l.fault = Fault{}
	}
	n.note("heal")
	n.applyFaults()
}

// ResetConnections resets the open connections between two members. New ones are not affected.
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

// Counts returns the counts of the datagrams from one member to another.
func (n *Network) Counts(from, to string) Counts {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.linkFor(direction{from, to})
	return *n.counts[direction{from, to}]
}

func (n *Network) setFault(from, to string, f Fault) { n.linkFor(direction{from, to}).fault = f }

func (n *Network) setCut(from, to string) { n.linkFor(direction{from, to}).fault.Cut = true }

func (n *Network) forEachDirection(f func(from, to string)) {
	for from := range n.members {
		for to := range n.members {
			if from != to {
				f(from, to)
			}
		}
	}
}

// applyFaults wakes the connections that wait for a change of faults and resets those that a
// Reset fault now covers. The caller holds n.mu.
func (n *Network) applyFaults() {
	close(n.faultsChanged)
	n.faultsChanged = make(chan struct{})
	for c := range n.conns {
		if n.linkFor(direction{c.from, c.to}).fault.Reset || n.linkFor(direction{c.to, c.from}).fault.Reset {
			c.reset()
		}
	}
}

// String returns the set fields, separated by commas, or "none", as written in the timeline.
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
		return "none"
	}
	return strings.Join(out, ",")
}

// Note adds a line of the test to the timeline.
func (n *Network) Note(format string, args ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.note(format, args...)
}

func (n *Network) note(format string, args ...any) {
	if len(n.timeline) < maxTimelineLines {
		line := fmt.Sprintf("%9.3fs ", time.Since(n.start).Seconds()) + fmt.Sprintf(format, args...)
		n.timeline = append(n.timeline, line)
	}
}

// Timeline returns the seed and the changes with their times, one per line.
func (n *Network) Timeline() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return fmt.Sprintf("faultlink seed=%d\n%s\n", n.seed, strings.Join(n.timeline, "\n"))
}

// TB is the part of testing.TB that CloseAfterTest uses.
type TB interface {
	Helper()
	Cleanup(func())
	Failed() bool
	Logf(format string, args ...any)
	Errorf(format string, args ...any)
}

// CloseAfterTest closes the Network at the end of a test and prints the timeline if the test failed.
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

// Close stops the relays and resets their connections. It returns once all goroutines of the
// Network have ended, datagrams that wait for their delay excepted.
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
	n.goroutines.Wait()
	return nil
}

// readDatagrams forwards the datagrams that arrive at the relay.
func (r *relay) readDatagrams() {
	buf := make([]byte, maxDatagramBytes)
	for {
		size, addr, err := r.udp.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP error caused by an earlier write
		}
		r.network.forwardDatagram(r, addr.Addr().Unmap(), buf[:size])
	}
}

// forwardDatagram applies the faults of the link and sends the payload to the relay's member.
func (n *Network) forwardDatagram(r *relay, source netip.Addr, payload []byte) {
	n.mu.Lock()
	from := r.onlySender
	if from == "" {
		from = n.memberByIP[source]
	}
	if from == "" || n.closed {
		n.mu.Unlock()
		return // the sender is not a member
	}
	p := direction{from, r.to}
	l, counts := n.linkFor(p), n.counts[p]
	f := l.fault
	lost, duplicated, reordered := l.happens(f.Loss), l.happens(f.Duplicate), l.happens(f.Reorder)
	copies := 1
	switch {
	case f.Cut || lost || n.pendingDatagrams >= maxPendingDatagrams:
		copies = 0
		counts.Lost++
	case duplicated:
		copies = 2
		counts.Duplicated++
		fallthrough
	default:
		counts.Forwarded++
	}
	var delays [2]time.Duration
	for i := range copies {
		delays[i] = f.Delay + l.randomDelay(f.Jitter)
		if reordered {
			delays[i] += f.ReorderBy
			if f.ReorderBy == 0 {
				delays[i] += defaultReorderBy
			}
		}
	}
	if reordered && copies > 0 {
		counts.Reordered++
	}
	sender := n.members[from]
	n.pendingDatagrams += copies
	n.mu.Unlock()

	send := func(b []byte) {
		// The receiver sees the address at which it reaches the sender.
		sender.udp.WriteToUDPAddrPort(b, r.memberAddr)
		n.mu.Lock()
		n.pendingDatagrams--
		n.mu.Unlock()
	}
	for i := range copies {
		if delays[i] == 0 {
			send(payload)
			continue
		}
		copied := slices.Clone(payload)
		time.AfterFunc(delays[i], func() { send(copied) })
	}
}

// happens reports whether a fault of this probability occurs. It draws no number if the probability is 0.
func (l *linkState) happens(probability float64) bool {
	return probability > 0 && l.rng.Float64() < probability
}

// randomDelay returns a uniform random delay from 0 up to, but not including, d.
func (l *linkState) randomDelay(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(l.rng.Int64N(int64(d)))
}

// conn is a connection through a relay: from the sender to the relay and on to the member.
type conn struct {
	network  *Network
	from, to string
	closed   chan struct{}

	mu       sync.Mutex
	ends     []*net.TCPConn
	isClosed bool
}

// add adds one of the two TCP connections. It closes t if c is closed already.
func (c *conn) add(t *net.TCPConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		t.Close()
		return
	}
	c.ends = append(c.ends, t)
}

// reset ends both TCP connections with a reset, unless c is closed already.
func (c *conn) reset() { c.close(true) }

// close closes both TCP connections, with a reset or in order. A reset discards the data that the
// kernel has not sent yet.
func (c *conn) close(reset bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		return
	}
	c.isClosed = true
	close(c.closed)
	for _, t := range c.ends {
		if reset {
			t.SetLinger(0)
		}
		t.Close()
	}
}

func (r *relay) acceptConns() {
	for {
		in, err := r.tcp.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond) // temporarily out of file descriptors
			continue
		}
		r.network.goroutines.Go(func() { r.relayConn(in) })
	}
}

func (r *relay) relayConn(in *net.TCPConn) {
	n := r.network
	source := in.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	c := &conn{network: n, from: r.onlySender, to: r.to, closed: make(chan struct{})}
	c.add(in)
	n.mu.Lock()
	if c.from == "" {
		c.from = n.memberByIP[source]
	}
	known := c.from != "" && !n.closed
	if known {
		n.conns[c] = true
	}
	broken := known && (n.linkFor(direction{c.from, c.to}).fault.Reset || n.linkFor(direction{c.to, c.from}).fault.Reset)
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
	toMember, ended := c.readChunks(in, c.from, c.to)
	// Over a real cut link, the connection would not be established. Here the kernel has
	// accepted it already, so the opener sees an open connection without any data.
	if !c.waitPassable(c.from, c.to, ended) {
		return
	}
	d := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: n.advertisedIP(c.from)}}
	dialed, err := d.Dial("tcp4", r.memberAddr.String())
	if err != nil {
		return // the deferred reset tells the opener that nothing listens at the member
	}
	out := dialed.(*net.TCPConn)
	c.add(out)
	fromMember, _ := c.readChunks(out, c.to, c.from)
	var writers sync.WaitGroup
	writers.Go(func() { c.writeChunks(out, toMember, c.from, c.to) })
	writers.Go(func() { c.writeChunks(in, fromMember, c.to, c.from) })
	writers.Wait()
	c.close(false) // both directions have ended
}

// advertisedIP returns the IP address at which the other members reach a member.
func (n *Network) advertisedIP(name string) net.IP {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members[name].tcp.Addr().(*net.TCPAddr).IP
}

// chunk is data of a stream on its way through a relay.
type chunk struct {
	due  time.Time
	data []byte
}

// readChunks reads one direction and queues each chunk with the time at which it is to be
// written. It closes ended after the last one.
func (c *conn) readChunks(src *net.TCPConn, from, to string) (out <-chan chunk, ended <-chan struct{}) {
	chunks, end := make(chan chunk, maxQueuedChunks), make(chan struct{})
	c.network.goroutines.Go(func() {
		defer close(chunks)
		defer close(end)
		for {
			buf := make([]byte, chunkBytes)
			size, err := src.Read(buf)
			if size > 0 {
				select {
				case chunks <- chunk{time.Now().Add(c.network.streamDelay(from, to)), buf[:size]}:
				case <-c.closed:
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
	return chunks, end
}

// writeChunks writes the chunks of one direction in order, each when it is due.
func (c *conn) writeChunks(dst *net.TCPConn, chunks <-chan chunk, from, to string) {
	for p := range chunks {
		if !c.sleep(time.Until(p.due)) || !c.waitPassable(from, to, nil) {
			return
		}
		if _, err := dst.Write(p.data); err != nil {
			c.reset()
			return
		}
	}
	if c.waitPassable(from, to, nil) {
		dst.CloseWrite()
	}
}

// sleep waits for d and reports false if the connection is closed before that.
func (c *conn) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.closed:
		return false
	}
}

func (n *Network) streamDelay(from, to string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.linkFor(direction{from, to})
	return l.fault.Delay + l.randomDelay(l.fault.Jitter)
}

// waitPassable waits until the faults let stream data pass from one member to another. It reports
// false if the connection is closed, or its opener has ended it (ended is closed), before that.
func (c *conn) waitPassable(from, to string, ended <-chan struct{}) bool {
	n := c.network
	for {
		n.mu.Lock()
		forward, reverse := n.linkFor(direction{from, to}).fault, n.linkFor(direction{to, from}).fault
		changed := n.faultsChanged
		n.mu.Unlock()
		if !forward.Cut && !reverse.Cut && !forward.Stall {
			select {
			case <-c.closed:
				return false
			default:
				return true
			}
		}
		select {
		case <-changed:
		case <-ended:
			return false
		case <-c.closed:
			return false
		}
	}
}
