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

var phases = [...]string{"starting", "serving", "draining", "finishing", "stopped"}

func (p Phase) String() string { return phases[p] }

const (
	// finishSlack is what is left after the end of a drain to write answers.
	finishSlack = 100 * time.Millisecond
	// mostNotice bounds what a drain has beside its grace: the platform ends a process
	// that it has told to end after the longest deadline, but no later than after this,
	// and 0.7 s.
	mostNotice   = 3 * time.Second
	drainedEvery = 10 * time.Millisecond
	// hardlyFits is the part of the shortest deadline, as a divisor, in which hardly an
	// attempt fits.
	hardlyFits  = 4
	reapEvery   = 500 * time.Millisecond
	statsEvery  = 10 * time.Second
	defaultIdle = 10 * time.Second
	defaultDial = time.Second
	// transferShare is the part of the heap that long messages under way may hold.
	transferShare = 0.25
)

// Proxy is one balancer on sockets.
type Proxy struct {
	cfg       *Config // of the start
	phase     atomic.Int32
	classes   map[string]int
	longest   time.Duration // deadline
	shortest  time.Duration
	slack     time.Duration             // finishSlack, but for tests
	end       atomic.Pointer[time.Time] // of a drain; nil: none. No answer comes after it
	sockets   *sockets
	clients   *clients
	transfers *http1.StreamPool
	driver    *driver
	list      *discovery.Client
	readiness readiness
	stats     *stats
	listener  listener
	acceptLog logging.RateLimiter // of accepts that failed
	endLog    *endLog
	door      *admin.Server // nil: none
	tasks     sync.WaitGroup

	hands sync.Mutex // held while a ban is changed, in state and module
	state *state

	reloads   sync.Mutex
	limits    Limits // of the newest configuration
	processes int    // that share them

	// OnLimits, if set, is told the limits and how many processes share them, at the
	// start and whenever either changes.
	OnLimits func(l Limits, processes int)
}

// New returns a proxy that knows its list and does not listen yet.
func New(cfg *Config) (*Proxy, error) {
	if err := cfg.ensure(); err != nil {
		return nil, err
	}
	p := &Proxy{
		cfg:     cfg,
		classes: map[string]int{},
		stats:   newStats(len(cfg.logic.Classes)),
		limits:  cfg.Limits,
		slack:   finishSlack,

		acceptLog: logging.RateLimiter{Interval: acceptLogEvery},
		endLog:    newEndLog(),
	}
	p.sockets = newSockets(cfg.Limits.Sockets - p.doorSockets())
	for i, c := range cfg.logic.Classes {
		p.classes[c.Name] = i
		p.longest = max(p.longest, c.Deadline)
		if i == 0 || c.Deadline < p.shortest {
			p.shortest = c.Deadline
		}
	}
	p.clients = newClients()
	p.transfers = http1.NewStreamPool(int64(transferShare * heapShare * cfg.Limits.MemoryMB * (1 << 20)))
	opt := &upstream.Options{
		DialTimeout: settings.Duration(cfg.Settings.Limits.DialTimeoutMs),
		IdleTimeout: settings.Duration(cfg.Settings.Limits.ConnIdleMs),
		Descriptors: p.sockets,
	}
	if opt.DialTimeout == 0 {
		opt.DialTimeout = defaultDial
	}
	if opt.IdleTimeout == 0 {
		opt.IdleTimeout = defaultIdle
	}
	p.list = discovery.New(cfg.Discovery, cfg.known.Rev, cfg.pacer())
	if cfg.listAsked {
		p.list.MinCheckInterval = cfg.askWithin
	} else {
		p.list.SetPushed(cfg.logic.DrainGrace/2, cfg.logic.DrainGrace) // the other half is for the send itself
	}
	p.driver = newDriver(cfg, opt, p.stats)
	p.driver.askList = p.list.RequestCheck
	p.list.OnEnd = logWatchEnd
	p.list.OnFreshness = func(f discovery.Freshness) {
		p.driver.listFresh(f)
		p.readiness.note(f)
	}
	p.list.OnList = p.driver.list
	p.sockets.relieve, p.clients.short, p.clients.wanted = p.relieve, p.sockets.short, p.sockets.wanted
	p.driver.list(cfg.known)
	return p, nil
}

// logWatchEnd logs how a call for the list or a watch ended, and for how long the list may
// still be used: by what it holds, and by what backends have served.
func logWatchEnd(end discovery.CallEnd) {
	log.Printf("event=watch_ended why=%s rev=%d waited_ms=%d fresh_ms=%d serving_ms=%d err=%q", end.Reason, end.Rev,
		end.Waited.Milliseconds(), time.Until(end.Freshness.Until).Milliseconds(),
		time.Until(end.Freshness.UntilIfServing).Milliseconds(), end.Err)
}

// Reload takes from cfg what a running proxy can: where discovery is, and how many
// descriptors there are. The rest is for a start: the module, and what callers were
// told, go by it. An error means that nothing was taken.
func (p *Proxy) Reload(cfg *Config) error {
	if err := cfg.ensure(); err != nil {
		return err
	}
	p.reloads.Lock()
	defer p.reloads.Unlock()
	p.limits = cfg.Limits
	p.applyLimits()
	moved := p.list.SetSource(cfg.Discovery)
	log.Printf("event=reload discovery=%s moved=%t sockets=%d not_taken=%q",
		cfg.Discovery, moved, cfg.Limits.Sockets, strings.Join(p.cfg.fixed(cfg), ","))
	return nil
}

// Phase is where the proxy is in its life.
func (p *Proxy) Phase() Phase { return Phase(p.phase.Load()) }

func (p *Proxy) enter(ph Phase) {
	p.phase.Store(int32(ph))
	log.Printf("event=phase phase=%s", ph)
}

// Ready tells whether the proxy can serve: it knows a backend, and has had a list that may be
// used, or has waited for one for long enough.
func (p *Proxy) Ready() bool {
	return p.Phase() == Serving && p.driver.known() > 0 && p.readiness.reached()
}

// Addr is where the proxy listens, from Serving on.
func (p *Proxy) Addr() net.Addr { return p.listener.Addr() }

// doorSockets is how many descriptors are set aside for the operators' door.
func (p *Proxy) doorSockets() int {
	if p.cfg.Admin == "" {
		return 0
	}
	return admin.MaxDescriptors
}

// Listen takes the proxy's place: the addresses, and what it shares with a process that
// it replaces. Run does it where it has not been done.
func (p *Proxy) Listen() (err error) {
	if p.cfg.ListenFD != 0 {
		p.listener, err = inherited(p.cfg.ListenFD)
	} else {
		var ln net.Listener
		if ln, err = net.Listen("tcp", p.cfg.Listen); err == nil {
			p.listener = ln.(listener)
		}
	}
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if p.state, err = openState(p.cfg.StateDir, p.cfg.Listen); err != nil {
		log.Printf("event=state_failed err=%q", err) // it serves, but knows of no other
	}
	p.share(p.state.processes())
	p.followBans()
	if p.cfg.Admin != "" { // before serving, so that it can say no
		if p.door, err = admin.Listen(p.cfg.Admin, operated{p}); err != nil {
			p.listener.Close()
			p.state.close()
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
			p.enter(Stopped)
			return nil
		}
		if err := p.Listen(); err != nil {
			return err
		}
	}
	background, stop := context.WithCancel(context.Background())
	p.tasks.Go(func() { p.list.Run(background) })
	p.tasks.Go(func() { p.housekeeping(background) })
	p.tasks.Go(func() { p.follow(background) })

	log.Printf("event=start name=%q listen=%s tier=%d known=%d rev=%d",
		p.cfg.Name, p.Addr(), p.cfg.logic.Tier, p.driver.known(), p.cfg.known.Rev)
	p.readiness.began = time.Now()
	p.enter(Serving)
	accepted := make(chan error, 1)
	go func() { accepted <- p.accept() }()
	var err error
	select {
	case err = <-accepted:
		p.endBy(time.Now().Add(p.longest))
		err = fmt.Errorf("accept: %w", err)
		p.listener.Close()
	case <-ctx.Done():
		p.drain(accepted)
	}

	p.enter(Finishing)
	select {
	case <-p.clients.close():
	case <-time.After(p.left()):
		p.driver.end()
		select {
		case <-p.clients.empty:
		case <-time.After(p.slack):
			if p.clients.hurryAll() > 0 {
				log.Printf("event=cut_off err=%q", "requests in flight past the end of the drain")
			} else {
				<-p.clients.empty
			}
		}
	}
	stop()
	if p.door != nil {
		p.door.Close()
	}
	for _, b := range p.driver.all() {
		b.Close()
	}
	p.tasks.Wait()
	p.state.close()
	p.stats.log(p)
	p.enter(Stopped)
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
	end := time.Now().Add(p.cfg.Grace + min(p.longest, mostNotice))
	p.endBy(end)
	p.enter(Draining)
	if p.cfg.ListenFD != 0 { // another process accepts, and what waits in the kernel is its
		p.listener.SetDeadline(http1.ExpiredDeadline)
		p.sockets.waitUntil(time.Now())
		select {
		case <-accepted:
			p.listener.Close()
		case <-time.After(restMost):
			// Caught in the kernel (neverBlocks says how); the end of the process ends it.
			log.Printf("event=accept_caught")
		}
	} else {
		over := time.Now().Add(p.cfg.Grace)
		p.listener.SetDeadline(over)
		p.sockets.waitUntil(over)
		<-accepted
		p.clients.add() // what waits in the kernel is a client, too: nothing ends before it
		go func() {
			defer p.clients.remove()
			p.acceptRest(end.Add(p.slack / 2))
			p.listener.Close()
		}()
	}
	for p.clients.count() > 0 && time.Now().Before(end.Add(-p.shortest/hardlyFits)) {
		time.Sleep(drainedEvery)
	}
}

// left is the time until the end of a drain; where there is none, the longest
// deadline.
func (p *Proxy) left() time.Duration {
	if end := p.end.Load(); end != nil {
		return max(0, time.Until(*end))
	}
	return p.longest
}

// endBy sets the end of a drain. It is kept with its monotonic reading: the wall clock may
// be stepped meanwhile.
func (p *Proxy) endBy(end time.Time) { p.end.Store(&end) }

// serve takes one request after another from a client.
func (p *Proxy) serve(c *client) {
	defer p.clients.remove()
	defer p.sockets.leave()
	defer c.conn.Close()
	for p.exchangeOnce(c) {
	}
	p.clients.linger(c)
}

// exchangeOnce does as exchange, and keeps a panic on the way of one request from ending
// the process with all others. The request is answered as failed where no answer has begun;
// its connection is closed in any case. A panic inside the decision module is not caught:
// what it knows can't be relied on from then on, least of all for what must not run twice.
func (p *Proxy) exchangeOnce(c *client) (open bool) {
	c.answering = false
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		if fault, ok := cause.(moduleFault); ok {
			panic(fault)
		}
		p.stats.recovered.Add(1)
		log.Printf("event=panic client=%s err=%q stack=%q", c.conn.RemoteAddr(), fmt.Sprint(cause), debug.Stack())
		open = false
		if c.answering {
			c.reset = true
			return
		}
		p.write(c, http.StatusBadGateway, nil, []byte("failed\n"), true)
	}()
	return p.exchange(c)
}

// relieve frees descriptors: of backends' connections the one that has been
// idle for longest, of callers' as many as there are too many.
func (p *Proxy) relieve(excess int) {
	var oldest *upstream.Backend
	var since time.Time
	for _, b := range p.driver.all() {
		if t, ok := b.OldestIdleSince(); ok && (oldest == nil || t.Before(since)) {
			oldest, since = b, t
		}
	}
	if oldest != nil {
		oldest.CloseOldestIdle()
	}
	p.clients.nudgeOldest(excess)
}

// housekeeping closes connections to backends that have been idle for long, and
// logs the counts and each time that the list becomes stale.
func (p *Proxy) housekeeping(ctx context.Context) {
	reap, count := time.NewTicker(reapEvery), time.NewTicker(statsEvery)
	defer reap.Stop()
	defer count.Stop()
	wasStale := false
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-reap.C:
			for _, b := range p.driver.all() {
				b.CloseExpired(now)
			}
			age, stale := p.list.Age()
			if stale && !wasStale {
				log.Printf("event=list_stale age=%.1f", age.Seconds())
			}
			wasStale = stale
		case <-count.C:
			p.stats.log(p)
		}
	}
}
