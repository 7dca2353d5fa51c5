// Package neterror classifies errors of socket calls, and is the only place that does.
// net.Error's Timeout is also true for errnos (ETIMEDOUT, EAGAIN) that are no deadline of this
// process, and the same errno means different things to different calls. The errnos are those
// that accept(2), connect(2), socket(2), tcp(7) and ip(7) document.
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

// The calls. Dial covers socket(2) and connect(2); Read includes waiting for data.
const (
	Accept Call = iota
	Dial
	Read
	Write
)

// Kind is the class of an error.
type Kind int

// The kinds of errors.
const (
	None           Kind = iota // no error
	Deadline                   // a deadline set by this process has passed
	Canceled                   // this process has cancelled the call
	Closed                     // this process has closed the socket
	PeerClosed                 // the peer has closed its side in order
	Refused                    // no process listens at the address
	Reset                      // the peer has aborted the connection
	NetworkFailure             // the network has dropped the connection or has no route to the peer
	LocalFailure               // this machine or process lacks a resource; it says nothing about the peer
	Interrupted                // the call had no effect and can be repeated
	Unknown                    // anything else
)

var kindNames = [...]string{
	"none", "deadline", "canceled", "closed", "ended", "refused", "reset", "lost", "local", "interrupted", "unknown",
}

// String returns the kind's name in the log.
func (k Kind) String() string { return kindNames[k] }

// Broken reports whether the error ended the connection other than by an orderly close.
func (k Kind) Broken() bool { return k == Reset || k == NetworkFailure }

// kindsByCall classifies the errnos of each call. Where accept(2) reports an error of a new
// connection, only that connection is lost and the listener goes on.
var kindsByCall = [...]map[syscall.Errno]Kind{
	Accept: {
		syscall.ECONNABORTED: Reset,
		syscall.ECONNRESET:   Reset,
		syscall.EPROTO:       Reset,
		syscall.EPERM:        Reset, // a firewall rejected the connection
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
		syscall.ENETUNREACH:   LocalFailure, // no route from this machine
		syscall.ENETDOWN:      LocalFailure,
		syscall.EADDRNOTAVAIL: LocalFailure, // no free local port
		syscall.EADDRINUSE:    LocalFailure,
		syscall.EAGAIN:        LocalFailure, // connect(2): no free local port, or the routing cache is full
		syscall.EMFILE:        LocalFailure,
		syscall.ENFILE:        LocalFailure,
		syscall.ENOBUFS:       LocalFailure,
		syscall.ENOMEM:        LocalFailure,
		syscall.EACCES:        LocalFailure, // a firewall rule of this machine
		syscall.EPERM:         LocalFailure,
		syscall.EINTR:         Interrupted,
	},
	Read:  established,
	Write: established,
}

// established classifies the errnos of an established connection. The runtime's poller handles
// EAGAIN and EINTR; if one is returned all the same, the connection can't be used any further.
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

// Classify returns the kind of an error of a call.
func Classify(call Call, err error) Kind {
	var errno syscall.Errno
	switch {
	case err == nil:
		return None
	case errors.As(err, &errno):
		if kind, ok := kindsByCall[call][errno]; ok {
			return kind
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

// IsDeadline reports whether a deadline set by this process has passed, either of a connection
// or of a dial, for which the net package returns another error.
func IsDeadline(err error) bool {
	var errno syscall.Errno
	if errors.As(err, &errno) {
		return false
	}
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded)
}
