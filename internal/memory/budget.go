// Package memory accounts for the memory that a process holds for its clients and backends. What
// is to be held is charged to a Budget first, all kinds together, so that what does not fit is
// refused before it is allocated.
package memory

import (
	"container/list"
	"sync"
	"time"
)

// Use is what memory is charged for.
type Use int

// The uses.
const (
	Connection Use = iota // open connections, the list of backends: bounded elsewhere, charged without a check
	Request               // what each request needs, and buffers of usual size
	Buffer                // larger buffers of messages
	Stream                // buffers of answers that are forwarded while they are received
	Upload                // the same of requests, whose clients may stop half way
	useCount
)

// share is the largest part of the budget that may be in use once a charge has been made.
type share struct{ ofUse, ofAll float64 }

// shares are the shares by use, but for Connection. The last quarter is for requests of usual size. A
// stream lasts as long as its peers take, so that many of them must leave room for other requests.
var shares = [useCount]share{
	Request: {1, 1},
	Buffer:  {1, 0.75},
	Stream:  {1.0 / 24, 1},
	Upload:  {1.0 / 48, 1},
}

const (
	// idleBufferShare is the largest part of the budget for buffers that are kept for reuse.
	idleBufferShare = 1.0 / 8
)

// Budget is the account of the memory in use. A nil Budget has no limit. Its methods may be called
// from any goroutine.
type Budget struct {
	// Reclaim, if set, is called at intervals while charges of so many bytes wait. It makes others
	// release about as many, if it can. It is set before the first charge.
	Reclaim func(bytes int64)

	mu      sync.Mutex
	limit   int64
	total   int64 // of used
	used    [useCount]int64
	peak    int64      // maximum of total so far
	waiting *list.List // of *waiter, in the order of their arrival
	// reclaiming says that a call of Reclaim is due, or under way.
	reclaiming bool
	idle       idleBuffers
}

// waiter is a charge that waits for memory.
type waiter struct {
	use     Use
	bytes   int64
	granted chan struct{} // closed once the charge has been made
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit, waiting: list.New()} }

// Resize changes the limit. What is in use beyond it is not taken back.
func (b *Budget) Resize(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
	b.idle.trim(b.part(idleBufferShare))
	b.grantWaiting()
}

// InUse returns the number of bytes in use, and the largest number so far.
func (b *Budget) InUse() (bytes, peak int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total, b.peak
}

// fits reports whether a charge can be made now. The caller holds mu.
func (b *Budget) fits(use Use, bytes int64) bool {
	return use == Connection ||
		b.total+bytes <= b.part(shares[use].ofAll) && b.used[use]+bytes <= b.part(shares[use].ofUse)
}

// part returns a part of the limit. The caller holds mu.
func (b *Budget) part(share float64) int64 { return int64(share * float64(b.limit)) }

// add changes what is in use. The caller holds mu.
func (b *Budget) add(use Use, bytes int64) {
	b.used[use] += bytes
	b.total += bytes
	b.peak = max(b.peak, b.total)
	if excess := b.total + b.idle.bytes - b.limit; excess > 0 {
		b.idle.trim(b.idle.bytes - excess)
	}
}

// TryCharge makes a charge if it fits now.
func (b *Budget) TryCharge(use Use, bytes int64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.fits(use, bytes) {
		return false
	}
	b.add(use, bytes)
	return true
}

// Charge makes a charge, for which it waits up to timeout. It reports whether it was made.
func (b *Budget) Charge(use Use, bytes int64, timeout time.Duration) bool {
	if b.TryCharge(use, bytes) {
		return true
	}
	w := &waiter{use, bytes, make(chan struct{})}
	b.mu.Lock()
	element := b.waiting.PushBack(w)
	b.grantWaiting() // memory may have been released since
	b.startReclaiming()
	b.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-w.granted:
		return true
	case <-timer.C:
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-w.granted: // in the meantime
		return true
	default:
	}
	b.waiting.Remove(element)
	return false
}

// reclaimInterval is the time between two calls of Reclaim.
const reclaimInterval = 10 * time.Millisecond

// startReclaiming makes Reclaim be called until no charge waits. The caller holds mu.
func (b *Budget) startReclaiming() {
	if b.Reclaim == nil || b.reclaiming || b.waiting.Len() == 0 {
		return
	}
	b.reclaiming = true
	go b.reclaimOnce()
}

// reclaimOnce calls Reclaim for all that waits, and arranges for the next call if it still waits then.
func (b *Budget) reclaimOnce() {
	b.mu.Lock()
	var bytes int64
	for element := b.waiting.Front(); element != nil; element = element.Next() {
		bytes += element.Value.(*waiter).bytes
	}
	b.mu.Unlock()
	if bytes > 0 {
		b.Reclaim(bytes)
	}
	time.AfterFunc(reclaimInterval, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.reclaiming = false
		b.startReclaiming()
	})
}

// Release takes back a charge, or a part of one.
func (b *Budget) Release(use Use, bytes int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(use, -bytes)
	b.grantWaiting()
}

// grantWaiting makes the charges that wait, as far as they fit: first those of requests, which others
// must not hold up, then the rest in the order of their arrival. The caller holds mu.
func (b *Budget) grantWaiting() {
	b.grantWhile(func(use Use) bool { return use == Request })
	b.grantWhile(func(use Use) bool { return use != Request })
}

// grantWhile makes the charges that wait for the uses that match, up to the first that does not
// fit. The caller holds mu.
func (b *Budget) grantWhile(match func(Use) bool) {
	for element := b.waiting.Front(); element != nil; {
		next := element.Next()
		if w := element.Value.(*waiter); match(w.use) {
			if !b.fits(w.use, w.bytes) {
				return
			}
			b.add(w.use, w.bytes)
			b.waiting.Remove(element)
			close(w.granted)
		}
		element = next
	}
}

// plentyShare is the part of the budget up to which more than the necessary may be used.
const plentyShare = 0.5

// Plenty reports whether there is so much memory left that more than the necessary may be charged.
func (b *Budget) Plenty() bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total < b.part(plentyShare)
}
