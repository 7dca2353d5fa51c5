package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// lifeEvery is how often a watch shows that it stands, once the test wants that.
const lifeEvery = 2 * time.Second

// Discovery is a stand-in for discovery: what a test says is written to each
// watch, and what each call asked for is kept.
type Discovery struct {
	server *httptest.Server

	mu      sync.Mutex
	asked   []string
	down    bool
	waiting time.Duration // that a call waits before it is turned away
	life    bool          // watches show signs of life
	first   string        // line of a new watch
	watches map[chan string]net.Conn
}

// connKey is the key of a call's connection in its context.
type connKey struct{}

// NewDiscovery starts a discovery whose watches begin with the line first. It
// ends with the test.
func NewDiscovery(t testing.TB, first string) *Discovery {
	d := &Discovery{first: first, watches: map[chan string]net.Conn{}}
	d.server = httptest.NewUnstartedServer(d)
	d.server.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	d.server.Start()
	t.Cleanup(func() {
		d.AbortWatches()
		d.server.Close()
	})
	return d
}

// Stop ends the service: its address refuses connections from now on.
func (d *Discovery) Stop() {
	d.ResetWatches()
	d.server.CloseClientConnections()
	d.server.Close()
}

// Addr is where it listens.
func (d *Discovery) Addr() string { return strings.TrimPrefix(d.server.URL, "http://") }

// ServeHTTP is one watch.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	lines := make(chan string, 100)
	d.mu.Lock()
	d.asked = append(d.asked, r.RequestURI)
	down, waiting, first := d.down, d.waiting, d.first
	if !down {
		d.watches[lines] = r.Context().Value(connKey{}).(net.Conn)
	}
	d.mu.Unlock()
	if down {
		select {
		case <-time.After(waiting):
		case <-r.Context().Done():
		}
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
	life := time.NewTicker(lifeEvery)
	defer life.Stop()
	for {
		select {
		case <-life.C:
			if d.showsLife() {
				fmt.Fprintln(w)
				w.(http.Flusher).Flush()
			}
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

// SendHeartbeats makes all watches show signs of life from now on, whatever there is to tell.
func (d *Discovery) SendHeartbeats() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.life = true
}

func (d *Discovery) showsLife() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.life
}

// PushLine writes a line to every watch.
func (d *Discovery) PushLine(line string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for w := range d.watches {
		w <- line
	}
}

// AbortWatches ends every watch.
func (d *Discovery) AbortWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for w := range d.watches {
		close(w)
		delete(d.watches, w)
	}
}

// ResetWatches resets the connection of every watch, as a service that dies does.
func (d *Discovery) ResetWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for w, c := range d.watches {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
		delete(d.watches, w)
	}
}

// SetOverloaded makes each call wait for so long and then fail, as a service does that has too
// much to do, until Down says otherwise.
func (d *Discovery) SetOverloaded(waiting time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down, d.waiting = true, waiting
}

// SetDown makes each call fail, or no longer.
func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down, d.waiting = down, 0
}

// SetFirstLine sets the line that new watches begin with.
func (d *Discovery) SetFirstLine(first string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.first = first
}

// WatchCount is how many watches stand.
func (d *Discovery) WatchCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.watches)
}

// RequestURIs is what was asked for, call by call.
func (d *Discovery) RequestURIs() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.asked...)
}
