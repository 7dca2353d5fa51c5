package http1

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxPeerSendBuffer is how many bytes the system of a peer may hold that the peer has written
	// and that have not arrived.
	maxPeerSendBuffer = 4 << 20
	// maxOpenWindowBytes is how many bytes may be unread while the receive window, of 64 KiB at
	// least, still lets a peer send.
	maxOpenWindowBytes = 8 << 10
	// observeInterval is the time for which an observation is good enough.
	observeInterval = 5 * time.Millisecond
)

// arrival records until when the peer of a connection had certainly not sent the end of the current
// message. What it has written and what has not arrived here can't be seen; what proves that something
// is missing is that a read had to wait, that more is missing than systems hold, or that not all is here
// although there has been room for it.
type arrival struct {
	tracked       bool
	unfinishedAt  time.Time // the latest time at which the end had not been sent
	observedAt    time.Time // the last call of observe
	windowLimited bool      // since the last wait so much was unread that the peer may have had to wait
}

// waited records that a read had to wait until now.
func (a *arrival) waited(now time.Time) { a.unfinishedAt, a.windowLimited = now, false }

// observe records that missing bytes of the message have not arrived while unread ones have.
func (a *arrival) observe(now time.Time, missing, unread int64) {
	a.observedAt = now
	a.windowLimited = a.windowLimited || unread > maxOpenWindowBytes
	if missing > maxPeerSendBuffer || missing > 0 && !a.windowLimited {
		a.unfinishedAt = now
	}
}

// TrackArrival makes the connection record when its peer sends, for LastReceived and
// RemainingBody.UnfinishedAt.
func (c *Conn) TrackArrival() { c.arrival.tracked = true }

// LastReceived returns when the last bytes from the peer have arrived at this machine, whether or not
// they have been read. If that can't be determined, it is now.
func (c *Conn) LastReceived() time.Time {
	now := time.Now()
	if c.rawConn == nil {
		return now
	}
	var age time.Duration
	c.rawConn.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			age = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return now.Add(-age)
}

// unreadBytes returns the number of bytes that have arrived and have not been read from the
// connection, or 0 if that can't be determined.
func (c *Conn) unreadBytes() (n int64) {
	if c.rawConn == nil {
		return 0
	}
	c.rawConn.Control(func(fd uintptr) {
		if queued, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ); err == nil {
			n = int64(queued)
		}
	})
	return n
}
