package proxy

import (
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"

	"oxbowloft/internal/standin"
)

// failingListener fails an accept with each of its errnos, one after the other, then
// accepts as usual.
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

// accept(2) passes on errors of the new connection, and those of a moment: none of them
// says that the listener is of no further use.
func TestAcceptErrno(t *testing.T) {
	errnos := []syscall.Errno{
		syscall.ETIMEDOUT, syscall.EAGAIN, syscall.ECONNABORTED, syscall.EPROTO, syscall.EHOSTUNREACH,
		syscall.ENETDOWN, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR,
		syscall.EPERM,
	}
	b := standin.NewBackend(t, standin.Echo)
	p := listening(t, standin.ListJSON(1, true, standin.TargetJSON("s-1", b.Addr())), standin.FreeAddr(t))
	failing := &failingListener{listener: p.listener, errnos: make(chan syscall.Errno, len(errnos))}
	p.listener = failing
	for _, errno := range errnos {
		failing.errnos <- errno
	}
	stop := running(t, p)
	defer stop()
	for range errnos {
		if code, body := ask(t, dial(t, p), "get", 2000); code != http.StatusOK {
			t.Fatalf("after an accept that failed: %d %q", code, body)
		}
	}
}
