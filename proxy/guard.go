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

// Guards are run-time checks of the promises that are broken worst, one for each kind of
// step, at the one place through which all such steps go. They go by what the driver knows
// itself, not by what the decision module concluded from it: a mistake there, or in between,
// is counted, logged with ids and state, shown at the admin endpoint, and the step is not
// taken. docs/invariants.md lists what they check.

// guard is one of the kinds of steps.
type guard int

// The guards.
const (
	guardStart guard = iota // an attempt starts only for a request that is open, whose client is there
	guardSend               // it is sent only to what the list has in service, with the time that is left
	guardRetry              // what must not run twice is not sent again once it may have run
	guardClose              // a request that was taken ends with an answer, or its client has gone
	guardCount
)

var guardNames = [...]string{"start", "send", "repeat", "close"}

// String is the guard's word in the log and the figures.
func (g guard) String() string { return guardNames[g] }

// violationEvery bounds the lines about violations.
const violationLogInterval = 50 * time.Millisecond

// violations counts steps that a guard has stopped, or, where there is nothing to stop, seen.
type violations struct {
	counts   [guardCount]atomic.Int64
	logLimit logging.Limit
}

func newViolations() *violations {
	return &violations{logLimit: logging.Limit{Every: violationLogInterval, Burst: 20}}
}

// count notes a violation.
func (v *violations) record(g guard, id, detail string) {
	n := v.counts[g].Add(1)
	if omitted, ok := v.logLimit.Allow(); ok {
		log.Printf("event=invariant_violated guard=%s id=%q count=%d left_out=%d detail=%q", g, id, n, omitted, detail)
	}
}

// figures are the counts in the text form of the operators' figures.
func (v *violations) metrics() string {
	var b strings.Builder
	for g := range guardCount {
		fmt.Fprintf(&b, "balancer_invariant_violations{guard=%q} %d\n", g, v.counts[g].Load())
	}
	return b.String()
}

// mayStart checks that an attempt may start, just before its first byte. The caller holds mu.
func (d *driver) checkStart(r *activeRequest) bool {
	switch {
	case r.clientLeft:
		d.violations.record(guardStart, r.clientID, "its client has left")
	case d.requests[r.id] != r:
		d.violations.record(guardStart, r.clientID, "it has its answer")
	default:
		return true
	}
	return false
}

// maySend checks that an attempt may be sent to its backend. The caller holds mu.
func (d *driver) checkSend(r *activeRequest, s step) bool {
	entry, known := d.backends[s.uid]
	switch {
	case !known || entry.Backend != s.backend:
		d.violations.record(guardSend, r.clientID, s.uid+" is gone, or has moved")
	case entry.state != logic.Up:
		d.violations.record(guardSend, r.clientID, fmt.Sprintf("%s is leaving since %v", s.uid, d.clock.now()-entry.leftServiceAt))
	case d.detached[s.uid]:
		d.violations.record(guardSend, r.clientID, s.uid+" is out by hand")
	default:
		return true
	}
	return false
}

// mayRepeat checks that another attempt may be made. The caller holds mu.
func (d *driver) checkRetry(r *activeRequest) bool {
	if r.mayHaveRun && r.idempotency == logic.Unsafe {
		d.violations.record(guardRetry, r.clientID, fmt.Sprintf("attempt %d after one that may have run", r.attempts))
		return false
	}
	return true
}

// closed checks how a request that was taken has ended.
func (p *Proxy) checkClosed(c *clientConn, r *activeRequest, id string) {
	if !c.responseStarted && !c.resetOnClose && !c.closedMidMessage && !p.driver.clientHasLeft(r) {
		p.driver.violations.record(guardClose, id, "it ended with no answer")
	}
}
