package proxy

import (
	"context"
	"log"
	"time"

	"oxbowloft/logic"
)

// Methods that the balancing logic calls while the driver's lock is held. What they do is
// handed to the request that it concerns, or deferred until the lock is released.

// statusLogInterval limits the log lines about backends that are ejected or return.
const statusLogInterval = 100 * time.Millisecond

// Send implements logic.Actions.
func (d *driver) Send(request, backend string, timeout time.Duration) {
	r := d.requests[request]
	s := step{kind: stepSend, attempt: r.attempts, uid: backend, backend: d.backends[backend].Backend, sentAt: time.Now()}
	s.timeout = timeout
	s.withheld = r.attempts > 0 && !d.checkRetry(r)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	r.cancel, r.written = s.cancel, false
	r.steps <- s
	r.attempts++
}

// Refuse implements logic.Actions.
func (d *driver) Refuse(request string, retryAfter time.Duration, cause logic.Cause) {
	d.requests[request].steps <- step{kind: stepRefuse, retryAfter: retryAfter, cause: cause}
}

// Fail implements logic.Actions.
func (d *driver) Fail(request string, cause logic.Cause) {
	d.requests[request].steps <- step{kind: stepFail, cause: cause}
}

// Cancel implements logic.Actions.
func (d *driver) Cancel(request string, attempt int) {
	if r := d.requests[request]; r != nil && r.attempts == attempt+1 {
		r.cancel()
	}
}

// StartTimer implements logic.Actions.
func (d *driver) StartTimer(token uint64, after time.Duration) {
	due := time.Now().Add(after)
	timer := time.AfterFunc(after, func() {
		d.stats.recordTimerDelay(time.Since(due))
		d.timerFired(token)
	})
	if d.current != nil {
		d.current.backoffTimer = timer
	}
}

// BackendStatusChanged implements logic.Observer.
func (d *driver) BackendStatusChanged(backend string, s logic.BackendStatus, failures float64) {
	if omitted, ok := d.statusLog.Allow(); ok {
		log.Printf("event=backend uid=%s standing=%s failures=%.2f left_out=%d", backend, s, failures, omitted)
	}
}

// RequestList implements logic.ListRequester.
func (d *driver) RequestList() {
	if d.requestListCheck != nil {
		d.deferred = append(d.deferred, d.requestListCheck)
	}
}

// CloseIdle implements logic.Actions.
func (d *driver) CloseIdle(backend string) {
	// Detached at once, since the balancing logic may send to it next; closed later.
	if b, ok := d.backends[backend]; ok {
		d.deferred = append(d.deferred, b.RemoveIdle())
	}
}
