package main

import (
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"oxbowloft/internal/standin"
)

// This file tests, on real processes, changes that count as announced although no list has brought
// them. A backend that discovery has had as removed for six seconds must get no requests, even if it
// is back under its ID and serves, until a list contains it again.

const (
	// announcedWithin is the time after which a change counts as announced, from when discovery has it.
	announcedWithin = 6 * time.Second
	// servesWhileDraining is how long a draining backend still serves before it rejects requests.
	servesWhileDraining = 2500 * time.Millisecond
	// drainGrace is the grace of standin.Config, which sets none, plus the protocol's tolerance.
	drainGrace = 50 * time.Millisecond
)

// requestLog records the arrival times of a backend's requests.
type requestLog struct {
	mu          sync.Mutex
	times       []time.Time
	rejectsFrom time.Time // all later requests are rejected; zero: none are
}

// reply returns a handler that records each request, and answers with the backend's name or rejects.
func (s *requestLog) reply(name string) func(*standin.Call) {
	return func(c *standin.Call) {
		if s.record() {
			c.Reply(503, "full", "X-Not-Processed: 1")
			return
		}
		c.Reply(200, name)
	}
}

// record records a request, and reports whether it is to be rejected.
func (s *requestLog) record() (rejected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.times = append(s.times, now)
	return !s.rejectsFrom.IsZero() && now.After(s.rejectsFrom)
}

// rejectFrom makes all requests after a time be rejected.
func (s *requestLog) rejectFrom(from time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejectsFrom = from
}

// countBetween returns the number of requests at or after from, and before to.
func (s *requestLog) countBetween(from, to time.Time) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.times {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// staleListTest has a process that gets no list about a backend's removal and return.
type staleListTest struct {
	t                *testing.T
	discovery        *standin.Discovery
	targets          []string
	known            string
	leaving, staying *standin.Backend
	leavingRequests  requestLog
	process          *runningProgram
}

// startStaleListTest starts a process with two backends, and checks that both are used.
func startStaleListTest(t *testing.T) *staleListTest {
	s := &staleListTest{t: t}
	s.leaving = standin.NewBackend(t, s.leavingRequests.reply("leaving"))
	s.staying = standin.NewBackend(t, func(c *standin.Call) { c.Reply(200, "staying") })
	s.targets = []string{standin.TargetJSON("s-0", s.leaving.Addr()), standin.TargetJSON("s-1", s.staying.Addr())}
	s.known = standin.ListJSON(1, true, s.targets...)
	s.discovery = standin.NewDiscovery(t, s.known)
	s.discovery.SendHeartbeats()
	s.process = startProgram(t, s.discovery.Addr(), 256, s.known)
	s.process.eventually("a watch", func() bool { return s.discovery.WatchCount() == 1 })
	s.process.eventually("a request served", s.sendRequest)
	s.sendRequestsUntil(time.Now().Add(300 * time.Millisecond))
	if s.leavingRequests.countBetween(time.Time{}, time.Now()) == 0 {
		t.Fatal("no request at the backend while it was in service")
	}
	return s
}

// restart kills the process and starts it again with the list that it had.
func (s *staleListTest) restart() {
	s.process.signal(syscall.SIGKILL)
	s.process.wait()
	config := writeConfig(s.t, standin.Config(s.process.addr, s.discovery.Addr(), 256, s.known))
	s.process = startCommand(s.t, exec.Command(program, "serve", "--grace", "20ms", config), s.process.addr)
}

// sendRequest sends one request, and reports whether it was served.
func (s *staleListTest) sendRequest() bool {
	c := s.process.dial()
	defer c.Close()
	return c.roundTrip(getRequest(1000)).status == 200
}

// sendRequestsUntil sends requests until end, and returns how many were served.
func (s *staleListTest) sendRequestsUntil(end time.Time) (served int) {
	for ; time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if s.sendRequest() {
			served++
		}
	}
	return served
}

// Discovery is too overloaded to announce that a backend was removed and came back. However the
// process got its list, the removal counts as announced six seconds after discovery had it. The
// bounds follow from the age of the list alone, never from a failed discovery request, a heartbeat
// or a restart of the process. Incident: docs/incidents/stale-lists.md.
func TestReturnedBackendCountsAsGone(t *testing.T) {
	for _, c := range []struct {
		name         string
		disrupt      func(s *staleListTest) // before the backend is removed
		afterReturn  func(s *staleListTest) // after its return
		keepsServing bool                   // the other backend stays in use meanwhile
	}{
		{"the process restarts with the list that it had", func(s *staleListTest) {
			s.discovery.SetOverloaded(500 * time.Millisecond)
			s.discovery.ResetWatches()
		}, (*staleListTest).restart, false},
		{"discovery requests are rejected", func(s *staleListTest) {
			s.discovery.SetOverloaded(500 * time.Millisecond)
			s.discovery.ResetWatches()
		}, func(*staleListTest) {}, true},
		{"the watch stays open and gets heartbeats", func(s *staleListTest) {
			s.discovery.SetOverloaded(500 * time.Millisecond)
		}, func(*staleListTest) {}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := startStaleListTest(t)
			c.disrupt(s)
			s.leaving.Stop()
			gone := time.Now() // discovery has the removal, but announces it to nobody
			s.sendRequestsUntil(gone.Add(2 * time.Second))
			s.leaving.Restart(t)
			c.afterReturn(s)
			announcedAt := gone.Add(announcedWithin)
			s.sendRequestsUntil(announcedAt.Add(drainGrace))
			end := announcedAt.Add(2 * time.Second)
			served := s.sendRequestsUntil(end)
			if n := s.leavingRequests.countBetween(announcedAt.Add(drainGrace), end); n > 0 {
				t.Errorf("%d requests to a backend whose removal or drain counts as announced", n)
			}
			if c.keepsServing && served == 0 {
				t.Error("the backend that stayed served no request")
			}

			// A list with the backend in service makes the process use it again. No watch brings
			// the list: it is the response to a new discovery request.
			s.discovery.SetFirstLine(standin.ListJSON(3, true, s.targets...))
			s.discovery.SetDown(false)
			s.process.eventually("a request at the returned backend", func() bool {
				s.sendRequest()
				return s.leavingRequests.countBetween(end, time.Now()) > 0
			})
		})
	}
}

// A backend drains, still serves for some seconds, and then rejects requests, while discovery is too
// overloaded to announce the drain. The drain counts as announced after six seconds; from then on
// the backend must get no requests. Guards against a process that trusts a backend for six seconds
// after the last request that it served, whatever it did since, and so went on sending it every
// request. In a thundering-herd test with 380 processes, 379 of 387 attempts sent right after a rejected one were
// rejected too ("event=stale_attempt ... result=full" again and again, up to 4 s past the staleness
// bound of the list).
func TestDrainedBackendRejectsRequests(t *testing.T) {
	t.Parallel()
	s := startStaleListTest(t)
	s.discovery.SetOverloaded(500 * time.Millisecond)
	s.discovery.ResetWatches()
	drains := time.Now()
	s.leavingRequests.rejectFrom(drains.Add(servesWhileDraining))
	announcedAt := drains.Add(announcedWithin + drainGrace)
	s.sendRequestsUntil(announcedAt)
	end := announcedAt.Add(2 * time.Second)
	s.sendRequestsUntil(end)
	if n := s.leavingRequests.countBetween(announcedAt, end); n > 0 {
		t.Errorf("%d requests to a backend whose removal or drain counts as announced", n)
	}
}

// Like TestDrainedBackendRejectsRequests, on a watch that stays open and gets heartbeats but is over
// six seconds late. Known to fail, found by the soak test (seed 49121): on a watch, a backend that
// rejects every request is suspected only six seconds after the last one that it served. Since a
// draining backend still serves for a while, that is some seconds after its drain counts as
// announced. In that run the last list was of 1.27 s, the drain of 1.83 s, and the last heartbeat of
// 4.4 s ("event=watch_ended why=silent fresh_ms=2999" at 7.4 s, "event=list_stale" at 10.5 s); the
// requests that broke the rule were sent from 8.3 s on.
func TestDrainedBackendOnALateWatch(t *testing.T) {
	t.Parallel()
	s := startStaleListTest(t)
	s.discovery.SetOverloaded(500 * time.Millisecond)
	drains := time.Now()
	s.leavingRequests.rejectFrom(drains.Add(servesWhileDraining))
	announcedAt := drains.Add(announcedWithin + drainGrace)
	s.sendRequestsUntil(announcedAt)
	end := announcedAt.Add(2 * time.Second)
	s.sendRequestsUntil(end)
	if n := s.leavingRequests.countBetween(announcedAt, end); n > 0 {
		t.Errorf("%d requests to a backend whose removal or drain counts as announced", n)
	}
}

// A backend drains and still serves for some seconds, and then the process has no requests to send
// for a while. Once the drain counts as announced, the backend must get no requests. Guards against
// a process that trusts a backend for six seconds after the last request that it served, though the
// backend was draining by then. In a thundering-herd test seventeen attempts went to backends that
// had begun to drain while there was no traffic for over two seconds ("event=stale_attempt
// uid=s-64a0abb7 ... result=ok" at 13.97 s, "result=full" at 17.20 s).
func TestDrainedBackendWithoutTraffic(t *testing.T) {
	t.Parallel()
	s := startStaleListTest(t)
	s.discovery.SetOverloaded(500 * time.Millisecond)
	s.discovery.ResetWatches()
	drains := time.Now()
	s.sendRequestsUntil(drains.Add(servesWhileDraining))
	announcedAt := drains.Add(announcedWithin + drainGrace)
	time.Sleep(time.Until(announcedAt))
	end := announcedAt.Add(2 * time.Second)
	s.sendRequestsUntil(end)
	if n := s.leavingRequests.countBetween(announcedAt, end); n > 0 {
		t.Errorf("%d requests to a backend whose removal or drain counts as announced", n)
	}
}

// A backend drains and still serves, while discovery is up but too overloaded to announce the drain.
// The drain counts as announced after six seconds, as any other. Known to fail: from what it
// observes, a process can't tell an overloaded discovery service from an outage, nor a late watch
// from one without changes, nor, after a start during an outage, what had counted as announced
// before it (docs/incidents/stale-lists.md).
func TestCrowdIsNoOutage(t *testing.T) {
	for _, c := range []struct {
		name           string
		disrupt        func(s *staleListTest)
		afterAnnounced func(s *staleListTest) // once the drain counts as announced
	}{
		{"calls for the list are turned away", func(s *staleListTest) { s.discovery.ResetWatches() }, func(*staleListTest) {}},
		{"the watch stands, and shows signs of life", func(*staleListTest) {}, func(*staleListTest) {}},
		{"discovery goes down, and a process starts again", func(s *staleListTest) { s.discovery.ResetWatches() }, func(s *staleListTest) {
			s.discovery.Stop()
			s.restart()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := startStaleListTest(t)
			s.discovery.SetOverloaded(500 * time.Millisecond)
			c.disrupt(s)
			announcedAt := time.Now().Add(announcedWithin)
			s.sendRequestsUntil(announcedAt.Add(drainGrace))
			c.afterAnnounced(s)
			end := announcedAt.Add(2 * time.Second)
			s.sendRequestsUntil(end)
			if n := s.leavingRequests.countBetween(announcedAt.Add(drainGrace), end); n > 0 {
				t.Errorf("%d requests to a backend whose removal or drain counts as announced", n)
			}
		})
	}
}
