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

// heartbeatInterval is the time between heartbeats on a watch, once SendHeartbeats was called.
const heartbeatInterval = 2 * time.Second

// Discovery is a discovery service whose messages a test scripts. It writes the test's lines to
// every open watch, and records the URI of each request.
type Discovery struct {
	server *httptest.Server

	mu             sync.Mutex
	requestURIs    []string
	unavailable    bool          // requests are answered with 503
	rejectionDelay time.Duration // before the 503
	heartbeats     bool          // watches get heartbeats
	firstLine      string        // of each new watch
	watches        map[chan string]net.Conn
}

// connKey is the context key of a request's connection.
type connKey struct{}

// NewDiscovery starts a discovery service that writes firstLine at the start of each watch. It
// is stopped at the end of the test.
func NewDiscovery(t testing.TB, firstLine string) *Discovery {
	d := &Discovery{firstLine: firstLine, watches: map[chan string]net.Conn{}}
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

// Stop resets all connections and closes the listener: later dials are refused.
func (d *Discovery) Stop() {
	d.ResetWatches()
	d.server.CloseClientConnections()
	d.server.Close()
}

// Addr returns the address that the service listens on.
func (d *Discovery) Addr() string { return strings.TrimPrefix(d.server.URL, "http://") }

// ServeHTTP serves one watch, or answers 503 while the service is unavailable.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	lines := make(chan string, 100)
	d.mu.Lock()
	d.requestURIs = append(d.requestURIs, r.RequestURI)
	unavailable, rejectionDelay, firstLine := d.unavailable, d.rejectionDelay, d.firstLine
	if !unavailable {
		d.watches[lines] = r.Context().Value(connKey{}).(net.Conn)
	}
	d.mu.Unlock()
	if unavailable {
		select {
		case <-time.After(rejectionDelay):
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
	fmt.Fprintln(w, firstLine)
	w.(http.Flusher).Flush()
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		select {
		case <-heartbeat.C:
			if d.sendsHeartbeats() {
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

// SendHeartbeats makes all watches get heartbeats from now on, also those that get no list.
func (d *Discovery) SendHeartbeats() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.heartbeats = true
}

func (d *Discovery) sendsHeartbeats() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.heartbeats
}

// PushLine writes a line to every open watch.
func (d *Discovery) PushLine(line string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for w := range d.watches {
		w <- line
	}
}

// AbortWatches ends every watch in the middle of its response.
func (d *Discovery) AbortWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for w := range d.watches {
		close(w)
		delete(d.watches, w)
	}
}

// ResetWatches resets the connection of every watch, as the death of the service would.
func (d *Discovery) ResetWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for w, c := range d.watches {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
		delete(d.watches, w)
	}
}

// SetOverloaded makes each new request fail after a delay, as at an overloaded service, until
// SetDown(false). Open watches stay open.
func (d *Discovery) SetOverloaded(rejectionDelay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unavailable, d.rejectionDelay = true, rejectionDelay
}

// SetDown makes each new request fail at once, or makes requests succeed again.
func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unavailable, d.rejectionDelay = down, 0
}

// SetFirstLine sets the line that is written at the start of each new watch.
func (d *Discovery) SetFirstLine(line string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.firstLine = line
}

// WatchCount returns the number of open watches.
func (d *Discovery) WatchCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.watches)
}

// RequestURIs returns the URIs of all requests so far, in order.
func (d *Discovery) RequestURIs() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.requestURIs...)
}
