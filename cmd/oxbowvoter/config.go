package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"oxbowloft/fleet/agree"
)

// config is the content of the configuration file. All voters of the initial set must list the
// same voters.
type config struct {
	Name   string       `json:"name"`
	Bind   string       `json:"bind"`   // address for raft connections of other voters
	Listen string       `json:"listen"` // address for clients
	Data   string       `json:"data"`   // directory of the store and the snapshots
	Voters []agree.Peer `json:"voters"`
	Join   bool         `json:"join"` // waits until it is added; see agree.Config

	HeartbeatMS int64 `json:"heartbeat_ms"` // silence of the leader after which an election starts; 0: 1000
}

// loadConfig reads and validates the configuration file at path.
func loadConfig(path string) (*config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c := &config{}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(c); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, fmt.Errorf("configuration %s: data after the JSON object", path)
	}
	if err := c.check(); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

func (c *config) check() error {
	for _, a := range []struct{ key, addr string }{{"bind", c.Bind}, {"listen", c.Listen}} {
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			return fmt.Errorf("%s: %w", a.key, err)
		}
	}
	if c.Data == "" {
		return fmt.Errorf("data: empty")
	}
	return c.voterConfig().Check()
}

func (c *config) voterConfig() *agree.Config {
	return &agree.Config{
		Name: c.Name, Bind: c.Bind, Dir: c.Data, InitialVoters: c.Voters, Join: c.Join,
		HeartbeatTimeout: time.Duration(c.HeartbeatMS) * time.Millisecond,
	}
}
