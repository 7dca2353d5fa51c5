package traffic

import (
	"net"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// transport wraps a transport of memberlist and counts its traffic.
type transport struct {
	memberlist.NodeAwareTransport
	counter      *Counter
	packets      chan *memberlist.Packet
	streams      chan net.Conn
	stop         chan struct{}
	stopped      chan struct{}
	shutdownOnce sync.Once
}

// Wrap wraps a transport so that its traffic is counted; it fits member.Config.WrapTransport. Each
// wrapped transport runs one goroutine that forwards incoming datagrams and connections.
func (c *Counter) Wrap(inner memberlist.NodeAwareTransport) memberlist.NodeAwareTransport {
	t := &transport{
		NodeAwareTransport: inner,
		counter:            c,
		packets:            make(chan *memberlist.Packet),
		streams:            make(chan net.Conn),
		stop:               make(chan struct{}),
		stopped:            make(chan struct{}),
	}
	go t.receive()
	return t
}

// receive forwards incoming datagrams and connections until the transport is shut down.
func (t *transport) receive() {
	defer close(t.stopped)
	for {
		select {
		case packet := <-t.NodeAwareTransport.PacketCh():
			t.counter.received.addDatagram(packet.Buf)
			select {
			case t.packets <- packet:
			case <-t.stop:
				return
			}
		case conn := <-t.NodeAwareTransport.StreamCh():
			select {
			case t.streams <- t.countStream(conn):
			case <-t.stop:
				conn.Close()
				return
			}
		case <-t.stop:
			return
		}
	}
}

// PacketCh implements memberlist.Transport.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// StreamCh implements memberlist.Transport.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// WriteTo implements memberlist.Transport.
func (t *transport) WriteTo(payload []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(payload, memberlist.Address{Addr: addr})
}

// WriteToAddress implements memberlist.NodeAwareTransport. Datagrams that the kernel refuses to
// send are not counted.
func (t *transport) WriteToAddress(payload []byte, addr memberlist.Address) (time.Time, error) {
	sentAt, err := t.NodeAwareTransport.WriteToAddress(payload, addr)
	if err == nil {
		t.counter.sent.addDatagram(payload)
	}
	return sentAt, err
}

// DialTimeout implements memberlist.Transport.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t *transport) DialAddressTimeout(addr memberlist.Address, timeout time.Duration) (net.Conn, error) {
	conn, err := t.NodeAwareTransport.DialAddressTimeout(addr, timeout)
	if err != nil {
		return nil, err
	}
	return t.countStream(conn), nil
}

// Shutdown implements memberlist.Transport. The goroutine keeps forwarding until the inner transport
// has shut down, since that may block until its channels are read.
func (t *transport) Shutdown() error {
	err := t.NodeAwareTransport.Shutdown()
	t.shutdownOnce.Do(func() { close(t.stop) })
	<-t.stopped
	return err
}

// countStream wraps a connection so that its traffic is counted.
func (t *transport) countStream(conn net.Conn) net.Conn {
	return &stream{Conn: conn, counter: t.counter}
}

// stream counts the traffic of a connection. Each direction carries one message, whose first byte is
// its type.
type stream struct {
	net.Conn
	counter     *Counter
	sentOnce    sync.Once
	receiveOnce sync.Once
}

// Read implements net.Conn.
func (s *stream) Read(buffer []byte) (int, error) {
	length, err := s.Conn.Read(buffer)
	if length > 0 {
		s.receiveOnce.Do(func() { s.counter.received.addStream(buffer[0]) })
		s.counter.received.streamBytes.Add(uint64(length))
	}
	return length, err
}

// Write implements net.Conn.
func (s *stream) Write(buffer []byte) (int, error) {
	length, err := s.Conn.Write(buffer)
	if length > 0 {
		s.sentOnce.Do(func() { s.counter.sent.addStream(buffer[0]) })
		s.counter.sent.streamBytes.Add(uint64(length))
	}
	return length, err
}

// addStream counts one direction of a connection and its message, by the first byte.
func (d *direction) addStream(first byte) {
	d.streams.Add(1)
	d.messages[kindOf(first)].Add(1)
}
