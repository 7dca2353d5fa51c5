package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"oxbowloft/internal/standin"
)

// A large deployment: what the program knows at its start, what discovery then tells it in
// one list, and how many processes balance beside it.
const (
	largeKnownBackends     = 1024
	largeListBackends      = 1100
	largeBalancers = 1100
)

// What a process of a large deployment may take. Its configuration grants it 192 MB, which a
// process and the one that replaces it share for a while; a third of that leaves each as much
// again for requests. Threads come with processors and with blocking calls of the system, not
// with backends: one for each would be over a thousand.
const (
	maxLargeMemoryKB  = 64 << 10 // kB
	maxLargeThreads = 64
)

// largeConfig makes a configuration one of many balancers, with an operators' address.
func largeConfig(makeConfig configFunc, balancers, adminAddr string) configFunc {
	return func(listen, discovery string, sockets int, known string) string {
		text := makeConfig(listen, discovery, sockets, known)
		return strings.NewReplacer(
			`"balancers":`+balancers+`,`, fmt.Sprintf(`"balancers":%d,`, largeBalancers),
			`"discovery":"`+discovery+`",`, fmt.Sprintf(`"discovery":%q,"admin":%q,`, discovery, adminAddr),
		).Replace(text)
	}
}

// buildWithoutRace builds the program as it ships: the race detector takes several times its memory.
func buildWithoutRace(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "oxbowloft")
	if out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return path
}

// procStatus reads one number of a process's status.
func (r *runningProgram) procStatus(key string) int {
	r.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	if err != nil {
		r.t.Fatal(err)
	}
	found := regexp.MustCompile(`(?m)^` + key + `:\s+(\d+)`).FindSubmatch(text)
	if found == nil {
		r.t.Fatalf("no %s in the status", key)
	}
	number, err := strconv.Atoi(string(found[1]))
	if err != nil {
		r.t.Fatal(err)
	}
	return number
}

// checkResourceBounds logs what the process takes, and holds it to the bounds.
func (r *runningProgram) checkResourceBounds(when string) {
	r.t.Helper()
	memory, peak, threads := r.procStatus("VmRSS"), r.procStatus("VmHWM"), r.procStatus("Threads")
	r.t.Logf("%s: %d kB of memory, %d kB at its peak, %d threads", when, memory, peak, threads)
	if peak > maxLargeMemoryKB {
		r.t.Errorf("%s: %d kB of memory at its peak, %d at most", when, peak, maxLargeMemoryKB)
	}
	if threads > maxLargeThreads {
		r.t.Errorf("%s: %d threads, %d at most", when, threads, maxLargeThreads)
	}
}

// A process with over a thousand backends, one of over a thousand, gets ready, serves, takes
// a whole list with more of them, and counts them right; what it takes stays small. Guards
// against bounds on lists, and against what is kept for each backend before a call goes there.
func TestLargeDeployment(t *testing.T) {
	plain := buildWithoutRace(t)
	for _, c := range []struct {
		name, balancers string
		makeConfig           configFunc
	}{{"chain", "1", standin.Config}, {"mesh", "100", standin.MeshConfig}} {
		t.Run(c.name, func(t *testing.T) {
			var backends []*standin.Backend
			for range 16 { // each stands for many
				backends = append(backends, standin.NewBackend(t, standin.Echo))
			}
			var targets []string
			for number := range largeListBackends {
				address := backends[number%len(backends)].Addr()
				targets = append(targets, standin.TargetJSON(fmt.Sprintf("backend-%04d", number), address))
			}
			known := standin.ListJSON(1, true, targets[:largeKnownBackends]...)
			discovery := standin.NewDiscovery(t, known)
			address, adminAddr := freeAddr(t), freeAddr(t)
			text := largeConfig(c.makeConfig, c.balancers, adminAddr)(address, discovery.Addr(), 1024, known)
			if !strings.Contains(text, fmt.Sprintf(`"balancers":%d,`, largeBalancers)) || !strings.Contains(text, adminAddr) {
				t.Fatal("the configuration is not the large one")
			}
			cmd := exec.Command(plain, "serve", "--grace", "20ms")
			cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+writeConfig(t, text))
			r := &process{startCommand(t, cmd, address), adminAddr}

			r.eventually("ready", func() bool { return r.adminCommand("PING") == "OK\n" })
			r.eventually("a watch", func() bool { return discovery.WatchCount() == 1 })
			r.checkServing("before the list")
			if got := r.metrics()["registry_entries"]; got != largeKnownBackends {
				t.Errorf("%d backends known at the start, want %d", got, largeKnownBackends)
			}
			r.checkResourceBounds("before the list")

			discovery.PushLine(standin.ListJSON(2, true, targets...))
			r.eventually("the list", func() bool {
				return strings.Contains(r.logText(), fmt.Sprintf("event=list rev=2 all=true entries=%d", largeListBackends))
			})
			r.eventually("all backends counted", func() bool { return r.metrics()["registry_entries"] == largeListBackends })
			r.checkServing("after the list")
			r.checkResourceBounds("after the list")
		})
	}
}

// checkServing asks for some requests of each class, one after the other.
func (r *runningProgram) checkServing(when string) {
	r.t.Helper()
	c := r.dial()
	for range 20 {
		for _, request := range []string{getRequest(2000), postRequest("put", "x", 2000), postRequest("pay", "x", 2000)} {
			if got := c.roundTrip(request); got.status != 200 {
				r.t.Fatalf("%s: got %+v", when, got)
			}
		}
	}
}
