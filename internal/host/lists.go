package host

import (
	"math/rand/v2"
	"time"

	"oxbowloft/internal/pacing"
	"oxbowloft/internal/settings"
	"oxbowloft/internal/wire"
	"oxbowloft/logic"
)

// firstListToken is the base of the tokens of list request timers, which count up from it.
// The tokens of the module's timers count up from 1.
const firstListToken = 1 << 52

// listRequests is the state of the list requests of an instance.
type listRequests struct {
	pacer      *pacing.Pacer
	timerToken uint64     // of the latest timer
	startedAt  logic.Time // of the latest request
	answered   bool       // the latest request has brought a list or failed
}

func newListRequests(within time.Duration, seed uint64) *listRequests {
	const stream = 1 // separate from the module's stream of random numbers
	return &listRequests{
		pacer:      pacing.NewForService(within, rand.New(rand.NewPCG(seed, stream))),
		timerToken: firstListToken,
		answered:   true, // no request is outstanding
	}
}

// scheduleListRequest starts a timer for the next list request. It replaces any earlier timer.
func (in *instance) scheduleListRequest(wait time.Duration) {
	in.listRequests.timerToken++
	token := in.listRequests.timerToken
	in.emit(wire.Action{Type: "schedule", TimerToken: &token, WaitMs: settings.Milliseconds(wait)})
}

// listTimerFired sends a list request. It ignores timers that have been replaced.
func (in *instance) listTimerFired(now logic.Time, token uint64) {
	if in.listRequests == nil || token != in.listRequests.timerToken {
		return
	}
	in.listRequests.startedAt, in.listRequests.answered = now, false
	in.emit(wire.Action{Type: "observe", Enable: true})
}

// listReceived records that a list has arrived.
func (in *instance) listReceived() {
	if in.listRequests != nil {
		in.listRequests.answered = true
		in.listRequests.pacer.Succeeded()
	}
}

// listRequestFailed schedules the next request after a request failed or its watch ended. The
// simulator's protocol does not report how it failed.
func (in *instance) listRequestFailed(now logic.Time) {
	if in.listRequests == nil {
		return
	}
	var waited time.Duration
	if !in.listRequests.answered {
		waited = now - in.listRequests.startedAt
	}
	in.listRequests.answered = true
	in.scheduleListRequest(in.listRequests.pacer.Failed(waited, false))
}
