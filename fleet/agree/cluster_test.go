package agree

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"oxbowloft/fleet/agree/register"
	"oxbowloft/internal/standin"
)

// Helpers that run voters in one process on loopback, and isolate, stop and restart them.

const (
	testTimeout   = 30 * time.Second // upper bound for steps that usually take less than a second
	testHeartbeat = 150 * time.Millisecond
)

var discardLogger = slog.New(slog.NewTextHandler(io.Discard, nil))

func init() {
	if os.Getenv("AGREE_LOG") != "" {
		discardLogger = slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
}

// await polls a condition until it holds, and fails the test after testTimeout.
func await(t testing.TB, description string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waiting for %s: not within %v", description, testTimeout)
		}
	}
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// node has the configuration, directory and network of a voter that can be restarted.
type node struct {
	tb          testing.TB
	cfg         Config
	clientAddr  string // for clients
	machine     func() Machine
	injectFault func(*logStore) // injects a fault into the store before it is used

	mu       sync.Mutex
	isolated bool
	conns    map[net.Conn]bool

	voter  *Voter
	server *Server
}

// nodeLayer is a node's raft.StreamLayer, which can isolate it from other voters.
type nodeLayer struct {
	net.Listener
	node *node
}

var errIsolated = errors.New("isolated")

func (l *nodeLayer) Dial(addr raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	if l.node.isIsolated() {
		return nil, errIsolated
	}
	c, err := net.DialTimeout("tcp", string(addr), timeout)
	if err != nil {
		return nil, err
	}
	return l.node.track(c), nil
}

func (l *nodeLayer) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil || !l.node.isIsolated() {
			return l.node.track(c), err
		}
		c.Close()
	}
}

func (n *node) isIsolated() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isolated
}

func (n *node) track(c net.Conn) net.Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c != nil {
		n.conns[c] = true
	}
	return c
}

// setIsolated isolates a node from other voters or reconnects it. It closes all connections.
func (n *node) setIsolated(isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated = isolated
	for c := range n.conns {
		c.Close()
		delete(n.conns, c)
	}
}

func (n *node) start() error {
	n.setIsolated(false)
	ln, err := net.Listen("tcp", n.cfg.Bind)
	if err != nil {
		return err
	}
	cfg := n.cfg
	cfg.streamLayer = &nodeLayer{ln, n}
	if n.injectFault != nil {
		if cfg.store, err = openStore(cfg.Dir); err != nil {
			ln.Close()
			return err
		}
		n.injectFault(cfg.store)
	}
	v, err := Start(cfg, n.machine(), discardLogger)
	if err != nil {
		ln.Close()
		return err
	}
	clientListener, err := net.Listen("tcp", n.clientAddr)
	if err != nil {
		v.Stop(false)
		ln.Close()
		return err
	}
	n.voter, n.server = v, Serve(clientListener, v, ServerLimits{}, discardLogger)
	return nil
}

// stop stops a voter without a transfer of leadership.
func (n *node) stop() {
	if n.voter == nil {
		return
	}
	n.server.Close()
	n.voter.Stop(false)
	n.cfg.streamLayer = nil
	n.setIsolated(true)
	n.voter = nil
}

type cluster struct {
	tb          testing.TB
	nodes       []*node
	clientAddrs []string // for clients
}

func newCluster(t testing.TB, n int, machine func() Machine, adjust func(*Config)) *cluster {
	c := &cluster{tb: t}
	var peers []Peer
	for i := range n {
		p := Peer{fmt.Sprintf("v%d", i+1), standin.FreeAddr(t), standin.FreeAddr(t)}
		peers, c.clientAddrs = append(peers, p), append(c.clientAddrs, p.ClientAddress)
	}
	for _, p := range peers {
		cfg := Config{Name: p.Name, Bind: p.RaftAddress, Dir: t.TempDir(), InitialVoters: peers, HeartbeatTimeout: testHeartbeat}
		if adjust != nil {
			adjust(&cfg)
		}
		c.nodes = append(c.nodes, &node{tb: t, cfg: cfg, clientAddr: p.ClientAddress, machine: machine, conns: map[net.Conn]bool{}})
	}
	t.Cleanup(func() {
		for _, n := range c.nodes {
			n.stop()
		}
	})
	return c
}

func newRegister() Machine { return register.New() }

func (c *cluster) start() *cluster {
	c.tb.Helper()
	for _, n := range c.nodes {
		if err := n.start(); err != nil {
			c.tb.Fatal(err)
		}
	}
	return c
}

func (c *cluster) leader() (found *node) {
	c.tb.Helper()
	await(c.tb, "a leader", func() bool {
		for _, n := range c.nodes {
			if n.voter != nil && !n.isIsolated() && n.voter.leading() {
				found = n
				return true
			}
		}
		return false
	})
	return found
}

func (c *cluster) client() *Client {
	c.tb.Helper()
	client, err := NewClient(ClientConfig{Voters: c.clientAddrs, RequestTimeout: 4 * testHeartbeat}, discardLogger)
	if err != nil {
		c.tb.Fatal(err)
	}
	c.tb.Cleanup(client.Close)
	return client
}

// registerValue decodes an answer of the register machine.
func registerValue(t testing.TB, answer []byte, err error) uint64 {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	v, err := register.Value(answer)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func (c *cluster) add(client *Client, n uint64) uint64 {
	c.tb.Helper()
	answer, _, err := client.Propose(testContext(c.tb), register.Add(0, n))
	return registerValue(c.tb, answer, err)
}

func (c *cluster) read(client *Client) uint64 {
	c.tb.Helper()
	answer, _, err := client.Read(testContext(c.tb), register.Get(0))
	return registerValue(c.tb, answer, err)
}
