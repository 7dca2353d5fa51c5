package host

import (
	"math/rand/v2"
	"time"

	"oxbowloft/internal/pacing"
	"oxbowloft/internal/settings"
	"oxbowloft/internal/wire"
	"oxbowloft/logic"
)

// firstListToken are the nonces of the waits before calls for the list: from here on, one each.
// The module's are counted from 1.
const firstListToken = 1 << 52

// listRequests are the calls of one instance for the list.
type listRequests struct {
	pacer      *pacing.Pacer
	timerToken uint64     // nonce of the wait under way, or of the last one
	startedAt  logic.Time // when the call under way began
	answered   bool       // it has brought a list
}

func newListRequests(within time.Duration, seed uint64) *listRequests {
	const stream = 1 // of random numbers, beside the module's
	return &listRequests{
		pacer:      pacing.NewForService(within, rand.New(rand.NewPCG(seed, stream))),
		timerToken: firstListToken,
		answered:   true, // none is under way
	}
}

// scheduleListRequest makes a call due after a wait, in place of any that was due.
func (in *instance) scheduleListRequest(wait time.Duration) {
	in.listClient.timerToken++
	nonce := in.listClient.timerToken
	in.emit(wire.Action{Type: "schedule", TimerToken: &nonce, WaitMs: settings.Milliseconds(wait)})
}

// listTimerFired takes the end of a wait; one that another has replaced means nothing.
func (in *instance) listTimerFired(now logic.Time, nonce uint64) {
	if in.listClient == nil || nonce != in.listClient.timerToken {
		return
	}
	in.listClient.startedAt, in.listClient.answered = now, false
	in.emit(wire.Action{Type: "observe", Enable: true})
}

// listReceived takes that a list has come.
func (in *instance) listReceived() {
	if in.listClient != nil {
		in.listClient.answered = true
		in.listClient.pacer.Succeeded()
	}
}

// listRequestFailed takes that a call failed or a watch ended. The wire does not say how.
func (in *instance) listRequestFailed(now logic.Time) {
	if in.listClient == nil {
		return
	}
	var waited time.Duration
	if !in.listClient.answered {
		waited = now - in.listClient.startedAt
	}
	in.listClient.answered = true
	in.scheduleListRequest(in.listClient.pacer.Failed(waited, false))
}
