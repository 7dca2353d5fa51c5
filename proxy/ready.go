package proxy

import (
	"log"
	"sync/atomic"
	"time"

	"oxbowloft/internal/discovery"
)

// readyTimeout is how long a starting proxy waits for a usable list before it reports
// ready anyway. Operators allow 6 s for a start, and without a list the proxy would
// refuse all requests.
const readyTimeout = 4 * time.Second

// readiness records whether a serving proxy has had a usable list. The list known at
// start is the last one of an earlier process: callers that have another proxy are better
// served there until discovery has confirmed the current list.
type readiness struct {
	start         time.Time   // set before the proxy serves
	hadUsableList atomic.Bool // a usable list has been received
}

// recordList records how long the list may be used.
func (r *readiness) recordList(f discovery.Freshness) {
	if !time.Now().Before(f.Until) || r.hadUsableList.Swap(true) {
		return
	}
	log.Printf("event=list_usable for_ms=%d", time.Until(f.Until).Milliseconds())
}

// satisfied reports whether the proxy no longer waits for a list.
func (r *readiness) satisfied() bool {
	return r.hadUsableList.Load() || time.Since(r.start) >= readyTimeout
}
