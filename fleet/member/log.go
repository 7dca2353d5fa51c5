package member

import (
	"log/slog"
	"strings"
)

// memberlistLog writes memberlist's log lines to log, at debug level.
type memberlistLog struct{ log *slog.Logger }

func (d memberlistLog) Write(p []byte) (int, error) {
	d.log.Debug("memberlist", "event", "memberlist", "text", strings.TrimSpace(string(p)))
	return len(p), nil
}
