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

// ListFormat is the way in which a Registry writes its lists. A client must end up with the
// same list in all formats.
type ListFormat int

// The list formats.
const (
	FormatPlain       ListFormat = iota // on one line
	FormatIndented                      // over several lines
	FormatFragmented                    // a few bytes per write
	FormatDuplicated                    // each list twice
	FormatStaleChange                   // each list is followed by the change before it
	FormatStaleList                     // each list is followed by the whole list of the revision before it
)

// RegistryOptions configures a Registry.
type RegistryOptions struct {
	ServiceTime       time.Duration // processor time per request; requests are processed one at a time
	MaxQueueDelay     time.Duration // a request that would wait longer is rejected at once; 0: none is
	NotifyDelay       time.Duration // from a change until open watches are sent it
	HeartbeatInterval time.Duration // between the empty lines of a watch; 0: 2 s
	ListFormat        ListFormat
}

// Registry simulates the discovery service and its request queue for hundreds of clients. It
// uses no sockets and blocks only on channels and timers, so that it can run in a synctest
// bubble. Clients are distinguished by the address that they dial.
//
// Without a limit on the queue it behaves as a service that can't notice that a client has
// disconnected: the request still costs its ServiceTime.
type Registry struct {
	t       testing.TB
	options RegistryOptions
	tasks   sync.WaitGroup

	mu             sync.Mutex
	closed         bool
	changes        []change              // revision n is at index n-1
	changed        chan struct{}         // closed at the next change
	busyUntil      time.Time             // when all accepted requests will have been processed
	dialsResume    chan struct{}         // closed when dials succeed again; nil: they do
	reachableSince time.Time             // since when clients can reach the service
	serving        context.Context       // of all requests, until the service is next down
	stopServing    func()                // cancels serving
	active         map[*watch]bool       // accepted requests and watches, without the silenced ones
	deliveries     map[string][]delivery // by client: the lists written to it, and its silenced watches
	calls          int
	rejected       int
	answered       int
}

// change is one revision of the list.
type change struct {
	at    time.Time
	lines []string
}

// delivery is a list that was written completely to a client, or the silencing of the client's
// watch or pending request.
type delivery struct {
	at  time.Time
	rev int // 0: silenced
}

// watch is one request and the watch that it opens.
type watch struct {
	*Registry
	client   string
	conn     net.Conn
	ctx      context.Context // done once the service or the client has ended the watch
	silenced chan struct{}   // closed by SilenceWatches
}

// changeHistory is the number of past revisions for which a client gets only the changes. A
// client with an older revision gets the whole list.
const changeHistory = 16

// NewRegistry starts a registry with an empty list of revision 0. The caller must close it.
func NewRegistry(t testing.TB, options RegistryOptions) *Registry {
	if options.HeartbeatInterval == 0 {
		options.HeartbeatInterval = 2 * time.Second
	}
	r := &Registry{t: t, options: options, reachableSince: time.Now(), changed: make(chan struct{}),
		active: map[*watch]bool{}, deliveries: map[string][]delivery{}}
	r.serving, r.stopServing = context.WithCancel(context.Background())
	return r
}

// Close ends all requests and watches, and waits for their goroutines.
func (r *Registry) Close() {
	r.mu.Lock()
	r.closed = true
	r.stopServing()
	r.mu.Unlock()
	r.tasks.Wait()
}

// Publish makes a new revision with the given entries, in the form of TargetJSON and
// TargetJSONInState, and returns its number.
func (r *Registry) Publish(lines ...string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changes = append(r.changes, change{time.Now(), lines})
	close(r.changed)
	r.changed = make(chan struct{})
	return len(r.changes)
}

// SilenceWatches stops all writes on open watches and on pending requests, but leaves their
// connections open. Later requests are served as usual.
func (r *Registry) SilenceWatches() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for w := range r.active {
		close(w.silenced)
		r.deliveries[w.client] = append(r.deliveries[w.client], delivery{at: time.Now()})
	}
	clear(r.active)
}

// SetDialsHang makes each dial hang until its context is done, or makes dials succeed again.
// Established connections are not affected.
func (r *Registry) SetDialsHang(hang bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case hang && r.dialsResume == nil:
		r.dialsResume = make(chan struct{})
	case !hang && r.dialsResume != nil:
		close(r.dialsResume)
		r.dialsResume, r.reachableSince = nil, time.Now()
	}
}

// SetDown ends all requests and watches and refuses new connections, or makes the service
// available again with an empty queue.
func (r *Registry) SetDown(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopServing(); !down && !r.closed {
		r.serving, r.stopServing = context.WithCancel(context.Background())
		r.reachableSince = time.Now()
	}
	r.busyUntil = time.Time{}
}

// CallCount returns the number of dials, whatever their outcome.
func (r *Registry) CallCount() int { return r.count(&r.calls) }

// RejectedCount returns the number of requests answered with 503.
func (r *Registry) RejectedCount() int { return r.count(&r.rejected) }

// AnsweredCount returns the number of requests answered with a list.
func (r *Registry) AnsweredCount() int { return r.count(&r.answered) }

func (r *Registry) count(n *int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return *n
}

// AnnouncedAt returns the time at which revision rev began to count as announced to the client,
// and false if it doesn't count as that yet. It is the earliest of these times:
//   - when the revision or a later one had been written completely to the client;
//   - a period of length within after the client's watch or pending request was silenced, but
//     not before open watches were due the revision; a list that the client gets from a later
//     request before that time cancels this rule;
//   - the same period after open watches were due the revision, and after the service last
//     became reachable; this applies only while the service is reachable, but whatever became
//     of the client's requests.
func (r *Registry) AnnouncedAt(client string, rev int, within time.Duration) (at time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	notifyTime := r.changes[rev-1].at.Add(r.options.NotifyDelay)
	latest := notifyTime // the time by which the third rule applies
	if latest.Before(r.reachableSince) {
		latest = r.reachableSince
	}
	latest = latest.Add(within)
	defer func() {
		if r.serving.Err() == nil && r.dialsResume == nil && !time.Now().Before(latest) && (!ok || latest.Before(at)) {
			at, ok = latest, true
		}
	}()
	var silenceDue time.Time // the time by which the second rule applies; zero: no silenced watch
	for _, d := range r.deliveries[client] {
		switch {
		case !silenceDue.IsZero() && !d.at.Before(silenceDue):
			return silenceDue, true
		case d.rev >= rev:
			return d.at, true
		case d.rev > 0:
			silenceDue = time.Time{}
		case silenceDue.IsZero():
			silenceDue = d.at.Add(within)
			if silenceDue.Before(notifyTime) {
				silenceDue = notifyTime
			}
		}
	}
	return silenceDue, !silenceDue.IsZero() && !time.Now().Before(silenceDue)
}

// Dial opens a connection for one request. It has the signature of net.Dialer.DialContext; addr
// is the name of the client.
func (r *Registry) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	r.mu.Lock()
	r.calls++
	dialsResume := r.dialsResume
	r.mu.Unlock()
	if dialsResume != nil {
		select {
		case <-dialsResume:
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.serving.Err() != nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	}
	clientEnd, serverEnd := net.Pipe()
	callCtx, cancel := context.WithCancel(r.serving)
	w := &watch{r, addr, serverEnd, callCtx, make(chan struct{})}
	r.tasks.Go(func() { w.serve(cancel) })
	return clientEnd, nil
}

func (w *watch) serve(cancel func()) {
	defer cancel()
	defer context.AfterFunc(w.ctx, func() { w.conn.Close() })()
	defer w.conn.Close()
	defer func() {
		w.mu.Lock()
		delete(w.active, w)
		w.mu.Unlock()
	}()
	in := bufio.NewReader(w.conn)
	req, err := http.ReadRequest(in)
	if err != nil {
		return // the client has disconnected
	}
	index, err := strconv.Atoi(req.FormValue("index"))
	if err != nil || req.Method+req.URL.Path != "GET/v1/servers" || req.FormValue("stream") != "1" {
		w.t.Errorf("unexpected request: %s %s", req.Method, req.RequestURI)
		return
	}
	w.tasks.Go(func() { // clients send nothing more, so the copy ends when the client disconnects
		io.Copy(io.Discard, in)
		cancel()
	})
	processedAt, ok := w.enqueue()
	if !ok {
		io.WriteString(w.conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return
	}
	if w.wait(time.Until(processedAt), nil) {
		w.stream(index)
	}
}

// enqueue adds the request to the queue and returns when it will have been processed, or
// rejects it.
func (w *watch) enqueue() (processedAt time.Time, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if processedAt = w.busyUntil; processedAt.Before(now) {
		processedAt = now
	}
	processedAt = processedAt.Add(w.options.ServiceTime)
	if w.options.MaxQueueDelay > 0 && processedAt.Sub(now) > w.options.MaxQueueDelay {
		w.rejected++
		return processedAt, false
	}
	w.busyUntil, w.active[w] = processedAt, true
	return processedAt, true
}

// stream answers a client that has revision rev, and then sends it the changes and heartbeats
// until the watch ends.
func (w *watch) stream(rev int) {
	if !w.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") {
		return
	}
	w.mu.Lock()
	last := len(w.changes)
	w.answered++
	w.mu.Unlock()
	all := rev == 0 || rev > last || rev < last-changeHistory
	if all {
		rev = 0
	}
	if !w.sendList(rev, last, all) {
		return
	}
	heartbeatAt := time.Now().Add(w.options.HeartbeatInterval)
	for {
		w.mu.Lock()
		changed, next := w.changed, heartbeatAt
		if last < len(w.changes) {
			changed = nil
			if at := w.changes[last].at.Add(w.options.NotifyDelay); at.Before(next) {
				next = at
			}
		}
		w.mu.Unlock()
		switch now := time.Now(); {
		case next.After(now):
			if !w.wait(next.Sub(now), changed) {
				return
			}
		case next.Equal(heartbeatAt):
			if !w.writeChunk("\n") {
				return
			}
			heartbeatAt = heartbeatAt.Add(w.options.HeartbeatInterval)
		default:
			if !w.sendList(last, last+1, false) {
				return
			}
			last++
		}
	}
}

// sendList sends the changes after revision from, up to revision rev, or the whole list. It
// returns false when the watch is over.
func (w *watch) sendList(from, rev int, all bool) bool {
	list := w.list(from, rev, all)
	if !w.writeChunk(list) {
		return false
	}
	w.mu.Lock()
	if w.active[w] {
		w.deliveries[w.client] = append(w.deliveries[w.client], delivery{time.Now(), rev})
	}
	w.mu.Unlock()
	switch {
	case w.options.ListFormat == FormatDuplicated:
		return w.writeChunk(list)
	case w.options.ListFormat == FormatStaleChange && rev > 1:
		return w.writeChunk(w.list(rev-2, rev-1, false))
	case w.options.ListFormat == FormatStaleList && rev > 1:
		return w.writeChunk(w.list(0, rev-1, true))
	}
	return true
}

// list returns a list message: for each target that changed after revision from, its entry as
// of revision rev.
func (w *watch) list(from, rev int, all bool) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var entries []string
	seen := map[string]bool{}
	for n := rev; n > from; n-- {
		for _, line := range w.changes[n-1].lines {
			var target struct{ UID, State string }
			if err := json.Unmarshal([]byte(line), &target); err != nil {
				w.t.Errorf("malformed list entry: %s", line)
			}
			if !seen[target.UID] && !(all && target.State == "terminated") {
				entries = append(entries, line)
			}
			seen[target.UID] = true
		}
	}
	text := ListJSON(rev, all, entries...)
	if w.options.ListFormat == FormatIndented {
		var out bytes.Buffer
		json.Indent(&out, []byte(text), "", "  ")
		text = out.String()
	}
	return text + "\n"
}

// writeChunk writes text as one chunk of the response.
func (w *watch) writeChunk(text string) bool {
	const fragmentBytes = 7 // splits names, and the line with the size of the chunk
	text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
	for w.options.ListFormat == FormatFragmented && len(text) > fragmentBytes {
		if !w.write(text[:fragmentBytes]) || !w.wait(time.Millisecond, nil) {
			return false
		}
		text = text[fragmentBytes:]
	}
	return w.write(text)
}

// write writes text, and returns false when the watch is over. On a silenced watch it writes
// nothing and blocks until the watch is over.
func (w *watch) write(text string) bool {
	select {
	case <-w.silenced:
		<-w.ctx.Done()
		return false
	default:
	}
	_, err := io.WriteString(w.conn, text)
	return err == nil
}

// wait waits for the duration d, or until there is a change. It returns false when the watch is
// over. On a silenced watch it blocks until then.
func (w *watch) wait(d time.Duration, changed <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-changed:
		return true
	case <-w.silenced:
		<-w.ctx.Done()
	case <-w.ctx.Done():
	}
	return false
}
