package admin

import (
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// recordingHandler records the commands that it gets.
type recordingHandler struct {
	mu       sync.Mutex
	commands []string
}

func (h *recordingHandler) record(command string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.commands = append(h.commands, command)
	if strings.Contains(command, "nobody") {
		return errors.New("two\nlines\r\n")
	}
	return nil
}

func (h *recordingHandler) Ping() error            { return h.record("ping") }
func (h *recordingHandler) Info() string           { h.record("info"); return "a 1\nb 2\n" }
func (h *recordingHandler) Detach(id string) error { return h.record("detach " + id) }
func (h *recordingHandler) Attach(id string) error { return h.record("attach " + id) }

func newServer(t *testing.T) (*Server, *recordingHandler) {
	t.Helper()
	h := &recordingHandler{}
	s, err := Listen("127.0.0.1:0", h)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, h
}

func dial(t *testing.T, s *Server) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c.(*net.TCPConn)
}

func ask(t *testing.T, s *Server, text string) string {
	t.Helper()
	c := dial(t, s)
	io.WriteString(c, text)
	got, _ := io.ReadAll(c)
	return string(got)
}

func TestCommands(t *testing.T) {
	long := strings.Repeat("x", 600)
	for _, c := range []struct{ text, want, command string }{
		{"PING\n", "OK\n", "ping"},
		{"PING\r\n", "OK\n", "ping"},
		{"INFO\n", "a 1\nb 2\nEND\n", "info"},
		{"DETACH s-1\n", "OK\n", "detach s-1"},
		{"ATTACH s-1\n", "OK\n", "attach s-1"},
		{"DETACH nobody\n", "ERR two lines  \n", "detach nobody"},
		{"PING\nDETACH s-1\n", "OK\n", "ping"},
		{"DETACH\n", "ERR", ""},
		{"DETACH \n", "ERR", ""},
		{"DETACH a b\n", "ERR", ""},
		{"PING now\n", "ERR", ""},
		{"ping\n", "ERR", ""},
		{"DROP s-1\n", "ERR", ""},
		{"\n", "ERR", ""},
		{" PING\n", "ERR", ""},
		{"\x00\xff\xfe\n", "ERR", ""},
		{"GET / HTTP/1.1\r\nHost: x\r\n\r\n", "ERR", ""},
		{"DETACH " + long + "\n", "ERR", ""},
		{strings.Repeat(long, 500), "ERR", ""}, // no line end at all
	} {
		s, h := newServer(t)
		got := ask(t, s, c.text)
		if exact := c.want != "ERR"; exact && got != c.want ||
			!exact && (!strings.HasPrefix(got, "ERR ") || strings.Count(got, "\n") != 1 || !strings.HasSuffix(got, "\n")) {
			t.Errorf("%.20q: got %q", c.text, got)
		}
		if commands := strings.Join(h.commands, ","); commands != c.command {
			t.Errorf("%.20q: got commands %q", c.text, commands)
		}
	}
}

// A line that is cut off by the end of input is not executed.
func TestIncompleteLine(t *testing.T) {
	s, h := newServer(t)
	c := dial(t, s)
	io.WriteString(c, "DETACH s-1")
	c.CloseWrite()
	if got, _ := io.ReadAll(c); len(got) > 0 && !strings.HasPrefix(string(got), "ERR ") {
		t.Errorf("got %q", got)
	}
	dial(t, s).Close()
	if len(h.commands) > 0 {
		t.Errorf("got commands %q", h.commands)
	}
}

// Idle connections must not keep other clients out: with more of them than the server admits, it
// still answers at once, and closes the oldest ones.
func TestIdleClients(t *testing.T) {
	s, _ := newServer(t)
	var idle []net.Conn
	for range 5 * maxConns {
		idle = append(idle, dial(t, s))
	}
	start := time.Now()
	if got := ask(t, s, "PING\n"); got != "OK\n" {
		t.Errorf("got %q", got)
	}
	if took := time.Since(start); took > readTimeout/2 {
		t.Errorf("answered after %v", took)
	}
	s.mu.Lock()
	n := s.conns.Len()
	s.mu.Unlock()
	if n > maxConns {
		t.Errorf("%d connections", n)
	}
	for _, c := range idle {
		if got, err := io.ReadAll(c); err != nil && !errors.Is(err, io.EOF) && len(got) > 0 {
			t.Errorf("got %q, %v", got, err)
		}
	}
}

func TestListenFails(t *testing.T) {
	s, h := newServer(t)
	if _, err := Listen(s.Addr().String(), h); err == nil || !strings.HasPrefix(err.Error(), "admin: ") {
		t.Errorf("a second server at the same address: %v", err)
	}
}
