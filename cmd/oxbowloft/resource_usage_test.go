package main

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"oxbowloft/internal/standin"
)

// resourceUsage is what a process has used.
type resourceUsage struct {
	cpu      time.Duration
	memoryMB float64
	sockets  int // descriptors open after the last request
	opened   int // connections to backends
}

// measureUsage runs a built program, one of so many balancers, with so many configured backends,
// sends it requests one after another, and returns what the process used.
func measureUsage(t *testing.T, program string, known, balancers, calls int) resourceUsage {
	t.Helper()
	const listeners = 8 // the backends of the list share their addresses
	var backends []*standin.Backend
	for range listeners {
		backends = append(backends, standin.NewBackend(t, func(c *standin.Call) {
			time.Sleep(5 * time.Millisecond) // long enough that no backend is judged slow by chance
			standin.Echo(c)
		}))
	}
	targets := make([]string, known)
	for i := range targets {
		targets[i] = standin.TargetJSON(fmt.Sprintf("s-%04d", i), backends[i%listeners].Addr())
	}
	makeConfig := func(listen, discovery string, sockets int, known string) string {
		text := standin.Config(listen, discovery, sockets, known)
		return strings.Replace(text, `"balancers":1`, fmt.Sprintf(`"balancers":%d`, balancers), 1)
	}
	d := standin.NewDiscovery(t, standin.ListJSON(1, false))
	addr := freeAddr(t)
	config := writeConfig(t, makeConfig(addr, d.Addr(), 512, standin.ListJSON(1, true, targets...)))
	r := startCommand(t, exec.Command(program, "serve", "--grace", "20ms", config), addr)
	c := r.dial()
	for i := range calls {
		if got := c.roundTrip(getRequest(2000)); got.status != 200 {
			t.Fatalf("request %d: got %+v", i, got)
		}
	}
	var n resourceUsage
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	n.sockets, n.memoryMB = len(entries), peakMemoryMB(t, r.cmd.Process.Pid)
	for _, b := range backends {
		opened, _ := b.ConnCounts()
		n.opened += opened
	}
	r.signal(syscall.SIGTERM)
	if err := r.wait(); err != nil {
		t.Fatal(err)
	}
	n.cpu = r.cmd.ProcessState.UserTime() + r.cmd.ProcessState.SystemTime()
	return n
}

// peakMemoryMB returns the peak resident memory of a process since it executed its program. The
// peak that wait4 reports to a parent also covers the time before, with the parent's own memory.
func peakMemoryMB(t *testing.T, pid int) float64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		var kB float64
		if n, _ := fmt.Sscanf(line, "VmHWM: %f kB", &kB); n == 1 {
			return kB / 1024
		}
	}
	t.Fatal("no VmHWM")
	return 0
}

// The resources that a proxy uses in the largest fleet stay within the operators' bounds relative
// to the usual fleet, as far as one process can show it.
func TestResourceUsageByFleetSize(t *testing.T) {
	const calls = 1000
	program := buildWithoutRace(t)
	usual, large := measureUsage(t, program, 200, 300, calls), measureUsage(t, program, 3200, 900, calls)
	t.Logf("200 backends: %+v; 3,200: %+v", usual, large)
	const thousands = 3.2
	if limit := 1.4*usual.cpu.Seconds() + 0.02 + 0.03*thousands; large.cpu.Seconds() > limit {
		t.Errorf("processor time %v, limit %.3f s", large.cpu, limit)
	}
	if limit := 1.5*usual.memoryMB + 8 + 4*thousands; large.memoryMB > limit {
		t.Errorf("memory %.1f MB, limit %.1f MB", large.memoryMB, limit)
	}
	if limit := 2*usual.sockets + 40; large.sockets > limit {
		t.Errorf("%d descriptors, limit %d", large.sockets, limit)
	}
	if limit := int(2.5*float64(usual.opened)) + 40; large.opened > limit {
		t.Errorf("%d connections to backends, limit %d", large.opened, limit)
	}
}
