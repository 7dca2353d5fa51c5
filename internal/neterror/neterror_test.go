package neterror

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// wrapped is an errno as the net package returns it.
func wrapped(op, name string, errno syscall.Errno) error {
	return fmt.Errorf("call: %w", &net.OpError{Op: op, Net: "tcp", Err: os.NewSyscallError(name, errno)})
}

// Classifies the errnos that the manual pages document for each call.
func TestErrnoByCall(t *testing.T) {
	for _, row := range []struct {
		call   Call
		errnos []syscall.Errno
		want   Kind
	}{
		{Accept, []syscall.Errno{syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EPROTO, syscall.EPERM,
			syscall.EOPNOTSUPP, syscall.ENOPROTOOPT}, Reset},
		{Accept, []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.EHOSTDOWN, syscall.ENETUNREACH,
			syscall.ENETDOWN, syscall.ENONET}, NetworkFailure},
		{Accept, []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}, LocalFailure},
		{Accept, []syscall.Errno{syscall.EAGAIN, syscall.EINTR}, Interrupted},
		{Accept, []syscall.Errno{syscall.EINVAL, syscall.EBADF}, Unknown},
		{Dial, []syscall.Errno{syscall.ECONNREFUSED}, Refused},
		{Dial, []syscall.Errno{syscall.ECONNRESET, syscall.ECONNABORTED}, Reset},
		{Dial, []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.EHOSTDOWN}, NetworkFailure},
		{Dial, []syscall.Errno{syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE,
			syscall.EAGAIN, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EACCES,
			syscall.EPERM}, LocalFailure},
		{Dial, []syscall.Errno{syscall.EINTR}, Interrupted},
		{Read, []syscall.Errno{syscall.ECONNRESET, syscall.ECONNABORTED, syscall.EPIPE, syscall.ENOTCONN,
			syscall.ECONNREFUSED}, Reset},
		{Read, []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.EHOSTDOWN, syscall.ENETUNREACH,
			syscall.ENETDOWN, syscall.ENETRESET, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR}, NetworkFailure},
		{Write, []syscall.Errno{syscall.EPIPE, syscall.ECONNRESET}, Reset},
		{Write, []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENOBUFS}, NetworkFailure},
	} {
		for _, errno := range row.errnos {
			err := wrapped("op", "call", errno)
			if got := Classify(row.call, err); got != row.want {
				t.Errorf("call %d, %v: %v, want %v", row.call, errno, got, row.want)
			}
			if IsDeadline(err) {
				t.Errorf("call %d, %v: classified as a deadline", row.call, errno)
			}
		}
	}
}

// Errors other than errnos have the same kind for every call.
func TestNoErrno(t *testing.T) {
	for _, row := range []struct {
		err  error
		want Kind
	}{
		{nil, None},
		{os.ErrDeadlineExceeded, Deadline},
		{context.DeadlineExceeded, Deadline},
		{context.Canceled, Canceled},
		{net.ErrClosed, Closed},
		{io.EOF, PeerClosed},
		{errors.New("other"), Unknown},
	} {
		err := row.err
		if err != nil {
			err = &net.OpError{Op: "op", Net: "tcp", Err: row.err}
		}
		for call := Accept; call <= Write; call++ {
			if got := Classify(call, err); got != row.want {
				t.Errorf("call %d, %v: %v, want %v", call, err, got, row.want)
			}
		}
	}
}

// Classifies errors as the net package returns them.
func TestRealErrors(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.(*net.TCPListener).SetDeadline(time.Now().Add(-time.Second))
	if _, err := ln.Accept(); Classify(Accept, err) != Deadline {
		t.Errorf("accept after its deadline: %v", err)
	}
	addr := ln.Addr().String()
	ln.Close()
	if _, err := ln.Accept(); Classify(Accept, err) != Closed {
		t.Errorf("accept on a closed listener: %v", err)
	}
	if _, err := net.Dial("tcp", addr); Classify(Dial, err) != Refused {
		t.Errorf("dial to an address without a listener: %v", err)
	}
	dialer := net.Dialer{Deadline: time.Now().Add(-time.Second)}
	if _, err := dialer.Dial("tcp", addr); Classify(Dial, err) != Deadline {
		t.Errorf("dial after its deadline: %v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr); Classify(Dial, err) != Canceled {
		t.Errorf("cancelled dial: %v", err)
	}
}
