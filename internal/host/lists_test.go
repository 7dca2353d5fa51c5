package host

import (
	"fmt"
	"strings"
	"testing"

	"oxbowloft/internal/wire"
)

// If lists have to be requested, an instance requests one when its timer fires and again
// after each failure. A timer that has been replaced has no effect.
func TestListRequests(t *testing.T) {
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
	// wait returns the only action, which has to be a timer.
	wait := func(actions []wire.Action) (token uint64, milliseconds float64) {
		t.Helper()
		if len(actions) != 1 || actions[0].Type != "schedule" {
			t.Fatalf("got %+v, want one timer", actions)
		}
		return *actions[0].TimerToken, actions[0].WaitMs
	}
	elapsed := func(token uint64) string { return fmt.Sprintf(`{"type":"elapsed","i":1,"nonce":%d}`, token) }
	failed := `{"type":"backends-changed","i":1,"kind":"FAILED","seq-no":1}`

	onRequest := strings.Replace(enlist(1), `"discovery":"pushed"`, `"discovery":"on_request"`, 1)
	token, milliseconds := wait(play(0, onRequest))
	if milliseconds < 250 || milliseconds > 750 {
		t.Errorf("the first wait is %v ms", milliseconds)
	}
	if got := play(500, elapsed(token)); len(got) != 1 || got[0].Type != "observe" || !got[0].Enable {
		t.Errorf("after the first timer got %+v", got)
	}
	first, milliseconds := wait(play(2500, failed)) // 2 s after the request
	if milliseconds < 2000 || milliseconds > 6000 {
		t.Errorf("after a request that failed after 2 s the wait is %v ms", milliseconds)
	}
	second, _ := wait(play(2600, failed))
	if got := play(9000, elapsed(first)); len(got) != 0 {
		t.Errorf("after a timer that has been replaced got %+v", got)
	}
	if got := play(9500, elapsed(second)); len(got) != 1 || got[0].Type != "observe" {
		t.Errorf("after the second timer got %+v", got)
	}
	if got := play(9600, elapsed(token)); len(got) != 0 {
		t.Errorf("after an old timer got %+v", got)
	}
	play(9700, pool(0, "a:1"), list(1, 0))
	_, milliseconds = wait(play(70000, failed)) // the watch had brought a list
	if milliseconds > 750 {
		t.Errorf("after a watch that brought a list the wait is %v ms", milliseconds)
	}
	// If lists are pushed, none is requested.
	if got := play(71000, enlist(2)); len(got) != 0 {
		t.Errorf("with pushed lists got %+v", got)
	}
}
