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

// requestInfo holds the properties of a request that the balancing logic uses.
type requestInfo struct {
	id        string
	class     int
	className string
	budget    time.Duration
	retry     bool
}

// errDuplicateID rejects a request with the id of another one whose response has not been
// written completely: a backend could mistake one for the other.
var errDuplicateID = errors.New("request id is in use by an open request")

// parseRequest extracts the properties of a request. An error comes with the 4xx status
// for the client.
func (p *Proxy) parseRequest(req *http.Request, hasBody bool) (info requestInfo, code int, err error) {
	code = http.StatusBadRequest
	switch req.Method {
	case http.MethodPost:
	case http.MethodGet:
		if hasBody { // a backend might read the body as the next request
			return info, code, errors.New("GET request with a body")
		}
	default:
		return info, http.StatusMethodNotAllowed, fmt.Errorf("method not allowed: %.20q", req.Method)
	}
	marksRetries := p.cfg.Settings.Clients.MarksRetry
	for _, header := range [...]string{headerID, headerClass, headerTimeout, headerRetry} {
		if header == headerRetry && !marksRetries {
			continue // the header has no meaning here and is passed on like any other
		}
		if len(req.Header.Values(header)) > 1 {
			return info, code, errors.New("repeated header " + header)
		}
		for name := range req.Header {
			if http1.IsUnderscoreVariant(name, header) {
				return info, code, fmt.Errorf("header %s resembles %s", name, header)
			}
		}
	}
	if !onlyKnownConnectionOptions(req.Header["Connection"]) {
		return info, code, errors.New("unknown connection option")
	}
	info.id = req.Header.Get(headerID)
	if info.id == "" || len(info.id) > maxIDBytes {
		return info, code, fmt.Errorf("bad length of %s: %d bytes", headerID, len(info.id))
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
	if p.longestDeadline > 0 { // no client waits longer, and a draining proxy ends sooner
		info.budget = min(info.budget, max(time.Millisecond, p.timeLeft()))
	}
	return info, 0, nil
}

// onlyKnownConnectionOptions reports whether values contain nothing but known options of
// the Connection header. A header named there is removed by some recipients and kept by
// others.
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
