package proxy

import (
	"log"
	"time"

	"oxbowloft/internal/logging"
	"oxbowloft/logic"
)

// staleAttemptLogLinesPerSecond limits the log lines about attempts that are sent while
// the list is stale.
const staleAttemptLogLinesPerSecond = 20

// staleAttemptLog writes a rate-limited line, with the number of omitted lines, for each
// attempt sent after the time until which the list is known to contain all announced
// changes. Such an attempt relies on evidence from the backend itself, and its result
// shows whether that was right.
type staleAttemptLog struct{ limit logging.RateLimiter }

func newStaleAttemptLog() *staleAttemptLog {
	return &staleAttemptLog{logging.RateLimiter{Interval: time.Second / staleAttemptLogLinesPerSecond, Burst: staleAttemptLogLinesPerSecond}}
}

// write logs the result of an attempt of r that was sent when the list had been stale for
// staleBy.
func (l *staleAttemptLog) write(r *activeRequest, s step, staleBy time.Duration, result logic.Result) {
	omitted, ok := l.limit.Allow()
	if !ok {
		return
	}
	log.Printf("event=stale_attempt id=%q uid=%s past_ms=%d took_ms=%d result=%s left_out=%d",
		r.clientID, s.uid, staleBy.Milliseconds(), time.Since(s.sentAt).Milliseconds(), result, omitted)
}
