package proxy

import (
	"fmt"
	"log"
	"strings"
	"sync/atomic"
	"time"

	"oxbowloft/internal/logging"
	"oxbowloft/logic"
)

// Guards are run-time checks of the invariants whose violation does most harm. Each kind
// of step has one, at the single place that all such steps pass. They rely on what the
// driver itself knows, not on conclusions of the balancing logic: a violation caused
// there or in between is counted, logged with ids and state, and shown at the admin
// endpoint, and the step is not taken. docs/invariants.md lists the checks.

// guard identifies the kind of step that is checked.
type guard int

const (
	guardStart guard = iota // an attempt starts only for an unanswered request whose client is connected
	guardSend               // it is sent only to a backend that the list has in service, with the remaining time as its deadline
	guardRetry              // a request that is not idempotent is not sent again once it may have run
	guardClose              // each accepted request ends with a response, unless its client has left
	guardCount
)

var guardNames = [...]string{"start", "send", "repeat", "close"}

// String returns the guard's name in logs and metrics.
func (g guard) String() string { return guardNames[g] }

// violationLogInterval limits the log lines about violations.
const violationLogInterval = 50 * time.Millisecond

// violations counts the steps that a guard has prevented or, if there is nothing to
// prevent, detected.
type violations struct {
	counts   [guardCount]atomic.Int64
	logLimit logging.RateLimiter
}

func newViolations() *violations {
	return &violations{logLimit: logging.RateLimiter{Interval: violationLogInterval, Burst: 20}}
}

// record counts and logs a violation.
func (v *violations) record(g guard, id, detail string) {
	n := v.counts[g].Add(1)
	if omitted, ok := v.logLimit.Allow(); ok {
		log.Printf("event=invariant_violated guard=%s id=%q count=%d left_out=%d detail=%q", g, id, n, omitted, detail)
	}
}

// metrics returns the counts in the text format of the admin endpoint's metrics.
func (v *violations) metrics() string {
	var b strings.Builder
	for g := range guardCount {
		fmt.Fprintf(&b, "balancer_invariant_violations{guard=%q} %d\n", g, v.counts[g].Load())
	}
	return b.String()
}

// checkStart reports whether an attempt may start, just before its first byte is written.
// The caller holds mu.
func (d *driver) checkStart(r *activeRequest) bool {
	switch {
	case r.clientLeft:
		d.violations.record(guardStart, r.clientID, "its client has disconnected")
	case d.requests[r.id] != r:
		d.violations.record(guardStart, r.clientID, "it has been answered already")
	default:
		return true
	}
	return false
}

// checkSend reports whether an attempt may be sent to its backend. The caller holds mu.
func (d *driver) checkSend(r *activeRequest, s step) bool {
	entry, known := d.backends[s.uid]
	switch {
	case !known || entry.Backend != s.backend:
		d.violations.record(guardSend, r.clientID, s.uid+" is no longer listed, or its address has changed")
	case entry.state != logic.Up:
		d.violations.record(guardSend, r.clientID, fmt.Sprintf("%s left service %v ago", s.uid, d.clock.now()-entry.leftServiceAt))
	case d.detached[s.uid]:
		d.violations.record(guardSend, r.clientID, s.uid+" is detached")
	default:
		return true
	}
	return false
}

// checkRetry reports whether another attempt may be made. The caller holds mu.
func (d *driver) checkRetry(r *activeRequest) bool {
	if r.mayHaveRun && r.idempotency == logic.NonIdempotent {
		d.violations.record(guardRetry, r.clientID, fmt.Sprintf("attempt %d of a non-idempotent request that may have run", r.attempts))
		return false
	}
	return true
}

// checkClosed checks how an accepted request has ended.
func (p *Proxy) checkClosed(c *clientConn, r *activeRequest, id string) {
	if !c.responseStarted && !c.resetOnClose && !c.closedMidMessage && !p.driver.clientHasLeft(r) {
		p.driver.violations.record(guardClose, id, "it ended without a response")
	}
}
