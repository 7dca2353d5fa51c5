package http1

import (
	"context"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"oxbowloft/internal/neterror"
)

// brokenConn is a connection that breaks the way the kernel reports it: reads return the
// received bytes, then the errno once, then io.EOF.
type brokenConn struct {
	*net.TCPConn
	received string
	errno    syscall.Errno
	reported bool
}

func (c *brokenConn) Read(b []byte) (int, error) {
	if c.received != "" {
		n := copy(b, c.received)
		c.received = c.received[n:]
		return n, nil
	}
	if !c.reported {
		c.reported = true
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", c.errno)}
	}
	return 0, io.EOF
}

func (c *brokenConn) SyscallConn() (syscall.RawConn, error) { return nil, os.ErrInvalid }

// brokenErrnos are the errnos by which read(2) reports a broken connection. For two of them
// net.Error's Timeout returns true.
var brokenErrnos = []syscall.Errno{
	syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH,
	syscall.EPIPE, syscall.ECONNABORTED, syscall.EAGAIN, syscall.ENETDOWN,
}

// An errno of the connection is not taken for an expired deadline of this process: a
// close-delimited response whose connection breaks is not complete, and a client whose
// connection breaks is reported as gone.
func TestErrnoIsNotADeadline(t *testing.T) {
	for _, errno := range brokenErrnos {
		t.Run(errno.Error(), func(t *testing.T) {
			plain, _ := tcpPair(t)
			socket := plain.Conn.(*net.TCPConn)
			broken := &brokenConn{TCPConn: socket, received: "HTTP/1.1 200 OK\r\n\r\nhalf an ans", errno: errno}
			_, body, remaining, err := NewConn(broken).ReadResponse(context.Background(), time.Now().Add(10*time.Second))
			if err == nil {
				t.Errorf("a broken response was read as complete or as a first part: %q, remaining body %v", body, remaining != nil)
			}

			closed := make(chan bool, 2)
			client := NewConn(&brokenConn{TCPConn: socket, errno: errno})
			client.WatchPeer(func() { closed <- true }, func() { closed <- false })
			<-client.watchDone
			select {
			case isClosed := <-closed:
				if !isClosed {
					t.Error("a broken connection was reported as more data")
				}
			default:
				t.Error("a broken client connection was not reported as closed")
			}
		})
	}
}

// An expired deadline of this process is still recognized as one.
func TestExpiredDeadlineIsReported(t *testing.T) {
	c, _ := tcpPair(t)
	c.SetReadDeadline(time.Now().Add(-time.Second))
	_, err := c.Read(make([]byte, 1))
	if !neterror.IsDeadline(err) {
		t.Errorf("%v is not recognized as an expired deadline", err)
	}
}
