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

// operated notes what is called.
type operated struct {
	mu    sync.Mutex
	calls []string
}

func (o *operated) note(call string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.calls = append(o.calls, call)
	if strings.Contains(call, "nobody") {
		return errors.New("two\nlines\r\n")
	}
	return nil
}

func (o *operated) Ping() error            { return o.note("ping") }
func (o *operated) Info() string           { o.note("info"); return "a 1\nb 2\n" }
func (o *operated) Detach(id string) error { return o.note("detach " + id) }
func (o *operated) Attach(id string) error { return o.note("attach " + id) }

func open(t *testing.T) (*Server, *operated) {
	t.Helper()
	o := &operated{}
	d, err := Listen("127.0.0.1:0", o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d, o
}

func dial(t *testing.T, d *Server) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", d.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c.(*net.TCPConn)
}

func ask(t *testing.T, d *Server, text string) string {
	t.Helper()
	c := dial(t, d)
	io.WriteString(c, text)
	got, _ := io.ReadAll(c)
	return string(got)
}

func TestCalls(t *testing.T) {
	long := strings.Repeat("x", 600)
	for _, c := range []struct{ text, want, call string }{
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
		{strings.Repeat(long, 500), "ERR", ""}, // no line at all
	} {
		d, o := open(t)
		got := ask(t, d, c.text)
		if exact := c.want != "ERR"; exact && got != c.want ||
			!exact && (!strings.HasPrefix(got, "ERR ") || strings.Count(got, "\n") != 1 || !strings.HasSuffix(got, "\n")) {
			t.Errorf("%.20q: got %q", c.text, got)
		}
		if calls := strings.Join(o.calls, ","); calls != c.call {
			t.Errorf("%.20q: calls %q", c.text, calls)
		}
	}
}

// Half a line and an end is no call.
func TestHalfLine(t *testing.T) {
	d, o := open(t)
	c := dial(t, d)
	io.WriteString(c, "DETACH s-1")
	c.CloseWrite()
	if got, _ := io.ReadAll(c); len(got) > 0 && !strings.HasPrefix(string(got), "ERR ") {
		t.Errorf("got %q", got)
	}
	dial(t, d).Close()
	if len(o.calls) > 0 {
		t.Errorf("calls %q", o.calls)
	}
}

// Guards against callers that say nothing and keep others out: more of them than the
// door takes, and it still answers at once; they are closed, not kept.
func TestSilentCallers(t *testing.T) {
	d, _ := open(t)
	var silent []net.Conn
	for range 5 * mostCallers {
		silent = append(silent, dial(t, d))
	}
	start := time.Now()
	if got := ask(t, d, "PING\n"); got != "OK\n" {
		t.Errorf("got %q", got)
	}
	if took := time.Since(start); took > silence/2 {
		t.Errorf("answered after %v", took)
	}
	d.mu.Lock()
	n := d.callers.Len()
	d.mu.Unlock()
	if n > mostCallers {
		t.Errorf("%d callers", n)
	}
	for _, c := range silent {
		if got, err := io.ReadAll(c); err != nil && !errors.Is(err, io.EOF) && len(got) > 0 {
			t.Errorf("got %q, %v", got, err)
		}
	}
}

func TestOpenFails(t *testing.T) {
	d, o := open(t)
	if _, err := Listen(d.Addr().String(), o); err == nil || !strings.HasPrefix(err.Error(), "admin: ") {
		t.Errorf("a second door at one address: %v", err)
	}
}
