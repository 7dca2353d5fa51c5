package proxy

import (
	"log"
	"sync"
	"syscall"
	"time"
)

// sockets is the budget of descriptors: client connections and those to
// backends draw on it; what else the process holds is left out of it. Near its
// end idle connections are closed. Each side has a part that the other can't take: what
// the kernel has accepted must be taken, and can be refused; and a request that has been
// taken needs a backend, however many clients stand idle.
type sockets struct {
	mu       sync.Mutex
	freed    *sync.Cond
	used     int
	backends int // of these
	limit    int
	most     int  // that were ever in use
	waiting  bool // a client does

	// relieve closes or hurries idle connections: too many by excess.
	relieve func(excess int)
	until   time.Time // no client waits any longer; zero: no bound
}

const (
	ownSockets   = 16        // listener, discovery, poller, standard streams, a dial under way
	ownPart      = 8         // the budget by this is for clients alone, and as much for backends
	relieveAbove = 3.0 / 4.0 // of the budget in use
)

func newSockets(limit int) *sockets {
	s := &sockets{limit: allowedSockets(limit) - ownSockets}
	s.freed = sync.NewCond(&s.mu)
	return s
}

// allowedSockets is how many descriptors a process that may have so many by its
// configuration can open at all: guards against accepts and dials that fail by EMFILE.
func allowedSockets(configured int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur >= uint64(configured) {
		return configured
	}
	log.Printf("event=descriptors_fewer configured=%d allowed=%d", configured, limit.Cur)
	return int(limit.Cur)
}

// resize makes the budget that of a new limit. What is in use over it is given back
// as its connections end.
func (s *sockets) resize(limit int) {
	s.mu.Lock()
	s.limit = allowedSockets(limit) - ownSockets
	s.mu.Unlock()
	s.freed.Broadcast()
}

// TryAcquire takes a descriptor for a connection to a backend, if there is one.
func (s *sockets) TryAcquire() bool {
	s.relieveIfNear()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.backends+max(s.used-s.backends, s.own()) >= s.limit {
		return false
	}
	s.backends++
	s.take()
	return true
}

// own is the least part of each side: one at least, without which nothing is served.
func (s *sockets) own() int { return max(1, s.limit/ownPart) }

// crowded tells whether no other client can be taken. The caller holds mu.
func (s *sockets) crowded() bool {
	return s.used-s.backends+max(s.backends, s.own()) >= s.limit
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
	defer func() { s.waiting = false }()
	for s.crowded() {
		if !s.until.IsZero() && !time.Now().Before(s.until) {
			return false
		}
		if !s.waiting { // who becomes idle from now on makes room by itself
			s.waiting = true
			s.mu.Unlock()
			s.relieveIfNear()
			s.mu.Lock()
			continue
		}
		s.freed.Wait()
	}
	s.take()
	return true
}

// wanted tells whether a client waits for a descriptor.
func (s *sockets) wanted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting
}

func (s *sockets) take() {
	s.used++
	s.most = max(s.most, s.used)
}

// Release gives one of a backend's back.
func (s *sockets) Release() {
	s.mu.Lock()
	s.backends--
	s.used--
	s.mu.Unlock()
	s.freed.Signal()
}

// leave gives one of a client's back.
func (s *sockets) leave() {
	s.mu.Lock()
	s.used--
	s.mu.Unlock()
	s.freed.Signal()
}

// Exhausted tells whether none is left: connections that become idle are closed then.
func (s *sockets) Exhausted() bool {
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
