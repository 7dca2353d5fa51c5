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

// Kind is what an error says.
type Kind int

// The meanings.
const (
	None           Kind = iota // no error
	Deadline                   // a deadline that this process has set is over
	Canceled                   // this process has given the call up
	Closed                     // this process has closed the socket
	PeerClosed                 // the peer has ended its side in order
	Refused                    // nobody listens at the address
	Reset                      // the connection was ended by the peer, out of order
	NetworkFailure             // the network gave the connection, or the way to the peer, up
	LocalFailure               // this machine or process lacks something: it says nothing of the peer
	Interrupted                // nothing has happened: the call can be made again
	Unknown                    // anything else
)

var meanings = [...]string{
	"none", "deadline", "canceled", "closed", "ended", "refused", "reset", "lost", "local", "interrupted", "unknown",
}

// String is the meaning's word in the log.
func (m Kind) String() string { return meanings[m] }

// Broken tells whether a connection is of no further use, and did not end in order.
func (m Kind) Broken() bool { return m == Reset || m == NetworkFailure }

// byCall has the errnos of each call. Those of accept(2) for a connection that has just come
// are that connection's alone: the listener goes on.
var byCall = [...]map[syscall.Errno]Kind{
	Accept: {
		syscall.ECONNABORTED: Reset,
		syscall.ECONNRESET:   Reset,
		syscall.EPROTO:       Reset,
		syscall.EPERM:        Reset, // a firewall's word on one connection
		syscall.EOPNOTSUPP:   Reset,
		syscall.ENOPROTOOPT:  Reset,
		syscall.ETIMEDOUT:    NetworkFailure,
		syscall.EHOSTUNREACH: NetworkFailure,
		syscall.EHOSTDOWN:    NetworkFailure,
		syscall.ENETUNREACH:  NetworkFailure,
		syscall.ENETDOWN:     NetworkFailure,
		syscall.ENONET:       NetworkFailure,
		syscall.EMFILE:       LocalFailure,
		syscall.ENFILE:       LocalFailure,
		syscall.ENOBUFS:      LocalFailure,
		syscall.ENOMEM:       LocalFailure,
		syscall.EAGAIN:       Interrupted,
		syscall.EINTR:        Interrupted,
	},
	Dial: {
		syscall.ECONNREFUSED:  Refused,
		syscall.ECONNRESET:    Reset,
		syscall.ECONNABORTED:  Reset,
		syscall.ETIMEDOUT:     NetworkFailure,
		syscall.EHOSTUNREACH:  NetworkFailure,
		syscall.EHOSTDOWN:     NetworkFailure,
		syscall.ENETUNREACH:   LocalFailure, // no route from here
		syscall.ENETDOWN:      LocalFailure,
		syscall.EADDRNOTAVAIL: LocalFailure, // no free local port
		syscall.EADDRINUSE:    LocalFailure,
		syscall.EAGAIN:        LocalFailure, // connect(2): no free local port, or no room for routes
		syscall.EMFILE:        LocalFailure,
		syscall.ENFILE:        LocalFailure,
		syscall.ENOBUFS:       LocalFailure,
		syscall.ENOMEM:        LocalFailure,
		syscall.EACCES:        LocalFailure, // a rule of this machine
		syscall.EPERM:         LocalFailure,
		syscall.EINTR:         Interrupted,
	},
	Read:  established,
	Write: established,
}

// established has the errnos of a connection that stands. The runtime's poller waits out
// EAGAIN and EINTR: one that comes through all the same leaves nothing to go on with.
var established = map[syscall.Errno]Kind{
	syscall.ECONNRESET:   Reset,
	syscall.ECONNABORTED: Reset,
	syscall.ECONNREFUSED: Reset,
	syscall.EPIPE:        Reset,
	syscall.ENOTCONN:     Reset,
	syscall.ETIMEDOUT:    NetworkFailure,
	syscall.EHOSTUNREACH: NetworkFailure,
	syscall.EHOSTDOWN:    NetworkFailure,
	syscall.ENETUNREACH:  NetworkFailure,
	syscall.ENETDOWN:     NetworkFailure,
	syscall.ENETRESET:    NetworkFailure,
	syscall.ENOBUFS:      NetworkFailure,
	syscall.ENOMEM:       NetworkFailure,
	syscall.EAGAIN:       NetworkFailure,
	syscall.EINTR:        NetworkFailure,
}

// Classify says what an error of a call means.
func Classify(call Call, err error) Kind {
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
		return PeerClosed
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
