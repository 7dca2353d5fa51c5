package proxy

import (
	"log"
	"sync/atomic"
	"time"

	"oxbowloft/internal/discovery"
)

// readyAnyway is how long after its start a proxy waits for a list that may be used before it
// says that it is ready. A start has 6 s where time is short, by the operators, and until it
// has a list the proxy would refuse all that it gets.
const readyTimeout = 4 * time.Second

// readiness is whether a proxy that serves has had a list that may be used. The list known at
// the start is what an earlier life had last: callers that have another proxy are better off
// there until discovery has said what holds.
type readiness struct {
	start         time.Time   // set before the proxy serves
	hadUsableList atomic.Bool // there has been a list that may be used
}

// note takes for how long the list may be used.
func (r *readiness) recordList(f discovery.Fresh) {
	if !time.Now().Before(f.Until) || r.hadUsableList.Swap(true) {
		return
	}
	log.Printf("event=list_usable for_ms=%d", time.Until(f.Until).Milliseconds())
}

// reached tells whether the wait for a list is over.
func (r *readiness) satisfied() bool {
	return r.hadUsableList.Load() || time.Since(r.start) >= readyTimeout
}
