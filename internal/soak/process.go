package soak

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// process is one proxy: its running process, and those that ran at its address before.
type process struct {
	run    *run
	number int
	addr   string
	config string

	mu                   sync.Mutex
	cmd                  *exec.Cmd
	exited               chan struct{} // closed once the process has exited
	exit                 error
	generation           int  // number of starts
	ending               bool // SIGTERM was sent
	killed               bool // SIGKILL was sent by the run
	ready                bool // clients may connect to it
	discoveryMoves       int  // number of changes of its discovery address
	terminatedGeneration int  // the last generation that got SIGTERM
}

const (
	readyTimeout = 10 * time.Second
	// rotationDelay is the time from SIGTERM until clients no longer connect to a proxy.
	rotationDelay = 300 * time.Millisecond
)

func (p *process) writeConfig() error {
	text := fmt.Sprintf(`{"name":"n%d","listen":%q,"discovery":%q,"seed":"%x",
"limits":{"cores":1.0,"memory_mb":96,"sockets":256},"known":%s,
"settings":{"az":"z1","zones":["z1"],"balancers":%d,"me":%d,"stage":0,"discovery":%q,
"classes":[%s],
"limits":{"conn-idle-ms":2000,"dial-timeout-ms":250,"max-attempts":4,"retry-after":true,"max-retry-after-ms":500},
"rules":{"ask-within-ms":4000,"stop-sending-within-ms":%d,"cold-from":%g,"warm-within-ms":%d}}}`,
		p.number, p.addr, p.run.registry.addr(p.number, p.discoveryMoves), p.number+1, p.run.registry.startupList(p.number),
		len(p.run.proxies), p.number, p.run.discoveryMode(), classesJSON(p.run.classes),
		grace.Milliseconds(), warmUpFraction, warmUpTime.Milliseconds())
	return os.WriteFile(p.config, []byte(text), 0o600)
}

func classesJSON(classes []Class) string {
	var parts []string
	for _, c := range classes {
		kind := "single_shot"
		if c.Idempotent {
			kind = "free"
		}
		parts = append(parts, fmt.Sprintf(`{"name":%q,"aim-ms":%d,"give-up-ms":%d,"group":"all","idempotency":%q,"worth":1}`,
			c.Name, c.Deadline.Milliseconds()/2, c.Deadline.Milliseconds(), kind))
	}
	return strings.Join(parts, ",")
}

// start starts the program and, in the background, waits until it is ready.
func (p *process) start() {
	if err := p.writeConfig(); err != nil {
		p.run.recorder.Void("configuration: " + err.Error())
		return
	}
	log, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.run.recorder.Void("log: " + err.Error())
		return
	}
	defer log.Close()
	cmd := exec.Command(p.run.plan.Program, "serve")
	cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+p.config, "TMPDIR="+filepath.Dir(p.config))
	cmd.Env = append(cmd.Env, p.run.faultEnv(p.number)...)
	cmd.Stdout, cmd.Stderr = log, log
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.run.stopped() {
		return
	}
	if err := cmd.Start(); err != nil {
		p.run.recorder.AddViolation(RuleCrash, fmt.Sprintf("proxy %d did not start: %v", p.number, err))
		return
	}
	p.cmd, p.exited, p.ending, p.killed = cmd, make(chan struct{}), false, false
	p.generation++
	exited := p.exited
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.exit, p.ready = err, false
		expected := p.ending || p.killed
		p.mu.Unlock()
		if !expected {
			p.run.recorder.AddViolation(RuleCrash, fmt.Sprintf("proxy %d exited unexpectedly: %v", p.number, err))
		}
		close(exited)
	}()
	go p.awaitReady(exited)
}

func (p *process) logPath() string { return strings.TrimSuffix(p.config, ".json") + ".log" }

// awaitReady lets clients connect to the proxy once it is ready.
func (p *process) awaitReady(exited chan struct{}) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		select {
		case <-exited:
			return
		default:
		}
		resp, err := client.Get("http://" + p.addr + "/healthz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			p.mu.Lock()
			p.ready = !p.ending && !p.killed
			p.mu.Unlock()
			return
		}
	}
	p.mu.Lock()
	expected := p.ending || p.killed || p.run.stopped()
	p.mu.Unlock()
	if !expected {
		p.run.recorder.AddViolation(RuleCrash, fmt.Sprintf("proxy %d was not ready within %v", p.number, readyTimeout))
	}
}

func (p *process) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliver(s)
}

// deliver sends a signal to the process, if there is one. The caller holds the lock.
func (p *process) deliver(s os.Signal) {
	if p.cmd != nil && p.cmd.Process != nil {
		p.cmd.Process.Signal(s)
	}
}

// reload makes the process reload its configuration. The platform does so only once it is ready.
func (p *process) reload() {
	p.mu.Lock()
	ready := p.ready
	p.mu.Unlock()
	if ready {
		p.signal(syscall.SIGHUP)
	}
}

// signalIfEnding sends a signal to a process that got SIGTERM and has not exited.
func (p *process) signalIfEnding(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
	default:
		if p.ending {
			p.deliver(s)
		}
	}
}

// terminate stops the process with SIGTERM and waits for it. It returns false if the process was
// being stopped already.
func (p *process) terminate() bool {
	p.mu.Lock()
	if p.cmd == nil || p.ending || p.killed {
		p.mu.Unlock()
		return false
	}
	p.ending, p.terminatedGeneration = true, p.generation
	exited, starts := p.exited, p.generation
	p.mu.Unlock()
	p.awaitStartLogged(starts, exited)
	p.signal(syscall.SIGTERM)
	time.AfterFunc(rotationDelay, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.ending {
			p.ready = false
		}
	})
	select {
	case <-exited:
	case <-p.killTime():
		// Requests still open are lost, which their clients report. The process must at least
		// be in the last phase of its drain.
		if !p.finishing() {
			p.run.recorder.AddViolation(RuleCrash, fmt.Sprintf("proxy %d is not finishing %v after SIGTERM", p.number, killAfter(p.run.classes)))
		}
		p.run.recorder.Count("ended_by_sigkill")
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-exited
		return true
	}
	if p.exit != nil {
		p.run.recorder.AddViolation(RuleCrash, fmt.Sprintf("proxy %d exited with %v after SIGTERM", p.number, p.exit))
	}
	return true
}

// kill kills the process. It returns false if the process was being stopped already.
func (p *process) kill() bool {
	p.mu.Lock()
	if p.cmd == nil || p.ending || p.killed {
		p.mu.Unlock()
		return false
	}
	p.killed, p.ready = true, false
	exited := p.exited
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
	<-exited
	return true
}

// startLogTimeout bounds the wait for a program's first log line. Before that line the program may
// not have installed its signal handlers, and any signal would end it.
const startLogTimeout = time.Second

// awaitStartLogged waits until the log has that many starts, or the process has exited.
func (p *process) awaitStartLogged(starts int, exited chan struct{}) {
	for until := time.Now().Add(startLogTimeout); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		select {
		case <-exited:
			return
		default:
		}
		text, err := os.ReadFile(p.logPath())
		if err != nil || bytes.Count(text, []byte("event=start ")) >= starts {
			return
		}
	}
}

// killTime returns a channel that is closed when the platform kills a process that gets SIGTERM now.
// Suspensions delay it, since a suspended process can't exit.
func (p *process) killTime() <-chan struct{} {
	over := make(chan struct{})
	time.AfterFunc(killAfter(p.run.classes), func() {
		time.AfterFunc(p.run.pauseSlack(), func() { close(over) })
	})
	return over
}

// finishing reports whether the process has reached the last phase of its drain.
func (p *process) finishing() bool {
	text, err := os.ReadFile(p.logPath())
	if err != nil {
		return false
	}
	life := text[max(0, bytes.LastIndex(text, []byte("event=start "))):]
	return bytes.Contains(life, []byte("phase=finishing"))
}

// panicked returns the beginning of a panic or data race report in the log, or an empty string.
func (p *process) panicked() string {
	text, err := os.ReadFile(p.logPath())
	if err != nil {
		return ""
	}
	for _, word := range []string{"panic:", "fatal error:", "DATA RACE"} {
		if i := bytes.Index(text, []byte(word)); i >= 0 {
			return string(text[i:min(len(text), i+300)])
		}
	}
	return ""
}

// Last byte of the loopback address for each kind of listener. With one host for all, a listener
// that is closed for a while could lose its port to another kind. Each test process has its own
// addresses.
const (
	hostProxies = 1 + iota
	hostRegistry
	hostBackends
)

// host returns a loopback address that is specific to this process.
func host(kind int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid%250, 1+pid/250%250, kind)
}

// portCounter counts the ports given to proxies, across concurrent runs in a process.
var portCounter atomic.Int64

// freeAddr returns an unused address for a proxy, which is handed out only once. The port lies below
// the range of ephemeral ports.
func freeAddr() (string, error) {
	const first, count = 20000, 10000
	for range count {
		addr := fmt.Sprintf("%s:%d", host(hostProxies), first+portCounter.Add(1)%count)
		if ln, err := net.Listen("tcp", addr); err == nil {
			ln.Close()
			return addr, nil
		}
	}
	return "", errors.New("no free port")
}
