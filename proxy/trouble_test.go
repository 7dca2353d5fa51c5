package proxy

import (
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"oxbowloft/internal/standin"
)

// panicking is a connection whose first write panics.
type panickingConn struct {
	*net.TCPConn
	panicked atomic.Bool
}

func (c *panickingConn) Write(b []byte) (int, error) {
	if !c.panicked.Swap(true) {
		panic("planted")
	}
	return c.TCPConn.Write(b)
}

// panickingListener makes the first connection that it accepts a panicking one.
type panickingListener struct {
	listener
	panicked atomic.Bool
}

func (l *panickingListener) Accept() (net.Conn, error) {
	c, err := l.listener.Accept()
	if err == nil && !l.panicked.Swap(true) {
		return &panickingConn{TCPConn: c.(*net.TCPConn)}, nil
	}
	return c, err
}

// A panic on the way of one request is that request's alone: it is answered, counted, and
// leaves nothing behind; all others are served on.
func TestPanicInRequest(t *testing.T) {
	b := standin.NewBackend(t, standin.Echo)
	p := listenProxy(t, standin.List(1, true, standin.Target("s-1", b.Addr())), "127.0.0.1:1")
	p.cfg.Grace = time.Millisecond
	p.listener = &panickingListener{listener: p.listener}
	defer startProxy(t, p)()
	if code, _ := sendRequest(t, dialProxy(t, p), "get", 2000); code != http.StatusBadGateway {
		t.Errorf("the request that met the panic: %d", code)
	}
	if code, _ := sendRequest(t, dialProxy(t, p), "get", 2000); code != http.StatusOK {
		t.Errorf("the next request: %d", code)
	}
	eventually(t, "nothing left behind", func() bool {
		p.driver.mu.Lock()
		defer p.driver.mu.Unlock()
		return len(p.driver.requests) == 0 && len(p.driver.openIDs) == 0 && p.stats.openRequests.Load() == 0
	})
}

// A ban that could not be written is written once it can be, and a process that starts then
// knows of it.
func TestDetachmentWrittenLater(t *testing.T) {
	dir := t.TempDir()
	s := openTestState(t, dir)
	full := filepath.Join(s.detachedPath, "in the way") // a rename onto it fails
	if err := os.MkdirAll(full, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := s.setDetached("s-1", true); err == nil {
		t.Fatal("written onto a directory")
	}
	if out, in := s.refresh(); len(out)+len(in) > 0 || !s.detached["s-1"] {
		t.Errorf("the ban does not hold here: out %v, in %v", out, in)
	}
	if err := os.RemoveAll(s.detachedPath); err != nil {
		t.Fatal(err)
	}
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until) && !openTestState(t, dir).isDetached("s-1"); {
		s.refresh()
		time.Sleep(20 * time.Millisecond)
	}
	if !openTestState(t, dir).isDetached("s-1") {
		t.Error("a process that starts later does not know of the ban")
	}
}

// hasBan tells whether a state that has just been opened knows of a ban.
func (s *sharedState) isDetached(id string) bool {
	s.refresh()
	defer s.close()
	return s.detached[id]
}

// What a process that was killed in the middle of a write left behind is cleared away by
// the next, and the bans of the last whole write hold.
func TestPartialWriteOfDetachments(t *testing.T) {
	dir := t.TempDir()
	s := openTestState(t, dir)
	if err := s.setDetached("s-1", true); err != nil {
		t.Fatal(err)
	}
	half := s.detachedPath + ".new123"
	if err := os.WriteFile(half, []byte(`["s-1","s-`), 0o600); err != nil {
		t.Fatal(err)
	}
	s.close()
	next := openTestState(t, dir)
	defer next.close()
	next.refresh()
	if !next.detached["s-1"] {
		t.Error("the ban is lost")
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		if strings.Contains(e.Name(), ".new") {
			t.Errorf("%s is still there", e.Name())
		}
	}
}

// The budget of descriptors is no larger than what the process may open, whatever the
// configuration says: guards against accepts and dials that fail by EMFILE.
func TestBudgetWithinRlimit(t *testing.T) {
	var previous syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &previous); err != nil {
		t.Fatal(err)
	}
	const allowed = 120
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: allowed, Max: previous.Max}); err != nil {
		t.Fatal(err)
	}
	defer syscall.Setrlimit(syscall.RLIMIT_NOFILE, &previous)
	p := listenProxy(t, standin.List(1, true), "127.0.0.1:1") // its configuration says 256
	defer p.listener.Close()
	defer p.shared.close()
	if limit := p.descriptors.limit; limit > allowed-reservedDescriptors {
		t.Errorf("%d connections at a time with %d descriptors allowed", limit, allowed)
	}
}
