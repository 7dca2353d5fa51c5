package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"oxbowloft/internal/standin"
)

// runCounter counts how often a request with each path ran, over all backends.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
	rng  *rand.Rand
}

// draw records a run of the request, unless it draws a rejection, and reports what it drew: whether
// the request is rejected, and whether its answer is followed by a second copy.
func (c *runCounter) draw(path string) (rejected, twice bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rejected, twice = c.rng.IntN(4) == 0, c.rng.IntN(3) == 0
	if !rejected {
		c.runs[path]++
	}
	return rejected, twice
}

// Guards against a late second answer, of a served or of a rejected request, being taken for the
// answer to the next request on the connection: a client would get what was made for another, and a
// request that must not run twice would be retried although it runs.
func TestLateSecondAnswers(t *testing.T) {
	const (
		clients     = 8
		length      = 3 * time.Second
		serviceTime = 4 * time.Millisecond
		secondDelay = 6 * time.Millisecond
	)
	counter := &runCounter{runs: map[string]int{}, rng: rand.New(rand.NewPCG(58, 1))}
	handle := func(c *standin.Call) {
		rejected, twice := counter.draw(c.RequestURI)
		time.Sleep(serviceTime)
		answer := func() { c.Reply(200, c.RequestURI) }
		if rejected {
			answer = func() { c.Reply(503, "", "X-Not-Processed: 1") }
		}
		answer()
		if twice { // also if the next request has been written by then, as on a long way
			time.Sleep(secondDelay)
			answer()
		}
	}
	r := startWithBackends(t, standin.NewBackend(t, handle), standin.NewBackend(t, handle))
	var open sync.WaitGroup
	var mu sync.Mutex
	served, foreign := 0, 0
	end := time.Now().Add(length)
	for client := range clients {
		conn := r.dial()
		open.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				path := fmt.Sprintf("/%d/%d", client, n)
				got := conn.roundTrip(requestHead("POST", path, "pay", 1000, "Content-Length: 0"))
				mu.Lock()
				if got.status == 200 {
					served++
					if got.body != path {
						foreign++
					}
				}
				mu.Unlock()
			}
		})
	}
	open.Wait()
	doubled := 0
	for _, runs := range counter.runs {
		if runs > 1 {
			doubled++
		}
	}
	if foreign > 0 || doubled > 0 {
		t.Errorf("of %d answers %d were made for another request, and %d requests ran twice", served, foreign, doubled)
	}
	if served < 100 {
		t.Errorf("only %d requests were served", served)
	}
}
