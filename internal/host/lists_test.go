package host

import (
	"fmt"
	"strings"
	"testing"

	"oxbowloft/internal/wire"
)

// Where lists are asked for, each instance asks once its wait is over, again after each
// failure, and at the end of no wait that another has replaced.
func TestCallsForTheList(t *testing.T) {
	h := New()
	serial := 0
	play := func(time float64, events ...string) []wire.Action {
		t.Helper()
		serial++
		b, err := wire.NewReader(strings.NewReader(batch(time, serial, events...))).Read()
		if err != nil {
			t.Fatal(err)
		}
		actions, err := h.HandleBatch(b)
		if err != nil {
			t.Fatal(err)
		}
		return append([]wire.Action(nil), actions...)
	}
	// wait is the one wait that was asked for.
	wait := func(actions []wire.Action) (nonce uint64, milliseconds float64) {
		t.Helper()
		if len(actions) != 1 || actions[0].Type != "schedule" {
			t.Fatalf("got %+v, want one wait", actions)
		}
		return *actions[0].TimerToken, actions[0].WaitMs
	}
	elapsed := func(nonce uint64) string { return fmt.Sprintf(`{"type":"elapsed","i":1,"nonce":%d}`, nonce) }
	failed := `{"type":"backends-changed","i":1,"kind":"FAILED","seq-no":1}`

	asked := strings.Replace(enlist(1), `"discovery":"pushed"`, `"discovery":"on_request"`, 1)
	nonce, milliseconds := wait(play(0, asked))
	if milliseconds < 250 || milliseconds > 750 {
		t.Errorf("the first wait is %v ms", milliseconds)
	}
	if got := play(500, elapsed(nonce)); len(got) != 1 || got[0].Type != "observe" || !got[0].Enable {
		t.Errorf("at the end of the wait got %+v", got)
	}
	first, milliseconds := wait(play(2500, failed)) // after 2 s in vain
	if milliseconds < 2000 || milliseconds > 6000 {
		t.Errorf("after a call that waited 2 s the wait is %v ms", milliseconds)
	}
	second, _ := wait(play(2600, failed))
	if got := play(9000, elapsed(first)); len(got) != 0 {
		t.Errorf("at the end of a wait that another has replaced got %+v", got)
	}
	if got := play(9500, elapsed(second)); len(got) != 1 || got[0].Type != "observe" {
		t.Errorf("at the end of the wait got %+v", got)
	}
	if got := play(9600, elapsed(nonce)); len(got) != 0 {
		t.Errorf("at the end of an old wait got %+v", got)
	}
	play(9700, pool(0, "a:1"), list(1, 0))
	_, milliseconds = wait(play(70000, failed)) // the watch had told a list
	if milliseconds > 750 {
		t.Errorf("after a watch that told a list the wait is %v ms", milliseconds)
	}
	// Where lists are pushed, none is asked for.
	if got := play(71000, enlist(2)); len(got) != 0 {
		t.Errorf("where lists are pushed got %+v", got)
	}
}
