package proxy

import (
	"context"
	"log"
	"time"

	"oxbowloft/logic"
)

// What the module asks for. It calls these while the driver's lock is held: what they do is
// handed to the request that it is for, or kept until the lock is free.

// standingEvery bounds the lines about backends that are ejected and return.
const standingEvery = 100 * time.Millisecond

// Send implements logic.Actions.
func (d *driver) Send(request, backend string, timeout time.Duration) {
	r := d.calls[request]
	s := step{kind: stepSend, attempt: r.sends, uid: backend, to: d.backends[backend].Backend, sent: time.Now()}
	s.timeout = timeout
	s.withheld = r.sends > 0 && !d.mayRepeat(r)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	r.cancel, r.begun = s.cancel, false
	r.steps <- s
	r.sends++
}

// Refuse implements logic.Actions.
func (d *driver) Refuse(request string, comeBack time.Duration, why logic.Cause) {
	d.calls[request].steps <- step{kind: stepRefuse, comeBack: comeBack, why: why}
}

// Fail implements logic.Actions.
func (d *driver) Fail(request string, why logic.Cause) {
	d.calls[request].steps <- step{kind: stepFail, why: why}
}

// Cancel implements logic.Actions.
func (d *driver) Cancel(request string, attempt int) {
	if r := d.calls[request]; r != nil && r.sends == attempt+1 {
		r.cancel()
	}
}

// StartTimer implements logic.Actions.
func (d *driver) StartTimer(token uint64, after time.Duration) {
	due := time.Now().Add(after)
	timer := time.AfterFunc(after, func() {
		d.stats.late(time.Since(due))
		d.wake(token)
	})
	if d.current != nil {
		d.current.timer = timer
	}
}

// BackendStatusChanged implements logic.Observer.
func (d *driver) BackendStatusChanged(backend string, s logic.BackendStatus, failures float64) {
	if leftOut, ok := d.standingLog.Allow(); ok {
		log.Printf("event=backend uid=%s standing=%s failures=%.2f left_out=%d", backend, s, failures, leftOut)
	}
}

// RequestList implements logic.ListRequester.
func (d *driver) RequestList() {
	if d.askList != nil {
		d.later = append(d.later, d.askList)
	}
}

// CloseIdle implements logic.Actions.
func (d *driver) CloseIdle(backend string) {
	// Out of use at once, since the module may send to it next; closed later.
	if b, ok := d.backends[backend]; ok {
		d.later = append(d.later, b.RemoveIdle())
	}
}
