//go:build review

// Package review runs the cases of the review. They need the deploy build and review/build.sh:
//
//	sh review/build.sh && go test -count=1 -tags review -timeout 20m ./review
package review

import (
	"errors"
	"os/exec"
	"path/filepath"
	"testing"
)

// TestReviewCases runs the scripts of all cases. It fails while a rule is broken.
func TestReviewCases(t *testing.T) {
	scripts, err := filepath.Glob("[0-9]*/run.sh")
	if err != nil || len(scripts) == 0 {
		t.Fatal("no cases", err)
	}
	for _, script := range scripts {
		t.Run(filepath.Dir(script), func(t *testing.T) {
			out, err := exec.Command("sh", script).CombinedOutput()
			var exit *exec.ExitError
			switch {
			case err == nil:
				t.Logf("%s", out)
			case errors.As(err, &exit) && exit.ExitCode() == 1:
				t.Errorf("%s", out)
			default:
				t.Skipf("could not run: %v: %s", err, out)
			}
		})
	}
}
