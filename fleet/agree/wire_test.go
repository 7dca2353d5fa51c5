package agree

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"reflect"
	"strings"
	"testing"
	"time"

	"oxbowloft/fleet/agree/register"
	"oxbowloft/internal/standin"
)

// startServer starts a single voter and a server with the given limits.
func startServer(t *testing.T, limits ServerLimits) (addr string, s *Server) {
	t.Helper()
	c := newCluster(t, 1, newRegister, nil).start()
	c.leader()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s = Serve(ln, c.nodes[0].voter, limits, discardLogger)
	t.Cleanup(s.Close)
	return ln.Addr().String(), s
}

func dialServer(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return c
}

func mustEncodeFrame(t testing.TB, m any) []byte {
	t.Helper()
	b, err := encodeFrame(m)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// A malformed frame gets one error reply, then the connection is closed.
func TestBadFrames(t *testing.T) {
	addr, _ := startServer(t, ServerLimits{FrameTimeout: 200 * time.Millisecond})
	valid := mustEncodeFrame(t, &request{Kind: requestPing, ID: 1})
	version := bytes.Clone(valid)
	version[frameHeaderSize] = 7
	truncated := bytes.Clone(valid)
	binary.BigEndian.PutUint32(truncated, uint32(len(truncated)-frameHeaderSize-1))
	for _, x := range []struct {
		name, want string
		frameBytes []byte
	}{
		{"version", "version 7, not 1", version},
		{"long", "1073741824 bytes", []byte{0x40, 0, 0, 0, 1}},
		{"empty", "0 bytes", []byte{0, 0, 0, 0}},
		{"not CBOR", "bad frame", []byte{0, 0, 0, 3, 1, 0xff, 0xff}},
		{"cut", "bad frame", truncated},
		{"unknown field", "unknown field", append([]byte{0, 0, 0, 5, 1}, 0xa1, 0x18, 0x63, 0x01)},
	} {
		c := dialServer(t, addr)
		c.Write(x.frameBytes)
		var r reply
		if err := readFrame(c, &r, func() {}); err != nil || r.Code != codeBadRequest || !strings.Contains(r.Text, x.want) {
			t.Errorf("%s: %v, %+v", x.name, err, r)
		}
		if err := readFrame(c, &r, func() {}); err == nil {
			t.Errorf("%s: connection not closed after the error", x.name)
		}
	}
	c := dialServer(t, addr) // an incomplete frame
	c.Write(valid[:3])
	if n, err := c.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Errorf("incomplete frame: %v", err)
	}
}

func TestServerLimits(t *testing.T) {
	addr, s := startServer(t, ServerLimits{MaxConnections: 2, IdleTimeout: 300 * time.Millisecond})
	first, second := dialServer(t, addr), dialServer(t, addr)
	for _, c := range []net.Conn{first, second} {
		c.Write(mustEncodeFrame(t, &request{Kind: requestPing, ID: 9}))
		var r reply
		if err := readFrame(c, &r, func() {}); err != nil || r.ID != 9 || r.Code != codeOK {
			t.Fatalf("%v, %+v", err, r)
		}
	}
	third := dialServer(t, addr)
	var r reply
	if err := readFrame(third, &r, func() {}); err != nil || r.Code != codeBusy {
		t.Fatalf("third connection of two: %v, %+v", err, r)
	}
	// Idle connections are closed and no longer counted.
	if _, err := first.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("idle connection: %v", err)
	}
	await(t, "idle connections to be closed", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.conns) == 0
	})
}

// The number of concurrent requests of a connection is limited; further ones get a busy reply.
func TestConnectionRequestLimit(t *testing.T) {
	release := make(chan struct{})
	c := newCluster(t, 1, func() Machine {
		return hookedMachine{register.New(), func([]byte) { <-release }}
	}, nil).start()
	session, err := c.leader().voter.openSession(testContext(t))
	if err != nil {
		t.Fatal(err)
	}
	conn := dialServer(t, c.clientAddrs[0])
	for i := range uint64(40) {
		conn.Write(mustEncodeFrame(t, &request{Kind: requestPropose, ID: i + 1, Session: session, Seq: i + 1, Body: register.Add(0, 1)}))
	}
	busy := 0
	for range 40 - 16 {
		var r reply
		if err := readFrame(conn, &r, func() {}); err != nil {
			t.Fatal(err)
		}
		if r.Code == codeBusy && r.RetryAfter > 0 {
			busy++
		}
	}
	close(release)
	if busy != 40-16 {
		t.Fatalf("%d busy replies, not %d", busy, 40-16)
	}
}

// A client that can't reach any voter returns the error of its context, because nothing
// was proposed. Without a majority of voters a proposal fails, and after Close it
// returns ErrShutdown.
func TestClientTimeout(t *testing.T) {
	client, err := NewClient(ClientConfig{Voters: []string{standin.FreeAddr(t), standin.FreeAddr(t)}}, discardLogger)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if _, _, err := client.Propose(ctx, register.Add(0, 1)); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("no voter reachable: %v", err)
	}
	c := newCluster(t, 3, newRegister, nil).start()
	client = c.client()
	c.add(client, 1)
	for _, n := range c.nodes {
		n.setIsolated(true)
	}
	ctx, cancel = context.WithTimeout(context.Background(), 4*testHeartbeat)
	defer cancel()
	if _, _, err := client.Propose(ctx, register.Add(0, 1)); err == nil {
		t.Fatal("committed without a majority")
	}
	client.Close()
	if _, _, err := client.Propose(testContext(t), register.Add(0, 1)); !errors.Is(err, ErrShutdown) {
		t.Fatalf("after Close: %v", err)
	}
}

func TestErrorEncoding(t *testing.T) {
	for _, err := range []error{
		nil, ErrOutcomeUnknown, ErrShutdown, ErrUnknownSession, ErrConfirmed, ErrTooManyUnconfirmed, ErrTooLong,
		&notLeaderError{"127.0.0.1:1"}, &notLeaderError{}, &busyError{30 * time.Millisecond}, &compactedError{7},
	} {
		var r, back reply
		r.setError(err)
		if e := readFrame(bytes.NewReader(mustEncodeFrame(t, &r)), &back, func() {}); e != nil {
			t.Fatal(e)
		}
		if got := back.err(); !reflect.DeepEqual(got, err) {
			t.Errorf("%v was decoded as %v", err, got)
		}
	}
}

func FuzzFrame(f *testing.F) {
	f.Add(mustEncodeFrame(f, &request{Kind: requestPropose, ID: 1, Session: 2, Seq: 3, Confirmed: 1, Body: []byte("entry")}))
	f.Add(mustEncodeFrame(f, &reply{ID: 1, Code: codeNotLeader, Text: "127.0.0.1:1"}))
	f.Add(mustEncodeFrame(f, &reply{Hello: &hello{Name: "a", Incarnation: 3, Incarnations: map[string]uint64{"a": 3}}}))
	f.Add([]byte{0, 0, 0, 2, 1, 0xa0})
	f.Fuzz(func(t *testing.T, b []byte) {
		for _, m := range []any{&request{}, &reply{}} {
			if err := readFrame(bytes.NewReader(b), m, func() {}); err != nil {
				continue
			}
			again := reflect.New(reflect.TypeOf(m).Elem()).Interface()
			if err := readFrame(bytes.NewReader(mustEncodeFrame(t, m)), again, func() {}); err != nil {
				t.Fatalf("%+v can't be decoded after encoding: %v", m, err)
			}
			if r, ok := m.(*reply); ok {
				r.err()
			}
		}
	})
}
