package resources

import (
	"math"
	"os"
	"testing"
	"time"
)

func read(t *testing.T) Usage {
	t.Helper()
	usage, err := Read()
	if err != nil {
		t.Fatal(err)
	}
	return usage
}

func TestCPUTimeGrows(t *testing.T) {
	before := read(t)
	for end := time.Now().Add(30 * time.Second); read(t).CPUTime == before.CPUTime; {
		if time.Now().After(end) {
			t.Fatal("CPU time did not grow in 30 s of work")
		}
	}
}

func TestDescriptorsAndGoroutines(t *testing.T) {
	before := read(t)
	const opened = 5
	done := make(chan struct{})
	for range opened {
		file, err := os.Open(os.DevNull)
		if err != nil {
			t.Fatal(err)
		}
		defer file.Close()
		go func() { <-done }()
	}
	after := read(t)
	close(done)
	if after.Descriptors != before.Descriptors+opened {
		t.Errorf("%d descriptors, want %d plus %d", after.Descriptors, before.Descriptors, opened)
	}
	if after.Goroutines < before.Goroutines+opened {
		t.Errorf("%d goroutines, want at least %d plus %d", after.Goroutines, before.Goroutines, opened)
	}
}

func TestResidentMemoryIsPlausible(t *testing.T) {
	if bytes := read(t).ResidentBytes; bytes < 1<<20 || bytes > 1<<40 {
		t.Errorf("implausible resident memory: %d bytes", bytes)
	}
}

func TestCheckDescriptorLimit(t *testing.T) {
	if err := CheckDescriptorLimit(1); err != nil {
		t.Error(err)
	}
	if err := CheckDescriptorLimit(math.MaxInt); err == nil {
		t.Error("no error for more descriptors than any limit allows")
	}
}
