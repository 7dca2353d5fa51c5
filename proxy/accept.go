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

// The listening socket, and the connections that are taken from it: while the proxy serves,
// and once more at the end of a drain's grace for those that the kernel has accepted.

const (
	acceptBackoff             = 5 * time.Millisecond
	acceptLogInterval         = time.Second // a flood of failures must not cost a line each
	backlogAcceptTimeout      = 5 * time.Millisecond
	backlogFinalAcceptTimeout = time.Millisecond
	backlogDrainTime          = 100 * time.Millisecond
)

// listener is what a proxy asks of its listening socket.
type listener interface {
	net.Listener
	syscall.Conn
	SetDeadline(t time.Time) error
}

// inherited is the listener at a descriptor that the platform has left to us.
func inheritedListener(fd int) (listener, error) {
	// Looked at first: a descriptor that is none may be one of the runtime's own.
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

// neverBlocks makes sure that an inherited listener does not block: the flag is shared
// by all processes that hold the socket, and starting another one may clear it. An
// accept that lost its connection to another process would then be caught in the
// kernel, past any deadline.
func (p *Proxy) setNonblocking() {
	if p.cfg.ListenFD == 0 {
		return
	}
	if raw, err := p.listener.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.SetNonblock(int(fd), true) })
	}
}

// accept takes connections until the listener's deadline or its end.
func (p *Proxy) acceptLoop() error {
	for {
		if err := p.acceptOne(); p.acceptEnded(err) {
			return err
		}
	}
}

func (p *Proxy) acceptOne() error {
	if !p.descriptors.acquireForClient() {
		return os.ErrDeadlineExceeded
	}
	return p.acceptWithDescriptor()
}

// acceptNow takes one connection, for which there is a descriptor.
func (p *Proxy) acceptWithDescriptor() error {
	p.setNonblocking()
	var nc net.Conn
	err := faults.Fail("accept")
	if err == nil {
		nc, err = p.listener.Accept()
	}
	if err != nil {
		p.descriptors.releaseForClient()
		return err
	}
	p.clients.add()
	go p.serve(&clientConn{conn: http1.NewConn(nc), waitStart: time.Now()})
	return nil
}

// acceptRest takes the connections that the kernel had accepted when the grace
// was over, until none is left. Guards against closing on them: what was sent on one would
// be lost. Where no descriptor is left they wait for one, past the answers that the end
// brings, if need be. Callers may go on coming: after restMost the first moment in which
// none waits is the end.
func (p *Proxy) acceptBacklog(end time.Time) {
	p.descriptors.setWaitDeadline(end)
	for drainUntil := time.Now().Add(backlogDrainTime); time.Now().Before(end); {
		if !p.descriptors.acquireForClient() {
			return
		}
		timeout := backlogAcceptTimeout // not begun before there is a descriptor
		if time.Now().After(drainUntil) {
			timeout = backlogFinalAcceptTimeout
		}
		p.listener.SetDeadline(time.Now().Add(timeout))
		if p.acceptEnded(p.acceptWithDescriptor()) {
			return
		}
	}
}

// acceptOver tells whether an accept's error, if there is one, says that the listener is
// closed or that nobody came in time. Others are those of one connection, or of the
// moment: they are logged, and waited out where the next accept would meet them, too.
func (p *Proxy) acceptEnded(err error) bool {
	meaning := neterror.Of(neterror.Accept, err)
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
