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

var program string

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

const patience = 20 * time.Second

// running is a started program.
type running struct {
	t    *testing.T
	cmd  *exec.Cmd
	addr string
	dead chan error
	over bool // waited for

	config string // its file

	mu  sync.Mutex
	log bytes.Buffer
}

func (r *running) Write(b []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.Write(b)
}

func (r *running) text() string {
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

func writeConfig(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// start starts the program with a known list and waits until it is ready. At
// the end of the test it must still run, unless the test has ended it, and must
// then end on SIGTERM without a complaint.
func start(t *testing.T, discovery string, sockets int, known string, args ...string) *running {
	t.Helper()
	return startAs(t, standin.Config, discovery, sockets, known, args...)
}

// configure is how a configuration is made: standin.Config or standin.Mesh.
type configure func(listen, discovery string, sockets int, known string) string

// startAs is start with a configuration of either shape.
func startAs(t *testing.T, shape configure, discovery string, sockets int, known string, args ...string) *running {
	t.Helper()
	addr := freeAddr(t)
	if len(args) == 0 {
		args = []string{"--grace", "20ms"}
	}
	cmd := exec.Command(program, append([]string{"serve"}, args...)...)
	config := writeConfig(t, shape(addr, discovery, sockets, known))
	cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+config)
	r := launch(t, cmd, addr)
	r.config = config
	return r
}

// launch starts cmd, which is to listen at addr.
func launch(t *testing.T, cmd *exec.Cmd, addr string) *running {
	t.Helper()
	r := &running{t: t, cmd: cmd, addr: addr, dead: make(chan error, 1)}
	cmd.Stdout, cmd.Stderr = r, r
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { r.dead <- cmd.Wait() }()
	t.Cleanup(func() {
		if !r.over {
			r.signal(syscall.SIGTERM)
			if err := r.wait(); err != nil {
				t.Errorf("exit: %v", err)
			}
		}
		for _, bad := range []string{"DATA RACE", "panic"} {
			if strings.Contains(r.text(), bad) {
				t.Errorf("%s in the log", bad)
			}
		}
		if t.Failed() {
			t.Logf("log:\n%s", r.text())
		}
	})
	r.eventually("listening", func() bool {
		c, err := net.Dial("tcp", r.addr)
		if err == nil {
			c.Close()
		}
		return err == nil
	})
	return r
}

// startOn starts the program before backends that are known from the start.
func startOn(t *testing.T, backends ...*standin.Backend) *running {
	t.Helper()
	r, _ := startBefore(t, standin.Config, backends...)
	return r
}

// startBefore starts the program with a configuration of either shape before
// backends that its discovery names, too.
func startBefore(t *testing.T, shape configure, backends ...*standin.Backend) (*running, *standin.Discovery) {
	t.Helper()
	var targets []string
	for i, b := range backends {
		targets = append(targets, standin.Target(fmt.Sprintf("s-%d", i), b.Addr()))
	}
	list := standin.List(1, true, targets...)
	d := standin.NewDiscovery(t, list)
	return startAs(t, shape, d.Addr(), 256, list), d
}

func (r *running) signal(s os.Signal) {
	if err := r.cmd.Process.Signal(s); err != nil {
		r.t.Fatal(err)
	}
}

// wait waits for the end of the program.
func (r *running) wait() error {
	r.t.Helper()
	r.over = true
	select {
	case err := <-r.dead:
		return err
	case <-time.After(patience):
		r.cmd.Process.Kill()
		r.t.Fatalf("still runs; log:\n%s", r.text())
	}
	return nil
}

func (r *running) eventually(what string, f func() bool) {
	r.t.Helper()
	standin.Eventually(r.t, patience, what, f)
}

// descriptors is how many sockets the program holds.
func (r *running) descriptors() int {
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

// held is a backend that answers each call when it is released.
func held(t *testing.T) (b *standin.Backend, release chan bool) {
	release = make(chan bool)
	return standin.NewBackend(t, func(c *standin.Call) {
		<-release
		standin.Echo(c)
	}), release
}

func targets(backends ...*standin.Backend) string {
	var lines []string
	for i, b := range backends {
		lines = append(lines, standin.Target(fmt.Sprintf("s-%d", i), b.Addr()))
	}
	return standin.List(1, true, lines...)
}
