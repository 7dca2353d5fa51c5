package proxy

import (
	"log"
	"time"

	"oxbowloft/internal/logging"
	"oxbowloft/logic"
)

// staleAttemptsPerSecond bounds the lines about attempts that go out past the list's time.
const staleAttemptsPerSecond = 20

// staleAttemptLog writes a line for each attempt that was sent past the time until which the
// list holds all that counts as told, up to a bound, and how many were left out: such an
// attempt rests on what the backend itself has shown, and its outcome tells whether that held.
type staleAttemptLog struct{ limit logging.RateLimiter }

func newStaleAttemptLog() *staleAttemptLog {
	return &staleAttemptLog{logging.RateLimiter{Interval: time.Second / staleAttemptsPerSecond, Burst: staleAttemptsPerSecond}}
}

// write logs how an attempt of r ended that was sent past the list's time by so much.
func (l *staleAttemptLog) write(r *call, s step, past time.Duration, result logic.Result) {
	leftOut, ok := l.limit.Allow()
	if !ok {
		return
	}
	log.Printf("event=stale_attempt id=%q uid=%s past_ms=%d took_ms=%d result=%s left_out=%d",
		r.name, s.uid, past.Milliseconds(), time.Since(s.sent).Milliseconds(), result, leftOut)
}
