package proxy

import (
	"fmt"
	"log"
	"strings"
	"time"

	"oxbowloft/internal/logging"
	"oxbowloft/logic"
)

// endLogLinesPerSecond limits the log lines about requests that ended other than with a
// normal response. During an overload most of them do.
const endLogLinesPerSecond = 20

// requestEnd is how a request ended, as written to the log, if not with a backend's
// response in time.
type requestEnd string

const (
	endRefused    requestEnd = "refused"     // by the balancing logic: it had no effect
	endFailed     requestEnd = "failed"      // by the balancing logic: it may have had an effect
	endRejected   requestEnd = "rejected"    // a backend answered that the request itself is at fault
	endLate       requestEnd = "late"        // served after the client's time budget
	endCutShort   requestEnd = "cut_short"   // the response could not be forwarded completely
	endClientGone requestEnd = "client_gone" // the client left
	endPipelined  requestEnd = "ahead"       // the client sent more data before the response
	endUnreadable requestEnd = "unreadable"  // the rest of a streamed request could not be read
	endBusy       requestEnd = "busy"        // no stream buffer became free in time
)

// attemptTrace describes one attempt of a request, for the log.
type attemptTrace struct {
	backend string
	result  logic.Result
	took    time.Duration
}

// requestEndLog writes a rate-limited line for each request that did not end with a
// normal response, with the number of omitted lines.
type requestEndLog struct{ limit logging.RateLimiter }

func newRequestEndLog() *requestEndLog {
	return &requestEndLog{logging.RateLimiter{Interval: time.Second / endLogLinesPerSecond, Burst: endLogLinesPerSecond}}
}

// write logs the end of a request that began at start. cause is empty if end says
// everything.
func (l *requestEndLog) write(info *requestInfo, end requestEnd, cause string, start time.Time, attempts []attemptTrace) {
	omitted, ok := l.limit.Allow()
	if !ok {
		return
	}
	var tried strings.Builder
	for i, attempt := range attempts {
		if i > 0 {
			tried.WriteByte(',')
		}
		fmt.Fprintf(&tried, "%s:%s:%dms", attempt.backend, attempt.result, attempt.took.Milliseconds())
	}
	log.Printf("event=request_end id=%q class=%q end=%s cause=%s budget_ms=%d took_ms=%d attempts=%d tried=%q left_out=%d",
		info.id, info.className, end, cause, info.budget.Milliseconds(), time.Since(start).Milliseconds(), len(attempts),
		tried.String(), omitted)
}
