// Package neterror says what an error of a socket call means, and is the one place that
// does: net.Error's Timeout is also true of errnos (ETIMEDOUT, EAGAIN) that are no deadline
// of this process, and the same errno means different things to different calls. The
// errnos are those that accept(2), connect(2), socket(2), tcp(7) and ip(7) document.
package neterror

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// Call is the kind of call that failed.
type Call int

// The calls. Dial stands for socket(2) and connect(2), Read for the waits for a read, too.
const (
	Accept Call = iota
	Dial
	Read
	Write
)

// Meaning is what an error says.
type Meaning int

// The meanings.
const (
	None        Meaning = iota // no error
	Deadline                   // a deadline that this process has set is over
	Canceled                   // this process has given the call up
	Closed                     // this process has closed the socket
	Ended                      // the peer has ended its side in order
	Refused                    // nobody listens at the address
	Reset                      // the connection was ended by the peer, out of order
	Lost                       // the network gave the connection, or the way to the peer, up
	Local                      // this machine or process lacks something: it says nothing of the peer
	Interrupted                // nothing has happened: the call can be made again
	Unknown                    // anything else
)

var meanings = [...]string{
	"none", "deadline", "canceled", "closed", "ended", "refused", "reset", "lost", "local", "interrupted", "unknown",
}

// String is the meaning's word in the log.
func (m Meaning) String() string { return meanings[m] }

// Broken tells whether a connection is of no further use, and did not end in order.
func (m Meaning) Broken() bool { return m == Reset || m == Lost }

// byCall has the errnos of each call. Those of accept(2) for a connection that has just come
// are that connection's alone: the listener goes on.
var byCall = [...]map[syscall.Errno]Meaning{
	Accept: {
		syscall.ECONNABORTED: Reset,
		syscall.ECONNRESET:   Reset,
		syscall.EPROTO:       Reset,
		syscall.EPERM:        Reset, // a firewall's word on one connection
		syscall.EOPNOTSUPP:   Reset,
		syscall.ENOPROTOOPT:  Reset,
		syscall.ETIMEDOUT:    Lost,
		syscall.EHOSTUNREACH: Lost,
		syscall.EHOSTDOWN:    Lost,
		syscall.ENETUNREACH:  Lost,
		syscall.ENETDOWN:     Lost,
		syscall.ENONET:       Lost,
		syscall.EMFILE:       Local,
		syscall.ENFILE:       Local,
		syscall.ENOBUFS:      Local,
		syscall.ENOMEM:       Local,
		syscall.EAGAIN:       Interrupted,
		syscall.EINTR:        Interrupted,
	},
	Dial: {
		syscall.ECONNREFUSED:  Refused,
		syscall.ECONNRESET:    Reset,
		syscall.ECONNABORTED:  Reset,
		syscall.ETIMEDOUT:     Lost,
		syscall.EHOSTUNREACH:  Lost,
		syscall.EHOSTDOWN:     Lost,
		syscall.ENETUNREACH:   Local, // no route from here
		syscall.ENETDOWN:      Local,
		syscall.EADDRNOTAVAIL: Local, // no free local port
		syscall.EADDRINUSE:    Local,
		syscall.EAGAIN:        Local, // connect(2): no free local port, or no room for routes
		syscall.EMFILE:        Local,
		syscall.ENFILE:        Local,
		syscall.ENOBUFS:       Local,
		syscall.ENOMEM:        Local,
		syscall.EACCES:        Local, // a rule of this machine
		syscall.EPERM:         Local,
		syscall.EINTR:         Interrupted,
	},
	Read:  established,
	Write: established,
}

// established has the errnos of a connection that stands. The runtime's poller waits out
// EAGAIN and EINTR: one that comes through all the same leaves nothing to go on with.
var established = map[syscall.Errno]Meaning{
	syscall.ECONNRESET:   Reset,
	syscall.ECONNABORTED: Reset,
	syscall.ECONNREFUSED: Reset,
	syscall.EPIPE:        Reset,
	syscall.ENOTCONN:     Reset,
	syscall.ETIMEDOUT:    Lost,
	syscall.EHOSTUNREACH: Lost,
	syscall.EHOSTDOWN:    Lost,
	syscall.ENETUNREACH:  Lost,
	syscall.ENETDOWN:     Lost,
	syscall.ENETRESET:    Lost,
	syscall.ENOBUFS:      Lost,
	syscall.ENOMEM:       Lost,
	syscall.EAGAIN:       Lost,
	syscall.EINTR:        Lost,
}

// Of says what an error of a call means.
func Of(call Call, err error) Meaning {
	var errno syscall.Errno
	switch {
	case err == nil:
		return None
	case errors.As(err, &errno):
		if m, ok := byCall[call][errno]; ok {
			return m
		}
		return Unknown
	case IsDeadline(err):
		return Deadline
	case errors.Is(err, context.Canceled):
		return Canceled
	case errors.Is(err, net.ErrClosed):
		return Closed
	case errors.Is(err, io.EOF):
		return Ended
	}
	return Unknown
}

// IsDeadline tells whether a deadline that this process has set is over: of a connection,
// or of a dial, which the net package words differently.
func IsDeadline(err error) bool {
	var errno syscall.Errno
	if errors.As(err, &errno) {
		return false
	}
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded)
}
