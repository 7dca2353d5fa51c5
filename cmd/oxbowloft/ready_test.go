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

// How soon a started or restarted process is ready.

// readyWithin is what the operators give nine in ten restarted processes; here each has it.
const readyWithin = 10 * time.Second

// A process is ready in time whatever discovery does, with a long list known from before,
// and also in the place of one that was killed outright while callers held connections and
// came again at once. Guards against a start that waits for anything outside the process.
func TestReadyInTime(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0") // takes calls in, and answers none
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	nobody := standin.NewBackend(t, standin.Echo)
	nobody.Stop()
	down := standin.NewDiscovery(t, standin.ListJSON(1, true))
	down.SetDown(true)
	b := standin.NewBackend(t, standin.Echo)
	targets := []string{standin.TargetJSON("s-0", b.Addr())}
	for i := range 2000 {
		targets = append(targets, standin.TargetJSONInState("terminating", fmt.Sprintf("t-%d", i), "127.0.0.1:1"))
	}
	for _, c := range []struct{ name, discovery string }{
		{"discovery is silent", silent.Addr().String()},
		{"nobody is there", nobody.Addr()},
		{"discovery is down", down.Addr()},
	} {
		for _, mode := range []string{"on_request", "pushed"} {
			t.Run(c.name+", "+mode, func(t *testing.T) {
				shape := func(listen, discovery string, sockets int, known string) string {
					text := standin.Config(listen, discovery, sockets, known)
					return strings.Replace(text, `"discovery":"on_request"`, fmt.Sprintf(`"discovery":%q`, mode), 1)
				}
				began := time.Now()
				r := startWithConfig(t, shape, c.discovery, 256, standin.ListJSON(1, true, targets...))
				r.ready(began)
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
				again.ready(began)
				for _, cl := range held {
					cl.Close()
				}
			})
		}
	}
}

// ready waits until the process says that it can serve, and asks that it took no longer
// than it may.
func (r *runningProgram) ready(began time.Time) {
	r.t.Helper()
	r.eventually("ready", func() bool {
		return r.dial().roundTrip("GET /healthz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").status == 200
	})
	if took := time.Since(began); took > readyWithin {
		r.t.Errorf("ready after %v, want %v", took, readyWithin)
	}
}
