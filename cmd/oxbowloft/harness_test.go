package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"oxbowloft/internal/standin"
)

// The harness of this package's tests: they start the built program, with the race
// detector in it, and speak to it over sockets. Bounds on time are wide: they tell a hang
// from an answer.

// program is the path of the built program.
var program string

// TestMain builds the program with the race detector and runs the tests.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "oxbowloft")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "oxbowloft")
	if out, err := exec.Command("go", "build", "-race", "-o", program, ".").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	os.Setenv("GORACE", "atexit_sleep_ms=0") // the race detector would hold each exit for a second
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// maxWait is the longest that a test waits for any one thing.
const maxWait = 20 * time.Second

// runningProgram is a started program. It keeps what the program logs, as the writer of its
// standard output and error.
type runningProgram struct {
	t      *testing.T
	cmd    *exec.Cmd
	addr   string
	exited chan error
	waited bool // wait was called

	configPath string

	mu  sync.Mutex
	log bytes.Buffer
}

// Write takes a part of the log.
func (r *runningProgram) Write(b []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.Write(b)
}

// logText returns all that the program has logged.
func (r *runningProgram) logText() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.String()
}

// freeAddr is an address that nothing listens on: a loopback address of its own,
// so that no other test gets the port between this and the program's start.
func freeAddr(t *testing.T) string {
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254)))
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// writeConfig writes a configuration to a file that ends with the test, and returns its path.
func writeConfig(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// startProgram starts the program with a list of backends known from the startProgram, and waits until it
// listens. At the end of the test it must still run, unless the test has ended it, and must
// then exit on SIGTERM without an error.
func startProgram(t *testing.T, discovery string, sockets int, known string, args ...string) *runningProgram {
	t.Helper()
	return startWithConfig(t, standin.Config, discovery, sockets, known, args...)
}

// configFunc makes a configuration: standin.Config or standin.Mesh.
type configFunc func(listen, discovery string, sockets int, known string) string

// startWithConfig does as start, with a configuration of either shape.
func startWithConfig(t *testing.T, makeConfig configFunc, discovery string, sockets int, known string,
	args ...string) *runningProgram {
	t.Helper()
	addr := freeAddr(t)
	if len(args) == 0 {
		args = []string{"--grace", "20ms"}
	}
	cmd := exec.Command(program, append([]string{"serve"}, args...)...)
	config := writeConfig(t, makeConfig(addr, discovery, sockets, known))
	cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+config)
	r := startCommand(t, cmd, addr)
	r.configPath = config
	return r
}

// listWait is how long a test waits for a started program's first list. Where discovery is
// silent or down there is none, and the program says that it is ready before that.
const listWait = 5 * time.Second

// startCommand starts cmd and waits until it listens at addr and has a list that it may use,
// or has waited for one for long enough. At the end of the test it ends
// the program, unless the test has, and looks for data races and panics in its log.
func startCommand(t *testing.T, cmd *exec.Cmd, addr string) *runningProgram {
	t.Helper()
	r := &runningProgram{t: t, cmd: cmd, addr: addr, exited: make(chan error, 1)}
	cmd.Stdout, cmd.Stderr = r, r
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { r.exited <- cmd.Wait() }()
	t.Cleanup(func() {
		if !r.waited {
			r.signal(syscall.SIGTERM)
			if err := r.wait(); err != nil {
				t.Errorf("exit: %v", err)
			}
		}
		for _, bad := range []string{"DATA RACE", "panic"} {
			if strings.Contains(r.logText(), bad) {
				t.Errorf("%s in the log", bad)
			}
		}
		if t.Failed() {
			t.Logf("log:\n%s", r.logText())
		}
	})
	// A connection alone is no proof: another process may listen on the port meanwhile.
	r.eventually("listening", func() bool {
		if !strings.Contains(r.logText(), "event=start ") {
			return false
		}
		c, err := net.Dial("tcp", r.addr)
		if err == nil {
			c.Close()
		}
		return err == nil
	})
	for end := time.Now().Add(listWait); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if strings.Contains(r.logText(), "event=list_usable") {
			break
		}
	}
	return r
}

// startWithBackends starts the program with backends that are known from the start.
func startWithBackends(t *testing.T, backends ...*standin.Backend) *runningProgram {
	t.Helper()
	r, _ := startWithDiscovery(t, standin.Config, backends...)
	return r
}

// startWithDiscovery starts the program with a configuration of either shape. Its backends
// are known from the start, and the discovery returned has them too.
func startWithDiscovery(t *testing.T, makeConfig configFunc,
	backends ...*standin.Backend) (*runningProgram, *standin.Discovery) {
	t.Helper()
	var targets []string
	for i, b := range backends {
		targets = append(targets, standin.TargetJSON(fmt.Sprintf("s-%d", i), b.Addr()))
	}
	list := standin.ListJSON(1, true, targets...)
	d := standin.NewDiscovery(t, list)
	return startWithConfig(t, makeConfig, d.Addr(), 256, list), d
}

// signal sends the program a signal.
func (r *runningProgram) signal(s os.Signal) {
	if err := r.cmd.Process.Signal(s); err != nil {
		r.t.Fatal(err)
	}
}

// wait waits for the end of the program, and returns why it exited.
func (r *runningProgram) wait() error {
	r.t.Helper()
	r.waited = true
	select {
	case err := <-r.exited:
		return err
	case <-time.After(maxWait):
		r.cmd.Process.Kill()
		r.t.Fatalf("still runs; log:\n%s", r.logText())
	}
	return nil
}

// eventually waits until f holds; what names it where it never does.
func (r *runningProgram) eventually(what string, f func() bool) {
	r.t.Helper()
	standin.Eventually(r.t, maxWait, what, f)
}

// openSockets is how many sockets the program holds.
func (r *runningProgram) openSockets() int {
	dir := fmt.Sprintf("/proc/%d/fd", r.cmd.Process.Pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		r.t.Fatal(err)
	}
	n := 0
	for _, e := range entries {
		if to, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && strings.HasPrefix(to, "socket:") {
			n++
		}
	}
	return n
}

// newBlockingBackend starts a backend that answers each call when it is released.
func newBlockingBackend(t *testing.T) (b *standin.Backend, release chan bool) {
	release = make(chan bool)
	return standin.NewBackend(t, func(c *standin.Call) {
		<-release
		standin.Echo(c)
	}), release
}

// discoveryList is the whole list of backends as discovery gives it, named s-0, s-1 and so on.
func discoveryList(backends ...*standin.Backend) string {
	var lines []string
	for i, b := range backends {
		lines = append(lines, standin.TargetJSON(fmt.Sprintf("s-%d", i), b.Addr()))
	}
	return standin.ListJSON(1, true, lines...)
}
