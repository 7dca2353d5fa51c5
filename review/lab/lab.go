//go:build review

// Package lab has what the review's cases share: the project's programs as child processes,
// a discovery service by the protocol page, and the record of a run.
package lab

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held     = 0
	Broken   = 1
	CouldNot = 2
)

// Lab is one run of a case.
type Lab struct {
	Root    string         // of the repository
	Dir     string         // temporary, removed at the end
	Trouble bool           // false with TROUBLE=0: the same without the disruption
	Exit    func(code int) // ends the run; os.Exit unless a test sets it
	start   time.Time

	mu     sync.Mutex
	record *os.File
	procs  []*Proc
}

// New opens a run whose record goes to record.txt in the folder given as the first argument.
func New() *Lab {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig ROOT CASE-FOLDER")
		os.Exit(CouldNot)
	}
	l, err := Open(os.Args[1], os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CouldNot)
	}
	time.AfterFunc(110*time.Second, func() { l.End(CouldNot, "the run took too long") })
	return l
}

// Open opens a run for the repository at root whose record goes to record.txt in folder.
func Open(root, folder string) (l *Lab, err error) {
	l = &Lab{Root: root, Trouble: os.Getenv("TROUBLE") != "0", Exit: os.Exit, start: time.Now()}
	if l.Dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	if l.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		return nil, err
	}
	l.Log("run trouble=%t", l.Trouble)
	return l, nil
}

// Log writes one line of the record, with the time since the start.
func (l *Lab) Log(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%9.4f %s\n", time.Since(l.start).Seconds(), fmt.Sprintf(format, args...))
}

// End ends all processes of the run and exits with code.
func (l *Lab) End(code int, format string, args ...any) {
	l.mu.Lock()
	procs := l.procs
	l.mu.Unlock()
	for _, p := range procs {
		p.Kill()
	}
	text := fmt.Sprintf(format, args...)
	l.Log("end code=%d %s", code, text)
	l.record.Close()
	os.RemoveAll(l.Dir)
	fmt.Printf("%s: %s\n", [...]string{"held", "BROKEN", "could not run"}[code], text)
	l.Exit(code)
}

// Must ends the run as one that could not run if err is not nil.
func (l *Lab) Must(err error) {
	if err != nil {
		l.End(CouldNot, "%v", err)
	}
}

// FreeAddr returns a loopback address that nobody listens on.
func (l *Lab) FreeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	l.Must(err)
	defer ln.Close()
	return ln.Addr().String()
}

// Proc is a process that the run has started, in a process group of its own.
type Proc struct {
	cmd  *exec.Cmd
	log  string
	done chan struct{}
}

// Start starts a shell command from the root of the repository.
func (l *Lab) Start(name, command string, env ...string) *Proc {
	p := &Proc{log: filepath.Join(l.Dir, name+".log"), done: make(chan struct{})}
	f, err := os.Create(p.log)
	l.Must(err)
	p.cmd = exec.Command("/bin/sh", "-c", command)
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = l.Root, f, f
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	l.Must(p.cmd.Start())
	f.Close()
	go func() {
		p.cmd.Wait()
		close(p.done)
	}()
	l.mu.Lock()
	l.procs = append(l.procs, p)
	l.mu.Unlock()
	l.Log("start %s pid=%d command=%q", name, p.cmd.Process.Pid, command)
	return p
}

// Pid is the id of the process.
func (p *Proc) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Proc) Signal(s syscall.Signal) { syscall.Kill(p.Pid(), s) }

// Ended reports whether the process has ended.
func (p *Proc) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Kill kills the process and waits for its end.
func (p *Proc) Kill() {
	if !p.Ended() {
		syscall.Kill(-p.Pid(), syscall.SIGKILL)
	}
	<-p.done
}

// Wait waits for the end of the process for at most d, and reports whether it has ended.
func (p *Proc) Wait(d time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(d):
		return false
	}
}

// LogText is what the process has written so far.
func (p *Proc) LogText() string {
	b, _ := os.ReadFile(p.log)
	return string(b)
}

// RunCommand is the command of the deploy file for one proxy.
func (l *Lab) RunCommand() string {
	b, err := os.ReadFile(filepath.Join(l.Root, "deploy/balancer.toml"))
	l.Must(err)
	m := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(b)
	if m == nil {
		l.End(CouldNot, "the deploy file has no run")
	}
	return string(m[1])
}

// Config is the configuration of a proxy of a small deployment like the radar tile service.
type Config struct {
	Name, Listen, Discovery string
	MemoryMB, Sockets       int
	Known                   []Target
}

// StartProxy starts a proxy with the command of the deploy file.
func (l *Lab) StartProxy(c Config) *Proc {
	class := func(name string, aim, giveUp, worth int, effect string) map[string]any {
		return map[string]any{"name": name, "aim-ms": aim, "give-up-ms": giveUp, "worth": worth,
			"idempotency": effect, "group": "all", "memory-span-ms": 5000, "late-worth": 0}
	}
	text, err := json.MarshalIndent(map[string]any{
		"name": c.Name, "listen": c.Listen, "discovery": c.Discovery,
		"limits": map[string]any{"cores": 1.0, "memory_mb": c.MemoryMB, "sockets": c.Sockets},
		"known":  map[string]any{"rev": 1, "all": true, "targets": c.Known},
		"settings": map[string]any{
			"az": "athens-1", "zones": []string{"athens-1", "athens-2", "thessaloniki", "patras", "heraklion"},
			"balancers": 5, "me": 0, "stage": 0, "tiers": []string{"tile-front", "tile-render"},
			"kind-of-service": "chain", "discovery": "on_request",
			"classes": []any{
				class("latest-tile", 750, 2000, 12, "free"),
				class("loop-tile", 1000, 2500, 1, "free"),
				class("alert-signup", 1200, 3000, 1, "single_shot"),
			},
			"clients": map[string]any{"marks-retry": false},
			"goal":    map[string]any{"whole": 0.6, "worst-class": 0.2, "worst-window": 0.2, "worst-tenant": 0},
			"limits": map[string]any{"cancel": true, "conn-idle-ms": 10000, "dial-timeout-ms": 120, "max-attempts": 4,
				"max-retry-after-ms": 1500, "parallel-tries": true, "probing": true, "retry-after": true, "streams-per-conn": 1},
			"rules": map[string]any{"answer-slack-ms": 20, "ask-within-ms": 10000, "cold-from": 0.13, "fall-multiple": 2.5,
				"stop-sending-within-ms": 500, "tip-after-ms": 1500, "warm-within-ms": 24000},
		},
	}, "", " ")
	l.Must(err)
	path := filepath.Join(l.Dir, c.Name+".json")
	l.Must(os.WriteFile(path, text, 0o600))
	tmp := filepath.Join(l.Dir, c.Name+".tmp")
	l.Must(os.MkdirAll(tmp, 0o700))
	p := l.Start(c.Name, l.RunCommand(), "BALANCER_CONFIG="+path, "TMPDIR="+tmp)
	for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		if resp, err := http.Get("http://" + c.Listen + "/healthz"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				break
			}
		}
		if p.Ended() || time.Since(began) > 20*time.Second {
			l.End(CouldNot, "the proxy was not ready: %s", p.LogText())
		}
	}
	l.Log("ready %s", c.Name)
	return p
}

// Target is one entry of discovery's list.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMs   int64   `json:"boot_ms"`
}

// NewTarget returns the entry of a backend that is in service and started long ago.
func NewTarget(uid, endpoint, zone string) Target {
	return Target{uid, endpoint, zone, "front-std", 1, "in_service", 1, 0}
}

// Discovery is a discovery service by the protocol page.
type Discovery struct {
	lab *Lab
	ln  net.Listener

	mu      sync.Mutex
	rev     int
	targets []Target
	crowded bool                     // calls end with 503
	watches map[chan string]net.Conn // open ones
}

// NewDiscovery starts a discovery service with a list.
func (l *Lab) NewDiscovery(targets []Target) *Discovery {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	l.Must(err)
	d := &Discovery{lab: l, ln: ln, rev: 1, targets: targets, watches: map[chan string]net.Conn{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	return d
}

// Addr is where it listens.
func (d *Discovery) Addr() string { return d.ln.Addr().String() }

func listText(rev int, all bool, targets []Target) string {
	b, _ := json.Marshal(map[string]any{"rev": rev, "all": all, "targets": targets})
	return string(b)
}

// Crowd makes calls end with 503 from now on, after a wait, and resets the open watches; or
// ends that.
func (d *Discovery) Crowd(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crowded = on
	d.lab.Log("discovery crowded=%t watches=%d", on, len(d.watches))
	if !on {
		return
	}
	for w, c := range d.watches {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
		delete(d.watches, w)
	}
}

// Set changes one entry of the list and tells the watches.
func (d *Discovery) Set(t Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev++
	for i := range d.targets {
		if d.targets[i].UID == t.UID {
			d.targets[i] = t
		}
	}
	d.lab.Log("discovery rev=%d uid=%s state=%s told=%d", d.rev, t.UID, t.State, len(d.watches))
	for w := range d.watches {
		w <- listText(d.rev, false, []Target{t})
	}
}

func (d *Discovery) serve(c net.Conn) {
	defer c.Close()
	buf := make([]byte, 4096)
	n := 0
	for !strings.Contains(string(buf[:n]), "\r\n\r\n") {
		k, err := c.Read(buf[n:])
		if err != nil || n+k == len(buf) {
			return
		}
		n += k
	}
	target := strings.SplitN(string(buf[:n]), " ", 3)[1]
	d.mu.Lock()
	if d.crowded {
		d.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
		fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		d.lab.Log("discovery call=%s answer=503", target)
		return
	}
	list, rev := listText(d.rev, true, d.targets), d.rev
	lines := make(chan string, 100)
	watch := strings.Contains(target, "stream=1")
	if watch {
		d.watches[lines] = c
	}
	d.mu.Unlock()
	d.lab.Log("discovery call=%s answer=200 rev=%d", target, rev)
	if !watch {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(list), list)
		return
	}
	chunk := func(s string) error {
		_, err := fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(s)+1, s)
		return err
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	err := chunk(list)
	heartbeat := time.NewTicker(2 * time.Second)
	defer heartbeat.Stop()
	for err == nil {
		select {
		case s := <-lines:
			err = chunk(s)
		case <-heartbeat.C:
			err = chunk("")
		}
	}
	d.mu.Lock()
	delete(d.watches, lines)
	d.mu.Unlock()
}
