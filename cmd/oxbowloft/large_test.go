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

// The size of a large deployment: the number of backends in the configuration, the number in the
// list from discovery, and the number of balancers.
const (
	largeKnownBackends = 1024
	largeListBackends  = 1100
	largeBalancers     = 1100
)

// Resource bounds of a process in a large deployment. The configuration grants it 192 MB, which it
// shares with its successor during a replacement; a third of that leaves each process as much
// again for requests. Threads should scale with processors and blocking system calls, not with
// backends: one thread per backend would be over a thousand.
const (
	maxLargeMemoryKB = 64 << 10
	maxLargeThreads  = 64
)

// largeConfig returns a configFunc that changes makeConfig's configuration to that of one of many
// balancers, with an admin endpoint.
func largeConfig(makeConfig configFunc, balancers, adminAddr string) configFunc {
	return func(listen, discovery string, sockets int, known string) string {
		text := makeConfig(listen, discovery, sockets, known)
		return strings.NewReplacer(
			`"balancers":`+balancers+`,`, fmt.Sprintf(`"balancers":%d,`, largeBalancers),
			`"discovery":"`+discovery+`",`, fmt.Sprintf(`"discovery":%q,"admin":%q,`, discovery, adminAddr),
		).Replace(text)
	}
}

// buildWithoutRace builds the program as it is shipped: the race detector multiplies its memory.
func buildWithoutRace(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "oxbowloft")
	if out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return path
}

// procStatus reads a number from the process's /proc status file.
func (r *runningProgram) procStatus(key string) int {
	r.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	if err != nil {
		r.t.Fatal(err)
	}
	found := regexp.MustCompile(`(?m)^` + key + `:\s+(\d+)`).FindSubmatch(text)
	if found == nil {
		r.t.Fatalf("no %s in /proc status", key)
	}
	number, err := strconv.Atoi(string(found[1]))
	if err != nil {
		r.t.Fatal(err)
	}
	return number
}

// checkResourceBounds logs the memory and threads of the process and checks them against the bounds.
func (r *runningProgram) checkResourceBounds(when string) {
	r.t.Helper()
	memory, peak, threads := r.procStatus("VmRSS"), r.procStatus("VmHWM"), r.procStatus("Threads")
	r.t.Logf("%s: %d kB resident, %d kB at the peak, %d threads", when, memory, peak, threads)
	if peak > maxLargeMemoryKB {
		r.t.Errorf("%s: peak of %d kB resident, limit %d", when, peak, maxLargeMemoryKB)
	}
	if threads > maxLargeThreads {
		r.t.Errorf("%s: %d threads, limit %d", when, threads, maxLargeThreads)
	}
}

// One of over a thousand processes with over a thousand backends gets ready, serves, takes a whole
// list with more backends, and counts them correctly, with little memory and few threads. Guards
// against limits on the size of lists, and against state that is kept for each backend before it
// gets a request.
func TestLargeDeployment(t *testing.T) {
	plain := buildWithoutRace(t)
	for _, c := range []struct {
		name, balancers string
		makeConfig      configFunc
	}{{"chain", "1", standin.Config}, {"mesh", "100", standin.MeshConfig}} {
		t.Run(c.name, func(t *testing.T) {
			var backends []*standin.Backend
			for range 16 { // each serves many list entries
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
				t.Fatal("the configuration was not changed to the large one")
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

// checkServing sends some requests of each class, one after another.
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
