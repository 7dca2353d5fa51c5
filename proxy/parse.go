package proxy

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"oxbowloft/internal/http1"
)

// incoming is what the module needs to know of a request.
type incoming struct {
	id        string
	class     int
	className string
	budget    time.Duration
	retry     bool
}

// errOpen is a request with the id of one that has no answer yet: a backend could
// take the one for the other.
var errOpen = errors.New("the id of an open request")

// parse takes from a request what the module needs; an error comes with the 4xx
// that answers it.
func (p *Proxy) parse(req *http.Request, body bool) (in incoming, code int, err error) {
	code = http.StatusBadRequest
	switch req.Method {
	case http.MethodPost:
	case http.MethodGet:
		if body { // a backend might take it for the next request
			return in, code, errors.New("a body where none belongs")
		}
	default:
		return in, http.StatusMethodNotAllowed, fmt.Errorf("method not allowed: %.20q", req.Method)
	}
	marks := p.cfg.Settings.Clients.MarksRetry
	for _, header := range [...]string{headerID, headerClass, headerTimeout, headerRetry} {
		if header == headerRetry && !marks {
			continue // any header of a client's, like others
		}
		if len(req.Header.Values(header)) > 1 {
			return in, code, errors.New("more than one " + header)
		}
		for name := range req.Header {
			if http1.IsUnderscoreVariant(name, header) {
				return in, code, fmt.Errorf("%s could be read as %s", name, header)
			}
		}
	}
	if !connectionOptions(req.Header["Connection"]) {
		return in, code, errors.New("unknown connection option")
	}
	in.id = req.Header.Get(headerID)
	if in.id == "" || len(in.id) > maxID {
		return in, code, fmt.Errorf("%s of %d bytes", headerID, len(in.id))
	}
	class, ok := p.classes[req.Header.Get(headerClass)]
	if !ok {
		return in, code, fmt.Errorf("unknown class %.40q", req.Header.Get(headerClass))
	}
	ms, err := strconv.ParseUint(req.Header.Get(headerTimeout), 10, 64)
	if err != nil || ms == 0 || ms > maxTimeout {
		return in, code, fmt.Errorf("bad %s %.40q", headerTimeout, req.Header.Get(headerTimeout))
	}
	if mark := req.Header.Get(headerRetry); marks && mark != "" {
		in.retry = mark == "1"
		if !in.retry && mark != "0" {
			return in, code, fmt.Errorf("bad %s %.40q", headerRetry, mark)
		}
	}
	in.class, in.className = class, req.Header.Get(headerClass)
	in.budget = time.Duration(ms) * time.Millisecond
	if p.longest > 0 { // nobody has more patience, nor has a proxy that is about to end
		in.budget = min(in.budget, max(time.Millisecond, p.left()))
	}
	return in, 0, nil
}

// connectionOptions tells whether values name none but options of a connection. A
// header that is named there is taken away by some readers and kept by others.
func connectionOptions(values []string) bool {
	for _, v := range values {
		for _, option := range strings.Split(v, ",") {
			switch strings.ToLower(strings.TrimSpace(option)) {
			case "", "close", "keep-alive", "te", "upgrade", "proxy-connection":
			default:
				return false
			}
		}
	}
	return true
}
