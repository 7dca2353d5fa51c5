// Package pacing computes how long to wait before the next call for the list of backends. It has
// no clock and starts no goroutine: its caller reports how each call ended, and makes the next
// one when the wait is over.
package pacing

import (
	"math/rand/v2"
	"time"
)

const (
	// firstWaitFraction is the mean wait before the first call, and after a watch that has
	// brought a list, as a fraction of the time within which the settings require a list.
	firstWaitFraction = 0.05
	// rejectedWaitFraction is the longest mean wait after a call that was rejected at once, as
	// a fraction of the same time. Such a call did not wait in a queue that needs relief.
	rejectedWaitFraction = 0.25
	// queuedWaitFactor is the least mean wait after a call that waited and failed, in multiples
	// of the time that it waited. It prevents hundreds of callers from keeping discovery's
	// queue so long that no call is ever answered.
	queuedWaitFactor = 2
	// backoffFactor is the growth from one mean wait to the next.
	backoffFactor = 2
	// maxBackoffFraction bounds the growth of the mean wait by all failures but unresponsive
	// ones, as a fraction of the time within which a list is required. With jitter of half the
	// wait it stays within that time, so that callers that failed together do not all return
	// at its end.
	maxBackoffFraction = 2.0 / 3

	// Where lists are pushed, the calls go to a local agent, which has no queue.
	pushedFirstWait = 250 * time.Millisecond
	pushedMaxWait   = time.Second
)

// Pacer paces the calls of one caller. It is not safe for concurrent use.
type Pacer struct {
	rng          *rand.Rand
	maxWait      time.Duration // the longest wait in any case; 0: lists are pushed
	firstWait    time.Duration // mean wait before the first call
	backoff      time.Duration // mean wait before the next call
	unresponsive bool          // the last call or watch ended without a response
}

// NewForService returns a pacer for a caller that calls a shared service for the list, and has to
// call again within maxWait.
func NewForService(maxWait time.Duration, rng *rand.Rand) *Pacer {
	first := time.Duration(firstWaitFraction * float64(maxWait))
	return &Pacer{rng: rng, maxWait: maxWait, firstWait: first, backoff: first}
}

// NewForAgent returns a pacer for a caller whose local agent pushes lists.
func NewForAgent(rng *rand.Rand) *Pacer {
	return &Pacer{rng: rng, firstWait: pushedFirstWait, backoff: pushedFirstWait}
}

// FirstWait returns the wait before the first call. Callers of a shared service may all start
// together, so their first calls are spread; a local agent is called at once.
func (p *Pacer) FirstWait() time.Duration {
	if p.maxWait == 0 {
		return 0
	}
	return p.jitter(p.firstWait)
}

// Succeeded records that a call has brought a list, and resets the backoff.
func (p *Pacer) Succeeded() { p.backoff, p.unresponsive = p.firstWait, false }

// SourceChanged records that lists come from another source. It resets the backoff, since
// failures of the old source say nothing about the new one.
func (p *Pacer) SourceChanged() { p.Succeeded() }

// Failed records that a call has failed after waiting for the given time, or with 0 that a watch
// which had brought a list has ended. unresponsive says that it ended without a response.
// Failed returns the wait before the next call, which grows with each failure and with the time
// that the call waited. A first unresponsive call gets only the first wait, since by the
// protocol an overloaded discovery answers or resets.
func (p *Pacer) Failed(waited time.Duration, unresponsive bool) time.Duration {
	if p.maxWait == 0 {
		wait := min(p.backoff, pushedMaxWait)
		p.backoff = backoffFactor * wait
		return p.jitter(wait)
	}
	wait := p.waitAfterFailure(waited)
	if unresponsive && !p.unresponsive {
		wait = p.firstWait
	}
	p.unresponsive, p.backoff = unresponsive, backoffFactor*wait
	if !unresponsive {
		p.backoff = min(p.backoff, time.Duration(maxBackoffFraction*float64(p.maxWait)))
	}
	return min(p.jitter(wait), p.maxWait)
}

// waitAfterFailure returns the mean wait after a call that waited for the given time.
func (p *Pacer) waitAfterFailure(waited time.Duration) time.Duration {
	relief := queuedWaitFactor * waited
	longest := time.Duration(rejectedWaitFraction * float64(p.maxWait))
	if relief >= longest {
		longest = p.maxWait
	}
	return min(max(p.backoff, relief), longest)
}

// jitter spreads a wait evenly from half to one and a half times its value.
func (p *Pacer) jitter(wait time.Duration) time.Duration {
	return max(1, time.Duration((0.5+p.rng.Float64())*float64(wait)))
}
