// Package admin is the operators' door: one more address, one line to a connection,
// one answer. It takes nothing that requests need but the processor: its descriptors
// are set aside, its callers are few, and each has little time and one short line.
package admin

import (
	"bytes"
	"container/list"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"strings"
	"sync"
	"time"
)

// Handler is what the calls act on. An error's text is what the operator reads.
type Handler interface {
	Ping() error
	// Info returns the figures, a line each.
	Info() string
	// Detach returns once nothing new goes to the backend, Attach once it may.
	Detach(id string) error
	Attach(id string) error
}

const (
	mostCallers   = 8
	maxLine       = 512             // the longest call, its line's end included
	silence       = 2 * time.Second // from the accept to a whole line
	writeLimit    = 2 * time.Second
	acceptBackoff = 5 * time.Millisecond

	// After an answer as much is read of what a caller still sends, for as long:
	// closing on it would take the answer back.
	restMost  = 64 << 10
	restLimit = 100 * time.Millisecond
)

// MaxDescriptors is how many the door ever holds: the listener, its callers, and one
// that has just been accepted.
const MaxDescriptors = mostCallers + 2

// Server is an open door.
type Server struct {
	to    Handler
	ln    net.Listener
	tasks sync.WaitGroup

	mu      sync.Mutex
	callers *list.List // of net.Conn, oldest first
	closed  bool
}

// Listen listens at addr and answers calls until Close.
func Listen(addr string, to Handler) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	d := &Server{to: to, ln: ln, callers: list.New()}
	d.tasks.Go(d.accept)
	return d, nil
}

// Addr is where the door listens.
func (d *Server) Addr() net.Addr { return d.ln.Addr() }

// Close ends the door and all calls under way.
func (d *Server) Close() {
	d.ln.Close()
	d.mu.Lock()
	d.closed = true
	for e := d.callers.Front(); e != nil; e = e.Next() {
		e.Value.(net.Conn).Close()
	}
	d.mu.Unlock()
	d.tasks.Wait()
}

func (d *Server) accept() {
	for {
		c, err := d.ln.Accept()
		switch {
		case err == nil:
			d.admit(c)
		case errors.Is(err, net.ErrClosed):
			return
		default:
			log.Printf("event=admin_accept_failed err=%q", err)
			time.Sleep(acceptBackoff)
		}
	}
}

// admit takes a caller in. Where there are too many, the oldest leaves: guards
// against silent ones that keep all others out. A call takes some milliseconds at most.
func (d *Server) admit(c net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		c.Close()
		return
	}
	if d.callers.Len() >= mostCallers {
		oldest := d.callers.Front()
		oldest.Value.(net.Conn).Close()
		d.callers.Remove(oldest)
	}
	place := d.callers.PushBack(c)
	d.tasks.Go(func() {
		d.serve(c)
		c.Close()
		d.mu.Lock()
		d.callers.Remove(place) // does nothing where it has been removed
		d.mu.Unlock()
	})
}

// serve takes one call.
func (d *Server) serve(c net.Conn) {
	c.SetReadDeadline(time.Now().Add(silence))
	line, err := readLine(c)
	if err != nil && !errors.Is(err, errLine) {
		return // it left, was silent, or made room: nobody waits for an answer
	}
	answer := ""
	if err != nil {
		answer = failure(err)
	} else {
		answer = d.call(line)
	}
	c.SetWriteDeadline(time.Now().Add(writeLimit))
	if _, err := io.WriteString(c, answer); err != nil {
		return
	}
	if t, ok := c.(*net.TCPConn); ok && t.CloseWrite() == nil {
		c.SetReadDeadline(time.Now().Add(restLimit))
		io.CopyN(io.Discard, c, restMost)
	}
}

var errLine = errors.New("not one line of 512 bytes at most")

// readLine reads up to the first line's end.
func readLine(r io.Reader) (string, error) {
	buf := make([]byte, 0, maxLine)
	for {
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if i := bytes.IndexByte(buf, '\n'); i >= 0 {
			return strings.TrimSuffix(string(buf[:i]), "\r"), nil
		}
		switch {
		case len(buf) == cap(buf), errors.Is(err, io.EOF) && len(buf) > 0:
			return "", errLine
		case err != nil:
			return "", err
		}
	}
}

// call carries out one call and words its answer.
func (d *Server) call(line string) string {
	words := strings.Split(line, " ")
	word, args := words[0], words[1:]
	takesID := word == "DETACH" || word == "ATTACH"
	switch {
	case word != "PING" && word != "INFO" && !takesID:
		return failure(errors.New("unknown call; PING, INFO, DETACH ID, ATTACH ID"))
	case !takesID && len(args) > 0:
		return failure(errors.New(word + " takes no word"))
	case takesID && (len(args) != 1 || args[0] == ""):
		return failure(errors.New(word + " takes one id"))
	}
	var err error
	switch word {
	case "PING":
		err = d.to.Ping()
	case "INFO":
		return d.to.Info() + "END\n"
	case "DETACH":
		err = d.to.Detach(args[0])
	case "ATTACH":
		err = d.to.Attach(args[0])
	}
	if err != nil {
		return failure(err)
	}
	return "OK\n"
}

// failure is an answer of one line, whatever the error says.
func failure(err error) string {
	return "ERR " + strings.NewReplacer("\n", " ", "\r", " ").Replace(err.Error()) + "\n"
}
