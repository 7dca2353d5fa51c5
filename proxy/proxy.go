// Package proxy is the balancer on sockets: it takes requests from callers,
// does with each what the decision module says, and answers. It has no policy:
// facts of the transport go into the module, its actions come out.
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
	"oxbowloft/internal/settings"
	"oxbowloft/internal/upstream"
)

// Phase is where a proxy is in its life.
type Phase int32

// The phases, in order.
const (
	Starting  Phase = iota // knows its list, does not listen yet
	Serving                // ready, if it knows a backend
	Draining               // not ready; takes and answers what still comes
	Finishing              // closes what is idle; answers what it has
	Stopped
)

var phaseNames = [...]string{"starting", "serving", "draining", "finishing", "stopped"}

func (p Phase) String() string { return phaseNames[p] }

const (
	// finishSlack is what is left after the end of a drain to write answers.
	finalWriteTime = 100 * time.Millisecond
	// mostNotice bounds what a drain has beside its grace: the platform ends a process
	// that it has told to end after the longest deadline, but no later than after this,
	// and 0.7 s.
	maxDrainTime      = 3 * time.Second
	drainPollInterval = 10 * time.Millisecond
	// hardlyFits is the part of the shortest deadline, as a divisor, in which hardly an
	// attempt fits.
	minAttemptDivisor  = 4
	reapInterval       = 500 * time.Millisecond
	statsInterval      = 10 * time.Second
	defaultIdleTimeout = 10 * time.Second
	defaultDialTimeout = time.Second
	// transferShare is the part of the heap that long messages under way may hold.
	transferFraction = 0.25
)

// Proxy is one balancer on sockets.
type Proxy struct {
	cfg              *Config // of the start
	phase            atomic.Int32
	classes          map[string]int
	longestDeadline  time.Duration // deadline
	shortestDeadline time.Duration
	finalWriteTime   time.Duration             // finishSlack, but for tests
	drainEnd         atomic.Pointer[time.Time] // of a drain; nil: none. No answer comes after it
	descriptors      *descriptorBudget
	clients          *clientConns
	transfers        *http1.Transfers
	driver           *driver
	list             *discovery.Client
	readiness        readiness
	stats            *stats
	listener         listener
	acceptLog        logging.Limit // of accepts that failed
	endLog           *requestEndLog
	adminEndpoint    *admin.Door // nil: none
	tasks            sync.WaitGroup

	detachMu sync.Mutex // held while a ban is changed, in state and module
	shared   *sharedState

	limitsMu     sync.Mutex
	limits       Limits // of the newest configuration
	processCount int    // that share them

	// OnLimits, if set, is told the limits and how many processes share them, at the
	// start and whenever either changes.
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

		acceptLog: logging.Limit{Every: acceptLogInterval},
		endLog:    newRequestEndLog(),
	}
	p.descriptors = newDescriptorBudget(cfg.Limits.Sockets - p.adminDescriptors())
	for i, c := range cfg.logicSettings.Classes {
		p.classes[c.Name] = i
		p.longestDeadline = max(p.longestDeadline, c.Deadline)
		if i == 0 || c.Deadline < p.shortestDeadline {
			p.shortestDeadline = c.Deadline
		}
	}
	p.clients = newClientConns()
	p.transfers = http1.NewTransfers(int64(transferFraction * heapFraction * cfg.Limits.MemoryMB * (1 << 20)))
	opt := &upstream.Options{
		DialTimeout: settings.Duration(cfg.Settings.Limits.DialTimeout),
		IdleLimit:   settings.Duration(cfg.Settings.Limits.ConnIdle),
		Slots:       p.descriptors,
	}
	if opt.DialTimeout == 0 {
		opt.DialTimeout = defaultDialTimeout
	}
	if opt.IdleLimit == 0 {
		opt.IdleLimit = defaultIdleTimeout
	}
	p.list = discovery.New(cfg.Discovery, cfg.knownList.Rev, cfg.pacer())
	if cfg.pollList {
		p.list.CheckEvery = cfg.maxPollInterval
	} else {
		p.list.Pushed(cfg.logicSettings.Grace/2, cfg.logicSettings.Grace) // the other half is for the send itself
	}
	p.driver = newDriver(cfg, opt, p.stats)
	p.driver.askList = p.list.Check
	p.list.OnEnd = logWatchEnd
	p.list.OnFresh = func(f discovery.Fresh) {
		p.driver.listFresh(f)
		p.readiness.recordList(f)
	}
	p.list.OnList = p.driver.updateList
	p.descriptors.reclaim, p.clients.descriptorsShort, p.clients.descriptorWanted = p.reclaimDescriptors, p.descriptors.nearLimit, p.descriptors.clientIsWaiting
	p.driver.updateList(cfg.knownList)
	return p, nil
}

// logWatchEnd logs how a call for the list or a watch ended, and for how long the list may
// still be used: by what it holds, and by what backends have served.
func logWatchEnd(end discovery.End) {
	log.Printf("event=watch_ended why=%s rev=%d waited_ms=%d fresh_ms=%d serving_ms=%d err=%q", end.Why, end.Rev,
		end.Waited.Milliseconds(), time.Until(end.Fresh.Until).Milliseconds(),
		time.Until(end.Fresh.UntilServing).Milliseconds(), end.Err)
}

// Reload takes from cfg what a running proxy can: where discovery is, and how many
// descriptors there are. The rest is for a start: the module, and what callers were
// told, go by it. An error means that nothing was taken.
func (p *Proxy) Reload(cfg *Config) error {
	if err := cfg.ensureChecked(); err != nil {
		return err
	}
	p.limitsMu.Lock()
	defer p.limitsMu.Unlock()
	p.limits = cfg.Limits
	p.applyLimits()
	moved := p.list.Move(cfg.Discovery)
	log.Printf("event=reload discovery=%s moved=%t sockets=%d not_taken=%q",
		cfg.Discovery, moved, cfg.Limits.Sockets, strings.Join(p.cfg.changedFixedFields(cfg), ","))
	return nil
}

// Phase is where the proxy is in its life.
func (p *Proxy) Phase() Phase { return Phase(p.phase.Load()) }

func (p *Proxy) enterPhase(ph Phase) {
	p.phase.Store(int32(ph))
	log.Printf("event=phase phase=%s", ph)
}

// Ready tells whether the proxy can serve: it knows a backend, and has had a list that may be
// used, or has waited for one for long enough.
func (p *Proxy) Ready() bool {
	return p.Phase() == Serving && p.driver.backendCount() > 0 && p.readiness.satisfied()
}

// Addr is where the proxy listens, from Serving on.
func (p *Proxy) Addr() net.Addr { return p.listener.Addr() }

// doorSockets is how many descriptors are set aside for the operators' door.
func (p *Proxy) adminDescriptors() int {
	if p.cfg.Admin == "" {
		return 0
	}
	return admin.Descriptors
}

// Listen takes the proxy's place: the addresses, and what it shares with a process that
// it replaces. Run does it where it has not been done.
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
		log.Printf("event=state_failed err=%q", err) // it serves, but knows of no other
	}
	p.setProcessCount(p.shared.processCount())
	p.syncDetached()
	if p.cfg.Admin != "" { // before serving, so that it can say no
		if p.adminEndpoint, err = admin.Open(p.cfg.Admin, adminTarget{p}); err != nil {
			p.listener.Close()
			p.shared.close()
			return err
		}
	}
	return nil
}

// Run goes through the phases: it serves until ctx is over, then drains and
// returns once nothing is in flight.
func (p *Proxy) Run(ctx context.Context) error {
	if p.listener == nil {
		if ctx.Err() != nil { // told to end before it began: nobody has connected
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

// drain takes connections for as long as the grace says, and goes on answering on
// those that are open until so little is left before the end that hardly an attempt
// fits: the module gets no more time than that, and refuses what does not. Guards
// against callers with nobody to ask while several proxies start again one after the
// other. An inherited listener is left to the process that replaces this one.
//
// The end is the platform's, which does not wait for every deadline: guards against
// requests that were taken with more time than there is, and are lost with the process.
func (p *Proxy) drain(accepted <-chan error) {
	end := time.Now().Add(p.cfg.Grace + min(p.longestDeadline, maxDrainTime))
	p.setDrainEnd(end)
	p.enterPhase(Draining)
	if p.cfg.ListenFD != 0 { // another process accepts, and what waits in the kernel is its
		p.listener.SetDeadline(http1.LongAgo)
		p.descriptors.setWaitDeadline(time.Now())
		select {
		case <-accepted:
			p.listener.Close()
		case <-time.After(backlogDrainTime):
			// Caught in the kernel (neverBlocks says how); the end of the process ends it.
			log.Printf("event=accept_caught")
		}
	} else {
		graceEnd := time.Now().Add(p.cfg.Grace)
		p.listener.SetDeadline(graceEnd)
		p.descriptors.setWaitDeadline(graceEnd)
		<-accepted
		p.clients.add() // what waits in the kernel is a client, too: nothing ends before it
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

// left is the time until the end of a drain; where there is none, the longest
// deadline.
func (p *Proxy) timeLeft() time.Duration {
	if end := p.drainEnd.Load(); end != nil {
		return max(0, time.Until(*end))
	}
	return p.longestDeadline
}

// endBy sets the end of a drain. It is kept with its monotonic reading: the wall clock may
// be stepped meanwhile.
func (p *Proxy) setDrainEnd(end time.Time) { p.drainEnd.Store(&end) }

// serve takes one request after another from a client.
func (p *Proxy) serve(c *clientConn) {
	defer p.clients.remove()
	defer p.descriptors.releaseForClient()
	defer c.conn.Close()
	for p.exchangeRecovering(c) {
	}
	p.clients.linger(c)
}

// exchangeOnce does as exchange, and keeps a panic on the way of one request from ending
// the process with all others. The request is answered as failed where no answer has begun;
// its connection is closed in any case. A panic inside the decision module is not caught:
// what it knows can't be relied on from then on, least of all for what must not run twice.
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

// relieve frees descriptors: of backends' connections the one that has been
// idle for longest, of callers' as many as there are too many.
func (p *Proxy) reclaimDescriptors(excess int) {
	var oldest *upstream.Backend
	var since time.Time
	for _, b := range p.driver.allBackends() {
		if t, ok := b.Oldest(); ok && (oldest == nil || t.Before(since)) {
			oldest, since = b, t
		}
	}
	if oldest != nil {
		oldest.CloseOldest()
	}
	p.clients.evictOldest(excess)
}

// housekeeping closes connections to backends that have been idle for long, and
// logs the counts and each time that the list becomes stale.
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
				b.Reap(now)
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
