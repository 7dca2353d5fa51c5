package proxy

import (
	"maps"
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

// panickingConn is a connection whose first write panics.
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

// panickingListener makes the first accepted connection a panickingConn.
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

// A panic during one request affects that request alone: it is answered, counted, and
// leaks nothing. All others are still served.
func TestPanicInRequest(t *testing.T) {
	b := standin.NewBackend(t, standin.Echo)
	p := listenProxy(t, standin.ListJSON(1, true, standin.TargetJSON("s-1", b.Addr())), "127.0.0.1:1")
	p.cfg.Grace = time.Millisecond
	p.listener = &panickingListener{listener: p.listener}
	defer startProxy(t, p)()
	if code, _ := sendRequest(t, dialProxy(t, p), "get", 2000); code != http.StatusBadGateway {
		t.Errorf("the request that met the panic: %d", code)
	}
	if code, _ := sendRequest(t, dialProxy(t, p), "get", 2000); code != http.StatusOK {
		t.Errorf("the next request: %d", code)
	}
	eventually(t, "release of all state", func() bool {
		p.driver.mu.Lock()
		defer p.driver.mu.Unlock()
		return len(p.driver.requests) == 0 && len(p.driver.openIDs) == 0
	})
}

// A detachment that could not be written is written once that is possible, and a process
// that starts afterwards knows of it.
func TestDetachmentWrittenLater(t *testing.T) {
	dir := t.TempDir()
	s := openTestState(t, dir)
	blocker := filepath.Join(s.files.detachedPath, "in the way") // makes the rename fail
	if err := os.MkdirAll(blocker, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := s.change("s-1", true); err == nil {
		t.Fatal("written onto a directory")
	}
	if got := s.current().detached; !maps.Equal(got, map[string]bool{"s-1": true}) {
		t.Errorf("the detachment does not apply here: detached %v", got)
	}
	if err := os.RemoveAll(s.files.detachedPath); err != nil {
		t.Fatal(err)
	}
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until) && !openTestState(t, dir).isDetached("s-1"); {
		s.retry()
		time.Sleep(20 * time.Millisecond)
	}
	if !openTestState(t, dir).isDetached("s-1") {
		t.Error("a process that starts later does not know of the detachment")
	}
}

// isDetached reports whether a state that has just been opened has a backend detached.
func (s *sharedState) isDetached(id string) bool {
	defer s.close()
	return s.current().detached[id]
}

// Files of a process that was killed during a write are removed by the next one, and the
// detachments of the last complete write apply.
func TestPartialWriteOfDetachments(t *testing.T) {
	dir := t.TempDir()
	s := openTestState(t, dir)
	if err := s.change("s-1", true); err != nil {
		t.Fatal(err)
	}
	partial := s.files.detachedPath + ".new123"
	if err := os.WriteFile(partial, []byte(`["s-1","s-`), 0o600); err != nil {
		t.Fatal(err)
	}
	s.close()
	next := openTestState(t, dir)
	defer next.close()
	if !next.current().detached["s-1"] {
		t.Error("the detachment is lost")
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

// The descriptor budget is at most what the process may open, whatever the configuration
// says. Otherwise accepts and dials would fail with EMFILE.
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
	p := listenProxy(t, standin.ListJSON(1, true), "127.0.0.1:1") // its configuration says 256
	defer p.listener.Close()
	defer p.shared.close()
	if limit := p.descriptors.limit; limit > allowed-reservedDescriptors {
		t.Errorf("a budget of %d connections with %d descriptors allowed", limit, allowed)
	}
}
