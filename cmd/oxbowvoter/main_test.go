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

// These tests start the built program and signal only what they started.

const patience = 60 * time.Second

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

// configs are the configurations of three voters.
func configs(t *testing.T) []config {
	var peers []agree.Peer
	for i := range 3 {
		peers = append(peers, agree.Peer{Name: fmt.Sprintf("v%d", i+1), Address: standin.FreeAddr(t), Ask: standin.FreeAddr(t)})
	}
	var all []config
	for _, p := range peers {
		all = append(all, config{p.Name, p.Address, p.Ask, filepath.Join(t.TempDir(), "data"), peers, false, 300})
	}
	return all
}

func write(t *testing.T, c any) (path string) {
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

// process is a started voter.
type process struct {
	cmd  *exec.Cmd
	dead chan error

	mu  sync.Mutex
	log bytes.Buffer
}

func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

func start(t *testing.T, path string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(program, "serve", path), dead: make(chan error, 1)}
	p.cmd.Stderr = p
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.dead <- p.cmd.Wait() }()
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

func (p *process) signal(t *testing.T, s os.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

func (p *process) wait(t *testing.T) error {
	t.Helper()
	select {
	case err := <-p.dead:
		p.dead <- err
		return err
	case <-time.After(patience):
		t.Fatal("still running")
		return nil
	}
}

func client(t *testing.T, addrs ...string) *agree.Client {
	t.Helper()
	k, err := agree.NewClient(agree.ClientConfig{Voters: addrs}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(k.Close)
	return k
}

// ask asks the voters to agree on an entry.
func ask(t *testing.T, k *agree.Client, e window.Entry) schedule.Answer {
	t.Helper()
	entry, err := window.Encode(e)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	text, _, err := k.Ask(ctx, entry)
	if err != nil {
		t.Fatal(err)
	}
	a, err := schedule.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// read asks for lines of the door.
func read(ctx context.Context, k *agree.Client, line string) (string, error) {
	text, _, err := k.Read(ctx, []byte(line))
	return string(text), err
}

var backends = regexp.MustCompile(`backends=(\d+)`)

// count reads how many backends there are.
func count(ctx context.Context, k *agree.Client) (n uint64, err error) {
	text, err := read(ctx, k, "STATUS")
	if m := backends.FindStringSubmatch(text); m != nil {
		n, _ = strconv.ParseUint(m[1], 10, 64)
	}
	return n, err
}

// addOne adds a backend, and compares how many there are.
func addOne(t *testing.T, k *agree.Client, want uint64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	b := window.Backend{ID: fmt.Sprint("b", want), Region: "r", Zone: "z", Size: 1, SkipWarmUp: true}
	if a := ask(t, k, window.PutBackends{Put: []window.Backend{b}}); a.Result != window.OK {
		t.Fatal(a.Describe())
	}
	if got, err := count(ctx, k); got != want || err != nil {
		t.Fatalf("%d backends (%v), not %d", got, err, want)
	}
}

// leads tells whether the voter at addr answers reads, which the leader alone does.
func leads(k *agree.Client) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err := count(ctx, k)
	return err == nil
}

func TestFleetVoters(t *testing.T) {
	set := configs(t)
	var paths, addrs []string
	var voters []*process
	var direct []*agree.Client
	for _, c := range set {
		paths, addrs = append(paths, write(t, c)), append(addrs, c.Listen)
		direct = append(direct, client(t, c.Listen))
	}
	for _, p := range paths {
		voters = append(voters, start(t, p))
	}
	k := client(t, addrs...)
	sum := uint64(1)
	addOne(t, k, sum)
	leader := func() int {
		for end := time.Now().Add(patience); time.Now().Before(end); {
			for i := range direct {
				if leads(direct[i]) {
					return i
				}
			}
		}
		t.Fatal("no leader")
		return -1
	}
	again := func(i int) { voters[i] = start(t, paths[i]) }

	// The leader is killed. The others go on, and it comes back.
	i := leader()
	voters[i].signal(t, syscall.SIGKILL)
	voters[i].wait(t)
	for range 5 {
		sum++
		addOne(t, k, sum)
	}
	again(i)

	// The leader is stopped until another leads, and goes on believing that it
	// does. It must not answer a read with what was before.
	i = leader()
	voters[i].signal(t, syscall.SIGSTOP)
	sum++
	addOne(t, k, sum)
	type seen struct {
		value uint64
		err   error
	}
	reads := make(chan seen)
	for range 4 {
		old := client(t, addrs[i])
		go func() { // connected and asked while it is stopped
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			value, err := count(ctx, old)
			reads <- seen{value, err}
		}()
	}
	time.Sleep(200 * time.Millisecond) // for the reads to be on their way; not needed for the result
	voters[i].signal(t, syscall.SIGCONT)
	for range 4 {
		if r := <-reads; r.err == nil && r.value != sum {
			t.Fatalf("the leader of before read %d, not %d", r.value, sum)
		}
	}
	sum++
	addOne(t, k, sum)

	// SIGTERM: the leader hands over and ends well.
	i = leader()
	voters[i].signal(t, syscall.SIGTERM)
	if err := voters[i].wait(t); err != nil {
		t.Fatalf("SIGTERM: %v", err)
	}
	sum++
	addOne(t, k, sum)
	again(i)

	// All are killed at once and start again.
	for _, v := range voters {
		v.signal(t, syscall.SIGKILL)
	}
	for i, v := range voters {
		v.wait(t)
		again(i)
	}
	sum++
	addOne(t, k, sum)

	// A second process on one store is refused, and one whose store is lost.
	i = leader()
	second := set[i]
	second.Bind, second.Listen = standin.FreeAddr(t), standin.FreeAddr(t)
	p := start(t, write(t, second))
	if p.wait(t) == nil || !strings.Contains(p.log.String(), "in use by another process") {
		t.Fatalf("second on one store: %s", p.log.String())
	}
	i = (i + 1) % 3
	voters[i].signal(t, syscall.SIGKILL)
	voters[i].wait(t)
	if err := os.RemoveAll(set[i].Data); err != nil {
		t.Fatal(err)
	}
	again(i)
	if voters[i].wait(t) == nil || !strings.Contains(voters[i].log.String(), "know an earlier life") {
		t.Fatalf("lost store: %s", voters[i].log.String())
	}
	sum++
	addOne(t, k, sum)

	// It comes back by a new name, by the commands for it.
	joiner := set[i]
	joiner.Name, joiner.Join, joiner.Data = "v9", true, filepath.Join(t.TempDir(), "data")
	old := set[i].Name
	for _, args := range [][]string{{"remove", paths[(i+1)%3], old}, {"add", paths[(i+1)%3], "v9", joiner.Bind}} {
		if args[0] == "add" {
			paths[i] = write(t, joiner)
			again(i)
		}
		if out, err := exec.Command(program, args...).CombinedOutput(); err != nil {
			t.Fatalf("%v: %v\n%s", args, err, out)
		}
	}
	j := leader()
	voters[j].signal(t, syscall.SIGKILL)
	voters[j].wait(t)
	sum++
	addOne(t, k, sum)
}

// At rest a voter takes little. The figure is logged, and bounded widely.
func TestAtRest(t *testing.T) {
	set := configs(t)
	var voters []*process
	var addrs []string
	for _, c := range set {
		voters, addrs = append(voters, start(t, write(t, c))), append(addrs, c.Listen)
	}
	k := client(t, addrs...)
	for sum := uint64(1); sum <= 100; sum++ {
		addOne(t, k, sum)
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

// What is wrong is one line on standard error, and the exit is not zero.
func TestPlainErrors(t *testing.T) {
	good := configs(t)[0]
	change := func(f func(*config)) config {
		c := good
		c.Voters = append([]agree.Peer(nil), good.Voters...)
		f(&c)
		return c
	}
	for _, x := range []struct {
		c    any
		want string
	}{
		{map[string]any{"name": "v1", "quorum": 2}, `unknown field "quorum"`},
		{map[string]any{"voters": []any{map[string]any{"adress": ""}}}, `unknown field "adress"`},
		{map[string]any{"name": 7}, `name`},
		{change(func(c *config) { c.Name = "" }), "name: empty"},
		{change(func(c *config) { c.Name = "w" }), "voters: w itself is not among them"},
		{change(func(c *config) { c.Bind = "here" }), "bind: address here: missing port"},
		{change(func(c *config) { c.Listen = "" }), "listen: missing port"},
		{change(func(c *config) { c.Data = "" }), "data: empty"},
		{change(func(c *config) { c.Voters = c.Voters[:2] }), "voters: 2, not 3 or 5"},
		{change(func(c *config) { c.Voters[1].Ask = c.Voters[0].Ask }), "twice"},
		{change(func(c *config) { c.Voters[1].Address = "x" }), "voters: address: address x: missing port"},
		{change(func(c *config) { c.HeartbeatMS = 1 }), "heartbeat: 1ms, 20ms at least"},
		{change(func(c *config) { c.Join = true }), "join: v1 is of the initial set"},
	} {
		for _, command := range []string{"check", "serve"} {
			out, err := exec.Command(program, command, write(t, x.c)).CombinedOutput()
			if err == nil || !strings.Contains(string(out), x.want) || strings.Count(string(out), "\n") != 1 {
				t.Errorf("%s: %v, %q, not %q", command, err, out, x.want)
			}
		}
	}
	out, err := exec.Command(program, "check", write(t, good)).CombinedOutput()
	if err != nil || string(out) != "ok\n" {
		t.Errorf("good: %v, %q", err, out)
	}
	if out, err := exec.Command(program, "version").CombinedOutput(); err != nil || len(out) == 0 {
		t.Errorf("version: %v, %q", err, out)
	}
}

// The balancer links nothing of this.
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
		if c, err := load(path); err == nil && (c.Name == "" || len(c.Voters) == 0) {
			t.Fatalf("%s is taken", text)
		}
	})
}
