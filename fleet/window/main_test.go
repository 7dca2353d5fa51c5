package window

import (
	"flag"
	"os"
	"testing"
)

// A plain go test plays 300 schedules; -rapid.checks says otherwise.
func TestMain(m *testing.M) {
	flag.Parse()
	checksSet := false
	flag.Visit(func(f *flag.Flag) { checksSet = checksSet || f.Name == "rapid.checks" })
	if !checksSet {
		_ = flag.Set("rapid.checks", "300")
	}
	os.Exit(m.Run())
}
