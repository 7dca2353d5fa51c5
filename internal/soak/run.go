package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Report is the result of a run.
type Report struct {
	Seed       uint64
	Events     []Event
	Outcomes   map[string]int
	Violations []Violation
	Summary    string
	Void       string // why the run is inconclusive; empty: it is conclusive
}

// Passed reports whether the run was conclusive and had no violations.
func (r *Report) Passed() bool { return r.Void == "" && len(r.Violations) == 0 }

// run is the state of a run.
type run struct {
	plan     *Plan
	classes  []Class
	recorder *Recorder
	registry *registry
	proxies  []*process
	over     atomic.Bool

	mu                 sync.Mutex
	backends           []*backend
	leaving            map[*backend]bool // those not in service
	serial             int
	seed               uint64
	clientFaultsUntil  map[EventKind]time.Time // until when each client fault is active
	floodedUntil       map[int]time.Time       // by proxy: until when idle connections use up its descriptors
	longestPause       time.Duration           // of a process
	overloadsDiscovery bool                    // the events include DiscoveryOverload
	tasks              sync.WaitGroup
}

// Run makes one run with the given events and returns its result. Everything that it started has
// ended when it returns.
func Run(ctx context.Context, plan *Plan, seed uint64, events []Event) (*Report, error) {
	if err := plan.Check(); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp(plan.Dir, fmt.Sprintf("seed%d-", seed))
	if err != nil {
		return nil, err
	}
	r := &run{plan: plan, classes: classesForSeed(seed), recorder: NewRecorder(grace), seed: seed, clientFaultsUntil: map[EventKind]time.Time{}, floodedUntil: map[int]time.Time{}, leaving: map[*backend]bool{}}
	defer r.stop()
	if err := r.prepare(dir); err != nil {
		return nil, err
	}
	r.overloadsDiscovery = slices.ContainsFunc(events, func(e Event) bool { return e.Kind == DiscoveryOverload })
	lag := newLagMeter()
	traffic, endTraffic := context.WithTimeout(ctx, plan.Length)
	defer endTraffic()
	for _, p := range r.proxies {
		p.start()
	}
	var clients sync.WaitGroup
	for n := range plan.Proxies * plan.Clients {
		c := &client{run: r, number: n, rng: rand.New(rand.NewPCG(seed, uint64(100+n)))}
		clients.Go(func() { c.loop(traffic) })
	}
	began := time.Now()
	for _, e := range events {
		select {
		case <-time.After(time.Until(began.Add(e.At))):
		case <-traffic.Done():
		}
		if traffic.Err() != nil {
			break
		}
		r.tasks.Go(func() { r.apply(e) })
	}
	clients.Wait()
	r.tasks.Wait()
	r.over.Store(true)
	r.recorder.markEnded()
	r.terminateAll()
	if worst := lag.stop(); worst > maxLag {
		r.recorder.Void(fmt.Sprintf("the machine was too busy: the test's own timers were %v late", worst))
	}
	report := &Report{Seed: seed, Events: events, Outcomes: r.recorder.Outcomes(), Violations: r.recorder.Violations(),
		Summary: r.recorder.Summary(), Void: r.recorder.void()}
	if report.Passed() {
		os.RemoveAll(dir)
	}
	return report, ctx.Err()
}

// One in longListEvery seeds has longListEntries extra entries in its lists.
const (
	longListEvery   = 4
	longListEntries = 1500
)

// In one of answersTwiceEvery seeds, none of which has long lists, backends answer some requests
// twice.
const (
	answersTwiceEvery     = 4
	answersTwiceRemainder = 2
)

// prepare starts discovery and the backends, and assigns the proxies' addresses and files.
func (r *run) prepare(dir string) (err error) {
	if r.registry, err = newRegistry(r.recorder, r.plan.Proxies); err != nil {
		return err
	}
	if r.seed%longListEvery == 0 {
		r.registry.fillers = longListEntries
	}
	for range r.plan.Backends {
		if err := r.addBackend(time.Time{}); err != nil {
			return err
		}
	}
	for n := range r.plan.Proxies {
		addr, err := freeAddr()
		if err != nil {
			return err
		}
		config := filepath.Join(dir, fmt.Sprintf("proxy%d", n), "config.json")
		if err := os.MkdirAll(filepath.Dir(config), 0o700); err != nil {
			return err
		}
		r.proxies = append(r.proxies, &process{run: r, number: n, addr: addr, config: config})
	}
	return nil
}

// addBackend adds a backend that started at the given time; zero means long ago.
func (r *run) addBackend(boot time.Time) error {
	r.mu.Lock()
	r.serial++
	uid := fmt.Sprintf("s-%d", r.serial)
	r.mu.Unlock()
	answersTwice := r.seed%answersTwiceEvery == answersTwiceRemainder
	b, err := newBackend(r.recorder, uid, r.plan.Proxies, r.seed+uint64(r.serial), answersTwice)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.backends = append(r.backends, b)
	r.mu.Unlock()
	r.registry.set(target{uid: uid, state: "in_service", boot: boot, backend: b})
	return nil
}

// apply injects one event, and returns once it is over.
func (r *run) apply(e Event) {
	p := r.proxies[e.Target%len(r.proxies)]
	r.mu.Lock()
	b := r.backends[e.Target%len(r.backends)]
	leaving := r.leaving[b]
	r.mu.Unlock()
	switch e.Kind {
	case Terminate:
		if p.terminate() {
			p.start()
		}
	case Kill:
		if p.kill() {
			p.start()
		}
	case Pause:
		r.pause(p, e.Span)
	case Reload:
		for range 2 {
			p.mu.Lock()
			p.discoveryMoves++
			p.mu.Unlock()
			if err := p.writeConfig(); err != nil {
				r.recorder.Void(err.Error())
			}
			p.reload()
			time.Sleep(e.Span / 4)
		}
	case DiscoveryDown:
		r.registry.goDown(e.Span)
	case DiscoverySilent:
		r.registry.goSilent(e.Span)
	case DiscoverySlow:
		r.registry.goSlow(e.Span)
	case DiscoveryOverload:
		r.registry.goOverloaded(e.Span)
	case WatchesEnd:
		r.registry.endWatches()
	case BackendOutage:
		r.backendOutage(b, e.Span)
	case SignalSeries:
		r.sendSignalSeries(e.Target)
	case IdleFlood:
		r.floodIdle(p, e.Span)
	case Drain:
		r.drain(b, e.Span)
	case Restart:
		b.reset()
		if !leaving {
			r.registry.set(target{uid: b.name, state: "in_service", boot: time.Now(), backend: b})
		}
	case Reset:
		b.reset()
	case Hang, Errors, Full, TruncatedResponses, IdleCloses:
		b.misbehave(e.Kind, e.Span)
	case ClientsLeave, BadClients:
		r.mu.Lock()
		r.clientFaultsUntil[e.Kind] = time.Now().Add(e.Span)
		r.mu.Unlock()
	}
}

// beginLeaving marks a backend as no longer in service, and reports whether it was in service.
func (r *run) beginLeaving(b *backend) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	was := !r.leaving[b]
	r.leaving[b] = true
	return was
}

// drain announces that a backend drains, then that it is removed, and adds another one in its
// place. The drained backend still answers, so that forbidden attempts are recorded. In runs with an
// overloaded discovery service it rejects requests once it is removed: a proxy that gets no list is
// known to go on using a backend that serves for longer (TestCrowdIsNoOutage).
func (r *run) drain(b *backend, span time.Duration) {
	if !r.beginLeaving(b) {
		return
	}
	r.registry.set(target{uid: b.name, state: "terminating", backend: b})
	time.Sleep(span)
	if r.overloadsDiscovery {
		b.rejectAll()
	}
	r.registry.set(target{uid: b.name, state: "terminated", backend: b})
	if err := r.addBackend(time.Now()); err != nil {
		r.recorder.Void(err.Error())
	}
}

// detectionDelay is the time until discovery notices that a backend went offline or returned.
const detectionDelay = 700 * time.Millisecond

// backendOutage takes a backend offline for long enough that discovery removes it. It returns in
// slow start under its ID, and serves before discovery announces that.
func (r *run) backendOutage(b *backend, span time.Duration) {
	if !r.beginLeaving(b) {
		return
	}
	b.goOffline()
	time.Sleep(detectionDelay)
	r.registry.set(target{uid: b.name, state: "terminated", backend: b})
	time.Sleep(span)
	boot := time.Now()
	if err := b.goOnline(); err != nil {
		r.recorder.Void("a backend could not listen again: " + err.Error())
		return
	}
	time.Sleep(detectionDelay)
	r.registry.set(target{uid: b.name, state: "in_service", boot: boot, backend: b})
	r.mu.Lock()
	delete(r.leaving, b)
	r.mu.Unlock()
}

// Delays between the signals of a series, and between the proxies that get one.
const (
	signalPause = 50 * time.Millisecond
	nextPause   = 200 * time.Millisecond
)

// sendSignalSeries makes two proxies, one after the other, reload their configuration, drain, and
// reload it again during the drain.
func (r *run) sendSignalSeries(target int) {
	for n := range min(2, len(r.proxies)) {
		p := r.proxies[(target+n)%len(r.proxies)]
		r.tasks.Go(func() {
			p.reload()
			time.Sleep(signalPause)
			time.AfterFunc(signalPause, func() { p.signalIfEnding(syscall.SIGHUP) })
			if p.terminate() {
				p.start()
			}
		})
		time.Sleep(nextPause)
	}
}

// floodSize is the number of idle connections in a flood: more than a proxy has descriptors for.
const floodSize = 260

// floodIdle uses up a proxy's descriptors with idle connections.
func (r *run) floodIdle(p *process, span time.Duration) {
	r.mu.Lock()
	if until := time.Now().Add(span + time.Second); until.After(r.floodedUntil[p.number]) { // floods may overlap
		r.floodedUntil[p.number] = until
	}
	r.mu.Unlock()
	var idle []net.Conn
	defer func() {
		for _, c := range idle {
			c.Close()
		}
	}()
	end := time.Now().Add(span)
	for range floodSize {
		c, err := net.DialTimeout("tcp", p.addr, signalPause)
		if err != nil || time.Now().After(end) {
			break
		}
		idle = append(idle, c)
	}
	time.Sleep(time.Until(end))
}

// isFlooded reports whether a flood of idle connections is active or has just ended. The proxy may
// then close new connections without reading from them.
func (r *run) isFlooded(proxy int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.floodedUntil[proxy])
}

// allowedPause is the longest suspension of a proxy during which all rules apply.
const allowedPause = 150 * time.Millisecond

// pause suspends a process for a time.
func (r *run) pause(p *process, span time.Duration) {
	from := time.Now()
	if span > allowedPause {
		r.recorder.ProxySuspended(p.number, from, from.Add(span+100*time.Millisecond))
	}
	r.mu.Lock()
	r.longestPause = max(r.longestPause, span)
	r.mu.Unlock()
	p.signal(syscall.SIGSTOP)
	time.Sleep(span)
	p.signal(syscall.SIGCONT)
}

// pauseSlack returns the time by which suspensions may delay the exit of a process.
func (r *run) pauseSlack() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return 2 * r.longestPause
}

// clientFaultActive reports whether a client fault is active.
func (r *run) clientFaultActive(kind EventKind) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.clientFaultsUntil[kind])
}

// pickReadyProxy draws a proxy that clients may connect to.
func (r *run) pickReadyProxy(rng *rand.Rand) (int, bool) {
	for range 10 {
		n := rng.IntN(len(r.proxies))
		p := r.proxies[n]
		p.mu.Lock()
		ready := p.ready
		p.mu.Unlock()
		if ready {
			return n, true
		}
	}
	return 0, false
}

// generation returns the number of a proxy's starts.
func (r *run) generation(proxy int) int {
	p := r.proxies[proxy]
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.generation
}

// excuse returns why a request that got no response is no violation, or an empty string if it is
// one. begun says that the response had begun: one that the proxy can't complete, and aborts so that
// the client notices, counts as failed and not as lost.
func (r *run) excuse(proxy, generation int, begun bool) string {
	p := r.proxies[proxy]
	p.mu.Lock()
	killed := generation != p.terminatedGeneration && (p.killed || p.generation != generation)
	p.mu.Unlock()
	switch {
	case killed:
		return "its proxy was killed"
	case begun:
		return "its response was aborted so that the client noticed"
	}
	r.recorder.mu.Lock()
	defer r.recorder.mu.Unlock()
	if r.recorder.wasSuspended(proxy, time.Now()) {
		return "its proxy was suspended for long"
	}
	return ""
}

func (r *run) stopped() bool { return r.over.Load() }

func (r *run) discoveryMode() string {
	if r.plan.Pushed {
		return "pushed"
	}
	return "on_request"
}

// faultEnv returns the environment that makes system calls fail in a program built for it, and that
// steps the clock of some processes, by up to an hour.
func (r *run) faultEnv(proxy int) []string {
	if !r.plan.Faults {
		return nil
	}
	steps := []string{"0s", "0s", "1h", "-1h", "3s", "-3s"}
	p := r.proxies[proxy]
	return []string{
		"OXBOWLOFT_FAULT_WALL=" + steps[(proxy+p.generation)%len(steps)],
		"OXBOWLOFT_FAULT_CALLS=accept=0.05,dial=0.05,write=0.3",
		fmt.Sprintf("OXBOWLOFT_FAULT_SEED=%d", r.seed+uint64(proxy)),
	}
}

// terminateAll terminates all proxies and checks how they exit.
func (r *run) terminateAll() {
	var ends sync.WaitGroup
	for _, p := range r.proxies {
		ends.Go(func() {
			p.terminate()
			if text := p.panicked(); text != "" {
				r.recorder.AddViolation(RuleCrash, fmt.Sprintf("proxy %d: %s", p.number, text))
			}
		})
	}
	ends.Wait()
}

// stop kills the remaining processes, by ID, and stops backends and discovery.
func (r *run) stop() {
	r.over.Store(true)
	r.recorder.markEnded()
	for _, p := range r.proxies {
		p.kill()
	}
	for _, b := range r.backends {
		b.close()
	}
	if r.registry != nil {
		r.registry.close()
	}
}

// maxLag is how late the test's own timers may be. Beyond it, a violation may be the machine's fault
// and not the proxy's.
const maxLag = 150 * time.Millisecond

// lagMeter measures how late short sleeps end.
type lagMeter struct {
	over  chan struct{}
	worst chan time.Duration
}

func newLagMeter() *lagMeter {
	m := &lagMeter{over: make(chan struct{}), worst: make(chan time.Duration, 1)}
	go func() {
		var worst time.Duration
		for {
			select {
			case <-m.over:
				m.worst <- worst
				return
			default:
			}
			began := time.Now()
			time.Sleep(5 * time.Millisecond)
			worst = max(worst, time.Since(began)-5*time.Millisecond)
		}
	}()
	return m
}

func (m *lagMeter) stop() time.Duration {
	close(m.over)
	return <-m.worst
}
