//go:build review

// Package lab2 holds the drivers and the stand-ins of the second review's cases. Each case starts
// the built programs as separate processes, plays clients, backends and discovery on loopback
// addresses, writes record.txt, and exits with 0 if the rule held, 1 if it was broken and 2 if the
// case could not run.
package lab2

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// lab is one run of a case.
type lab struct {
	dir     string // of the case; record.txt is written there
	root    string // of the repository
	temp    string // temporary folder, removed at the end
	trouble bool
	start   time.Time

	mu        sync.Mutex
	record    *os.File
	processes []*process
}

// cannotRun ends a case with exit code 2.
type cannotRun struct{ err error }

func (l *lab) check(err error) {
	if err != nil {
		panic(cannotRun{err})
	}
}

// logf writes a line to record.txt, with the time since the start in seconds.
func (l *lab) logf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%9.4f %s\n", time.Since(l.start).Seconds(), fmt.Sprintf(format, args...))
}

// verdictf writes a line to record.txt and to standard output.
func (l *lab) verdictf(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	l.logf(format, args...)
}

// Main runs a case from the root of the repository, with the case's folder as the argument.
func Main(name string) {
	run := cases[name]
	if len(os.Args) != 2 || run == nil {
		fmt.Fprintln(os.Stderr, "usage, from the root of the repository: review-case-N FOLDER")
		os.Exit(notRun)
	}
	os.Exit(runCase(run, os.Args[1]))
}

func runCase(run func(*lab) int, dir string) (code int) {
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer os.RemoveAll(temp)
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer record.Close()
	l := &lab{dir: dir, root: root, temp: temp, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: record}
	defer l.killAll()
	defer func() {
		if cause := recover(); cause != nil {
			fault, ok := cause.(cannotRun)
			if !ok {
				panic(cause)
			}
			l.verdictf("the case could not run: %v", fault.err)
			code = notRun
		}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-time.After(110 * time.Second):
			l.verdictf("the case could not run: out of time")
		case <-stopped:
			l.verdictf("the case could not run: it was stopped")
		}
		l.killAll()
		os.RemoveAll(temp)
		os.Exit(notRun)
	}()
	return run(l)
}

// process is a started program of the project.
type process struct {
	cmd    *exec.Cmd
	name   string
	log    string        // file with its standard error
	exited chan struct{} // closed when it has ended
}

// startProxy starts a proxy by the command "run" of the deploy file.
func (l *lab) startProxy(name, config string, extra *os.File, env ...string) *process {
	run := ""
	text, err := os.ReadFile(filepath.Join(l.root, "deploy", "balancer.toml"))
	l.check(err)
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			run, err = strconv.Unquote(rest)
			l.check(err)
		}
	}
	p := &process{cmd: exec.Command("/bin/sh", "-c", run), name: name, log: filepath.Join(l.temp, name+".log"), exited: make(chan struct{})}
	out, err := os.Create(p.log)
	l.check(err)
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = l.root, out, out
	p.cmd.Env = append(os.Environ(), append([]string{"BALANCER_CONFIG=" + config}, env...)...)
	if extra != nil {
		p.cmd.ExtraFiles = []*os.File{extra} // descriptor 3
	}
	l.check(p.cmd.Start())
	out.Close()
	l.mu.Lock()
	l.processes = append(l.processes, p)
	l.mu.Unlock()
	l.logf("start %s pid=%d: %s", name, p.cmd.Process.Pid, run)
	go func() {
		p.cmd.Wait()
		close(p.exited)
	}()
	return p
}

func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

func (l *lab) killAll() {
	l.mu.Lock()
	processes := l.processes
	l.mu.Unlock()
	for _, p := range processes {
		p.cmd.Process.Kill()
	}
	for _, p := range processes {
		<-p.exited
	}
}

// keepLog appends what a process logged, as far as it has one of the events, to record.txt.
func (l *lab) keepLog(p *process, events ...string) {
	text, _ := os.ReadFile(p.log)
	for line := range strings.Lines(string(text)) {
		for _, e := range events {
			if strings.Contains(line, "event="+e+" ") {
				l.logf("log of %s: %s", p.name, strings.TrimSpace(line))
			}
		}
	}
}

// awaitReady waits until GET /healthz answers 200.
func (l *lab) awaitReady(addr string) {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := c.Get("http://" + addr + "/healthz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	l.check(errors.New("the proxy did not become ready"))
}

// freeAddr returns a loopback address that is free now.
func (l *lab) freeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	l.check(err)
	defer ln.Close()
	return ln.Addr().String()
}

// target is an entry of discovery's list.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMs   int64   `json:"boot_ms"`
}

type list struct {
	Rev     int      `json:"rev"`
	All     bool     `json:"all"`
	Targets []target `json:"targets"`
}

// writeConfig writes a proxy's configuration and returns its path.
func (l *lab) writeConfig(name string, config map[string]any) string {
	text, err := json.MarshalIndent(config, "", " ")
	l.check(err)
	path := filepath.Join(l.temp, name+".json")
	l.check(os.WriteFile(path, text, 0o600))
	return path
}

// discovery is a stand-in for the discovery service, whose list does not change: the whole list,
// and on a watch an empty line every 2 s.
type discovery struct {
	l       *lab
	addr    string
	targets []target
}

func (l *lab) startDiscovery(targets []target) *discovery {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	l.check(err)
	d := &discovery{l, ln.Addr().String(), targets}
	go (&http.Server{Handler: d}).Serve(ln)
	return d
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/servers" {
		http.NotFound(w, r)
		return
	}
	text, _ := json.Marshal(list{10, true, d.targets})
	d.l.logf("discovery: %s answered with %s", r.RequestURI, text)
	fmt.Fprintf(w, "%s\n", text)
	for r.FormValue("stream") == "1" {
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(2 * time.Second):
			fmt.Fprint(w, "\n")
		}
	}
}

// request returns the text of a request.
func request(method, id, class string, timeout time.Duration, body string) string {
	length := ""
	if method == "POST" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return fmt.Sprintf("%s /api HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Timeout-Ms: %d\r\n%s\r\n%s",
		method, id, class, timeout.Milliseconds(), length, body)
}

func exitedEarly(p *process) error {
	if p.hasExited() {
		return errors.New(p.name + " has ended")
	}
	return nil
}

// fetch sends a request on a new connection and reads the answer to its end.
func fetch(addr, text string) (status int, body string, err error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, "", err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(c, text); err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	got, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(got), err
}
