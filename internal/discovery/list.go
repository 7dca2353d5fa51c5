package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"
)

// List is a whole list, or the entries that changed.
type List struct {
	Rev      int64
	Complete bool
	Targets  []Target
	// PreviousConfirmedAt is when discovery last told, by a list or a sign of life, that the list before
	// this one was whole; zero: it has told nothing yet.
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
	BootMs       int64   `json:"boot_ms"` // Unix time in milliseconds; 0: long ago
}

// The states of a target.
const (
	InService   = "in_service"
	Terminating = "terminating"
	Terminated  = "terminated"
)

// next reads the next list of a watch.
func next(lists *json.Decoder) (*List, error) {
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

// ParseList reads one list and makes sure that it can be used as a whole.
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
		return nil, errors.New("no rev or no targets")
	}
	for i, t := range *l.Targets {
		if err := t.check(); err != nil {
			return nil, fmt.Errorf("target %d: %w", i, err)
		}
	}
	return &List{Rev: *l.Rev, Complete: l.All, Targets: *l.Targets}, nil
}

func (t *Target) check() error {
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
