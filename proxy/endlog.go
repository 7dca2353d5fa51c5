package proxy

import (
	"fmt"
	"log"
	"strings"
	"time"

	"oxbowloft/internal/logging"
	"oxbowloft/logic"
)

// endsPerSecond bounds the lines about requests that did not end with a plain answer: in
// an overload most do not.
const endLogLinesPerSecond = 20

// requestEnd is how a request ended other than with a backend's answer in time, as the log
// has it.
type requestEnd string

// The ends that are logged.
const (
	endRefused    requestEnd = "refused"     // by the module: it had no effect
	endFailed     requestEnd = "failed"      // by the module: it may have had an effect
	endRejected   requestEnd = "rejected"    // a backend found fault with the request itself
	endLate       requestEnd = "late"        // served past the time that its client had
	endCutShort   requestEnd = "cut_short"   // an answer that could not be passed on to its end
	endClientGone requestEnd = "client_gone" // its client left
	endPipelined  requestEnd = "ahead"       // its client sent on before the answer
	endUnreadable requestEnd = "unreadable"  // the rest of a long request could not be read
	endBusy       requestEnd = "busy"        // too many long messages under way
)

// attemptTrace is one attempt of a request, for the log.
type attemptTrace struct {
	backend string
	result  logic.Result
	took    time.Duration
}

// endLog writes a line for each request that did not end with a plain answer, up to a
// bound, and how many were left out.
type requestEndLog struct{ limit logging.Limit }

func newRequestEndLog() *requestEndLog {
	return &requestEndLog{logging.Limit{Every: time.Second / endLogLinesPerSecond, Burst: endLogLinesPerSecond}}
}

// write logs the end of a request that began at start. cause is empty where the end says
// all.
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
