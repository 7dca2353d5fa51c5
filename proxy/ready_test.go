package proxy

import (
	"testing"
	"time"

	"oxbowloft/internal/standin"
)

// A proxy reports ready with the first usable list, or after waiting long enough for one.
// Prevents a process that has just started from refusing requests that another could
// serve, and a start that never finishes.
func TestReadyWithUsableList(t *testing.T) {
	b := standin.NewBackend(t, standin.Echo)
	known := standin.ListJSON(1, true, standin.TargetJSON("s-1", b.Addr()))
	d := standin.NewDiscovery(t, known)
	d.SetDown(true)
	p := listenProxy(t, known, d.Addr())
	defer startProxy(t, p)()
	if took := time.Since(p.readiness.start); took < readyTimeout {
		t.Errorf("ready after %v without a list, want at least %v", took, readyTimeout)
	}
	d.SetDown(false)
	q := listenProxy(t, known, d.Addr())
	defer startProxy(t, q)()
	if took := time.Since(q.readiness.start); took >= readyTimeout {
		t.Errorf("ready after %v although discovery provides a list", took)
	}
	if !q.readiness.hadUsableList.Load() {
		t.Error("ready without a list")
	}
}
