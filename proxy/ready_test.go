package proxy

import (
	"testing"
	"time"

	"oxbowloft/internal/standin"
)

// A proxy is ready with the first list that may be used, or once it has waited for one for
// long enough: guards against callers that are refused by a process that has just started
// while another could serve them, and against a start that waits for good.
func TestReadyWithUsableList(t *testing.T) {
	b := standin.NewBackend(t, standin.Echo)
	known := standin.List(1, true, standin.Target("s-1", b.Addr()))
	d := standin.NewDiscovery(t, known)
	d.Down(true)
	p := listenProxy(t, known, d.Addr())
	defer startProxy(t, p)()
	if took := time.Since(p.readiness.start); took < readyTimeout {
		t.Errorf("ready after %v without a list, want %v", took, readyTimeout)
	}
	d.Down(false)
	q := listenProxy(t, known, d.Addr())
	defer startProxy(t, q)()
	if took := time.Since(q.readiness.start); took >= readyTimeout {
		t.Errorf("ready after %v though discovery gives a list", took)
	}
	if !q.readiness.hadUsableList.Load() {
		t.Error("ready with no list")
	}
}
