// Package proxy is the balancer on sockets: it accepts requests from clients, executes
// what the balancing logic decides for each, and responds. It contains no policy: it
// reports transport events to package logic and executes the actions that logic returns.
package proxy

import (
	"context"
	"fmt"
	"log"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"oxbowloft/internal/admin"
	"oxbowloft/internal/discovery"
	"oxbowloft/internal/http1"
	"oxbowloft/internal/logging"
	"oxbowloft/internal/memory"
	"oxbowloft/internal/settings"
	"oxbowloft/internal/upstream"
)

// Phase is the stage of a proxy's life cycle.
type Phase int32

// The phases, in order.
const (
	Starting  Phase = iota // knows its list, does not listen yet
	Serving                // ready, if it knows a backend
	Draining               // not ready; accepts and answers what still arrives
	Finishing              // closes idle connections; answers open requests
	Stopped
)

var phaseNames = [...]string{"starting", "serving", "draining", "finishing", "stopped"}

// String returns the lower-case word for the phase, as logged when the proxy enters it.
func (p Phase) String() string { return phaseNames[p] }

const (
	// finalWriteTime is the time left after the end of a drain to write responses.
	finalWriteTime = 100 * time.Millisecond
	// maxDrainTime bounds the part of a drain that follows its grace. The platform kills
	// a process 0.7 s after the longest deadline since its termination signal, or 0.7 s
	// after this limit if that is earlier.
	maxDrainTime      = 3 * time.Second
	drainPollInterval = 10 * time.Millisecond
	// minAttemptDivisor divides the shortest deadline; the quotient is a time in which an
	// attempt hardly fits.
	minAttemptDivisor  = 4
	reapInterval       = 500 * time.Millisecond
	statsInterval      = 10 * time.Second
	defaultIdleTimeout = 10 * time.Second
	defaultDialTimeout = time.Second
)

// Proxy is a balancer on sockets.
type Proxy struct {
	cfg              *Config // the configuration at start
	phase            atomic.Int32
	classes          map[string]int
	longestDeadline  time.Duration // of all classes
	shortestDeadline time.Duration
	finalWriteTime   time.Duration             // the constant, unless a test changes it
	drainEnd         atomic.Pointer[time.Time] // end of a drain, after which no response is written; nil: not draining
	descriptors      *descriptorBudget
	memory           *memory.Budget // what is held for clients and backends
	clients          *clientConns
	streamPool       *http1.StreamPool // for answers
	uploadPool       *http1.StreamPool // for requests
	driver           *driver
	list             *discovery.Client
	readiness        readiness
	stats            *stats
	listener         listener
	acceptLog        logging.RateLimiter // rate limit of log lines about failed accepts
	endLog           *requestEndLog
	adminEndpoint    *admin.Server // nil: none
	tasks            sync.WaitGroup

	detachMu sync.Mutex // held while the detachments in shared are applied in driver
	shared   *sharedState

	limitsMu     sync.Mutex
	limits       Limits // of the latest configuration
	processCount int    // processes that share the limits

	// OnLimits, if set, is called with the limits and the number of processes that share
	// them, at start and whenever either changes.
	OnLimits func(l Limits, processes int)
}

// New returns a proxy that knows its list and does not listen yet.
func New(cfg *Config) (*Proxy, error) {
	if err := cfg.ensureChecked(); err != nil {
		return nil, err
	}
	p := &Proxy{
		cfg:            cfg,
		classes:        map[string]int{},
		stats:          newStats(len(cfg.logicSettings.Classes)),
		limits:         cfg.Limits,
		finalWriteTime: finalWriteTime,

		acceptLog: logging.RateLimiter{Interval: acceptLogInterval},
		endLog:    newRequestEndLog(),
	}
	p.descriptors = newDescriptorBudget(cfg.Limits.Sockets - p.adminDescriptors())
	p.memory = memory.NewBudget(0)
	p.resizeMemory(cfg.Limits, 1)
	for i, c := range cfg.logicSettings.Classes {
		p.classes[c.Name] = i
		p.longestDeadline = max(p.longestDeadline, c.Deadline)
		if i == 0 || c.Deadline < p.shortestDeadline {
			p.shortestDeadline = c.Deadline
		}
	}
	p.clients = newClientConns()
	p.memory.Reclaim = p.clients.evictStalled
	p.streamPool = http1.NewStreamPool(p.memory, memory.Stream)
	p.uploadPool = http1.NewStreamPool(p.memory, memory.Upload)
	upstreamOptions := &upstream.Options{
		DialTimeout: settings.Duration(cfg.Settings.Limits.DialTimeoutMs),
		IdleTimeout: settings.Duration(cfg.Settings.Limits.ConnIdleMs),
		Descriptors: p.descriptors,
		Memory:      p.memory,
		KeepFields:  append(http1.FieldNames{headerNotProcessed}, forwardedResponseHeaders[:]...),
	}
	if upstreamOptions.DialTimeout == 0 {
		upstreamOptions.DialTimeout = defaultDialTimeout
	}
	if upstreamOptions.IdleTimeout == 0 {
		upstreamOptions.IdleTimeout = defaultIdleTimeout
	}
	p.list = discovery.New(cfg.Discovery, cfg.knownList.Rev, cfg.pacer())
	if cfg.pollList {
		p.list.MinCheckInterval = cfg.maxPollInterval
	} else {
		p.list.SetPushed(cfg.logicSettings.DrainGrace/2, cfg.logicSettings.DrainGrace) // the other half is for the send itself
	}
	p.driver = newDriver(cfg, upstreamOptions, p.stats)
	p.driver.requestListCheck = p.list.RequestCheck
	p.list.OnEnd = logWatchEnd
	p.list.OnFreshness = func(f discovery.Freshness) {
		p.driver.setListFreshness(f)
		p.readiness.recordList(f)
	}
	p.list.OnList = p.updateList
	p.descriptors.reclaimClients = p.clients.evictOldest
	p.descriptors.reclaim, p.clients.descriptorsShort, p.clients.descriptorWanted =
		p.reclaimDescriptors, p.descriptors.Scarce, p.descriptors.clientIsWaiting
	p.updateList(cfg.knownList)
	return p, nil
}

// logWatchEnd logs how a poll or a watch of the list ended, and how long the list may
// still be used: by its own freshness, and by what backends have served.
func logWatchEnd(end discovery.CallEnd) {
	log.Printf("event=watch_ended why=%s rev=%d waited_ms=%d fresh_ms=%d serving_ms=%d err=%q", end.Reason, end.Rev,
		end.Waited.Milliseconds(), time.Until(end.Freshness.Until).Milliseconds(),
		time.Until(end.Freshness.UntilIfServing).Milliseconds(), end.Err)
}

// Reload applies the part of cfg that a running proxy can change: the address of
// discovery and the limits. All other settings need a restart, since the balancing logic
// and the callers depend on them. After an error nothing has changed.
func (p *Proxy) Reload(cfg *Config) error {
	if err := cfg.ensureChecked(); err != nil {
		return err
	}
	p.limitsMu.Lock()
	defer p.limitsMu.Unlock()
	p.limits = cfg.Limits
	p.applyLimits()
	moved := p.list.SetSource(cfg.Discovery)
	log.Printf("event=reload discovery=%s moved=%t sockets=%d not_taken=%q",
		cfg.Discovery, moved, cfg.Limits.Sockets, strings.Join(p.cfg.changedFixedFields(cfg), ","))
	return nil
}

// Phase returns the current phase.
func (p *Proxy) Phase() Phase { return Phase(p.phase.Load()) }

func (p *Proxy) enterPhase(phase Phase) {
	p.phase.Store(int32(phase))
	log.Printf("event=phase phase=%s", phase)
}

// Ready reports whether the proxy can serve: it knows a backend, and has received a
// usable list or waited long enough for one.
func (p *Proxy) Ready() bool {
	return p.Phase() == Serving && p.driver.backendCount() > 0 && p.readiness.satisfied()
}

// Addr returns the listener's address, from Serving on.
func (p *Proxy) Addr() net.Addr { return p.listener.Addr() }

// adminDescriptors returns the number of descriptors set aside for the admin endpoint.
func (p *Proxy) adminDescriptors() int {
	if p.cfg.Admin == "" {
		return 0
	}
	return admin.MaxDescriptors
}

// Listen opens the listener, the shared state and the admin endpoint. Run calls it unless
// it has been called before.
func (p *Proxy) Listen() (err error) {
	if p.cfg.ListenFD != 0 {
		p.listener, err = inheritedListener(p.cfg.ListenFD)
	} else {
		var ln net.Listener
		if ln, err = net.Listen("tcp", p.cfg.Listen); err == nil {
			p.listener = ln.(listener)
		}
	}
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if p.shared, err = openSharedState(p.cfg.StateDir, p.cfg.Listen); err != nil {
		log.Printf("event=state_failed err=%q", err) // it serves, but without knowledge of other processes
	}
	if p.driver.ranIDs, err = openRequestIDs(p.shared.idsPath()); err != nil {
		log.Printf("event=state_failed err=%q", err)
	}
	p.setProcessCount(p.shared.processCount())
	p.syncDetached()
	if p.cfg.Admin != "" { // before serving, so that it can report not ready
		if p.adminEndpoint, err = admin.Listen(p.cfg.Admin, adminTarget{p}); err != nil {
			p.listener.Close()
			p.shared.close()
			return err
		}
	}
	return nil
}

// Run takes the proxy through its phases: it serves until ctx is done, then drains and
// returns once no request is in flight.
func (p *Proxy) Run(ctx context.Context) error {
	if p.listener == nil {
		if ctx.Err() != nil { // told to end before it listened: no client has connected
			p.enterPhase(Stopped)
			return nil
		}
		if err := p.Listen(); err != nil {
			return err
		}
	}
	background, stop := context.WithCancel(context.Background())
	p.tasks.Go(func() { p.list.Run(background) })
	p.tasks.Go(func() { p.housekeeping(background) })
	p.tasks.Go(func() { p.followSharedState(background) })
	p.tasks.Go(func() { p.retryDetachments(background) })

	log.Printf("event=start name=%q listen=%s tier=%d known=%d rev=%d",
		p.cfg.Name, p.Addr(), p.cfg.logicSettings.Tier, p.driver.backendCount(), p.cfg.knownList.Rev)
	p.readiness.start = time.Now()
	p.enterPhase(Serving)
	accepted := make(chan error, 1)
	go func() { accepted <- p.acceptLoop() }()
	var err error
	select {
	case err = <-accepted:
		p.setDrainEnd(time.Now().Add(p.longestDeadline))
		err = fmt.Errorf("accept: %w", err)
		p.listener.Close()
	case <-ctx.Done():
		p.drain(accepted)
	}

	p.enterPhase(Finishing)
	select {
	case <-p.clients.shutdown():
	case <-time.After(p.timeLeft()):
		p.driver.endAll()
		select {
		case <-p.clients.allClosed:
		case <-time.After(p.finalWriteTime):
			if p.clients.endLingering() > 0 {
				log.Printf("event=cut_off err=%q", "requests in flight past the end of the drain")
			} else {
				<-p.clients.allClosed
			}
		}
	}
	stop()
	if p.adminEndpoint != nil {
		p.adminEndpoint.Close()
	}
	for _, b := range p.driver.allBackends() {
		b.Close()
	}
	p.tasks.Wait()
	p.shared.close()
	p.stats.log(p)
	p.enterPhase(Stopped)
	return err
}

// drain accepts connections during the grace, and goes on answering on open connections
// until hardly an attempt fits into the time before the end. Requests get no more time
// than is left before the end, and the balancing logic refuses those that do not fit.
// Without the grace, callers would have no proxy to call while several proxies restart
// one after the other. An inherited listener is left to the process that replaces this
// one.
//
// The platform sets the end of the drain and does not wait for every deadline. A request
// accepted with a later deadline would be lost with the process.
func (p *Proxy) drain(accepted <-chan error) {
	end := time.Now().Add(p.cfg.Grace + min(p.longestDeadline, maxDrainTime))
	p.setDrainEnd(end)
	p.enterPhase(Draining)
	if p.cfg.ListenFD != 0 { // another process accepts; the kernel's backlog is left to it
		p.listener.SetDeadline(http1.ExpiredDeadline)
		p.descriptors.setWaitDeadline(time.Now())
		select {
		case <-accepted:
			p.listener.Close()
		case <-time.After(backlogDrainTime):
			// Blocked in the kernel (see setNonblocking); the end of the process ends it.
			log.Printf("event=accept_caught")
		}
	} else {
		graceEnd := time.Now().Add(p.cfg.Grace)
		p.listener.SetDeadline(graceEnd)
		p.descriptors.setWaitDeadline(graceEnd)
		<-accepted
		p.clients.add() // counts the kernel's backlog as a client, so that the drain does not end before it
		go func() {
			defer p.clients.remove()
			p.acceptBacklog(end.Add(p.finalWriteTime / 2))
			p.listener.Close()
		}()
	}
	for p.clients.count() > 0 && time.Now().Before(end.Add(-p.shortestDeadline/minAttemptDivisor)) {
		time.Sleep(drainPollInterval)
	}
}

// timeLeft returns the time until the end of a drain, or the longest deadline if there is
// no drain.
func (p *Proxy) timeLeft() time.Duration {
	if end := p.drainEnd.Load(); end != nil {
		return max(0, time.Until(*end))
	}
	return p.longestDeadline
}

// setDrainEnd sets the end of a drain. It keeps the monotonic reading, because the wall
// clock may be stepped meanwhile.
func (p *Proxy) setDrainEnd(end time.Time) { p.drainEnd.Store(&end) }

// serve handles the requests of a client connection, one after the other.
func (p *Proxy) serve(c *clientConn) {
	defer p.clients.remove()
	defer p.descriptors.releaseForClient()
	p.memory.Charge(memory.Connection, clientConnBytes, 0)
	defer p.memory.Release(memory.Connection, clientConnBytes)
	defer c.conn.Close()
	for p.exchangeRecovering(c) {
	}
	p.clients.linger(c)
}

// exchangeRecovering calls exchange, and keeps a panic in the handling of one request
// from ending the process. The request is answered as failed unless its response has
// begun; its connection is closed in any case. A panic inside the balancing logic is not
// recovered: its state can't be trusted any more, least of all for requests that must not
// run twice.
func (p *Proxy) exchangeRecovering(c *clientConn) (open bool) {
	c.responseStarted = false
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		if fault, ok := cause.(decisionPanic); ok {
			panic(fault)
		}
		p.stats.recoveredPanics.Add(1)
		log.Printf("event=panic client=%s err=%q stack=%q", c.conn.RemoteAddr(), fmt.Sprint(cause), debug.Stack())
		open = false
		if c.responseStarted {
			c.resetOnClose = true
			return
		}
		p.writeResponse(c, http.StatusBadGateway, nil, []byte("failed\n"), true)
	}()
	return p.exchange(c)
}

// reclaimDescriptors frees descriptors. Backend connections that rest after an exchange are
// closed first, as they serve nobody at the moment. If those are too few, it closes the backend
// connection that has been idle longest, and evicts as many client connections as there are
// still too many.
func (p *Proxy) reclaimDescriptors(excess int) {
	backends := p.driver.allBackends()
	for _, b := range backends {
		excess -= b.CloseResting(excess)
	}
	if excess <= 0 {
		return
	}
	var oldest *upstream.Backend
	var since time.Time
	for _, b := range backends {
		if t, ok := b.OldestIdleSince(); ok && (oldest == nil || t.Before(since)) {
			oldest, since = b, t
		}
	}
	if oldest != nil {
		oldest.CloseOldestIdle()
	}
	p.clients.evictOldest(excess)
}

// housekeeping closes backend connections that have been idle too long, and logs the
// statistics and each time that the list becomes stale.
func (p *Proxy) housekeeping(ctx context.Context) {
	reap, stats := time.NewTicker(reapInterval), time.NewTicker(statsInterval)
	defer reap.Stop()
	defer stats.Stop()
	wasStale := false
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-reap.C:
			for _, b := range p.driver.allBackends() {
				b.CloseExpired(now)
			}
			age, stale := p.list.Age()
			if stale && !wasStale {
				log.Printf("event=list_stale age=%.1f", age.Seconds())
			}
			wasStale = stale
		case <-stats.C:
			p.stats.log(p)
		}
	}
}
