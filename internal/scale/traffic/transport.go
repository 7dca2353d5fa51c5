package traffic

import (
	"net"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// transport counts what passes between memberlist and the transport beneath.
type transport struct {
	memberlist.NodeAwareTransport
	counter      *Counter
	packets      chan *memberlist.Packet
	streams      chan net.Conn
	stop         chan struct{}
	stopped      chan struct{}
	shutdownOnce sync.Once
}

// Wrap is for member.Config.WrapTransport. Each wrapped transport has one goroutine, which
// hands on what arrives.
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

// receive hands on what arrives until the transport is shut down.
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

// WriteToAddress implements memberlist.NodeAwareTransport. What the kernel refuses is not
// counted.
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

// Shutdown implements memberlist.Transport. The goroutine goes on to hand on what arrives
// until the transport beneath has ended, since that may wait for a reader.
func (t *transport) Shutdown() error {
	err := t.NodeAwareTransport.Shutdown()
	t.shutdownOnce.Do(func() { close(t.stop) })
	<-t.stopped
	return err
}

// count counts a connection's bytes from now on.
func (t *transport) countStream(conn net.Conn) net.Conn {
	return &stream{Conn: conn, counter: t.counter}
}

// stream is one connection. Each direction carries one message, whose kind is its first byte.
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

// stream counts the first bytes of one direction of a connection.
func (d *direction) addStream(first byte) {
	d.streams.Add(1)
	d.messages[kindOf(first)].Add(1)
}
