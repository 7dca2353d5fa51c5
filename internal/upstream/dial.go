package upstream

import (
	"context"
	"errors"
	"math"
	"net"
	"sync"
	"time"

	"oxbowloft/internal/faults"
	"oxbowloft/internal/http1"
)

const (
	// connectShare is the part of an attempt's time that its connection may take to come
	// up. The rest is for the backend: an attempt is sent where all of its time fits, and
	// one that begins late would be cut short.
	connectShare = 0.25
	// connectFactor is how much longer than usual a connection may take before it counts
	// as late: an order of magnitude is no chance. connectLeast is what it may take in any
	// case: where the way is long, no share of a short time holds it.
	connectFactor = 10
	connectLeast  = 2
	// connectFloor is the part of an attempt's time that its connection may take however
	// quick others were: below it lies noise, as with the allowance.
	connectFloor = 0.02
	// connectStep is how fast the usual time follows, by its logarithm.
	connectStep = 0.1
	// mostLate is how many connections to a backend may be on their way with nobody
	// waiting for them. One that is late may be chance.
	mostLate = 2
)

// errLate is that a connection has not come up in the time that an attempt has for it.
var errLate = errors.New("the connection is late")

// dial is a connection on its way. An attempt that can't wait for it leaves it behind, and
// it serves another once it is up: guards against every attempt at a backend beginning a
// connection of its own that is late, too.
type dial struct {
	backend *Backend
	ended   chan struct{} // closed once the result is there

	mu   sync.Mutex
	left bool // nobody waits for it
	conn net.Conn
	err  error
}

// open opens a connection, for which the caller has taken a slot, for an attempt that has
// timeout. It waits for as long as connectPatience says, the deadline at most, or until ctx
// is over: with that one the connection is given up.
func (b *Backend) open(ctx context.Context, deadline time.Time, timeout time.Duration) (*http1.Conn, error) {
	if b.crowded() {
		b.opt.Descriptors.Release()
		return nil, errLate
	}
	dialing, cancel := context.WithTimeout(b.life, b.opt.DialTimeout)
	d := &dial{backend: b, ended: make(chan struct{})}
	go d.run(dialing, cancel)
	wait := min(time.Until(deadline), b.opt.connectPatience(timeout))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-d.ended:
	case <-timer.C:
	case <-ctx.Done():
		cancel()
		<-d.ended
	}
	conn, err := d.take()
	if err != nil {
		return nil, err
	}
	return http1.NewConn(conn), nil
}

// crowded tells whether so many connections are late that another is not worth a try.
func (b *Backend) crowded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.late >= mostLate
}

// run makes the connection, and hands it on to the attempt that waits for it or else to
// whichever is next.
func (d *dial) run(ctx context.Context, cancel func()) {
	defer cancel()
	b, began := d.backend, time.Now()
	dial := b.opt.Dial
	if dial == nil {
		dial = (&net.Dialer{KeepAlive: -1}).DialContext
	}
	err := faults.Inject("dial")
	var conn net.Conn
	if err == nil {
		conn, err = dial(ctx, "tcp", b.Addr)
	}
	if err != nil {
		b.opt.Descriptors.Release()
	} else {
		b.opt.ConnsOpened.Add(1)
		b.opt.connectTook(time.Since(began))
	}
	d.mu.Lock()
	left := d.left
	d.conn, d.err = conn, err
	close(d.ended)
	d.mu.Unlock()
	if !left {
		return
	}
	b.mu.Lock()
	b.late--
	b.mu.Unlock()
	switch {
	case err == nil:
		b.keep(http1.NewConn(conn))
	case b.life.Err() == nil && b.opt.OnLateDialFailure != nil:
		b.opt.OnLateDialFailure(b, err)
	}
}

// take returns the connection, or leaves it behind where it has not come up.
func (d *dial) take() (net.Conn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.ended:
		return d.conn, d.err
	default:
	}
	d.left = true
	b := d.backend
	b.mu.Lock()
	b.late++
	b.mu.Unlock()
	return nil, errLate
}

// connectPatience is how long an attempt that has timeout waits for its connection.
func (o *Options) connectPatience(timeout time.Duration) time.Duration {
	most := time.Duration(connectShare * float64(timeout))
	o.connectMu.Lock()
	defer o.connectMu.Unlock()
	if o.connectMedian == 0 {
		return most
	}
	least := max(connectLeast*o.connectMedian, time.Duration(connectFloor*float64(timeout)))
	return max(least, min(connectFactor*o.connectMedian, most))
}

// connectTook follows the median of the times that connections take.
func (o *Options) connectTook(took time.Duration) {
	o.connectMu.Lock()
	defer o.connectMu.Unlock()
	switch {
	case o.connectMedian == 0:
		o.connectMedian = took
	case took > o.connectMedian:
		o.connectMedian = time.Duration(float64(o.connectMedian) * math.Exp(connectStep))
	default:
		o.connectMedian = time.Duration(float64(o.connectMedian) * math.Exp(-connectStep))
	}
	o.connectMedian = max(1, o.connectMedian)
}
