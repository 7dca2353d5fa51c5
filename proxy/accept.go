package proxy

import (
	"fmt"
	"log"
	"net"
	"os"
	"syscall"
	"time"

	"oxbowloft/internal/faults"
	"oxbowloft/internal/http1"
	"oxbowloft/internal/neterror"
)

// Accepting connections: while the proxy serves, and once more at the end of a drain's
// grace for those that are still in the kernel's backlog.

const (
	acceptBackoff     = 5 * time.Millisecond
	acceptLogInterval = time.Second // at most one line for many failures
	// Timeouts of one accept from the backlog: until backlogDrainTime has passed, and after it.
	backlogAcceptTimeout      = 5 * time.Millisecond
	backlogFinalAcceptTimeout = time.Millisecond
	backlogDrainTime          = 100 * time.Millisecond
)

// listener is the interface of the proxy's listening socket.
type listener interface {
	net.Listener
	syscall.Conn
	SetDeadline(t time.Time) error
}

// inheritedListener returns the listener at a file descriptor passed by the platform.
func inheritedListener(fd int) (listener, error) {
	// Check the option first: a wrong number may be a descriptor of the Go runtime.
	listening, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err != nil {
		return nil, fmt.Errorf("%s: descriptor %d: %w", listenFDVariable, fd, err)
	}
	if listening == 0 {
		return nil, fmt.Errorf("%s: descriptor %d: not a listening socket", listenFDVariable, fd)
	}
	f := os.NewFile(uintptr(fd), "listener")
	defer f.Close()
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("%s: descriptor %d: %w", listenFDVariable, fd, err)
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		ln.Close()
		return nil, fmt.Errorf("%s: descriptor %d: not a TCP socket", listenFDVariable, fd)
	}
	return tcp, nil
}

// setNonblocking sets an inherited listener to non-blocking mode. All processes that hold
// the socket share the flag, and starting another process may clear it. An accept whose
// connection another process took would then block in the kernel beyond any deadline.
func (p *Proxy) setNonblocking() {
	if p.cfg.ListenFD == 0 {
		return
	}
	if raw, err := p.listener.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.SetNonblock(int(fd), true) })
	}
}

// acceptLoop accepts connections until the listener's deadline or its close.
func (p *Proxy) acceptLoop() error {
	for {
		if err := p.acceptWhenAvailable(); p.acceptEnded(err) {
			return err
		}
	}
}

func (p *Proxy) acceptWhenAvailable() error {
	if !p.descriptors.acquireForClient() {
		return os.ErrDeadlineExceeded
	}
	return p.acceptWithDescriptor()
}

// acceptWithDescriptor accepts one connection, for which a descriptor has been acquired.
func (p *Proxy) acceptWithDescriptor() error {
	p.setNonblocking()
	var nc net.Conn
	err := faults.Inject("accept")
	if err == nil {
		nc, err = p.listener.Accept()
	}
	if err != nil {
		p.descriptors.releaseForClient()
		return err
	}
	p.clients.add()
	go p.serve(p.newClientConn(nc))
	return nil
}

// newClientConn returns a client's connection that has just been accepted.
func (p *Proxy) newClientConn(nc net.Conn) *clientConn {
	conn := http1.NewConn(nc)
	conn.Memory, conn.KeepFields = p.memory, protocolHeaders
	conn.TrackArrival()
	return &clientConn{conn: conn, waitStart: time.Now()}
}

// acceptBacklog accepts the connections that were in the kernel's backlog when the grace
// ended, until none is left. Closing the listener without it would lose the requests sent
// on them. If no descriptor is available they wait for one, if need be past the responses
// that are written when the drain ends. Clients may keep connecting, so after
// backlogDrainTime it stops at the first moment with an empty backlog.
func (p *Proxy) acceptBacklog(end time.Time) {
	p.descriptors.setWaitDeadline(end)
	for drainUntil := time.Now().Add(backlogDrainTime); time.Now().Before(end); {
		if !p.descriptors.acquireForClient() {
			return
		}
		timeout := backlogAcceptTimeout // starts only once a descriptor is available
		if time.Now().After(drainUntil) {
			timeout = backlogFinalAcceptTimeout
		}
		p.listener.SetDeadline(time.Now().Add(timeout))
		if p.acceptEnded(p.acceptWithDescriptor()) {
			return
		}
	}
}

// acceptEnded reports whether an accept's error, if any, means that the listener is
// closed or that its deadline has passed. Other errors concern one connection or are
// temporary: they are logged, and followed by a pause where the next accept would fail
// too.
func (p *Proxy) acceptEnded(err error) bool {
	meaning := neterror.Classify(neterror.Accept, err)
	switch meaning {
	case neterror.None, neterror.Interrupted:
		return false
	case neterror.Deadline, neterror.Closed:
		return true
	}
	if omitted, ok := p.acceptLog.Allow(); ok {
		log.Printf("event=accept_failed meaning=%s left_out=%d err=%q", meaning, omitted, err)
	}
	if !meaning.Broken() {
		time.Sleep(acceptBackoff)
	}
	return false
}
