package discovery

import (
	"fmt"
	"io"
)

// stream is the body of a watch without its line ends. JSON has none inside strings and needs
// none between values. The decoder would buffer the empty lines of a watch that stays open for
// months until the next list.
type stream struct {
	r           io.Reader
	onData      func()
	onHeartbeat func() // called for a line end alone while no list has begun
	bytesLeft   int    // that the list may still have
	begun       bool   // the list
}

// Read implements io.Reader.
func (s *stream) Read(p []byte) (int, error) {
	for {
		n, err := s.r.Read(p)
		if n > 0 {
			s.onData()
		}
		kept := p[:0]
		for _, c := range p[:n] {
			if c != '\n' && c != '\r' {
				kept = append(kept, c)
			}
		}
		if s.bytesLeft -= len(kept); s.bytesLeft < 0 {
			return 0, fmt.Errorf("list exceeds %d bytes", maxListBytes)
		}
		if len(kept) > 0 {
			s.begun = true
		} else if n > 0 && !s.begun {
			s.onHeartbeat()
		}
		if len(kept) > 0 || err != nil {
			return len(kept), err
		}
	}
}
