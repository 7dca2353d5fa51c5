package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"
)

// ListFormat is how a Registry writes its lists. All forms mean the same.
type ListFormat int

// The forms of a list.
const (
	FormatPlain       ListFormat = iota // on one line
	FormatIndented                      // over several lines
	FormatFragmented                    // a few bytes at a time
	FormatDuplicated                    // each list twice
	FormatStaleChange                   // the change before it is written again right behind each list
	FormatStaleList                     // the whole list as it was before it is written right behind each
)

// RegistryOptions says how a Registry serves.
type RegistryOptions struct {
	ServiceTime       time.Duration // processor time of each call; calls are answered in turn
	MaxQueueDelay     time.Duration // a call that would wait longer is turned away at once; 0: none ever is
	NotifyDelay       time.Duration // standing watches hear of a change that long after it is made
	HeartbeatInterval time.Duration // between the empty lines of a watch; 0: 2 s
	ListFormat        ListFormat
}

// Registry is a stand-in for the discovery service with its queue, for hundreds of
// callers. It uses no sockets and blocks on nothing but channels and timers, so that it
// runs in a synctest bubble. Callers are told apart by the address that they dial.
//
// With no limit on the queue it works as a service that can't notice that a caller has
// gone: the call costs its Work all the same.
type Registry struct {
	t     testing.TB
	opt   RegistryOptions
	tasks sync.WaitGroup

	mu       sync.Mutex
	over     bool
	changes  []change          // revision n is the nth
	changed  chan struct{}     // closed with the next change
	free     time.Time         // when the work taken in is done
	uncut    chan struct{}     // closed when dials go through again; nil: they do
	since    time.Time         // callers can reach it
	up       context.Context   // of all that is served until the service is next down
	shut     func()            // ends up
	open     map[*watch]bool   // calls taken in and watches, none of them silent
	told     map[string][]news // what each caller was written, and its silences
	calls    int
	away     int
	answered int
}

// change is one revision.
type change struct {
	made  time.Time
	lines []string
}

// news is a list that has been written whole to a caller, or the moment from which
// its watch or call said nothing more.
type news struct {
	at  time.Time
	rev int // 0: silence
}

// watch is one call and the watch that comes of it.
type watch struct {
	*Registry
	who    string
	conn   net.Conn
	ctx    context.Context // over once the service or the caller has ended it
	silent chan struct{}   // closed by Silence
}

// kept is how many revisions back a caller is told only what changed.
const kept = 16

// NewRegistry starts a registry with an empty list, of revision 0. It must be closed.
func NewRegistry(t testing.TB, opt RegistryOptions) *Registry {
	if opt.HeartbeatInterval == 0 {
		opt.HeartbeatInterval = 2 * time.Second
	}
	r := &Registry{t: t, opt: opt, since: time.Now(), changed: make(chan struct{}),
		open: map[*watch]bool{}, told: map[string][]news{}}
	r.up, r.shut = context.WithCancel(context.Background())
	return r
}

// Close ends all calls and watches, and returns when nothing of them is left.
func (r *Registry) Close() {
	r.mu.Lock()
	r.over = true
	r.shut()
	r.mu.Unlock()
	r.tasks.Wait()
}

// Publish makes a new revision of lines as Target and TargetIn give them, and returns
// its number.
func (r *Registry) Publish(lines ...string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changes = append(r.changes, change{time.Now(), lines})
	close(r.changed)
	r.changed = make(chan struct{})
	return len(r.changes)
}

// SilenceWatches makes all watches that stand and all calls not yet answered say nothing from
// now on, though their connections stay open. Later calls are served as usual.
func (r *Registry) SilenceWatches() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for w := range r.open {
		close(w.silent)
		r.told[w.who] = append(r.told[w.who], news{at: time.Now()})
	}
	clear(r.open)
}

// SetDialsHang makes each dial hang, or no longer. What stands goes on.
func (r *Registry) SetDialsHang(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case cut && r.uncut == nil:
		r.uncut = make(chan struct{})
	case !cut && r.uncut != nil:
		close(r.uncut)
		r.uncut, r.since = nil, time.Now()
	}
}

// SetDown ends all calls and watches and refuses new ones, or no longer.
func (r *Registry) SetDown(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.shut(); !down && !r.over {
		r.up, r.shut = context.WithCancel(context.Background())
		r.since = time.Now()
	}
	r.free = time.Time{}
}

// CallCount is how many calls were made, whatever became of them.
func (r *Registry) CallCount() int { return r.count(&r.calls) }

// RejectedCount is how many calls were answered with 503.
func (r *Registry) RejectedCount() int { return r.count(&r.away) }

// AnsweredCount is how many calls were answered with a list.
func (r *Registry) AnsweredCount() int { return r.count(&r.answered) }

func (r *Registry) count(n *int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return *n
}

// AnnouncedAt is since when who counts as told of a revision, if it does by now: once it has
// been written whole to it, or, as the caller of a silent watch or call, once that has
// been silent for the time within, and no list has come to it on a later call; whatever
// became of its calls, once the service has had the revision, and could be reached, for
// the time within.
func (r *Registry) AnnouncedAt(who string, rev int, within time.Duration) (at time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	written := r.changes[rev-1].made.Add(r.opt.NotifyDelay)
	last := written // by the time alone
	if last.Before(r.since) {
		last = r.since
	}
	last = last.Add(within)
	defer func() {
		if r.up.Err() == nil && r.uncut == nil && !time.Now().Before(last) && (!ok || last.Before(at)) {
			at, ok = last, true
		}
	}()
	var due time.Time // by the silence, if there is one
	for _, n := range r.told[who] {
		switch {
		case !due.IsZero() && !n.at.Before(due):
			return due, true
		case n.rev >= rev:
			return n.at, true
		case n.rev > 0:
			due = time.Time{}
		case due.IsZero():
			due = n.at.Add(within)
			if due.Before(written) {
				due = written
			}
		}
	}
	return due, !due.IsZero() && !time.Now().Before(due)
}

// Dial begins a call. It has the form of net.Dialer's DialContext; addr is the caller's
// name.
func (r *Registry) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	r.mu.Lock()
	r.calls++
	uncut := r.uncut
	r.mu.Unlock()
	if uncut != nil {
		select {
		case <-uncut:
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.up.Err() != nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	}
	near, far := net.Pipe()
	callCtx, end := context.WithCancel(r.up)
	w := &watch{r, addr, far, callCtx, make(chan struct{})}
	r.tasks.Go(func() { w.serve(end) })
	return near, nil
}

func (w *watch) serve(end func()) {
	defer end()
	defer context.AfterFunc(w.ctx, func() { w.conn.Close() })()
	defer w.conn.Close()
	defer func() {
		w.mu.Lock()
		delete(w.open, w)
		w.mu.Unlock()
	}()
	in := bufio.NewReader(w.conn)
	req, err := http.ReadRequest(in)
	if err != nil {
		return // its caller has gone
	}
	index, err := strconv.Atoi(req.FormValue("index"))
	if err != nil || req.Method+req.URL.Path != "GET/v1/servers" || req.FormValue("stream") != "1" {
		w.t.Errorf("asked %s %s", req.Method, req.RequestURI)
		return
	}
	w.tasks.Go(func() { // callers send no more: a read ends when they have gone
		io.Copy(io.Discard, in)
		end()
	})
	ready, ok := w.take()
	if !ok {
		io.WriteString(w.conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return
	}
	if w.wait(time.Until(ready), nil) {
		w.follow(index)
	}
}

// take puts a call into the queue, or turns it away.
func (w *watch) take() (ready time.Time, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if ready = w.free; ready.Before(now) {
		ready = now
	}
	ready = ready.Add(w.opt.ServiceTime)
	if w.opt.MaxQueueDelay > 0 && ready.Sub(now) > w.opt.MaxQueueDelay {
		w.away++
		return ready, false
	}
	w.free, w.open[w] = ready, true
	return ready, true
}

// follow answers a caller that has revision rev, and goes on with what changes.
func (w *watch) follow(rev int) {
	if !w.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") {
		return
	}
	w.mu.Lock()
	last := len(w.changes)
	w.answered++
	w.mu.Unlock()
	all := rev == 0 || rev > last || rev < last-kept
	if all {
		rev = 0
	}
	if !w.tell(rev, last, all) {
		return
	}
	life := time.Now().Add(w.opt.HeartbeatInterval)
	for {
		w.mu.Lock()
		changed, next := w.changed, life
		if last < len(w.changes) {
			changed = nil
			if at := w.changes[last].made.Add(w.opt.NotifyDelay); at.Before(next) {
				next = at
			}
		}
		w.mu.Unlock()
		switch now := time.Now(); {
		case next.After(now):
			if !w.wait(next.Sub(now), changed) {
				return
			}
		case next.Equal(life):
			if !w.chunk("\n") {
				return
			}
			life = life.Add(w.opt.HeartbeatInterval)
		default:
			if !w.tell(last, last+1, false) {
				return
			}
			last++
		}
	}
}

// tell writes what changed after revision from, up to rev, or the whole list.
func (w *watch) tell(from, rev int, all bool) bool {
	line := w.line(from, rev, all)
	if !w.chunk(line) {
		return false
	}
	w.mu.Lock()
	if w.open[w] {
		w.told[w.who] = append(w.told[w.who], news{time.Now(), rev})
	}
	w.mu.Unlock()
	switch {
	case w.opt.ListFormat == FormatDuplicated:
		return w.chunk(line)
	case w.opt.ListFormat == FormatStaleChange && rev > 1:
		return w.chunk(w.line(rev-2, rev-1, false))
	case w.opt.ListFormat == FormatStaleList && rev > 1:
		return w.chunk(w.line(0, rev-1, true))
	}
	return true
}

// line is a list: of each target that changed after revision from, its line at rev.
func (w *watch) line(from, rev int, all bool) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var lines []string
	seen := map[string]bool{}
	for n := rev; n > from; n-- {
		for _, line := range w.changes[n-1].lines {
			var target struct{ UID, State string }
			if err := json.Unmarshal([]byte(line), &target); err != nil {
				w.t.Errorf("no target: %s", line)
			}
			if !seen[target.UID] && !(all && target.State == "terminated") {
				lines = append(lines, line)
			}
			seen[target.UID] = true
		}
	}
	line := ListJSON(rev, all, lines...)
	if w.opt.ListFormat == FormatIndented {
		var out bytes.Buffer
		json.Indent(&out, []byte(line), "", "  ")
		line = out.String()
	}
	return line + "\n"
}

// chunk writes text as a chunk of the answer.
func (w *watch) chunk(text string) bool {
	const few = 7 // bytes: cuts through names, and through what says how long a chunk is
	text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
	for w.opt.ListFormat == FormatFragmented && len(text) > few {
		if !w.write(text[:few]) || !w.wait(time.Millisecond, nil) {
			return false
		}
		text = text[few:]
	}
	return w.write(text)
}

// write writes text, unless the watch is silent or over.
func (w *watch) write(text string) bool {
	select {
	case <-w.silent:
		<-w.ctx.Done()
		return false
	default:
	}
	_, err := io.WriteString(w.conn, text)
	return err == nil
}

// wait waits for d, or until there is a change. It returns false when the watch is
// over; a silent one stays open until then.
func (w *watch) wait(d time.Duration, changed <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-changed:
		return true
	case <-w.silent:
		<-w.ctx.Done()
	case <-w.ctx.Done():
	}
	return false
}
