package host

import (
	"math/rand/v2"
	"time"

	"oxbowloft/internal/pacing"
	"oxbowloft/internal/settings"
	"oxbowloft/internal/wire"
	"oxbowloft/logic"
)

// listNonces are the nonces of the waits before calls for the list: from here on, one each.
// The module's are counted from 1.
const listNonces = 1 << 52

// listCalls are the calls of one instance for the list.
type listCalls struct {
	pacer  *pacing.Pacer
	due    uint64     // nonce of the wait under way, or of the last one
	called logic.Time // when the call under way began
	told   bool       // it has brought a list
}

func newListCalls(within time.Duration, seed uint64) *listCalls {
	const stream = 1 // of random numbers, beside the module's
	return &listCalls{
		pacer: pacing.NewForService(within, rand.New(rand.NewPCG(seed, stream))),
		due:   listNonces,
		told:  true, // none is under way
	}
}

// callForList makes a call due after a wait, in place of any that was due.
func (in *instance) callForList(wait time.Duration) {
	in.lists.due++
	nonce := in.lists.due
	in.act(wire.Action{Type: "schedule", TimerToken: &nonce, WaitMs: settings.Milliseconds(wait)})
}

// listDue takes the end of a wait; one that another has replaced means nothing.
func (in *instance) listDue(now logic.Time, nonce uint64) {
	if in.lists == nil || nonce != in.lists.due {
		return
	}
	in.lists.called, in.lists.told = now, false
	in.act(wire.Action{Type: "observe", Enable: true})
}

// listTold takes that a list has come.
func (in *instance) listTold() {
	if in.lists != nil {
		in.lists.told = true
		in.lists.pacer.Succeeded()
	}
}

// listFailed takes that a call failed or a watch ended. The wire does not say how.
func (in *instance) listFailed(now logic.Time) {
	if in.lists == nil {
		return
	}
	var waited time.Duration
	if !in.lists.told {
		waited = now - in.lists.called
	}
	in.lists.told = true
	in.callForList(in.lists.pacer.Failed(waited, false))
}
