//go:build faults

// Package faults injects failing system calls and a stepped wall clock, as set in the
// environment, into programs built with the tag "faults".
package faults

import (
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The environment variables that configure the faults.
const (
	wallVariable  = "OXBOWLOFT_FAULT_WALL"  // step of the wall clock, a duration
	callsVariable = "OXBOWLOFT_FAULT_CALLS" // kind=fraction,...: fraction of the calls of each kind that fail
	seedVariable  = "OXBOWLOFT_FAULT_SEED"  // seed of the random choice of failing calls
)

// errnos are the errors of failing calls by kind, chosen at random.
var errnos = map[string][]syscall.Errno{
	"accept": {syscall.ECONNABORTED, syscall.ETIMEDOUT, syscall.ENFILE, syscall.EPROTO, syscall.EAGAIN},
	"dial":   {syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENETUNREACH, syscall.EMFILE, syscall.EHOSTUNREACH},
	"write":  {syscall.ENOSPC, syscall.EIO},
}

var plan struct {
	sync.Mutex
	loaded    bool
	fractions map[string]float64 // of calls that fail, by kind
	rng       *rand.Rand
}

// WallClockOffset returns the simulated step of the wall clock for a process that starts now.
func WallClockOffset() time.Duration {
	offset, _ := time.ParseDuration(os.Getenv(wallVariable))
	return offset
}

// Inject returns the error with which the next call of a kind ("accept", "dial", "write") fails,
// or nil if the call is to be made.
func Inject(kind string) error {
	plan.Lock()
	defer plan.Unlock()
	if !plan.loaded {
		loadPlan()
	}
	if plan.rng.Float64() >= plan.fractions[kind] {
		return nil
	}
	candidates := errnos[kind]
	return os.NewSyscallError(kind, candidates[plan.rng.IntN(len(candidates))])
}

func loadPlan() {
	seed, _ := strconv.ParseUint(os.Getenv(seedVariable), 10, 64)
	plan.loaded, plan.fractions, plan.rng = true, map[string]float64{}, rand.New(rand.NewPCG(seed, 0))
	for _, part := range strings.Split(os.Getenv(callsVariable), ",") {
		if kind, fraction, ok := strings.Cut(part, "="); ok {
			plan.fractions[kind], _ = strconv.ParseFloat(fraction, 64)
		}
	}
}
