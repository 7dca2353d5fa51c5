// Package resources reads what this process uses of the machine.
package resources

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"
)

// Usage is what the process uses at one moment.
type Usage struct {
	CPUTime       time.Duration // user and system time since its start
	ResidentBytes int64
	Goroutines    int
	Descriptors   int
}

const (
	memoryFile     = "/proc/self/statm" // sizes in pages: of all, resident, ...
	residentColumn = 1
	descriptorDir  = "/proc/self/fd"
)

// Read returns the usage now.
func Read() (Usage, error) {
	processor, err := cpuTime()
	if err != nil {
		return Usage{}, err
	}
	resident, err := ResidentBytes()
	if err != nil {
		return Usage{}, err
	}
	descriptors, err := os.ReadDir(descriptorDir)
	if err != nil {
		return Usage{}, fmt.Errorf("resources: %w", err)
	}
	return Usage{
		CPUTime:       processor,
		ResidentBytes: resident,
		Goroutines:    runtime.NumGoroutine(),
		Descriptors:   len(descriptors) - 1, // the directory itself was open
	}, nil
}

func cpuTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, fmt.Errorf("resources: getrusage: %w", err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// ResidentBytes returns the resident memory.
func ResidentBytes() (int64, error) {
	content, err := os.ReadFile(memoryFile)
	if err != nil {
		return 0, fmt.Errorf("resources: %w", err)
	}
	columns := bytes.Fields(content)
	if len(columns) <= residentColumn {
		return 0, errors.New("resources: " + memoryFile + " has no resident memory")
	}
	pages, err := strconv.ParseInt(string(columns[residentColumn]), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("resources: %s: %w", memoryFile, err)
	}
	return pages * int64(os.Getpagesize()), nil
}

// ReleaseMemory gives what is free back to the system, so that a later reading does not count
// what an earlier fleet left behind.
func ReleaseMemory() { debug.FreeOSMemory() }

// CheckDescriptorLimit returns an error if the process may not have so many descriptors open.
func CheckDescriptorLimit(needed int) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("resources: getrlimit: %w", err)
	}
	if limit.Cur < uint64(needed) {
		return fmt.Errorf("%d descriptors are needed, the limit (ulimit -n) is %d", needed, limit.Cur)
	}
	return nil
}
