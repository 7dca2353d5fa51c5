package discovery

import (
	"fmt"
	"io"
)

// stream is the body of a watch without its line ends. JSON has none inside of strings and
// needs none between values, and the empty lines of a watch that stands for months would
// pile up in the decoder until the next list.
type stream struct {
	r     io.Reader
	alive func()
	idle  func() // called with a line end alone where no list has begun: a sign of life
	left  int    // bytes that the list may still have
	begun bool
}

// Read implements io.Reader.
func (s *stream) Read(p []byte) (int, error) {
	for {
		n, err := s.r.Read(p)
		if n > 0 {
			s.alive()
		}
		kept := p[:0]
		for _, c := range p[:n] {
			if c != '\n' && c != '\r' {
				kept = append(kept, c)
			}
		}
		if s.left -= len(kept); s.left < 0 {
			return 0, fmt.Errorf("over %d bytes", maxList)
		}
		if len(kept) > 0 {
			s.begun = true
		} else if n > 0 && !s.begun {
			s.idle()
		}
		if len(kept) > 0 || err != nil {
			return len(kept), err
		}
	}
}
