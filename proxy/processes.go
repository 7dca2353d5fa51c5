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
		p.syncDetached()
	}
}

// retryDetachments writes changes that could not be written when they were made, until ctx is
// done. A slow disk holds up no other work.
func (p *Proxy) retryDetachments(ctx context.Context) {
	tick := time.NewTicker(writeRetryInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			p.shared.retry()
		}
	}
}

// syncDetached applies what operators have changed, here and at other processes.
func (p *Proxy) syncDetached() {
	p.detachMu.Lock()
	defer p.detachMu.Unlock()
	p.applyDetached(" from=state")
}

// changeDetached makes an operator's change in this process.
func (p *Proxy) changeDetached(id string, detach bool) error {
	p.detachMu.Lock()
	defer p.detachMu.Unlock()
	p.applyDetached(" from=state") // so that what follows is of this change alone
	if err := p.shared.propose(id, detach); err != nil {
		return err
	}
	p.applyDetached("")
	return nil
}

// applyDetached tells the balancing logic which backends are detached now, and logs what has
// changed with its origin. No other code detaches or attaches a backend. The caller holds
// detachMu.
func (p *Proxy) applyDetached(origin string) {
	detached, attached := p.driver.applyDetached(p.shared.current())
	for _, id := range detached {
		log.Printf("event=by_hand id=%q out=true%s", id, origin)
	}
	for _, id := range attached {
		log.Printf("event=by_hand id=%q out=false%s", id, origin)
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
	p.resizeMemory(p.limits, p.processCount)
	if p.OnLimits != nil {
		p.OnLimits(p.limits, max(1, p.processCount))
	}
}
