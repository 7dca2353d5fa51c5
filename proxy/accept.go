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
	acceptBackoff  = 5 * time.Millisecond
	acceptLogEvery = time.Second // a flood of failures must not cost a line each
	restEach       = 5 * time.Millisecond
	restLeast      = time.Millisecond
	restMost       = 100 * time.Millisecond
)

// listener is what a proxy asks of its listening socket.
type listener interface {
	net.Listener
	syscall.Conn
	SetDeadline(t time.Time) error
}

// inherited is the listener at a descriptor that the platform has left to us.
func inherited(fd int) (listener, error) {
	// Looked at first: a descriptor that is none may be one of the runtime's own.
	listens, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err != nil {
		return nil, fmt.Errorf("%s: descriptor %d: %w", listenFD, fd, err)
	}
	if listens == 0 {
		return nil, fmt.Errorf("%s: descriptor %d: not a listening socket", listenFD, fd)
	}
	f := os.NewFile(uintptr(fd), "listener")
	defer f.Close()
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("%s: descriptor %d: %w", listenFD, fd, err)
	}
	t, ok := ln.(*net.TCPListener)
	if !ok {
		ln.Close()
		return nil, fmt.Errorf("%s: descriptor %d: not a TCP socket", listenFD, fd)
	}
	return t, nil
}

// neverBlocks makes sure that an inherited listener does not block: the flag is shared
// by all processes that hold the socket, and starting another one may clear it. An
// accept that lost its connection to another process would then be caught in the
// kernel, past any deadline.
func (p *Proxy) neverBlocks() {
	if p.cfg.ListenFD == 0 {
		return
	}
	if raw, err := p.listener.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.SetNonblock(int(fd), true) })
	}
}

// accept takes connections until the listener's deadline or its end.
func (p *Proxy) accept() error {
	for {
		if err := p.acceptOne(); p.acceptOver(err) {
			return err
		}
	}
}

func (p *Proxy) acceptOne() error {
	if !p.sockets.wait() {
		return os.ErrDeadlineExceeded
	}
	return p.acceptNow()
}

// acceptNow takes one connection, for which there is a descriptor.
func (p *Proxy) acceptNow() error {
	p.neverBlocks()
	var nc net.Conn
	err := faults.Inject("accept")
	if err == nil {
		nc, err = p.listener.Accept()
	}
	if err != nil {
		p.sockets.leave()
		return err
	}
	p.clients.add()
	go p.serve(&client{conn: http1.NewConn(nc), since: time.Now()})
	return nil
}

// acceptRest takes the connections that the kernel had accepted when the grace
// was over, until none is left. Guards against closing on them: what was sent on one would
// be lost. Where no descriptor is left they wait for one, past the answers that the end
// brings, if need be. Callers may go on coming: after restMost the first moment in which
// none waits is the end.
func (p *Proxy) acceptRest(end time.Time) {
	p.sockets.waitUntil(end)
	for few := time.Now().Add(restMost); time.Now().Before(end); {
		if !p.sockets.wait() {
			return
		}
		each := restEach // not begun before there is a descriptor
		if time.Now().After(few) {
			each = restLeast
		}
		p.listener.SetDeadline(time.Now().Add(each))
		if p.acceptOver(p.acceptNow()) {
			return
		}
	}
}

// acceptOver tells whether an accept's error, if there is one, says that the listener is
// closed or that nobody came in time. Others are those of one connection, or of the
// moment: they are logged, and waited out where the next accept would meet them, too.
func (p *Proxy) acceptOver(err error) bool {
	meaning := neterror.Classify(neterror.Accept, err)
	switch meaning {
	case neterror.None, neterror.Interrupted:
		return false
	case neterror.Deadline, neterror.Closed:
		return true
	}
	if leftOut, ok := p.acceptLog.Allow(); ok {
		log.Printf("event=accept_failed meaning=%s left_out=%d err=%q", meaning, leftOut, err)
	}
	if !meaning.Broken() {
		time.Sleep(acceptBackoff)
	}
	return false
}
