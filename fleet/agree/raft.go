package agree

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
)

// startRaft starts raft, and on the first start writes the initial configuration to the log.
func (v *Voter) startRaft() (err error) {
	defer func() {
		if p := recover(); p != nil { // raft panics if it can't read its log
			err = fmt.Errorf("agree: raft: %v", p)
		}
		if err != nil && v.transport != nil {
			v.transport.Close()
		}
	}()
	if v.transport, err = v.listen(); err != nil {
		return err
	}
	conf := v.cfg.raft(v.raftLogger)
	hasState, err := raft.HasExistingState(v.store, v.store, v.snapshots)
	if err != nil {
		return err
	}
	if !hasState && !v.cfg.Join {
		var servers []raft.Server
		for _, p := range v.cfg.InitialVoters {
			servers = append(servers,
				raft.Server{ID: raft.ServerID(p.Name), Address: raft.ServerAddress(p.RaftAddress)})
		}
		initial := raft.Configuration{Servers: servers}
		if err := raft.BootstrapCluster(conf, v.store, v.store, v.snapshots, v.transport, initial); err != nil {
			return fmt.Errorf("agree: bootstrap: %w", err)
		}
	}
	r, err := raft.NewRaft(conf, v.fsm, v.store, v.store, v.snapshots, v.transport)
	if err != nil {
		return fmt.Errorf("agree: %w", err)
	}
	v.store.setRaftRunning()
	v.mu.Lock()
	v.raft, v.phase = r, phaseRunning
	v.mu.Unlock()
	v.log.Info("running")
	return nil
}

func (v *Voter) listen() (*raft.NetworkTransport, error) {
	conf := &raft.NetworkTransportConfig{
		Stream: v.cfg.streamLayer, MaxPool: 2, Timeout: 10 * v.cfg.HeartbeatTimeout, Logger: v.raftLogger,
	}
	if conf.Stream != nil {
		return raft.NewNetworkTransportWithConfig(conf), nil
	}
	var advertise net.Addr
	for _, p := range v.cfg.InitialVoters {
		if p.Name == v.cfg.Name {
			a, err := net.ResolveTCPAddr("tcp", p.RaftAddress)
			if err != nil {
				return nil, fmt.Errorf("agree: voters: address: %w", err)
			}
			advertise = a
		}
	}
	t, err := raft.NewTCPTransportWithConfig(v.cfg.Bind, advertise, conf)
	if err != nil {
		return nil, fmt.Errorf("agree: bind: %w", err)
	}
	return t, nil
}

func (c *Config) raft(log hclog.Logger) *raft.Config {
	r := raft.DefaultConfig()
	r.LocalID = raft.ServerID(c.Name)
	r.HeartbeatTimeout, r.ElectionTimeout = c.HeartbeatTimeout, c.HeartbeatTimeout
	r.LeaderLeaseTimeout = c.HeartbeatTimeout / 2
	r.CommitTimeout = c.HeartbeatTimeout / 20
	r.SnapshotThreshold, r.TrailingLogs, r.SnapshotInterval = c.SnapshotThreshold, c.TrailingEntries, c.SnapshotInterval
	r.BatchApplyCh = true // entries that arrive during an fsync share the next one
	r.NoLegacyTelemetry = true
	r.Logger = log
	return r
}

// newRaftLogger returns a logger for raft that forwards to log.
func newRaftLogger(log *slog.Logger) hclog.Logger {
	l := hclog.NewInterceptLogger(&hclog.LoggerOptions{Level: hclog.Info, Output: io.Discard})
	l.RegisterSink(raftLogSink{log})
	return l
}

type raftLogSink struct{ logger *slog.Logger }

func (s raftLogSink) Accept(_ string, level hclog.Level, msg string, args ...any) {
	slogLevel := slog.LevelDebug
	switch {
	case level >= hclog.Error:
		slogLevel = slog.LevelError
	case level == hclog.Warn:
		slogLevel = slog.LevelWarn
	case level == hclog.Info:
		slogLevel = slog.LevelInfo
	}
	attrs := []any{"from", "raft"}
	for _, a := range args {
		if f, ok := a.(hclog.Format); ok && len(f) > 0 {
			a = fmt.Sprintf(fmt.Sprint(f[0]), f[1:]...)
		}
		attrs = append(attrs, a)
	}
	s.logger.Log(context.Background(), slogLevel, msg, attrs...)
}
