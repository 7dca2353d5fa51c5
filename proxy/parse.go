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
type requestInfo struct {
	id        string
	class     int
	className string
	budget    time.Duration
	retry     bool
}

// errOpen is a request with the id of one that has no answer yet: a backend could
// take the one for the other.
var errDuplicateID = errors.New("the id of an open request")

// parse takes from a request what the module needs; an error comes with the 4xx
// that answers it.
func (p *Proxy) parseRequest(req *http.Request, hasBody bool) (info requestInfo, code int, err error) {
	code = http.StatusBadRequest
	switch req.Method {
	case http.MethodPost:
	case http.MethodGet:
		if hasBody { // a backend might take it for the next request
			return info, code, errors.New("a body where none belongs")
		}
	default:
		return info, http.StatusMethodNotAllowed, fmt.Errorf("method not allowed: %.20q", req.Method)
	}
	marksRetries := p.cfg.Settings.Clients.MarksRetry
	for _, header := range [...]string{headerID, headerClass, headerTimeout, headerRetry} {
		if header == headerRetry && !marksRetries {
			continue // any header of a client's, like others
		}
		if len(req.Header.Values(header)) > 1 {
			return info, code, errors.New("more than one " + header)
		}
		for name := range req.Header {
			if http1.LooksLike(name, header) {
				return info, code, fmt.Errorf("%s could be read as %s", name, header)
			}
		}
	}
	if !onlyKnownConnectionOptions(req.Header["Connection"]) {
		return info, code, errors.New("unknown connection option")
	}
	info.id = req.Header.Get(headerID)
	if info.id == "" || len(info.id) > maxIDBytes {
		return info, code, fmt.Errorf("%s of %d bytes", headerID, len(info.id))
	}
	class, ok := p.classes[req.Header.Get(headerClass)]
	if !ok {
		return info, code, fmt.Errorf("unknown class %.40q", req.Header.Get(headerClass))
	}
	ms, err := strconv.ParseUint(req.Header.Get(headerTimeout), 10, 64)
	if err != nil || ms == 0 || ms > maxTimeoutMs {
		return info, code, fmt.Errorf("bad %s %.40q", headerTimeout, req.Header.Get(headerTimeout))
	}
	if retryMark := req.Header.Get(headerRetry); marksRetries && retryMark != "" {
		info.retry = retryMark == "1"
		if !info.retry && retryMark != "0" {
			return info, code, fmt.Errorf("bad %s %.40q", headerRetry, retryMark)
		}
	}
	info.class, info.className = class, req.Header.Get(headerClass)
	info.budget = time.Duration(ms) * time.Millisecond
	if p.longestDeadline > 0 { // nobody has more patience, nor has a proxy that is about to end
		info.budget = min(info.budget, max(time.Millisecond, p.timeLeft()))
	}
	return info, 0, nil
}

// connectionOptions tells whether values name none but options of a connection. A
// header that is named there is taken away by some readers and kept by others.
func onlyKnownConnectionOptions(values []string) bool {
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
