package standin

import (
	"testing"
	"time"
)

// Eventually waits until f holds, and ends the test if it does not in time.
func Eventually(t testing.TB, within time.Duration, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(within); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in %v: %s", within, what)
		}
	}
}
