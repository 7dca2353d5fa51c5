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

// process is one proxy: what runs of it now, and what ran before under its address.
type process struct {
	run    *run
	number int
	addr   string
	config string

	mu                   sync.Mutex
	cmd                  *exec.Cmd
	exited               chan struct{} // closed once it has ended
	exit                 error
	generation           int  // counts its starts
	ending               bool // it has been told to end
	killed               bool // it has been killed by the run
	ready                bool // clients may choose it
	discoveryMoves       int  // of its discovery
	terminatedGeneration int  // the last start that was told to end
}

const (
	readyWithin = 10 * time.Second
	// rotationDelay is after what time callers no longer choose a proxy that is told to end.
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
		len(p.run.proxies), p.number, p.run.discoveryMode(), classesText(p.run.classes),
		grace.Milliseconds(), warmUpFraction, warmUpTime.Milliseconds())
	return os.WriteFile(p.config, []byte(text), 0o600)
}

func classesText(classes []Class) string {
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

// start starts the program and waits until it is ready.
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
		p.run.recorder.AddViolation(RuleCrash, fmt.Sprintf("proxy %d does not start: %v", p.number, err))
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
			p.run.recorder.AddViolation(RuleCrash, fmt.Sprintf("proxy %d ended by itself: %v", p.number, err))
		}
		close(exited)
	}()
	go p.awaitReady(exited)
}

func (p *process) logPath() string { return strings.TrimSuffix(p.config, ".json") + ".log" }

// awaitReady lets clients choose the proxy once it says that it is ready.
func (p *process) awaitReady(exited chan struct{}) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for until := time.Now().Add(readyWithin); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
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
		p.run.recorder.AddViolation(RuleCrash, fmt.Sprintf("proxy %d was not ready within %v", p.number, readyWithin))
	}
}

func (p *process) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliver(s)
}

// deliver sends a signal to the process, if there is one, with the lock held.
func (p *process) deliver(s os.Signal) {
	if p.cmd != nil && p.cmd.Process != nil {
		p.cmd.Process.Signal(s)
	}
}

// reload tells the process to read its configuration again, which the platform does not do
// before it is ready.
func (p *process) reload() {
	p.mu.Lock()
	ready := p.ready
	p.mu.Unlock()
	if ready {
		p.signal(syscall.SIGHUP)
	}
}

// signalIfEnding sends a signal to a process that has been told to end and has not.
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

// terminate tells the process to end and waits for it. It returns false where it was ending
// already.
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
		// What it still has is lost, as its clients tell. It must at least be about to end.
		if !p.finishing() {
			p.run.recorder.AddViolation(RuleCrash, fmt.Sprintf("proxy %d goes on %v after SIGTERM", p.number, killAfter(p.run.classes)))
		}
		p.run.recorder.Count("ended_by_sigkill")
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-exited
		return true
	}
	if p.exit != nil {
		p.run.recorder.AddViolation(RuleCrash, fmt.Sprintf("proxy %d ended with %v after SIGTERM", p.number, p.exit))
	}
	return true
}

// kill ends the process at once. It returns false where it was ending already.
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

// startLogTimeout bounds the wait for a program's first line: a process that has just been
// started and has not come to its first step is ended by any signal, whatever the program is.
const startLogTimeout = time.Second

// awaitStartLogged waits until the process has logged so many starts, or has ended.
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

// killTime is closed when the platform kills a process that is told to end now. Pauses meanwhile
// put it off: a process that is stopped can't end.
func (p *process) killTime() <-chan struct{} {
	over := make(chan struct{})
	time.AfterFunc(killAfter(p.run.classes), func() {
		time.AfterFunc(p.run.pauseSlack(), func() { close(over) })
	})
	return over
}

// finishing tells whether the process has come to the last phase of its end.
func (p *process) finishing() bool {
	text, err := os.ReadFile(p.logPath())
	if err != nil {
		return false
	}
	life := text[max(0, bytes.LastIndex(text, []byte("event=start "))):]
	return bytes.Contains(life, []byte("phase=finishing"))
}

// panicked looks for a panic in the log.
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

// Hosts of a run, one for each kind of listener: what closes one may find its port taken by
// another kind otherwise, and each process that plays runs has hosts of its own.
const (
	hostProxies = 1 + iota
	hostRegistry
	hostBackends
)

// host is a loopback address of this process alone.
func host(kind int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid%250, 1+pid/250%250, kind)
}

// portCounter counts those given to proxies: several runs may play at once in a process.
var portCounter atomic.Int64

// freePort is an address for a proxy, given once, that nobody listens at, below the ports
// that connections go out from.
func freePort() (string, error) {
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
