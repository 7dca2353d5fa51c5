package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// target is one entry of the list. Its endpoint differs for each proxy.
type target struct {
	rev       int64 // of its last change
	changedAt time.Time
	uid       string
	state     string
	boot      time.Time // zero: long ago
	backend   *backend
}

// registry is the test's discovery service. It has two listeners per proxy, so that a new
// configuration can move a proxy to another address.
type registry struct {
	recorder *Recorder

	mu              sync.Mutex
	rev             int64
	targets         map[string]target
	changes         []target      // all revisions of the entries, in order
	written         map[int]int64 // by proxy: the newest revision written to it
	changed         chan struct{} // closed at the next change
	watchesEnd      chan struct{} // closed to end all watches cleanly
	downUntil       time.Time
	silentUntil     time.Time
	slowUntil       time.Time
	overloadedUntil time.Time
	fillers         int // number of extra entries in a whole list

	servers []*registryServer
	tasks   sync.WaitGroup
}

// registryServer is one listener of the registry.
type registryServer struct {
	registry *registry
	proxy    int
	addr     string

	mu    sync.Mutex
	http  *http.Server
	conns map[net.Conn]bool
}

// addresses is the number of listeners per proxy.
const addresses = 2

func newRegistry(recorder *Recorder, proxies int) (*registry, error) {
	r := &registry{recorder: recorder, targets: map[string]target{}, written: map[int]int64{}, changed: make(chan struct{}),
		watchesEnd: make(chan struct{})}
	for i := range proxies * addresses {
		s := &registryServer{registry: r, proxy: i / addresses, addr: host(hostRegistry) + ":0"}
		r.servers = append(r.servers, s)
		if err := s.listen(); err != nil {
			r.close()
			return nil, err
		}
	}
	return r, nil
}

// addr returns the address of one of a proxy's listeners.
func (r *registry) addr(proxy, which int) string {
	return r.servers[proxy*addresses+which%addresses].addr
}

func (s *registryServer) listen() error {
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addr, s.conns = ln.Addr().String(), map[net.Conn]bool{}
	s.http = &http.Server{Handler: s, ConnState: func(c net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if state == http.StateNew {
			s.conns[c] = true
		} else if state == http.StateClosed {
			delete(s.conns, c)
		}
	}}
	server := s.http
	s.registry.tasks.Go(func() { server.Serve(ln) })
	return nil
}

// down resets all connections and refuses new ones.
func (s *registryServer) down() {
	s.mu.Lock()
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
	}
	server := s.http
	s.mu.Unlock()
	server.Close()
}

func (r *registry) close() {
	for _, s := range r.servers {
		if s.http != nil {
			s.down()
		}
	}
	r.tasks.Wait()
}

// set publishes a change. It counts as announced at the latest once discovery was reachable for
// announceWithin.
func (r *registry) set(t target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rev++
	t.rev, t.changedAt = r.rev, time.Now()
	r.targets[t.uid] = t
	r.changes = append(r.changes, t)
	close(r.changed)
	r.changed = make(chan struct{})
	r.tasks.Go(func() { r.announceByTime(t) })
}

// announceByTime records a change as announced to all proxies once discovery has had it for
// announceWithin; the time restarts after each outage. An overload is not an outage, since some
// requests get through.
func (r *registry) announceByTime(t target) {
	since := time.Now()
	for time.Since(since) < announceWithin {
		time.Sleep(50 * time.Millisecond)
		r.mu.Lock()
		now := time.Now()
		if now.Before(r.downUntil) || now.Before(r.slowUntil) {
			since = now
		}
		r.mu.Unlock()
		if r.recorder.hasEnded() {
			return
		}
	}
	for proxy := range t.backend.listeners {
		r.recorder.Announced(t.backend.name, proxy, t.rev, t.state != "in_service")
	}
}

// endWatches ends all watches cleanly.
func (r *registry) endWatches() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.watchesEnd)
	r.watchesEnd = make(chan struct{})
}

// goDown makes the registry refuse connections for a time.
func (r *registry) goDown(span time.Duration) {
	r.mu.Lock()
	already := time.Now().Before(r.downUntil)
	r.downUntil = time.Now().Add(span)
	r.mu.Unlock()
	if already {
		return
	}
	for _, s := range r.servers {
		s.down()
	}
	r.tasks.Go(func() {
		for {
			r.mu.Lock()
			left := time.Until(r.downUntil)
			r.mu.Unlock()
			if left <= 0 {
				break
			}
			time.Sleep(min(left, 50*time.Millisecond))
		}
		for _, s := range r.servers {
			if r.recorder.hasEnded() {
				return
			}
			if err := s.listen(); err != nil {
				r.recorder.Void("the registry could not listen again: " + err.Error())
			}
		}
	})
}

func (r *registry) goSilent(span time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silentUntil = time.Now().Add(span)
}

func (r *registry) goSlow(span time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slowUntil = time.Now().Add(span)
}

// goOverloaded makes requests wait and then fail for a time. Open watches get heartbeats, but
// changes only late.
func (r *registry) goOverloaded(span time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.overloadedUntil = time.Now().Add(span)
}

func (r *registry) isOverloaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.overloadedUntil)
}

// maxNotifyDelay is the longest delay of a change on a watch during an overload. With delays above
// announceWithin proxies are known to violate the drain rule: see TestCrowdIsNoOutage.
const maxNotifyDelay = announceWithin - time.Second

// notifies reports whether watches are due to get the changes after a revision now.
func (r *registry) notifies(after int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := slices.IndexFunc(r.changes, func(t target) bool { return t.rev > after })
	return !time.Now().Before(r.overloadedUntil) || i >= 0 && time.Since(r.changes[i].changedAt) >= maxNotifyDelay
}

// wireTarget is an entry in the form sent to proxies.
type wireTarget struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Size     float64 `json:"capacity_hint"`
	Boot     int64   `json:"boot_ms"`
}

func (t target) wire(proxy int) wireTarget {
	w := wireTarget{UID: t.uid, Endpoint: t.backend.endpoint(proxy), Zone: "z1", Model: "m", Cell: 1, State: t.state, Size: 1}
	if !t.boot.IsZero() {
		w.Boot = unixMillis(t.boot)
	}
	return w
}

// list returns a list message for a proxy, with the changes after a revision or with all backends in
// service; its revision; and the entries that it announces.
func (r *registry) list(proxy int, after int64, all bool) (line []byte, rev int64, announced []target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entries := []wireTarget{}
	if all {
		for _, t := range r.targets { // the message leaves out draining and removed backends
			if t.state == "in_service" {
				entries = append(entries, t.wire(proxy))
			}
			announced = append(announced, t)
		}
		for n := range r.fillers {
			entries = append(entries, filler(n))
		}
	} else {
		for _, t := range r.changes {
			if t.rev > after {
				entries = append(entries, t.wire(proxy))
				announced = append(announced, t)
			}
		}
	}
	return listLine(r.rev, all, entries), r.rev, announced
}

func listLine(rev int64, all bool, entries []wireTarget) []byte {
	line, err := json.Marshal(map[string]any{"rev": rev, "all": all, "targets": entries})
	if err != nil {
		panic(err)
	}
	return append(line, '\n')
}

// filler returns an entry of a backend that is always draining, to make lists long.
func filler(n int) wireTarget {
	return wireTarget{UID: fmt.Sprintf("f-%d", n), Endpoint: "127.0.0.1:1", Zone: "z1", Model: "m", Cell: 1,
		State: "terminating", Size: 1}
}

// startupList returns the list for a proxy's configuration: the last one that it got, or that of
// the run's start.
func (r *registry) startupList(proxy int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, ok := r.written[proxy]
	if !ok {
		last = r.rev
		r.written[proxy] = last
	}
	latest := map[string]target{}
	for _, t := range r.changes {
		if t.rev <= last {
			latest[t.uid] = t
		}
	}
	entries := []wireTarget{}
	for _, t := range latest {
		if t.state == "in_service" {
			entries = append(entries, t.wire(proxy))
		}
	}
	return string(listLine(last, true, entries))
}

// recordAnnounced records what a list message has announced to a proxy.
func (r *registry) recordAnnounced(proxy int, rev int64, announced []target) {
	r.mu.Lock()
	r.written[proxy] = max(r.written[proxy], rev)
	r.mu.Unlock()
	for _, t := range announced {
		r.recorder.Announced(t.backend.name, proxy, t.rev, t.state != "in_service")
	}
}

// A long list is written in fragments of fragmentSize bytes with pauses between them.
const (
	fragmentSize  = 16 << 10
	fragmentPause = 20 * time.Millisecond
)

// write writes one line of a watch, a long one in fragments.
func write(w http.ResponseWriter, line []byte) error {
	flush := http.NewResponseController(w)
	for len(line) > 0 {
		n := min(len(line), fragmentSize)
		if _, err := w.Write(line[:n]); err != nil {
			return err
		}
		if err := flush.Flush(); err != nil {
			return err
		}
		if line = line[n:]; len(line) > 0 {
			time.Sleep(fragmentPause)
		}
	}
	return nil
}

// overloadWait is how long a request waits during an overload before it is rejected.
const overloadWait = 700 * time.Millisecond

// ServeHTTP serves one watch.
func (s *registryServer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r := s.registry
	r.mu.Lock()
	slow, watchesEnd := time.Until(r.slowUntil), r.watchesEnd
	r.mu.Unlock()
	if slow > 0 {
		time.Sleep(min(slow, 700*time.Millisecond))
	}
	for r.isSilent() {
		if !wait(req, 50*time.Millisecond) {
			return
		}
	}
	for from := time.Now(); r.isOverloaded(); {
		if time.Since(from) > overloadWait {
			http.Error(w, "waited too long", http.StatusServiceUnavailable)
			return
		}
		if !wait(req, 50*time.Millisecond) {
			return
		}
	}
	after, err := strconv.ParseInt(req.URL.Query().Get("index"), 10, 64)
	all := err != nil || after == 0 || after%3 == 0 // every third revision too, to cover whole lists
	lastWrite, flush := time.Now(), http.NewResponseController(w)
	for first := true; ; first = false {
		r.mu.Lock()
		changed, rev := r.changed, r.rev
		r.mu.Unlock()
		switch {
		case r.isSilent():
		case first || rev > after && r.notifies(after):
			line, rev, announced := r.list(s.proxy, after, first && all)
			if write(w, line) != nil { // the connection has failed, so nothing counts as announced
				return
			}
			r.recordAnnounced(s.proxy, rev, announced)
			after, lastWrite = rev, time.Now()
		case time.Since(lastWrite) >= time.Second:
			fmt.Fprintln(w)
			if flush.Flush() != nil {
				return
			}
			lastWrite = time.Now()
		}
		select {
		case <-changed:
		case <-watchesEnd:
			return
		case <-req.Context().Done():
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (r *registry) isSilent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.silentUntil)
}

// wait waits for a time, and reports whether the client is still connected.
func wait(req *http.Request, span time.Duration) bool {
	select {
	case <-req.Context().Done():
		return false
	case <-time.After(span):
		return true
	}
}

// unixMillis returns a time as a wire timestamp. Nothing else in this package needs Unix time.
func unixMillis(t time.Time) int64 { return t.UnixMilli() }
