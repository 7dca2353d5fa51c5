package main

import (
	"io"
	"net"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"oxbowloft/internal/standin"
)

// This file has the harness of the tests with an admin endpoint: processes that replace each other
// on one inherited listener, as the operators' platform runs them.

// platform holds the client listener, which each process inherits, and the directory that the
// processes share.
type platform struct {
	t          *testing.T
	ln         *net.TCPListener
	sharedDir  string
	configPath string
}

// newPlatform opens the listener and starts a discovery service with the given list.
func newPlatform(t *testing.T, sockets int, known string) *platform {
	t.Helper()
	ln, err := net.Listen("tcp", freeAddr(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	d := standin.NewDiscovery(t, known)
	return &platform{t, ln.(*net.TCPListener), t.TempDir(),
		writeConfig(t, standin.Config(ln.Addr().String(), d.Addr(), sockets, known))}
}

// process is a program started on the platform, with its admin endpoint.
type process struct {
	*runningProgram
	adminAddr string
}

// start starts a process on the platform and waits until its admin endpoint answers.
func (p *platform) start() *process {
	p.t.Helper()
	f, err := p.ln.File()
	if err != nil {
		p.t.Fatal(err)
	}
	defer f.Close()
	adminAddr := freeAddr(p.t)
	cmd := exec.Command(program, "serve", "--grace", "20ms")
	cmd.ExtraFiles = []*os.File{f}
	cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+p.configPath, "BALANCER_LISTEN_FD=3",
		"BALANCER_ADMIN="+adminAddr, "TMPDIR="+p.sharedDir)
	r := &process{startCommand(p.t, cmd, p.ln.Addr().String()), adminAddr}
	r.eventually("the answer to PING", func() bool { return r.adminCommand("PING") == "OK\n" })
	return r
}

// adminCommand sends one line to the admin endpoint and returns the answer, or an empty string if
// the endpoint does not accept connections.
func (r *process) adminCommand(line string) string {
	c, err := net.Dial("tcp", r.adminAddr)
	if err != nil {
		return ""
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(maxWait))
	io.WriteString(c, line+"\n")
	got, _ := io.ReadAll(c)
	return string(got)
}

// metrics returns the values from the admin command INFO by name, without their common prefix.
func (r *process) metrics() map[string]int {
	r.t.Helper()
	text := r.adminCommand("INFO")
	if !strings.HasSuffix(text, "\nEND\n") {
		r.t.Fatalf("INFO: %q", text)
	}
	out := map[string]int{}
	for _, m := range regexp.MustCompile(`(?m)^balancer_(\S+) (\d+)$`).FindAllStringSubmatch(text, -1) {
		out[m[1]], _ = strconv.Atoi(m[2])
	}
	return out
}
