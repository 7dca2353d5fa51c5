package proxy

import (
	"errors"
	"fmt"
	"log"
	"strings"
)

// adminTarget is the proxy as the admin endpoint uses it.
type adminTarget struct{ proxy *Proxy }

// Ping returns an error unless this process can serve.
func (o adminTarget) Ping() error {
	switch phase := o.proxy.Phase(); {
	case phase != Serving:
		return errors.New(phase.String())
	case !o.proxy.Ready():
		return errors.New("no backend known")
	}
	return nil
}

// Info returns the metrics in the Prometheus text format.
func (o adminTarget) Info() string {
	var b strings.Builder
	stats := o.proxy.stats
	for _, metric := range []struct {
		name    string
		outcome int
	}{{"fulfilled", fulfilled}, {"throttled", throttled}, {"faulted", faulted}} {
		for i, c := range o.proxy.cfg.logicSettings.Classes {
			fmt.Fprintf(&b, "balancer_%s{priority=%q} %d\n", metric.name, c.Name, stats.outcomes[i][metric.outcome].Load())
		}
	}
	listed, avoided := o.proxy.driver.backendCounts()
	fmt.Fprintf(&b, "balancer_relayed %d\nbalancer_open_requests %d\nbalancer_registry_entries %d\n"+
		"balancer_out_of_rotation %d\n", o.proxy.driver.upstreamOptions.RequestsWritten.Load(), o.proxy.driver.openRequestCount(), listed, avoided)
	b.WriteString(o.proxy.driver.violations.metrics())
	return b.String()
}

var (
	errUnknownBackend = errors.New("nobody has this id")
	errNotShared      = errors.New("in effect at this process, not yet at others")
)

// Detach takes a backend out of service, in this process and in all others that run or start.
// After an error it may be in effect in this process alone.
func (o adminTarget) Detach(id string) error { return o.setDetached(id, true) }

// Attach ends a detachment.
func (o adminTarget) Attach(id string) error { return o.setDetached(id, false) }

func (o adminTarget) setDetached(id string, detach bool) error {
	p := o.proxy
	p.syncDetached() // another process may have made the backend known, or taken it out
	if !p.driver.knows(id) {
		return errUnknownBackend
	}
	if err := p.changeDetached(id, detach); err != nil {
		return err
	}
	if err := p.shared.flush(); err != nil {
		log.Printf("event=bans_unwritten err=%q", err)
		return fmt.Errorf("%w: %w", errNotShared, err)
	}
	return nil
}
