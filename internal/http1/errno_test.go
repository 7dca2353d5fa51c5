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

// brokenConn is a connection that a read finds broken, as the kernel tells it: what came,
// then the errno once, then an end.
type brokenConn struct {
	*net.TCPConn
	came  string
	errno syscall.Errno
	told  bool
}

func (c *brokenConn) Read(b []byte) (int, error) {
	if c.came != "" {
		n := copy(b, c.came)
		c.came = c.came[n:]
		return n, nil
	}
	if !c.told {
		c.told = true
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", c.errno)}
	}
	return 0, io.EOF
}

func (c *brokenConn) SyscallConn() (syscall.RawConn, error) { return nil, os.ErrInvalid }

// brokenErrnos are how a connection's end is told by read(2) where the peer has not ended
// it in order. Two of them answer true to net.Error's Timeout.
var brokenErrnos = []syscall.Errno{
	syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH,
	syscall.EPIPE, syscall.ECONNABORTED, syscall.EAGAIN, syscall.ENETDOWN,
}

// An errno of the connection is no deadline of ours: an answer without a length that breaks
// is not whole, and a client whose connection breaks has gone.
func TestErrnoIsNoDeadline(t *testing.T) {
	for _, errno := range brokenErrnos {
		t.Run(errno.Error(), func(t *testing.T) {
			plain, _ := tcp(t)
			socket := plain.Conn.(*net.TCPConn)
			broken := &brokenConn{TCPConn: socket, came: "HTTP/1.1 200 OK\r\n\r\nhalf an ans", errno: errno}
			_, body, rest, err := NewConn(broken).ReadResponse(context.Background(), time.Now().Add(10*time.Second))
			if err == nil {
				t.Errorf("a broken answer was taken for a whole one, or its first part: %q, rest %v", body, rest != nil)
			}

			gone := make(chan bool, 2)
			client := NewConn(&brokenConn{TCPConn: socket, errno: errno})
			client.WatchPeer(func() { gone <- true }, func() { gone <- false })
			<-client.watchDone
			select {
			case left := <-gone:
				if !left {
					t.Error("a broken connection was taken for a request ahead")
				}
			default:
				t.Error("a client whose connection broke was not told to have gone")
			}
		})
	}
}

// What is a deadline of ours is still told as one.
func TestDeadlineIsTold(t *testing.T) {
	c, _ := tcp(t)
	c.SetReadDeadline(time.Now().Add(-time.Second))
	_, err := c.Read(make([]byte, 1))
	if !neterror.IsDeadline(err) {
		t.Errorf("%v is not told as a deadline", err)
	}
}
