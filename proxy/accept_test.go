package proxy

import (
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"

	"oxbowloft/internal/standin"
)

// failingListener fails one accept with each of its errnos, then accepts as usual.
type failingListener struct {
	listener
	errnos chan syscall.Errno
}

func (l *failingListener) Accept() (net.Conn, error) {
	select {
	case errno := <-l.errnos:
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
	default:
		return l.listener.Accept()
	}
}

// accept(2) reports errors of the new connection and temporary errors. None of them may
// end the accept loop.
func TestAcceptErrno(t *testing.T) {
	errnos := []syscall.Errno{
		syscall.ETIMEDOUT, syscall.EAGAIN, syscall.ECONNABORTED, syscall.EPROTO, syscall.EHOSTUNREACH,
		syscall.ENETDOWN, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR,
		syscall.EPERM,
	}
	b := standin.NewBackend(t, standin.Echo)
	p := listenProxy(t, standin.ListJSON(1, true, standin.TargetJSON("s-1", b.Addr())), standin.FreeAddr(t))
	failing := &failingListener{listener: p.listener, errnos: make(chan syscall.Errno, len(errnos))}
	p.listener = failing
	for _, errno := range errnos {
		failing.errnos <- errno
	}
	stop := startProxy(t, p)
	defer stop()
	for range errnos {
		if code, body := sendRequest(t, dialProxy(t, p), "get", 2000); code != http.StatusOK {
			t.Fatalf("after a failed accept: %d %q", code, body)
		}
	}
}
