package proxy

import (
	"bytes"
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
	sentAt    time.Time     // when the client sent the last byte, or not before for a long request
	budget    time.Duration // counts from sentAt
	retry     bool
}

// errDuplicateID rejects a request with the id of another one whose response has not been
// written completely: a backend could mistake one for the other.
var errDuplicateID = errors.New("request id is in use by an open request")

// parseRequest extracts the properties of a request with the given header fields, which was sent at
// sentAt. An error comes with the 4xx status for the client.
func (p *Proxy) parseRequest(req *http.Request, fields http1.Fields, hasBody bool, sentAt time.Time) (info requestInfo, code int, err error) {
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
	for _, header := range protocolHeaders {
		if header == headerRetry && !marksRetries {
			continue // the header has no meaning here and is passed on like any other
		}
		if len(req.Header.Values(header)) > 1 {
			return info, code, errors.New("repeated header " + header)
		}
		if name, found := resemblesHeader(fields, header); found {
			return info, code, fmt.Errorf("header %s resembles %s", name, header)
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
	info.budget, info.sentAt = time.Duration(ms)*time.Millisecond, sentAt
	if p.longestDeadline > 0 { // no client waits longer
		info.budget = min(info.budget, p.longestDeadline)
	}
	if end := p.drainEnd.Load(); end != nil {
		info.budget = min(info.budget, max(time.Millisecond, end.Sub(sentAt)))
	}
	return info, 0, nil
}

// protocolHeaders are the headers of the protocol.
var protocolHeaders = http1.FieldNames{headerID, headerClass, headerTimeout, headerRetry}

// resemblesHeader reports whether fields have a variant of a header with underscores.
func resemblesHeader(fields http1.Fields, header string) (name string, found bool) {
	if bytes.IndexByte(fields, '_') < 0 {
		return "", false
	}
	for name := range fields.All() {
		if len(name) == len(header) && http1.IsUnderscoreVariant(string(name), header) {
			return string(name), true
		}
	}
	return "", false
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
