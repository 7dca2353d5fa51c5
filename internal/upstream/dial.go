package upstream

import (
	"context"
	"errors"
	"math"
	"net"
	"sync"
	"time"

	"oxbowloft/internal/faults"
)

const (
	// connectTimeoutFraction is the largest part of an attempt's timeout that connecting may
	// take. The rest is for the backend: an attempt is only sent if its whole timeout fits the
	// deadline, and a late start would cut it short.
	connectTimeoutFraction = 0.25
	// connectTimeoutFactor is the connect timeout in multiples of the median connect time: a
	// delay of an order of magnitude is no random variation. minConnectTimeoutFactor is a lower
	// bound in the same multiples, for networks so slow that connecting takes more than
	// connectTimeoutFraction of a short attempt timeout.
	connectTimeoutFactor    = 10
	minConnectTimeoutFactor = 2
	// minConnectTimeoutFraction is the part of an attempt's timeout that connecting may take
	// however short the median is. Shorter differences are noise, as they are for the
	// per-attempt timeout estimate.
	minConnectTimeoutFraction = 0.02
	// connectMedianStep is how far each sample moves the median estimate, in its logarithm.
	connectMedianStep = 0.1
	// dialSwitches is how often a dial waits for the processor, with some to spare: to start, to find
	// the connection established, and to pass it on.
	dialSwitches = 4
	// startDelayDecay is the part by which the delay of starts decays with each dial.
	startDelayDecay = 0.1
	// maxAbandonedDials is how many dials to a backend may be in progress with no attempt
	// waiting for them. A single slow dial may be random.
	maxAbandonedDials = 2
)

// errConnectTimeout says that a connection was not established within an attempt's connect
// timeout. The dial may still succeed.
var errConnectTimeout = errors.New("connection not established within the connect timeout")

// pendingDial is a dial in progress. An attempt that can't wait for it abandons it, and the
// connection becomes idle for other attempts once it is established. Otherwise every attempt at
// a slow backend would start a dial of its own that times out as well.
type pendingDial struct {
	backend *Backend
	created time.Time
	done    chan struct{} // closed once the result is available

	mu        sync.Mutex
	abandoned bool // no attempt waits for it
	conn      net.Conn
	err       error
}

// open dials a connection for an attempt with the given timeout. The caller has acquired the
// descriptor. open waits for the connect timeout and at most until the deadline. If ctx ends
// meanwhile, the dial is cancelled.
func (b *Backend) open(ctx context.Context, deadline time.Time, timeout time.Duration) (*conn, error) {
	if b.tooManyAbandoned() {
		b.opt.Descriptors.Release()
		return nil, errConnectTimeout
	}
	dialCtx, cancel := context.WithTimeout(b.lifetime, b.opt.DialTimeout)
	d := &pendingDial{backend: b, created: time.Now(), done: make(chan struct{})}
	go d.run(dialCtx, cancel)
	wait := min(time.Until(deadline), b.opt.connectTimeout(timeout))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-d.done:
	case <-timer.C:
	case <-ctx.Done():
		cancel()
		<-d.done
	}
	nc, err := d.claim()
	if err != nil {
		return nil, err
	}
	return newConn(nc, b.opt), nil
}

// tooManyAbandoned reports whether so many abandoned dials are in progress that another one is
// not worth a try.
func (b *Backend) tooManyAbandoned() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.abandonedDials >= maxAbandonedDials
}

// run dials. The connection goes to the attempt that waits for it; if that has abandoned it, it
// becomes idle.
func (d *pendingDial) run(ctx context.Context, cancel func()) {
	defer cancel()
	b, began := d.backend, time.Now()
	b.opt.recordStartDelay(began.Sub(d.created))
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
		b.opt.recordConnectTime(time.Since(began))
	}
	d.mu.Lock()
	abandoned := d.abandoned
	d.conn, d.err = conn, err
	close(d.done)
	d.mu.Unlock()
	if !abandoned {
		return
	}
	b.mu.Lock()
	b.abandonedDials--
	b.mu.Unlock()
	switch {
	case err == nil:
		b.returnIdle(newConn(conn, b.opt))
	case b.lifetime.Err() == nil && b.opt.OnLateDialFailure != nil:
		b.opt.OnLateDialFailure(b, err)
	}
}

// claim returns the result of the dial, or abandons the dial if it is still in progress.
func (d *pendingDial) claim() (net.Conn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.done:
		return d.conn, d.err
	default:
	}
	d.abandoned = true
	b := d.backend
	b.mu.Lock()
	b.abandonedDials++
	b.mu.Unlock()
	return nil, errConnectTimeout
}

// connectTimeout returns how long an attempt with the given timeout waits for its connection.
func (o *Options) connectTimeout(timeout time.Duration) time.Duration {
	longest := time.Duration(connectTimeoutFraction * float64(timeout))
	o.connectMu.Lock()
	defer o.connectMu.Unlock()
	if o.connectMedian == 0 {
		return longest
	}
	shortest := max(minConnectTimeoutFactor*o.connectMedian, time.Duration(minConnectTimeoutFraction*float64(timeout)))
	return max(shortest, min(connectTimeoutFactor*o.connectMedian+dialSwitches*o.startDelay, longest))
}

// recordStartDelay records how long the goroutine of a dial has waited for the processor.
func (o *Options) recordStartDelay(delay time.Duration) {
	o.connectMu.Lock()
	defer o.connectMu.Unlock()
	o.startDelay = max(delay, time.Duration((1-startDelayDecay)*float64(o.startDelay)))
}

// recordConnectTime updates the estimate of the median connect time with one sample.
func (o *Options) recordConnectTime(took time.Duration) {
	o.connectMu.Lock()
	defer o.connectMu.Unlock()
	switch {
	case o.connectMedian == 0:
		o.connectMedian = took
	case took > o.connectMedian:
		o.connectMedian = time.Duration(float64(o.connectMedian) * math.Exp(connectMedianStep))
	default:
		o.connectMedian = time.Duration(float64(o.connectMedian) * math.Exp(-connectMedianStep))
	}
	o.connectMedian = max(1, o.connectMedian)
}
