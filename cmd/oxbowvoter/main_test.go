package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"oxbowloft/fleet/agree"
	"oxbowloft/fleet/schedule"
	"oxbowloft/fleet/window"
	"oxbowloft/internal/standin"
)

// These tests run the built program, and signal only processes that they started.

const testTimeout = 60 * time.Second

var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "oxbowvoter")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "oxbowvoter")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// newConfigs returns the configurations of three voters.
func newConfigs(t *testing.T) []config {
	var peers []agree.Peer
	for i := range 3 {
		peers = append(peers, agree.Peer{Name: fmt.Sprintf("v%d", i+1), RaftAddress: standin.FreeAddr(t), ClientAddress: standin.FreeAddr(t)})
	}
	var all []config
	for _, p := range peers {
		all = append(all, config{p.Name, p.RaftAddress, p.ClientAddress, filepath.Join(t.TempDir(), "data"), peers, false, 300})
	}
	return all
}

func writeConfig(t *testing.T, c any) (path string) {
	t.Helper()
	text, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	path = filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// voterProcess is a running voter.
type voterProcess struct {
	cmd    *exec.Cmd
	exited chan error

	mu  sync.Mutex
	log bytes.Buffer
}

func (p *voterProcess) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

func startVoter(t *testing.T, path string) *voterProcess {
	t.Helper()
	p := &voterProcess{cmd: exec.Command(program, "serve", path), exited: make(chan error, 1)}
	p.cmd.Stderr = p
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.exited <- p.cmd.Wait() }()
	t.Cleanup(func() {
		p.cmd.Process.Signal(syscall.SIGCONT)
		p.cmd.Process.Kill()
		if t.Failed() {
			p.mu.Lock()
			defer p.mu.Unlock()
			t.Logf("%s", p.log.String())
		}
	})
	return p
}

func (p *voterProcess) signal(t *testing.T, s os.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

func (p *voterProcess) wait(t *testing.T) error {
	t.Helper()
	select {
	case err := <-p.exited:
		p.exited <- err
		return err
	case <-time.After(testTimeout):
		t.Fatal("still running")
		return nil
	}
}

func newClient(t *testing.T, addrs ...string) *agree.Client {
	t.Helper()
	client, err := agree.NewClient(agree.ClientConfig{Voters: addrs}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client
}

// propose proposes an entry and returns the answer.
func propose(t *testing.T, client *agree.Client, e window.Entry) schedule.Answer {
	t.Helper()
	entry, err := window.Encode(e)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	text, _, err := client.Propose(ctx, entry)
	if err != nil {
		t.Fatal(err)
	}
	a, err := schedule.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// query returns the lines with which the schedule answers a command line.
func query(ctx context.Context, client *agree.Client, line string) (string, error) {
	text, _, err := client.Read(ctx, []byte(line))
	return string(text), err
}

var backendsPattern = regexp.MustCompile(`backends=(\d+)`)

// countBackends returns the number of backends in the schedule.
func countBackends(ctx context.Context, client *agree.Client) (n uint64, err error) {
	text, err := query(ctx, client, "STATUS")
	if m := backendsPattern.FindStringSubmatch(text); m != nil {
		n, _ = strconv.ParseUint(m[1], 10, 64)
	}
	return n, err
}

// addBackend adds a backend, and checks that there are want backends then.
func addBackend(t *testing.T, client *agree.Client, want uint64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	b := window.Backend{ID: fmt.Sprint("b", want), Region: "r", Zone: "z", Size: 1, SkipWarmUp: true}
	if a := propose(t, client, window.PutBackends{Put: []window.Backend{b}}); a.Result != window.OK {
		t.Fatal(a.Describe())
	}
	if got, err := countBackends(ctx, client); got != want || err != nil {
		t.Fatalf("%d backends (%v), not %d", got, err, want)
	}
}

// isLeader reports whether the voter of a client answers reads, which only the leader does.
func isLeader(client *agree.Client) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err := countBackends(ctx, client)
	return err == nil
}

func TestFleetVoters(t *testing.T) {
	voterConfigs := newConfigs(t)
	var paths, addrs []string
	var voters []*voterProcess
	var clients []*agree.Client
	for _, c := range voterConfigs {
		paths, addrs = append(paths, writeConfig(t, c)), append(addrs, c.Listen)
		clients = append(clients, newClient(t, c.Listen))
	}
	for _, p := range paths {
		voters = append(voters, startVoter(t, p))
	}
	client := newClient(t, addrs...)
	backendCount := uint64(1)
	addBackend(t, client, backendCount)
	leader := func() int {
		for end := time.Now().Add(testTimeout); time.Now().Before(end); {
			for i := range clients {
				if isLeader(clients[i]) {
					return i
				}
			}
		}
		t.Fatal("no leader")
		return -1
	}
	restart := func(i int) { voters[i] = startVoter(t, paths[i]) }

	// The leader is killed. The others continue, and it is restarted.
	i := leader()
	voters[i].signal(t, syscall.SIGKILL)
	voters[i].wait(t)
	for range 5 {
		backendCount++
		addBackend(t, client, backendCount)
	}
	restart(i)

	// The leader is paused until another leads, and then resumes in the belief that it
	// is the leader. It must not answer a read with outdated state.
	i = leader()
	voters[i].signal(t, syscall.SIGSTOP)
	backendCount++
	addBackend(t, client, backendCount)
	type seen struct {
		value uint64
		err   error
	}
	reads := make(chan seen)
	for range 4 {
		old := newClient(t, addrs[i])
		go func() { // connects and sends its request during the pause
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			value, err := countBackends(ctx, old)
			reads <- seen{value, err}
		}()
	}
	time.Sleep(200 * time.Millisecond) // lets the reads be sent during the pause; a later one is valid as well
	voters[i].signal(t, syscall.SIGCONT)
	for range 4 {
		if r := <-reads; r.err == nil && r.value != backendCount {
			t.Fatalf("the former leader read %d, not %d", r.value, backendCount)
		}
	}
	backendCount++
	addBackend(t, client, backendCount)

	// At SIGTERM the leader transfers its leadership and exits with status 0.
	i = leader()
	voters[i].signal(t, syscall.SIGTERM)
	if err := voters[i].wait(t); err != nil {
		t.Fatalf("SIGTERM: %v", err)
	}
	backendCount++
	addBackend(t, client, backendCount)
	restart(i)

	// All voters are killed at once and restarted.
	for _, v := range voters {
		v.signal(t, syscall.SIGKILL)
	}
	for i, v := range voters {
		v.wait(t)
		restart(i)
	}
	backendCount++
	addBackend(t, client, backendCount)

	// A second process on the same store must not start, nor a voter that lost its store.
	i = leader()
	second := voterConfigs[i]
	second.Bind, second.Listen = standin.FreeAddr(t), standin.FreeAddr(t)
	p := startVoter(t, writeConfig(t, second))
	if p.wait(t) == nil || !strings.Contains(p.log.String(), "in use by another process") {
		t.Fatalf("second process on one store: %s", p.log.String())
	}
	i = (i + 1) % 3
	voters[i].signal(t, syscall.SIGKILL)
	voters[i].wait(t)
	if err := os.RemoveAll(voterConfigs[i].Data); err != nil {
		t.Fatal(err)
	}
	restart(i)
	if voters[i].wait(t) == nil || !strings.Contains(voters[i].log.String(), "know an earlier life") {
		t.Fatalf("lost store: %s", voters[i].log.String())
	}
	backendCount++
	addBackend(t, client, backendCount)

	// It is removed and added under a new name by the commands remove and add.
	joiner := voterConfigs[i]
	joiner.Name, joiner.Join, joiner.Data = "v9", true, filepath.Join(t.TempDir(), "data")
	old := voterConfigs[i].Name
	for _, args := range [][]string{{"remove", paths[(i+1)%3], old}, {"add", paths[(i+1)%3], "v9", joiner.Bind}} {
		if args[0] == "add" {
			paths[i] = writeConfig(t, joiner)
			restart(i)
		}
		if out, err := exec.Command(program, args...).CombinedOutput(); err != nil {
			t.Fatalf("%v: %v\n%s", args, err, out)
		}
	}
	j := leader()
	voters[j].signal(t, syscall.SIGKILL)
	voters[j].wait(t)
	backendCount++
	addBackend(t, client, backendCount)
}

// The resident memory of an idle voter is logged, and must be below 1 GB.
func TestIdleMemory(t *testing.T) {
	voterConfigs := newConfigs(t)
	var voters []*voterProcess
	var addrs []string
	for _, c := range voterConfigs {
		voters, addrs = append(voters, startVoter(t, writeConfig(t, c))), append(addrs, c.Listen)
	}
	client := newClient(t, addrs...)
	for sum := uint64(1); sum <= 100; sum++ {
		addBackend(t, client, sum)
	}
	info, err := os.Stat(program)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("program: %.1f MB", float64(info.Size())/1e6)
	for i, v := range voters {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.cmd.Process.Pid))
		if err != nil {
			t.Skip(err)
		}
		m := regexp.MustCompile(`VmRSS:\s+(\d+) kB`).FindSubmatch(text)
		t.Logf("voter %d: resident %s kB", i+1, m[1])
		if len(m[1]) > 6 {
			t.Errorf("voter %d: resident %s kB", i+1, m[1])
		}
	}
}

// An invalid configuration causes one line on standard error and a nonzero exit status.
func TestErrorOutput(t *testing.T) {
	good := newConfigs(t)[0]
	change := func(f func(*config)) config {
		config := good
		config.Voters = append([]agree.Peer(nil), good.Voters...)
		f(&config)
		return config
	}
	for _, x := range []struct {
		config any
		want   string
	}{
		{map[string]any{"name": "v1", "quorum": 2}, `unknown field "quorum"`},
		{map[string]any{"voters": []any{map[string]any{"adress": ""}}}, `unknown field "adress"`},
		{map[string]any{"name": 7}, `name`},
		{change(func(config *config) { config.Name = "" }), "name: empty"},
		{change(func(config *config) { config.Name = "w" }), "voters: w itself is not among them"},
		{change(func(config *config) { config.Bind = "here" }), "bind: address here: missing port"},
		{change(func(config *config) { config.Listen = "" }), "listen: missing port"},
		{change(func(config *config) { config.Data = "" }), "data: empty"},
		{change(func(config *config) { config.Voters = config.Voters[:2] }), "voters: 2, not 3 or 5"},
		{change(func(config *config) { config.Voters[1].ClientAddress = config.Voters[0].ClientAddress }), "twice"},
		{change(func(config *config) { config.Voters[1].RaftAddress = "x" }), "voters: address: address x: missing port"},
		{change(func(config *config) { config.HeartbeatMS = 1 }), "heartbeat: 1ms, 20ms at least"},
		{change(func(config *config) { config.Join = true }), "join: v1 is of the initial set"},
	} {
		for _, command := range []string{"check", "serve"} {
			out, err := exec.Command(program, command, writeConfig(t, x.config)).CombinedOutput()
			if err == nil || !strings.Contains(string(out), x.want) || strings.Count(string(out), "\n") != 1 {
				t.Errorf("%s: %v, %q, not %q", command, err, out, x.want)
			}
		}
	}
	out, err := exec.Command(program, "check", writeConfig(t, good)).CombinedOutput()
	if err != nil || string(out) != "ok\n" {
		t.Errorf("good: %v, %q", err, out)
	}
	if out, err := exec.Command(program, "version").CombinedOutput(); err != nil || len(out) == 0 {
		t.Errorf("version: %v, %q", err, out)
	}
}

// The balancer must not link packages of the voters.
func TestBalancerLinksNoVoter(t *testing.T) {
	for _, pkg := range []string{"./cmd/oxbowloft", "./cmd/wirehost"} {
		cmd := exec.Command("go", "list", "-deps", pkg)
		cmd.Dir = "../.."
		out, err := cmd.Output()
		if err != nil {
			t.Fatal(err)
		}
		for _, line := range strings.Fields(string(out)) {
			if strings.HasPrefix(line, "oxbowloft/fleet") || strings.Contains(line, "hashicorp/raft") ||
				strings.Contains(line, "bbolt") {
				t.Errorf("%s links %s", pkg, line)
			}
		}
	}
}

func FuzzConfig(f *testing.F) {
	f.Add([]byte(`{"name":"v1","bind":"127.0.0.1:1","listen":"127.0.0.1:2","data":"d","voters":[{"name":"v1",` +
		`"address":"127.0.0.1:1","ask":"127.0.0.1:2"}]}`))
	f.Add([]byte(`{"name":`))
	f.Fuzz(func(t *testing.T, text []byte) {
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		if c, err := loadConfig(path); err == nil && (c.Name == "" || len(c.Voters) == 0) {
			t.Fatalf("invalid configuration %s was accepted", text)
		}
	})
}
