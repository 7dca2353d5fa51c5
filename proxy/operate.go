package proxy

import (
	"context"
	"errors"
	"fmt"
	"log"
	"strings"
	"time"
)

// operated is the proxy as the operators' door sees it.
type operated struct{ p *Proxy }

// Ping tells whether this process can serve.
func (o operated) Ping() error {
	switch ph := o.p.Phase(); {
	case ph != Serving:
		return errors.New(ph.String())
	case !o.p.Ready():
		return errors.New("no backend known")
	}
	return nil
}

// Info is the figures, in the text form of the field's monitoring programs.
func (o operated) Info() string {
	var b strings.Builder
	s := o.p.stats
	for _, f := range []struct {
		name string
		of   int
	}{{"fulfilled", fulfilled}, {"throttled", throttled}, {"faulted", faulted}} {
		for i, c := range o.p.cfg.logic.Classes {
			fmt.Fprintf(&b, "balancer_%s{priority=%q} %d\n", f.name, c.Name, s.ends[i][f.of].Load())
		}
	}
	listed, avoided := o.p.driver.listed()
	fmt.Fprintf(&b, "balancer_relayed %d\nbalancer_open_requests %d\nbalancer_registry_entries %d\n"+
		"balancer_out_of_rotation %d\n", o.p.driver.opt.RequestsWritten.Load(), s.open.Load(), listed, avoided)
	b.WriteString(o.p.driver.violations.figures())
	return b.String()
}

var errNobody = errors.New("nobody has this id")

// Detach takes a backend out by hand, here and in the process that replaces this one.
func (o operated) Detach(id string) error { return o.change(id, true) }

// Attach ends that.
func (o operated) Attach(id string) error { return o.change(id, false) }

func (o operated) change(id string, ban bool) error {
	if !o.p.driver.knows(id) {
		return errNobody
	}
	if ban && o.p.state.count() >= maxBans {
		return fmt.Errorf("%d backends are out by hand", maxBans)
	}
	o.p.hands.Lock()
	defer o.p.hands.Unlock()
	if err := o.p.state.change(id, ban); err != nil { // it holds in this process all the same
		log.Printf("event=bans_unwritten err=%q", err)
	}
	o.p.driver.byHand(id, ban)
	log.Printf("event=by_hand id=%q out=%t", id, ban)
	return nil
}

// follow keeps to what another process does that serves the same clients, until ctx is
// over: the limits are for all of them together, and bans hold in all.
func (p *Proxy) follow(ctx context.Context) {
	tick := time.NewTicker(followEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		p.neverBlocks()
		p.share(p.state.processes())
		p.followBans()
	}
}

func (p *Proxy) followBans() {
	p.hands.Lock()
	defer p.hands.Unlock()
	out, in := p.state.follow()
	for _, id := range out {
		p.driver.byHand(id, true)
		log.Printf("event=by_hand id=%q out=true from=state", id)
	}
	for _, id := range in {
		p.driver.byHand(id, false)
		log.Printf("event=by_hand id=%q out=false from=state", id)
	}
}

// share makes the limits those of one of several processes.
func (p *Proxy) share(processes int) {
	p.reloads.Lock()
	defer p.reloads.Unlock()
	if processes == p.processes {
		return
	}
	if max(processes, p.processes) > 1 {
		log.Printf("event=processes count=%d", processes)
	}
	p.processes = processes
	p.applyLimits()
}

// applyLimits makes the limits in force those of the configuration, by the number of
// processes. The caller holds reloads.
func (p *Proxy) applyLimits() {
	p.sockets.resize(max(ownSockets+leastShared, p.limits.Sockets/max(1, p.processes)-p.doorSockets()))
	if p.OnLimits != nil {
		p.OnLimits(p.limits, max(1, p.processes))
	}
}
