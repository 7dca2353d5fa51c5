package proxy

import (
	"sync"
	"time"
)

// sockets is the budget of descriptors: client connections and those to
// backends draw on it; what else the process holds is left out of it. Near its
// end idle connections are closed. The last part is for clients alone: what
// the kernel has accepted must be taken, and can be refused.
type sockets struct {
	mu    sync.Mutex
	freed *sync.Cond
	used  int
	limit int
	most  int // that were ever in use

	// relieve closes or hurries idle connections: too many by excess.
	relieve func(excess int)
	until   time.Time // no client waits any longer; zero: no bound
}

const (
	ownSockets   = 16        // listener, discovery, poller, standard streams, a dial under way
	clientsOwn   = 1.0 / 8   // of the budget, for clients alone
	relieveAbove = 3.0 / 4.0 // of the budget in use
)

func newSockets(limit int) *sockets {
	s := &sockets{limit: limit - ownSockets}
	s.freed = sync.NewCond(&s.mu)
	return s
}

// resize makes the budget that of a new limit. What is in use over it is given back
// as its connections end.
func (s *sockets) resize(limit int) {
	s.mu.Lock()
	s.limit = limit - ownSockets
	s.mu.Unlock()
	s.freed.Broadcast()
}

// Take takes a descriptor for a connection to a backend, if there is one.
func (s *sockets) Take() bool {
	s.relieveIfNear()
	s.mu.Lock()
	defer s.mu.Unlock()
	if float64(s.used) >= (1-clientsOwn)*float64(s.limit) {
		return false
	}
	s.take()
	return true
}

// waitUntil bounds the wait for a descriptor, also one that is under way: guards against
// a drain that hangs on it.
func (s *sockets) waitUntil(t time.Time) {
	s.mu.Lock()
	s.until = t
	s.mu.Unlock()
	time.AfterFunc(time.Until(t), func() {
		s.mu.Lock() // who has seen that there is time left is waiting by now
		defer s.mu.Unlock()
		s.freed.Broadcast()
	})
}

// wait takes a descriptor for a client, once there is one. It returns false where there
// is none in time.
func (s *sockets) wait() bool {
	s.relieveIfNear()
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.used >= s.limit {
		if !s.until.IsZero() && !time.Now().Before(s.until) {
			return false
		}
		s.freed.Wait()
	}
	s.take()
	return true
}

func (s *sockets) take() {
	s.used++
	s.most = max(s.most, s.used)
}

// Give gives one back.
func (s *sockets) Give() {
	s.mu.Lock()
	s.used--
	s.mu.Unlock()
	s.freed.Signal()
}

// Full tells whether none is left: connections that become idle are closed then.
func (s *sockets) Full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used >= s.limit
}

func (s *sockets) relieveIfNear() {
	if n := s.excess(); n > 0 {
		s.relieve(n)
	}
}

// excess is how many too many are in use once another one is.
func (s *sockets) excess() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used + 1 - int(relieveAbove*float64(s.limit))
}

// short tells whether descriptors are given back as soon as can be.
func (s *sockets) short() bool { return s.excess() > 0 }

func (s *sockets) inUse() (used, most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used, s.most
}
