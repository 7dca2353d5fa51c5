package window

import (
	"flag"
	"os"
	"testing"
)

// TestMain runs 300 random schedules by default; -rapid.checks sets another number.
func TestMain(m *testing.M) {
	flag.Parse()
	checksSet := false
	flag.Visit(func(f *flag.Flag) { checksSet = checksSet || f.Name == "rapid.checks" })
	if !checksSet {
		_ = flag.Set("rapid.checks", "300")
	}
	os.Exit(m.Run())
}
