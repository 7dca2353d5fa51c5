// Package admin is the admin endpoint for operators. It listens at an address of its own and
// answers one command line per connection. It competes with requests for the processor alone:
// its file descriptors are reserved, its connections are few, and each has little time and one
// short line.
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

// Handler carries out the commands. The operator gets the text of its errors.
type Handler interface {
	Ping() error
	// Info returns the figures, one per line.
	Info() string
	// Detach returns once no new request goes to the backend, Attach once requests may.
	Detach(id string) error
	Attach(id string) error
}

const (
	maxConns      = 8               // at a time
	maxLine       = 512             // longest command in bytes, including the line end
	readTimeout   = 2 * time.Second // from the accept to a complete line
	writeTimeout  = 2 * time.Second
	acceptBackoff = 5 * time.Millisecond // after a failed accept

	// Limits of the lingering close: after the answer, data that the client still sends is
	// read up to lingerBytes and for lingerTime. Closing the connection with unread data
	// would reset it, and the client could lose the answer.
	lingerBytes = 64 << 10
	lingerTime  = 100 * time.Millisecond
)

// MaxDescriptors is the largest number of file descriptors that the server holds: the listener,
// its connections, and one that has just been accepted.
const MaxDescriptors = maxConns + 2

// Server is a listening admin endpoint.
type Server struct {
	handler Handler
	ln      net.Listener
	tasks   sync.WaitGroup

	mu     sync.Mutex
	conns  *list.List // of net.Conn, oldest first
	closed bool
}

// Listen listens at addr and answers commands until Close.
func Listen(addr string, handler Handler) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	s := &Server{handler: handler, ln: ln, conns: list.New()}
	s.tasks.Go(s.accept)
	return s, nil
}

// Addr returns the address at which the server listens.
func (s *Server) Addr() net.Addr { return s.ln.Addr() }

// Close closes the listener and all connections, and waits for their goroutines.
func (s *Server) Close() {
	s.ln.Close()
	s.mu.Lock()
	s.closed = true
	for e := s.conns.Front(); e != nil; e = e.Next() {
		e.Value.(net.Conn).Close()
	}
	s.mu.Unlock()
	s.tasks.Wait()
}

func (s *Server) accept() {
	for {
		c, err := s.ln.Accept()
		switch {
		case err == nil:
			s.admit(c)
		case errors.Is(err, net.ErrClosed):
			return
		default:
			log.Printf("event=admin_accept_failed err=%q", err)
			time.Sleep(acceptBackoff)
		}
	}
}

// admit serves a new connection. At maxConns it closes the oldest one first, so that idle
// clients can't keep others out. A command takes a few milliseconds at most.
func (s *Server) admit(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		c.Close()
		return
	}
	if s.conns.Len() >= maxConns {
		oldest := s.conns.Front()
		oldest.Value.(net.Conn).Close()
		s.conns.Remove(oldest)
	}
	element := s.conns.PushBack(c)
	s.tasks.Go(func() {
		s.serve(c)
		c.Close()
		s.mu.Lock()
		s.conns.Remove(element) // has no effect if it was removed before
		s.mu.Unlock()
	})
}

// serve answers one command.
func (s *Server) serve(c net.Conn) {
	c.SetReadDeadline(time.Now().Add(readTimeout))
	line, err := readLine(c)
	if err != nil && !errors.Is(err, errBadLine) {
		return // the client closed or timed out, or its connection was closed for a newer one
	}
	answer := ""
	if err != nil {
		answer = errorLine(err)
	} else {
		answer = s.execute(line)
	}
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := io.WriteString(c, answer); err != nil {
		return
	}
	if t, ok := c.(*net.TCPConn); ok && t.CloseWrite() == nil {
		c.SetReadDeadline(time.Now().Add(lingerTime))
		io.CopyN(io.Discard, c, lingerBytes)
	}
}

var errBadLine = errors.New("not one line of 512 bytes at most")

// readLine reads the first line, without its line end.
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
			return "", errBadLine
		case err != nil:
			return "", err
		}
	}
}

// execute carries out one command and returns the answer.
func (s *Server) execute(line string) string {
	words := strings.Split(line, " ")
	command, args := words[0], words[1:]
	takesID := command == "DETACH" || command == "ATTACH"
	switch {
	case command != "PING" && command != "INFO" && !takesID:
		return errorLine(errors.New("unknown call; PING, INFO, DETACH ID, ATTACH ID"))
	case !takesID && len(args) > 0:
		return errorLine(errors.New(command + " takes no word"))
	case takesID && (len(args) != 1 || args[0] == ""):
		return errorLine(errors.New(command + " takes one id"))
	}
	var err error
	switch command {
	case "PING":
		err = s.handler.Ping()
	case "INFO":
		return s.handler.Info() + "END\n"
	case "DETACH":
		err = s.handler.Detach(args[0])
	case "ATTACH":
		err = s.handler.Attach(args[0])
	}
	if err != nil {
		return errorLine(err)
	}
	return "OK\n"
}

// errorLine returns the answer for an error, on one line whatever its text.
func errorLine(err error) string {
	return "ERR " + strings.NewReplacer("\n", " ", "\r", " ").Replace(err.Error()) + "\n"
}
