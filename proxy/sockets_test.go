package proxy

import (
	"io"
	"net"
	"testing"
	"time"

	"oxbowloft/internal/discovery"
	"oxbowloft/internal/standin"
)

// Neither side can take the other's minimum share, whichever comes first, even with the
// smallest possible budget.
func TestDescriptorShares(t *testing.T) {
	for _, c := range []struct{ budget, share int }{{2, 1}, {6, 1}, {16, 2}, {240, 30}} {
		s := newDescriptorBudget(reservedDescriptors + c.budget)
		s.reclaim = func(int) {}
		s.setWaitDeadline(time.Now()) // acquire without waiting
		clients, backends := 0, 0
		for s.acquireForClient() {
			clients++
		}
		for s.TryAcquire() {
			backends++
		}
		if clients != c.budget-c.share || backends != c.share {
			t.Errorf("%d: clients first got %d, backends %d", c.budget, clients, backends)
		}
		s = newDescriptorBudget(reservedDescriptors + c.budget)
		s.reclaim = func(int) {}
		s.setWaitDeadline(time.Now())
		clients, backends = 0, 0
		for s.TryAcquire() {
			backends++
		}
		for s.acquireForClient() {
			clients++
		}
		if backends != c.budget-c.share || clients != c.share {
			t.Errorf("%d: backends first got %d, clients %d", c.budget, backends, clients)
		}
		if used, _ := s.inUse(); used != c.budget {
			t.Errorf("%d: %d in use", c.budget, used)
		}
	}
}

// With as many silent clients as possible and discovery down, a request of one of them
// gets a backend connection and a response, /healthz answers, and the list is followed in
// time once discovery is back. Prevents idle clients from holding every descriptor. (The
// admin endpoint has descriptors of its own, and a test in cmd/oxbowloft.)
func TestIdleCrowdLeavesDescriptors(t *testing.T) {
	b, added := standin.NewBackend(t, standin.Echo), standin.NewBackend(t, standin.Echo)
	known := standin.ListJSON(1, true, standin.TargetJSON("s-1", b.Addr()))
	d := standin.NewDiscovery(t, known)
	p := listenProxy(t, known, d.Addr())
	p.descriptors.resize(reservedDescriptors + 8)
	// no client of the crowd is evicted
	p.clients.minFirstRequestWait, p.clients.firstRequestTimeout, p.clients.idleTimeout = time.Hour, time.Hour, time.Hour
	defer startProxy(t, p)()
	d.SetDown(true) // only after a list has been received: the one known at start is not usable
	d.ResetWatches()
	var crowd []net.Conn
	for range 12 {
		crowd = append(crowd, dialProxy(t, p))
	}
	defer func() {
		for _, c := range crowd {
			c.Close()
		}
	}()
	eventually(t, "a crowd that holds its whole share", p.descriptors.clientIsWaiting)
	io.WriteString(crowd[0], requestText("get", 2000))
	if resp, _ := mustReadResponse(t, crowd[0]); resp.StatusCode != 200 {
		t.Errorf("got %d", resp.StatusCode)
	}
	crowd[0].Close()
	eventually(t, "a full share again", p.descriptors.clientIsWaiting)
	io.WriteString(crowd[1], "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
	if resp, _ := mustReadResponse(t, crowd[1]); resp.StatusCode != 200 {
		t.Errorf("healthz: got %d", resp.StatusCode)
	}
	crowd[1].Close()
	back := time.Now()
	d.SetDown(false)
	eventually(t, "a new list", func() bool {
		d.PushLine(standin.ListJSON(2, true, standin.TargetJSON("s-1", b.Addr()), standin.TargetJSON("s-2", added.Addr())))
		return p.driver.backendCount() == 2
	})
	if took := time.Since(back); took > discovery.MaxAnnounceDelay {
		t.Errorf("the list is followed %v after the return of discovery", took)
	}
}

// A client that becomes idle while another waits for a descriptor is evicted, even if its
// response said that the connection stays open.
func TestIdleClientFreesDescriptor(t *testing.T) {
	b := standin.NewBackend(t, standin.Echo)
	p := listenProxy(t, standin.ListJSON(1, true, standin.TargetJSON("s-1", b.Addr())), "127.0.0.1:1")
	defer p.listener.Close()
	p.clients.idleTimeout = time.Hour
	nc, _, ended := serveHooked(t, p, "")
	p.clients.mu.Lock()
	p.clients.descriptorWanted = func() bool { return true } // from now on
	p.clients.mu.Unlock()
	io.WriteString(nc, requestText("get", 2000))
	if resp, _ := mustReadResponse(t, nc); resp.StatusCode != 200 || resp.Close {
		t.Errorf("got %d, close %t", resp.StatusCode, resp.Close)
	}
	if n, err := nc.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("read %d bytes, %v, want EOF", n, err)
	}
	nc.Close()
	<-ended
	for _, b := range p.driver.allBackends() {
		b.Close()
	}
}

// Guards against clients that are closed between two requests for the sake of backend connections
// that rest: where descriptors are scarce, those are closed first.
func TestRestingConnectionsAreClosedFirst(t *testing.T) {
	b := standin.NewBackend(t, standin.Echo)
	p, stop := startWithBackend(t, b)
	defer stop()
	const budget = 16 // scarce from 12 on
	p.descriptors.resize(reservedDescriptors + budget)
	kept := dialProxy(t, p)
	if code, _ := sendRequest(t, kept, "get", 2000); code != 200 {
		t.Fatalf("got %d", code)
	}
	for range 3 * budget {
		other := dialProxy(t, p)
		for range 2 {
			if code, _ := sendRequest(t, other, "get", 2000); code != 200 {
				t.Fatalf("got %d", code)
			}
		}
		other.Close()
	}
	if code, _ := sendRequest(t, kept, "get", 2000); code != 200 {
		t.Errorf("got %d on the connection that was kept", code)
	}
}
