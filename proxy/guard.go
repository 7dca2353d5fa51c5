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
	guardStart  guard = iota // an attempt starts only for a request that is open, whose client is there
	guardSend                // it is sent only to what the list has in service, with the time that is left
	guardRepeat              // what must not run twice is not sent again once it may have run
	guardClose               // a request that was taken ends with an answer, or its client has gone
	guards
)

var guardNames = [...]string{"start", "send", "repeat", "close"}

// String is the guard's word in the log and the figures.
func (g guard) String() string { return guardNames[g] }

// violationEvery bounds the lines about violations.
const violationEvery = 50 * time.Millisecond

// violations counts steps that a guard has stopped, or, where there is nothing to stop, seen.
type violations struct {
	counts [guards]atomic.Int64
	limit  logging.RateLimiter
}

func newViolations() *violations {
	return &violations{limit: logging.RateLimiter{Interval: violationEvery, Burst: 20}}
}

// count notes a violation.
func (v *violations) count(g guard, id, detail string) {
	n := v.counts[g].Add(1)
	if leftOut, ok := v.limit.Allow(); ok {
		log.Printf("event=invariant_violated guard=%s id=%q count=%d left_out=%d detail=%q", g, id, n, leftOut, detail)
	}
}

// figures are the counts in the text form of the operators' figures.
func (v *violations) figures() string {
	var b strings.Builder
	for g := range guards {
		fmt.Fprintf(&b, "balancer_invariant_violations{guard=%q} %d\n", g, v.counts[g].Load())
	}
	return b.String()
}

// mayStart checks that an attempt may start, just before its first byte. The caller holds mu.
func (d *driver) mayStart(r *call) bool {
	switch {
	case r.left:
		d.violations.count(guardStart, r.name, "its client has left")
	case d.calls[r.id] != r:
		d.violations.count(guardStart, r.name, "it has its answer")
	default:
		return true
	}
	return false
}

// maySend checks that an attempt may be sent to its backend. The caller holds mu.
func (d *driver) maySend(r *call, s step) bool {
	at, known := d.backends[s.uid]
	switch {
	case !known || at.Backend != s.to:
		d.violations.count(guardSend, r.name, s.uid+" is gone, or has moved")
	case at.state != logic.Up:
		d.violations.count(guardSend, r.name, fmt.Sprintf("%s is leaving since %v", s.uid, d.clock.now()-at.leaving))
	case d.byHandOut[s.uid]:
		d.violations.count(guardSend, r.name, s.uid+" is out by hand")
	default:
		return true
	}
	return false
}

// mayRepeat checks that another attempt may be made. The caller holds mu.
func (d *driver) mayRepeat(r *call) bool {
	if r.ran && r.repeat == logic.NonIdempotent {
		d.violations.count(guardRepeat, r.name, fmt.Sprintf("attempt %d after one that may have run", r.sends))
		return false
	}
	return true
}

// closed checks how a request that was taken has ended.
func (p *Proxy) closed(c *client, r *call, id string) {
	if !c.answering && !c.reset && !c.departed && !p.driver.hasLeft(r) {
		p.driver.violations.count(guardClose, id, "it ended with no answer")
	}
}
