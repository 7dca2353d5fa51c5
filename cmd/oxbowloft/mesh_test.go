package main

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"oxbowloft/internal/standin"
)

// This file tests the mesh deployment: one sidecar proxy per client process, with clients that mark
// retries.

// startMesh starts the program as a sidecar proxy, with the backends in its configuration.
func startMesh(t *testing.T, backends ...*standin.Backend) *runningProgram {
	t.Helper()
	r, _ := startWithDiscovery(t, standin.MeshConfig, backends...)
	return r
}

// The same build serves as a sidecar proxy by its settings alone. The retry mark is read there, and
// only there.
func TestMeshServes(t *testing.T) {
	b := standin.NewBackend(t, standin.Echo)
	mesh, chain := startMesh(t, b), startWithBackends(t, b)
	for _, c := range []struct {
		name        string
		headers     []string
		mesh, chain int
	}{
		{"no mark", nil, 200, 200},
		{"a first attempt", []string{"X-Retried: 0"}, 200, 200},
		{"a retry", []string{"X-Retried: 1"}, 200, 200},
		{"an unknown mark", []string{"X-Retried: often"}, 400, 200},
		{"two marks", []string{"X-Retried: 1", "X-Retried: 0"}, 400, 200},
	} {
		for _, r := range []struct {
			*runningProgram
			want int
		}{{mesh, c.mesh}, {chain, c.chain}} {
			if got := r.dial().roundTrip(requestHead("GET", "/api", "get", 2000, c.headers...)); got.status != r.want {
				t.Errorf("%s: got %+v, want %d", c.name, got, r.want)
			}
		}
	}
}

// Above the concurrency limit first attempts are preferred to retries. Refusals are sent at once,
// and without Retry-After where clients don't heed it.
func TestMeshRetriesLast(t *testing.T) {
	const calls, latency = 12, 300 * time.Millisecond
	b := standin.NewBackend(t, func(c *standin.Call) {
		time.Sleep(latency)
		standin.Echo(c)
	})
	r := startMesh(t, b)
	var first, retries, late, advised atomic.Int32
	var tasks sync.WaitGroup
	for i := range calls {
		mark, served := "X-Retried: 1", &retries
		if i%2 == 0 {
			mark, served = "X-Retried: 0", &first
		}
		tasks.Go(func() {
			c := r.dial()
			for range 6 {
				began := time.Now()
				got := c.roundTrip(requestHead("GET", "/api", "get", 2000, mark))
				switch {
				case got.status == 200:
					served.Add(1)
					continue
				case time.Since(began) > time.Second: // queued: its deadline is 2 s
					late.Add(1)
				case got.header.Get("Retry-After") != "":
					advised.Add(1)
				}
				time.Sleep(latency)
			}
		})
	}
	tasks.Wait()
	if first.Load() == 0 || retries.Load() >= first.Load() {
		t.Errorf("%d first attempts and %d retries served", first.Load(), retries.Load())
	}
	if late.Load() > 0 || advised.Load() > 0 {
		t.Errorf("%d refusals came late, %d had Retry-After", late.Load(), advised.Load())
	}
}

// When the client disconnects, its attempt is cancelled where backends stop cancelled work. Between
// tiers the attempt runs to its end, since the backend does the work anyway.
func TestMeshClientGone(t *testing.T) {
	for _, mesh := range []bool{true, false} {
		ended := make(chan time.Duration, 1)
		b := standin.NewBackend(t, func(c *standin.Call) {
			began := time.Now()
			c.Hang()
			ended <- time.Since(began)
		})
		begin := startWithBackends
		if mesh {
			begin = startMesh
		}
		r := begin(t, b)
		c := r.dial()
		c.send(postRequest("pay", "x", 2000))
		r.eventually("the attempt", func() bool { return b.RequestCount() == 1 })
		c.Close()
		// A request that must not be retried has all of its 2 s for its one attempt.
		if took := <-ended; (took < 1200*time.Millisecond) != mesh {
			t.Errorf("mesh %t: the attempt ended after %v", mesh, took)
		}
	}
}
