// Package pacing says how long to wait before the next call for the list of backends.
// It has no clock and starts nothing: its caller tells how calls came to an end, and makes
// the next one when the wait is over.
package pacing

import (
	"math/rand/v2"
	"time"
)

const (
	// firstShare is the wait before the first call and after a watch that told a list, as
	// a share of the time within which the settings want one.
	firstShare = 0.05
	// mostShare is the longest wait after a call that was turned away at once, as a share
	// of the same: such a call did not wait in a queue that had to be relieved.
	mostShare = 0.25
	// againFactor is the wait after a call that waited in vain, in multiples of the time
	// that it waited. Guards against hundreds of callers that keep discovery's queue so
	// long that no call is ever answered.
	againFactor = 2
	// growth is how much longer each further wait is.
	growth = 2
	// grownShare is how far calls that were turned away make the wait grow, as a share of
	// the time within which a list is wanted: spread by half it stays within that, so that
	// callers who failed together do not all come back at its end.
	grownShare = 2.0 / 3

	// Where lists are pushed, the agent beside the process is asked, which has no queue.
	pushedFirst = 250 * time.Millisecond
	pushedMost  = time.Second
)

// Pacer paces the calls of one caller. It is not safe for concurrent use.
type Pacer struct {
	rng     *rand.Rand
	within  time.Duration // wait at most so long, whatever happens; 0: lists are pushed
	first   time.Duration // mean wait before the first call
	backoff time.Duration // mean wait before the next
	silent  bool          // the last call or watch ended in silence
}

// NewForService returns a pacer for a caller that asks a shared service for the list, and has to
// ask again within the given time.
func NewForService(within time.Duration, rng *rand.Rand) *Pacer {
	first := time.Duration(firstShare * float64(within))
	return &Pacer{rng: rng, within: within, first: first, backoff: first}
}

// NewForAgent returns a pacer for a caller to whom lists are pushed by an agent of its own.
func NewForAgent(rng *rand.Rand) *Pacer {
	return &Pacer{rng: rng, first: pushedFirst, backoff: pushedFirst}
}

// FirstWait is the wait before the first call. All callers may start together, and must not
// ask together; an agent of one's own is asked at once.
func (p *Pacer) FirstWait() time.Duration {
	if p.within == 0 {
		return 0
	}
	return p.jitter(p.first)
}

// Succeeded takes that a call has brought a list: the waits are short again.
func (p *Pacer) Succeeded() { p.backoff, p.silent = p.first, false }

// SourceChanged takes that the list comes from another source: how the old one failed says
// nothing of it.
func (p *Pacer) SourceChanged() { p.Succeeded() }

// Failed takes that a call has failed after it waited for so long, or that a watch which
// told a list has ended, for which waited is 0. silent says that it ended with no word. It
// returns the wait before the next call: longer each time, and longer after a call that
// waited long, but for a first silence, since by the protocol who has too much to do says so.
func (p *Pacer) Failed(waited time.Duration, silent bool) time.Duration {
	if p.within == 0 {
		wait := min(p.backoff, pushedMost)
		p.backoff = growth * wait
		return p.jitter(wait)
	}
	wait := p.afterFailure(waited)
	if silent && !p.silent {
		wait = p.first
	}
	p.silent, p.backoff = silent, growth*wait
	if !silent {
		p.backoff = min(p.backoff, time.Duration(grownShare*float64(p.within)))
	}
	return min(p.jitter(wait), p.within)
}

// afterFailure is the mean wait after a call that waited for so long.
func (p *Pacer) afterFailure(waited time.Duration) time.Duration {
	relief := againFactor * waited
	most := time.Duration(mostShare * float64(p.within))
	if relief >= most {
		most = p.within
	}
	return min(max(p.backoff, relief), most)
}

// jitter spreads a wait over half to one and a half times itself.
func (p *Pacer) jitter(wait time.Duration) time.Duration {
	return max(1, time.Duration((0.5+p.rng.Float64())*float64(wait)))
}
