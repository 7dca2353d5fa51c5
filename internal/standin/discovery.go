package standin

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
)

// Discovery is a stand-in for discovery: what a test says is written to each
// watch, and what each call asked for is kept.
type Discovery struct {
	server *httptest.Server

	mu      sync.Mutex
	asked   []string
	down    bool
	first   string // line of a new watch
	watches map[chan string]bool
}

// NewDiscovery starts a discovery whose watches begin with the line first. It
// ends with the test.
func NewDiscovery(t testing.TB, first string) *Discovery {
	d := &Discovery{first: first, watches: map[chan string]bool{}}
	d.server = httptest.NewServer(d)
	t.Cleanup(func() {
		d.Break()
		d.server.Close()
	})
	return d
}

// Addr is where it listens.
func (d *Discovery) Addr() string { return strings.TrimPrefix(d.server.URL, "http://") }

// ServeHTTP is one watch.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	lines := make(chan string, 100)
	d.mu.Lock()
	d.asked = append(d.asked, r.RequestURI)
	down, first := d.down, d.first
	if !down {
		d.watches[lines] = true
	}
	d.mu.Unlock()
	if down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	defer func() {
		d.mu.Lock()
		delete(d.watches, lines)
		d.mu.Unlock()
	}()
	fmt.Fprintln(w, first)
	w.(http.Flusher).Flush()
	for {
		select {
		case line, ok := <-lines:
			if !ok {
				panic(http.ErrAbortHandler)
			}
			fmt.Fprintln(w, line)
			w.(http.Flusher).Flush()
		case <-r.Context().Done():
			return
		}
	}
}

// Push writes a line to every watch.
func (d *Discovery) Push(line string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for w := range d.watches {
		w <- line
	}
}

// Break ends every watch.
func (d *Discovery) Break() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for w := range d.watches {
		close(w)
		delete(d.watches, w)
	}
}

// Down makes each call fail, or no longer.
func (d *Discovery) Down(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
}

// Begin sets the line that new watches begin with.
func (d *Discovery) Begin(first string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.first = first
}

// Watches is how many watches stand.
func (d *Discovery) Watches() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.watches)
}

// Asked is what was asked for, call by call.
func (d *Discovery) Asked() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.asked...)
}
