// Package soak runs a few dozen real processes of a built proxy on loopback, with its own discovery
// service, backends and clients. It injects overlapping faults, drawn from a seed, and checks from
// outside that the proxies keep the guarantees of the protocol. See docs/soak.md.
package soak

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"
)

// Rule is one guarantee that is checked.
type Rule string

// The rules, under the names of the protocol's documentation.
const (
	RuleLost      Rule = "lost"      // an accepted request got no complete response in time
	RuleForeign   Rule = "foreign"   // a response was served that no backend sent for the request
	RuleDuplicate Rule = "duplicate" // a request that must not run twice did
	RuleRefused   Rule = "refused"   // a refusal promised no effect, and a backend had run the request
	RuleDrain     Rule = "drain"     // an attempt at a backend announced as draining or removed
	RuleDeadline  Rule = "deadline"  // an attempt's timeout exceeded the time that the client had left
	RuleGone      Rule = "gone"      // an attempt began after its client had disconnected
	RuleCrash     Rule = "crash"     // a process exited unexpectedly, panicked, hung or did not start
	RuleBadClient Rule = "badclient" // a client with a malformed request got neither a response nor a close
)

// Tolerances of the rules.
const (
	answerSlack   = 550 * time.Millisecond // after the deadline, until a request counts as lost
	drainSlack    = 50 * time.Millisecond  // in addition to the grace of the settings
	deadlineSlack = 150 * time.Millisecond
	goneSlack     = 150 * time.Millisecond // 0.1 s plus the network's latency
)

// Violation is one violation of a rule.
type Violation struct {
	Rule   Rule
	At     time.Duration // since the run's start
	Detail string
	Trace  []string // the events of the request
}

// attempt is one request that a backend has read completely.
type attempt struct {
	backend string
	at      time.Time
	ran     bool // it was not rejected
}

// request is the record of one request ID.
type request struct {
	id           string
	class        Class
	proxy        int
	sent         time.Time
	budget       time.Duration
	clientLeftAt time.Time // when its client disconnected; zero: it did not
	attempts     []attempt
	trace        []string
}

// Recorder records what clients, backends and discovery observe, and checks the rules. It is safe
// for concurrent use.
type Recorder struct {
	start time.Time
	grace time.Duration // after an announced drain, in which attempts are still allowed

	mu          sync.Mutex
	requests    map[string]*request
	announced   map[string]map[int]announcement // by backend and proxy: the last change
	suspensions map[int][]interval              // by proxy
	violations  []Violation
	outcomes    map[string]int
	ended       bool
	voided      string
}

type interval struct{ from, to time.Time }

// announcement is the newest change of a backend that was announced to a proxy.
type announcement struct {
	rev          int64
	leavingSince time.Time // when it was announced as draining or removed; zero: it is in service
}

// NewRecorder returns an empty Recorder. The run starts now.
func NewRecorder(grace time.Duration) *Recorder {
	return &Recorder{
		start:       time.Now(),
		grace:       grace,
		requests:    map[string]*request{},
		announced:   map[string]map[int]announcement{},
		suspensions: map[int][]interval{},
		outcomes:    map[string]int{},
	}
}

// Void marks the run as inconclusive, for the given reason.
func (b *Recorder) Void(why string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.voided == "" && !b.ended {
		b.voided = why
	}
}

func (b *Recorder) void() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.voided
}

// markEnded marks the run as over.
func (b *Recorder) markEnded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
}

func (b *Recorder) hasEnded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended
}

// Violations returns the violations so far, oldest first.
func (b *Recorder) Violations() []Violation {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Violation(nil), b.violations...)
}

// Outcomes returns how often requests ended in each way.
func (b *Recorder) Outcomes() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]int{}
	for k, v := range b.outcomes {
		out[k] = v
	}
	return out
}

// Count counts an event that is not a violation.
func (b *Recorder) Count(what string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outcomes[what]++
}

// AddViolation records a violation that concerns no single request.
func (b *Recorder) AddViolation(rule Rule, detail string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.appendViolation(rule, nil, detail)
}

func (b *Recorder) appendViolation(rule Rule, r *request, detail string) {
	v := Violation{Rule: rule, At: time.Since(b.start), Detail: detail}
	if r != nil {
		v.Detail = fmt.Sprintf("request %s of class %s at proxy %d: %s", r.id, r.class.Name, r.proxy, detail)
		v.Trace = append([]string(nil), r.trace...)
	}
	b.violations = append(b.violations, v)
}

func (b *Recorder) addTrace(r *request, format string, args ...any) {
	r.trace = append(r.trace, fmt.Sprintf("%8.3fs ", time.Since(b.start).Seconds())+fmt.Sprintf(format, args...))
}

// RequestSent records that a client is about to send a request to a proxy.
func (b *Recorder) RequestSent(id string, class Class, proxy int, budget time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.requests[id]
	if r == nil {
		r = &request{id: id, class: class, sent: time.Now(), budget: budget}
		b.requests[id] = r
	}
	r.proxy = proxy
	b.addTrace(r, "client sends to proxy %d, %d ms", proxy, budget.Milliseconds())
}

// ClientLeft records that the client of a request has closed its connection.
func (b *Recorder) ClientLeft(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.requests[id]; r != nil {
		r.clientLeftAt = time.Now()
		b.addTrace(r, "client disconnects")
		b.outcomes["left"]++
	}
}

// ReachedBackend reports whether a backend has read the request.
func (b *Recorder) ReachedBackend(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.requests[id]
	return r != nil && len(r.attempts) > 0
}

// AttemptReceived records that a backend has read a complete request from a proxy, and checks the
// attempt. Its first byte arrived at began; ran is false if the backend rejected it.
func (b *Recorder) AttemptReceived(id, backend string, proxy int, began time.Time, timeout time.Duration, ran bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.requests[id]
	if r == nil {
		b.appendViolation(RuleForeign, nil, fmt.Sprintf("backend %s received request %q, which no client sent", backend, id))
		return
	}
	now := time.Now()
	b.addTrace(r, "backend %s reads it from proxy %d, timeout %d ms, ran %t", backend, proxy, timeout.Milliseconds(), ran)
	suspended := b.wasSuspended(proxy, began)
	if at := b.announced[backend][proxy].leavingSince; !at.IsZero() && began.Sub(at) > b.grace+drainSlack && !suspended {
		b.appendViolation(RuleDrain, r, fmt.Sprintf("attempt at %s %v after its drain or removal was announced", backend, began.Sub(at)))
	}
	if left := r.sent.Add(r.budget).Sub(began); timeout > left+deadlineSlack && !suspended {
		b.appendViolation(RuleDeadline, r, fmt.Sprintf("the attempt's timeout was %v, the client had %v left", timeout, left))
	}
	if !r.clientLeftAt.IsZero() && began.Sub(r.clientLeftAt) > goneSlack && !suspended {
		b.appendViolation(RuleGone, r, fmt.Sprintf("an attempt began %v after the client disconnected", began.Sub(r.clientLeftAt)))
	}
	r.attempts = append(r.attempts, attempt{backend, now, ran})
	if runs := r.runs(); ran && runs > 1 && !r.class.Idempotent {
		b.appendViolation(RuleDuplicate, r, fmt.Sprintf("run %d times", runs))
	}
}

func (r *request) runs() (n int) {
	for _, a := range r.attempts {
		if a.ran {
			n++
		}
	}
	return n
}

// ResponseReceived records a complete response, and checks it.
func (b *Recorder) ResponseReceived(id string, status int, body string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.requests[id]
	late := time.Since(r.sent) - r.budget
	b.addTrace(r, "client reads %d %.40q", status, body)
	switch {
	case status == 200:
		b.outcomes["served"]++
		if !r.matchesAttempt(body) {
			b.appendViolation(RuleForeign, r, fmt.Sprintf("served %q, which no backend sent for it", body))
		}
	case status == 429 || status == 503:
		b.outcomes["refused"]++
		if runs := r.runs(); runs > 0 && !r.class.Idempotent {
			b.appendViolation(RuleRefused, r, fmt.Sprintf("refused with %d, though run %d times", status, runs))
		}
	default:
		b.outcomes["failed"]++
	}
	if late > answerSlack && !b.wasSuspended(r.proxy, r.sent) {
		b.appendViolation(RuleLost, r, fmt.Sprintf("response %v after the deadline", late))
	}
}

// matchesAttempt reports whether the body is that of a backend that ran the request.
func (r *request) matchesAttempt(body string) bool {
	for _, a := range r.attempts {
		if a.ran && body == bodyFor(r.id, a.backend) {
			return true
		}
	}
	return false
}

// bodyFor returns the body of a backend's response to a request.
func bodyFor(id, backend string) string { return "answer to " + id + " by " + backend + "\n" }

// RequestLost records a request that will get no complete response. A non-empty excuse says why
// that is no violation.
func (b *Recorder) RequestLost(id, how, excused string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.requests[id]
	b.addTrace(r, "lost: %s (excused: %q)", how, excused)
	if excused != "" {
		b.outcomes["excused"]++
		return
	}
	b.appendViolation(RuleLost, r, how)
}

// Announced records that a change of a backend was announced to a proxy: revision rev, in which the
// backend is draining or removed, or else in service. A revision that is not newer than the last
// one announced is ignored.
func (b *Recorder) Announced(backend string, proxy int, rev int64, leaving bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.announced[backend] == nil {
		b.announced[backend] = map[int]announcement{}
	}
	last := b.announced[backend][proxy]
	if rev <= last.rev {
		return
	}
	next := announcement{rev: rev}
	if leaving {
		next.leavingSince = last.leavingSince // it may have been leaving already
		if next.leavingSince.IsZero() {
			next.leavingSince = time.Now()
		}
	}
	b.announced[backend][proxy] = next
}

// ProxySuspended records that a proxy was suspended for longer than the protocol tolerates. The
// timing rules don't apply around that time.
func (b *Recorder) ProxySuspended(proxy int, from, to time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspensions[proxy] = append(b.suspensions[proxy], interval{from, to})
}

// wasSuspended reports whether the timing rules don't apply to a proxy at a time: from 4 s before a
// suspension until 2 s after it.
func (b *Recorder) wasSuspended(proxy int, at time.Time) bool {
	for _, s := range b.suspensions[proxy] {
		if at.Before(s.to.Add(2*time.Second)) && at.Add(4*time.Second).After(s.from) {
			return true
		}
	}
	return false
}

// Summary returns the counts of outcomes and violations on one line.
func (b *Recorder) Summary() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := map[string]int{}
	for k, v := range b.outcomes {
		counts[k] = v
	}
	for _, v := range b.violations {
		counts["broken:"+string(v.Rule)]++
	}
	keys := make([]string, 0, len(counts))
	for k := range counts {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	parts := make([]string, 0, len(keys))
	for _, k := range keys {
		parts = append(parts, fmt.Sprintf("%s=%d", k, counts[k]))
	}
	return strings.Join(parts, " ")
}
