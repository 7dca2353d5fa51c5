package standin

import (
	"testing"
	"time"
)

// Eventually polls until condition holds, and fails the test if it doesn't within the
// timeout. The description names the condition in the failure message.
func Eventually(t testing.TB, timeout time.Duration, description string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(timeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met within %v: %s", timeout, description)
		}
	}
}
