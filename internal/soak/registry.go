package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// target is one entry of the list, with an endpoint for each proxy.
type target struct {
	uid     string
	state   string
	boot    time.Time // zero: long ago
	backend *backend
}

// change is an entry as it was at a version.
type change struct {
	rev int64
	target
}

// registry is the stand-in for discovery. It listens twice for each proxy, so that a new
// configuration can move it.
type registry struct {
	book *Book

	mu        sync.Mutex
	rev       int64
	targets   map[string]target
	changes   []change
	changed   chan struct{} // closed at each change
	ended     chan struct{} // closed when all watches end in order
	downUntil time.Time
	silent    time.Time
	slow      time.Time

	servers []*registryServer
	tasks   sync.WaitGroup
}

// registryServer is one address of the registry.
type registryServer struct {
	registry *registry
	proxy    int
	addr     string

	mu    sync.Mutex
	http  *http.Server
	conns map[net.Conn]bool
}

// addresses is how many addresses each proxy can be sent to.
const addresses = 2

func newRegistry(book *Book, proxies int) (*registry, error) {
	r := &registry{book: book, targets: map[string]target{}, changed: make(chan struct{}), ended: make(chan struct{})}
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

// addr is one of the addresses of a proxy.
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

// set makes a change, and returns its version. What is leaving counts as told at the latest
// after tellWithin in which discovery could be reached.
func (r *registry) set(t target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rev++
	r.targets[t.uid] = t
	r.changes = append(r.changes, change{r.rev, t})
	close(r.changed)
	r.changed = make(chan struct{})
	if t.state == "in_service" {
		for proxy := range t.backend.listeners {
			r.book.Told(t.backend.name, proxy, false)
		}
		return
	}
	r.tasks.Go(func() { r.tellLate(t) })
}

// tellLate notes a change as told to all once discovery has had it for tellWithin, counted
// anew after each outage.
func (r *registry) tellLate(t target) {
	since := time.Now()
	for time.Since(since) < tellWithin {
		time.Sleep(50 * time.Millisecond)
		r.mu.Lock()
		now := time.Now()
		if now.Before(r.downUntil) || now.Before(r.slow) {
			since = now
		}
		latest := r.targets[t.uid]
		r.mu.Unlock()
		if latest.state == "in_service" || r.book.over() {
			return
		}
	}
	for proxy := range t.backend.listeners {
		r.book.Told(t.backend.name, proxy, true)
	}
}

// endWatches ends all watches in order.
func (r *registry) endWatches() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.ended)
	r.ended = make(chan struct{})
}

// goDown refuses calls for a time.
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
			if r.book.over() {
				return
			}
			if err := s.listen(); err != nil {
				r.book.Void("the registry could not listen again: " + err.Error())
			}
		}
	})
}

func (r *registry) saySilent(span time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = time.Now().Add(span)
}

func (r *registry) beSlow(span time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slow = time.Now().Add(span)
}

// wire is an entry as a proxy gets it.
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
		w.Boot = wallMillis(t.boot)
	}
	return w
}

// list is the changes after a version, or all that serves, as a line for a proxy, and the
// version that it brings.
func (r *registry) list(proxy int, after int64, all bool) (line []byte, rev int64, told []target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entries := []wireTarget{}
	if all {
		for _, t := range r.targets { // what leaves is left out
			if t.state == "in_service" {
				entries = append(entries, t.wire(proxy))
			}
			told = append(told, t)
		}
	} else {
		for _, c := range r.changes {
			if c.rev > after {
				entries = append(entries, c.target.wire(proxy))
				told = append(told, r.targets[c.uid])
			}
		}
	}
	line, err := json.Marshal(map[string]any{"rev": r.rev, "all": all, "targets": entries})
	if err != nil {
		panic(err)
	}
	return append(line, '\n'), r.rev, told
}

// known is the list that a proxy starts with.
func (r *registry) known(proxy int) string {
	line, _, told := r.list(proxy, 0, true)
	r.tell(proxy, told)
	return string(line)
}

// tell notes what a proxy has been told.
func (r *registry) tell(proxy int, told []target) {
	for _, t := range told {
		r.book.Told(t.backend.name, proxy, t.state != "in_service")
	}
}

// ServeHTTP is one watch.
func (s *registryServer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r := s.registry
	r.mu.Lock()
	slow, ended := time.Until(r.slow), r.ended
	r.mu.Unlock()
	if slow > 0 {
		time.Sleep(min(slow, 700*time.Millisecond))
	}
	for r.isSilent() {
		if !wait(req, 50*time.Millisecond) {
			return
		}
	}
	after, err := strconv.ParseInt(req.URL.Query().Get("index"), 10, 64)
	all := err != nil || after == 0 || after%3 == 0 // some begin with the whole list
	life, flush := time.Now(), http.NewResponseController(w)
	for first := true; ; first = false {
		r.mu.Lock()
		changed, rev := r.changed, r.rev
		r.mu.Unlock()
		switch {
		case r.isSilent():
		case first || rev > after:
			line, rev, told := r.list(s.proxy, after, first && all)
			if _, err := w.Write(line); err != nil {
				return
			}
			if flush.Flush() != nil { // its connection has ended: nothing was told
				return
			}
			r.tell(s.proxy, told)
			after, life = rev, time.Now()
		case time.Since(life) >= time.Second:
			fmt.Fprintln(w)
			if flush.Flush() != nil {
				return
			}
			life = time.Now()
		}
		select {
		case <-changed:
		case <-ended:
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
	return time.Now().Before(r.silent)
}

// wait waits, and tells whether the caller is still there.
func wait(req *http.Request, span time.Duration) bool {
	select {
	case <-req.Context().Done():
		return false
	case <-time.After(span):
		return true
	}
}

// wallMillis is a time as stamps have it: the one place in the soak that needs Unix time.
func wallMillis(t time.Time) int64 { return t.UnixMilli() }
