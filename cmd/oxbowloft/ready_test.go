package main

import (
	"fmt"
	"io"
	"net"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"oxbowloft/internal/standin"
)

// This file tests how soon a started or restarted process is ready.

// maxReadyTime is the time to readiness that the operators require of nine in ten restarted
// processes. Here every process must meet it.
const maxReadyTime = 10 * time.Second

// A process with a long list in its configuration is ready in time whatever discovery does, also
// when it replaces one that was killed with SIGKILL while clients held connections. Guards against
// a start that waits for anything outside the process.
func TestReadyInTime(t *testing.T) {
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never responds
	if err != nil {
		t.Fatal(err)
	}
	defer unresponsive.Close()
	refusing := standin.NewBackend(t, standin.Echo)
	refusing.Stop()
	down := standin.NewDiscovery(t, standin.ListJSON(1, true))
	down.SetDown(true)
	b := standin.NewBackend(t, standin.Echo)
	targets := []string{standin.TargetJSON("s-0", b.Addr())}
	for i := range 2000 {
		targets = append(targets, standin.TargetJSONInState("terminating", fmt.Sprintf("t-%d", i), "127.0.0.1:1"))
	}
	for _, c := range []struct{ name, discovery string }{
		{"discovery does not respond", unresponsive.Addr().String()},
		{"discovery refuses connections", refusing.Addr()},
		{"discovery is down", down.Addr()},
	} {
		for _, mode := range []string{"on_request", "pushed"} {
			t.Run(c.name+", "+mode, func(t *testing.T) {
				makeConfig := func(listen, discovery string, sockets int, known string) string {
					text := standin.Config(listen, discovery, sockets, known)
					return strings.Replace(text, `"discovery":"on_request"`, fmt.Sprintf(`"discovery":%q`, mode), 1)
				}
				began := time.Now()
				r := startWithConfig(t, makeConfig, c.discovery, 256, standin.ListJSON(1, true, targets...))
				r.expectReady(began)
				var held []*clientConn
				for range 20 {
					cl := r.dial()
					io.WriteString(cl, "GET /ap") // half a request
					held = append(held, cl)
				}
				r.signal(syscall.SIGKILL)
				r.wait()
				began = time.Now()
				again := startCommand(t, exec.Command(program, "serve", "--grace", "20ms", r.configPath), r.addr)
				again.expectReady(began)
				for _, cl := range held {
					cl.Close()
				}
			})
		}
	}
}

// expectReady waits until the process is ready, and checks that it took no longer than maxReadyTime.
func (r *runningProgram) expectReady(began time.Time) {
	r.t.Helper()
	r.eventually("ready", func() bool {
		return r.dial().roundTrip("GET /healthz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").status == 200
	})
	if took := time.Since(began); took > maxReadyTime {
		r.t.Errorf("ready after %v, limit %v", took, maxReadyTime)
	}
}
