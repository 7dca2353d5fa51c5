package proxy

import (
	"net"
	"testing"
	"time"

	"oxbowloft/internal/http1"
)

// A client that has just been answered is not closed for descriptors that run short: its next
// request is most likely on the way, and would cross the close and stay without an answer. It
// is where it has been idle for longer, or where another client waits for its descriptor.
func TestJustAnsweredIsSpared(t *testing.T) {
	const least = time.Minute // far longer than the test takes
	for _, c := range []struct {
		name   string
		idle   time.Duration // since its answer
		wanted bool
		nudged bool
	}{
		{"just answered", 0, false, false},
		{"just answered, and one waits", 0, true, true},
		{"idle for longer", 2 * least, false, true},
		{"idle for longer, and one waits", 2 * least, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			near, far := net.Pipe()
			defer near.Close()
			defer far.Close()
			s := newClients()
			s.freshLeast = least
			cl := &client{conn: http1.NewConn(near), asked: true}
			s.wait(cl)
			cl.since = cl.since.Add(-c.idle)
			s.wanted = func() bool { return c.wanted }
			s.nudgeOldest(1)
			if cl.nudged != c.nudged {
				t.Errorf("closed: %v, want %v", cl.nudged, c.nudged)
			}
		})
	}
}
