//go:build faults

// Package faults is the seam by which a program that is built with the tag "faults" meets
// failing system calls and a stepped wall clock, as its environment says.
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

// The variables that say what fails.
const (
	wallVariable  = "OXBOWLOFT_FAULT_WALL"  // a duration: how far the wall clock has been stepped
	callsVariable = "OXBOWLOFT_FAULT_CALLS" // kind=share,...: what share of the calls of a kind fails
	seedVariable  = "OXBOWLOFT_FAULT_SEED"
)

// errnos are those that a call of a kind fails with, by turns.
var errnos = map[string][]syscall.Errno{
	"accept": {syscall.ECONNABORTED, syscall.ETIMEDOUT, syscall.ENFILE, syscall.EPROTO, syscall.EAGAIN},
	"dial":   {syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENETUNREACH, syscall.EMFILE, syscall.EHOSTUNREACH},
	"write":  {syscall.ENOSPC, syscall.EIO},
}

var plan struct {
	sync.Mutex
	read   bool
	shares map[string]float64
	rng    *rand.Rand
}

// WallClockOffset is how far the wall clock has been stepped, for a process that starts now.
func WallClockOffset() time.Duration {
	offset, _ := time.ParseDuration(os.Getenv(wallVariable))
	return offset
}

// Inject is the error that the next call of a kind ("accept", "dial", "write") ends with; nil:
// it is made.
func Inject(kind string) error {
	plan.Lock()
	defer plan.Unlock()
	if !plan.read {
		readPlan()
	}
	if plan.rng.Float64() >= plan.shares[kind] {
		return nil
	}
	among := errnos[kind]
	return os.NewSyscallError(kind, among[plan.rng.IntN(len(among))])
}

func readPlan() {
	seed, _ := strconv.ParseUint(os.Getenv(seedVariable), 10, 64)
	plan.read, plan.shares, plan.rng = true, map[string]float64{}, rand.New(rand.NewPCG(seed, 0))
	for _, part := range strings.Split(os.Getenv(callsVariable), ",") {
		if kind, share, ok := strings.Cut(part, "="); ok {
			plan.shares[kind], _ = strconv.ParseFloat(share, 64)
		}
	}
}
