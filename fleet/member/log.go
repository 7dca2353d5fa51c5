package member

import (
	"log/slog"
	"strings"
)

// debugLog takes memberlist's own log.
type debugLog struct{ log *slog.Logger }

func (d debugLog) Write(p []byte) (int, error) {
	d.log.Debug("memberlist", "event", "memberlist", "text", strings.TrimSpace(string(p)))
	return len(p), nil
}
