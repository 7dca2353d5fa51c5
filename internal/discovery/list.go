package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"
)

// List is a complete list of backends, or the entries that changed.
type List struct {
	Rev      int64
	Complete bool
	Targets  []Target
	// PreviousConfirmedAt is when a list or a heartbeat of discovery last confirmed that the
	// list before this one was complete; zero: never.
	PreviousConfirmedAt time.Time
}

// Target is one entry of a list.
type Target struct {
	UID          string  `json:"uid"`
	Endpoint     string  `json:"endpoint"`
	Zone         string  `json:"az"`
	Cell         int     `json:"pod_group"`
	State        string  `json:"state"`
	CapacityHint float64 `json:"capacity_hint"`
	BootMs       int64   `json:"boot_ms"` // start of its process in Unix time, milliseconds; 0: long ago
}

// The states of a target.
const (
	InService   = "in_service"
	Terminating = "terminating"
	Terminated  = "terminated"
)

// nextList reads the next list of a watch.
func nextList(lists *json.Decoder) (*List, error) {
	var text json.RawMessage
	if err := lists.Decode(&text); err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	l, err := ParseList(text)
	if err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	return l, nil
}

// ParseList parses one list and checks every entry, so that a list is used whole or not at all.
func ParseList(line []byte) (*List, error) {
	var l struct {
		Rev     *int64    `json:"rev"`
		All     bool      `json:"all"`
		Targets *[]Target `json:"targets"`
	}
	if err := json.Unmarshal(line, &l); err != nil {
		return nil, err
	}
	if l.Rev == nil || l.Targets == nil {
		return nil, errors.New("list has no rev or no targets")
	}
	for i, t := range *l.Targets {
		if err := t.validate(); err != nil {
			return nil, fmt.Errorf("target %d: %w", i, err)
		}
	}
	return &List{Rev: *l.Rev, Complete: l.All, Targets: *l.Targets}, nil
}

// validate reports what makes the entry unusable.
func (t *Target) validate() error {
	if t.UID == "" {
		return errors.New("no uid")
	}
	switch t.State {
	case InService, Terminating:
		if _, _, err := net.SplitHostPort(t.Endpoint); err != nil {
			return fmt.Errorf("endpoint: %w", err)
		}
	case Terminated:
	default:
		return fmt.Errorf("unknown state %q", t.State)
	}
	return nil
}
