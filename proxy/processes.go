package proxy

import (
	"context"
	"log"
	"time"
)

// followSharedState follows the other processes that serve the same clients, until ctx is
// done: they share the limits, and a detachment applies in all of them.
func (p *Proxy) followSharedState(ctx context.Context) {
	tick := time.NewTicker(sharedStatePollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		p.setNonblocking()
		p.setProcessCount(p.shared.processCount())
		p.syncDetached("")
	}
}

// syncDetached applies what operators have changed, here and at other processes, and logs it.
// No other code detaches or attaches a backend. ownID is the backend that was changed at the
// admin endpoint of this process, or empty.
func (p *Proxy) syncDetached(ownID string) {
	p.detachMu.Lock()
	defer p.detachMu.Unlock()
	detached, attached := p.driver.applyDetached(p.shared.current())
	logChange := func(id string, out bool) {
		origin := " from=state"
		if id == ownID {
			origin = ""
		}
		log.Printf("event=by_hand id=%q out=%t%s", id, out, origin)
	}
	for _, id := range detached {
		logChange(id, true)
	}
	for _, id := range attached {
		logChange(id, false)
	}
}

// setProcessCount sets the number of processes that share the limits.
func (p *Proxy) setProcessCount(processes int) {
	p.limitsMu.Lock()
	defer p.limitsMu.Unlock()
	if processes == p.processCount {
		return
	}
	if max(processes, p.processCount) > 1 {
		log.Printf("event=processes count=%d", processes)
	}
	p.processCount = processes
	p.applyLimits()
}

// applyLimits applies the configured limits, divided by the number of processes. The
// caller holds limitsMu.
func (p *Proxy) applyLimits() {
	p.descriptors.resize(max(reservedDescriptors+minSharedSockets, p.limits.Sockets/max(1, p.processCount)-p.adminDescriptors()))
	if p.OnLimits != nil {
		p.OnLimits(p.limits, max(1, p.processCount))
	}
}
