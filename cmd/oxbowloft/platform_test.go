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

// The harness of the tests with an admin port: programs that take over one listener from
// each other, as the operators' platform has them do.

// platform is what holds the clients' listener and the directory that processes share.
type platform struct {
	t      *testing.T
	ln     *net.TCPListener
	tmp    string
	config string
}

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

// process is a program on the platform, with its door.
type process struct {
	*running
	door string
}

func (p *platform) start() *process {
	p.t.Helper()
	f, err := p.ln.File()
	if err != nil {
		p.t.Fatal(err)
	}
	defer f.Close()
	door := freeAddr(p.t)
	cmd := exec.Command(program, "serve", "--grace", "20ms")
	cmd.ExtraFiles = []*os.File{f}
	cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+p.config, "BALANCER_LISTEN_FD=3",
		"BALANCER_ADMIN="+door, "TMPDIR="+p.tmp)
	r := &process{launch(p.t, cmd, p.ln.Addr().String()), door}
	r.eventually("yes to PING", func() bool { return r.call("PING") == "OK\n" })
	return r
}

// call is an operator's call; nothing where the door is shut.
func (r *process) call(line string) string {
	c, err := net.Dial("tcp", r.door)
	if err != nil {
		return ""
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	io.WriteString(c, line+"\n")
	got, _ := io.ReadAll(c)
	return string(got)
}

// figures reads INFO.
func (r *process) figures() map[string]int {
	r.t.Helper()
	text := r.call("INFO")
	if !strings.HasSuffix(text, "\nEND\n") {
		r.t.Fatalf("INFO: %q", text)
	}
	out := map[string]int{}
	for _, m := range regexp.MustCompile(`(?m)^balancer_(\S+) (\d+)$`).FindAllStringSubmatch(text, -1) {
		out[m[1]], _ = strconv.Atoi(m[2])
	}
	return out
}
