// Package soak runs a few dozen real processes of a built proxy on loopback, with discovery,
// backends and clients of its own, makes trouble that overlaps as a seed says, and judges
// from outside what the protocol promises. docs/soak.md is its page.
package soak

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"
)

// Rule is one promise that is judged.
type Rule string

// The rules. Their words are those of the protocol's page.
const (
	RuleLost      Rule = "lost"      // a request that was taken got no whole answer in time
	RuleForeign   Rule = "foreign"   // an answer was served that no backend made for the request
	RuleDuplicate Rule = "duplicate" // what must not run twice did
	RuleRefused   Rule = "refused"   // a refusal promised no effect, and a backend had run the request
	RuleDrain     Rule = "drain"     // a send to what had been told to be draining or gone
	RuleDeadline  Rule = "deadline"  // a backend was told of more time than the client had left
	RuleGone      Rule = "gone"      // an attempt began after its client had left
	RuleCrash     Rule = "crash"     // a process ended by itself, panicked, hung or did not start
	RuleBadClient Rule = "badclient" // a client that sent nonsense was neither answered nor closed
)

// Slacks of the rules.
const (
	answerSlack   = 550 * time.Millisecond // after a client's time, until a request counts as lost
	drainSlack    = 50 * time.Millisecond  // beside the grace of the settings
	deadlineSlack = 150 * time.Millisecond
	goneSlack     = 150 * time.Millisecond // 0.1 s, and what the network takes
)

// Violation is one breach of a rule.
type Violation struct {
	Rule   Rule
	At     time.Duration // since the run's start
	Detail string
	Trace  []string // what happened to the request
}

// attempt is one request that a backend has read whole.
type attempt struct {
	backend string
	at      time.Time
	ran     bool // it was not turned away
}

// request is what the books have of one request id.
type request struct {
	id           string
	class        Class
	proxy        int
	sent         time.Time
	budget       time.Duration
	clientLeftAt time.Time // its client closed; zero: it stayed
	attempts     []attempt
	trace        []string
}

// Recorder is what happened, as clients, backends and discovery saw it, and the judgement. It
// is safe for concurrent use.
type Recorder struct {
	start time.Time
	grace time.Duration // in which a told drain may still get sends

	mu          sync.Mutex
	requests    map[string]*request
	announced   map[string]map[int]announcement // by backend and proxy: what was told last
	suspensions map[int][]interval              // by proxy: times in which it was held up
	violations  []Violation
	outcomes    map[string]int
	ended       bool
	voided      string
}

type interval struct{ from, to time.Time }

// announcement is the newest change of a backend that a proxy has been announcement.
type announcement struct {
	rev          int64
	leavingSince time.Time // since when it has been told of a going; zero: it is in service
}

// NewRecorder returns empty books that begin now.
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

// Void notes why the run says nothing.
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

// markEnded notes that the run is over.
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

// Violations are the breaches so far, oldest first.
func (b *Recorder) Violations() []Violation {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Violation(nil), b.violations...)
}

// Outcomes counts how requests ended.
func (b *Recorder) Outcomes() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]int{}
	for k, v := range b.outcomes {
		out[k] = v
	}
	return out
}

// Count counts something that is no violation by itself.
func (b *Recorder) Count(what string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outcomes[what]++
}

// AddViolation notes a violation that concerns no single request.
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

// RequestSent notes that a client is about to write a request to a proxy.
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

// ClientLeft notes that a request's client has closed its connection.
func (b *Recorder) ClientLeft(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.requests[id]; r != nil {
		r.clientLeftAt = time.Now()
		b.addTrace(r, "client leaves")
		b.outcomes["left"]++
	}
}

// ReachedBackend tells whether a backend has read a request.
func (b *Recorder) ReachedBackend(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.requests[id]
	return r != nil && len(r.attempts) > 0
}

// AttemptReceived notes that a backend has read a request whole from a proxy, of which the first
// byte came at began; ran tells whether it was worked on.
func (b *Recorder) AttemptReceived(id, backend string, proxy int, began time.Time, told time.Duration, ran bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.requests[id]
	if r == nil {
		b.appendViolation(RuleForeign, nil, fmt.Sprintf("backend %s got a request %q that no client sent", backend, id))
		return
	}
	now := time.Now()
	b.addTrace(r, "backend %s reads it from proxy %d, told %d ms, ran %t", backend, proxy, told.Milliseconds(), ran)
	held := b.wasSuspended(proxy, began)
	if at := b.announced[backend][proxy].leavingSince; !at.IsZero() && began.Sub(at) > b.grace+drainSlack && !held {
		b.appendViolation(RuleDrain, r, fmt.Sprintf("sent to %s %v after it was told to be leaving", backend, began.Sub(at)))
	}
	if left := r.sent.Add(r.budget).Sub(began); told > left+deadlineSlack && !held {
		b.appendViolation(RuleDeadline, r, fmt.Sprintf("backend was told %v, the client had %v left", told, left))
	}
	if !r.clientLeftAt.IsZero() && began.Sub(r.clientLeftAt) > goneSlack && !held {
		b.appendViolation(RuleGone, r, fmt.Sprintf("an attempt began %v after the client left", began.Sub(r.clientLeftAt)))
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

// ResponseReceived notes a whole answer, and judges it.
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
			b.appendViolation(RuleForeign, r, fmt.Sprintf("served %q, which no backend made for it", body))
		}
	case status == 429 || status == 503:
		b.outcomes["refused"]++
		if runs := r.runs(); runs > 0 && !r.class.Idempotent {
			b.appendViolation(RuleRefused, r, fmt.Sprintf("refused with %d, and run %d times", status, runs))
		}
	default:
		b.outcomes["failed"]++
	}
	if late > answerSlack && !b.wasSuspended(r.proxy, r.sent) {
		b.appendViolation(RuleLost, r, fmt.Sprintf("answered %v after its time", late))
	}
}

// matchesAttempt tells whether one of the request's backends matchesAttempt a body for it.
func (r *request) matchesAttempt(body string) bool {
	for _, a := range r.attempts {
		if a.ran && body == bodyFor(r.id, a.backend) {
			return true
		}
	}
	return false
}

// bodyFor is what a backend answers to a request.
func bodyFor(id, backend string) string { return "answer to " + id + " by " + backend + "\n" }

// RequestLost notes a request that will get no whole answer. excused is why that is no breach, or
// empty.
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

// Announced notes that a proxy has been told of a backend as it was at a version: that it is leaving
// or gone, or that it serves. What is older than what it has been told before says nothing.
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
		next.leavingSince = last.leavingSince // it was leaving before: from then on
		if next.leavingSince.IsZero() {
			next.leavingSince = time.Now()
		}
	}
	b.announced[backend][proxy] = next
}

// ProxySuspended notes that a proxy was held up for longer than the protocol allows for: what it did
// around that time is not judged by time.
func (b *Recorder) ProxySuspended(proxy int, from, to time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspensions[proxy] = append(b.suspensions[proxy], interval{from, to})
}

// wasSuspended tells whether a proxy was held up at a time or within the two seconds behind it.
func (b *Recorder) wasSuspended(proxy int, at time.Time) bool {
	for _, s := range b.suspensions[proxy] {
		if at.Before(s.to.Add(2*time.Second)) && at.Add(4*time.Second).After(s.from) {
			return true
		}
	}
	return false
}

// Summary is the counts of outcomes and violations on one line.
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
