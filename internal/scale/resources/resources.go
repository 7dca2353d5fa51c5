// Package resources reads the resource usage of this process.
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

// Usage is the resource usage of the process at one moment.
type Usage struct {
	CPUTime       time.Duration // user and system time since the process started
	ResidentBytes int64
	Goroutines    int
	Descriptors   int
}

const (
	memoryFile     = "/proc/self/statm" // columns are in pages: total, resident, ...
	residentColumn = 1
	descriptorDir  = "/proc/self/fd"
)

// Read returns the current usage.
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
		Descriptors:   len(descriptors) - 1, // without the one that was open to read the directory
	}, nil
}

func cpuTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, fmt.Errorf("resources: getrusage: %w", err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// ResidentBytes returns the resident set size.
func ResidentBytes() (int64, error) {
	content, err := os.ReadFile(memoryFile)
	if err != nil {
		return 0, fmt.Errorf("resources: %w", err)
	}
	columns := bytes.Fields(content)
	if len(columns) <= residentColumn {
		return 0, errors.New("resources: " + memoryFile + " has no column for resident memory")
	}
	pages, err := strconv.ParseInt(string(columns[residentColumn]), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("resources: %s: %w", memoryFile, err)
	}
	return pages * int64(os.Getpagesize()), nil
}

// ReleaseMemory collects garbage and returns free memory to the operating system, so that a
// measurement does not include memory of an earlier fleet.
func ReleaseMemory() { debug.FreeOSMemory() }

// CheckDescriptorLimit returns an error if the process may open fewer descriptors than needed.
func CheckDescriptorLimit(needed int) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("resources: getrlimit: %w", err)
	}
	if limit.Cur < uint64(needed) {
		return fmt.Errorf("%d file descriptors are needed, but the limit (ulimit -n) is %d", needed, limit.Cur)
	}
	return nil
}
