package proxy

import (
	"log"
	"time"

	"oxbowloft/internal/logging"
	"oxbowloft/logic"
)

// staleAttemptsPerSecond bounds the lines about attempts that go out past the list's time.
const staleAttemptLogLinesPerSecond = 20

// staleAttemptLog writes a line for each attempt that was sent past the time until which the
// list holds all that counts as told, up to a bound, and how many were left out: such an
// attempt rests on what the backend itself has shown, and its outcome tells whether that held.
type staleAttemptLog struct{ limit logging.Limit }

func newStaleAttemptLog() *staleAttemptLog {
	return &staleAttemptLog{logging.Limit{Every: time.Second / staleAttemptLogLinesPerSecond, Burst: staleAttemptLogLinesPerSecond}}
}

// write logs how an attempt of r ended that was sent past the list's time by so much.
func (l *staleAttemptLog) write(r *activeRequest, s step, staleBy time.Duration, result logic.Result) {
	omitted, ok := l.limit.Allow()
	if !ok {
		return
	}
	log.Printf("event=stale_attempt id=%q uid=%s past_ms=%d took_ms=%d result=%s left_out=%d",
		r.clientID, s.uid, staleBy.Milliseconds(), time.Since(s.sentAt).Milliseconds(), result, omitted)
}
