package member

import (
	"context"
	"log"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// maxStreams is how many incoming connections are served at a time; more wait in the kernel's accept
// queue. A full exchange takes milliseconds, and an idle connection is closed after
// Config.StreamTimeout.
const maxStreams = 16

// transport extends memberlist's own transport in two ways: outgoing connections use the bound address
// as their source, as datagrams do, and incoming ones are limited in number and closed with the node.
type transport struct {
	*memberlist.NetTransport
	dialer  net.Dialer
	ctx     context.Context
	cancel  func()
	streams chan net.Conn
	slots   chan struct{} // semaphore: one slot per incoming connection
	done    sync.WaitGroup
}

func newTransport(ip net.IP, port int, logger *log.Logger) (*transport, error) {
	nt, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{ip.String()},
		BindPort:  port,
		Logger:    logger,
	})
	if err != nil {
		return nil, err
	}
	t := &transport{NetTransport: nt, streams: make(chan net.Conn), slots: make(chan struct{}, maxStreams)}
	if !ip.IsUnspecified() {
		t.dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.done.Add(1)
	go t.accept()
	return t, nil
}

func (t *transport) accept() {
	defer t.done.Done()
	for {
		select {
		case t.slots <- struct{}{}:
		case <-t.ctx.Done():
			return
		}
		select {
		case c := <-t.NetTransport.StreamCh():
			select {
			case t.streams <- t.track(c, func() { <-t.slots }):
			case <-t.ctx.Done():
				c.Close()
				return
			}
		case <-t.ctx.Done():
			return
		}
	}
}

// track closes a connection when the transport shuts down, and calls onClose when it is closed.
func (t *transport) track(c net.Conn, onClose func()) net.Conn {
	stop := context.AfterFunc(t.ctx, func() { c.Close() })
	return &stream{Conn: c, onClose: func() {
		stop()
		onClose()
	}}
}

type stream struct {
	net.Conn
	once    sync.Once
	onClose func()
}

func (s *stream) Close() error {
	s.once.Do(s.onClose)
	return s.Conn.Close()
}

// StreamCh implements memberlist.Transport.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// DialTimeout implements memberlist.Transport.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(t.ctx, timeout)
	defer cancel()
	c, err := t.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return t.track(c, func() {}), nil
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, timeout)
}

// Shutdown implements memberlist.Transport.
func (t *transport) Shutdown() error {
	// Accepted connections that nobody receives would block the shutdown of the listeners.
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		for {
			select {
			case c := <-t.NetTransport.StreamCh():
				c.Close()
			case <-t.ctx.Done():
				return
			}
		}
	}()
	err := t.NetTransport.Shutdown()
	t.cancel()
	<-drained
	t.done.Wait()
	return err
}
