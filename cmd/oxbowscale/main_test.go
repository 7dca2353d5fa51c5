package main

import (
	"bufio"
	"errors"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	experimentFiles = "../../docs/capacity/experiments/*.json"
	// exitTimeout bounds the exit of an interrupted run, which takes less than a second.
	exitTimeout = time.Minute
)

// runCommandLine runs the command in this process and returns its output.
func runCommandLine(args ...string) (string, error) {
	var output strings.Builder
	root := command()
	root.SetArgs(args)
	root.SetOut(&output)
	root.SetErr(&output)
	err := root.Execute()
	return output.String(), err
}

// The experiment files in the documentation are valid, and their schedules are deterministic.
func TestPublishedExperiments(t *testing.T) {
	files, err := filepath.Glob(experimentFiles)
	if err != nil || len(files) == 0 {
		t.Fatalf("experiment files %v, error %v", files, err)
	}
	for _, file := range files {
		first, err := runCommandLine("check", file)
		if err != nil {
			t.Errorf("%v", err)
			continue
		}
		if again, _ := runCommandLine("check", file); again != first || first == "" {
			t.Errorf("%s: schedules are empty or differ:\n%s\nand\n%s", file, first, again)
		}
	}
}

// An invalid file fails the command before anything starts, with an error that names file and key.
func TestInvalidFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "wrong.json")
	if err := os.WriteFile(file, []byte(`{"name": "wrong", "sizes": [1]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	folder := filepath.Join(t.TempDir(), "out")
	for _, args := range [][]string{{"check", file}, {"run", file, folder}} {
		_, err := runCommandLine(args...)
		if err == nil || !strings.Contains(err.Error(), "wrong.json: sizes[0]: ") {
			t.Errorf("%v: error %v", args, err)
		}
	}
	if _, err := os.Stat(folder); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the folder for results was created, or can't be read: %v", err)
	}
}

// SIGTERM ends a run early, with exit code 1 and without results.
func TestInterrupt(t *testing.T) {
	program := filepath.Join(t.TempDir(), "oxbowscale")
	if output, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, output)
	}
	folder := t.TempDir()
	run := exec.Command(program, "run", writeLongExperiment(t), folder)
	log, err := run.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := run.Start(); err != nil {
		t.Fatal(err)
	}
	kill := time.AfterFunc(2*exitTimeout, func() { run.Process.Kill() })
	defer kill.Stop()
	lines := bufio.NewReader(log)
	for line := ""; !strings.Contains(line, "all members have the same view"); {
		if line, err = lines.ReadString('\n'); err != nil {
			t.Fatalf("the run ended before all members had the same view: %v", err)
		}
	}
	interruptedAt := time.Now()
	if err := run.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	rest, _ := io.ReadAll(lines)
	var exit *exec.ExitError
	if err := run.Wait(); !errors.As(err, &exit) || exit.ExitCode() != 1 {
		t.Errorf("run returned %v, want exit code 1; log %s", err, rest)
	}
	if took := time.Since(interruptedAt); took > exitTimeout {
		t.Errorf("exit took %v", took)
	}
	if results, err := os.ReadDir(folder); err != nil || len(results) > 0 {
		t.Errorf("results %v, error %v; want none", results, err)
	}
}

// A folder that can't be created fails the command before anything starts.
func TestInvalidFolder(t *testing.T) {
	file := writeLongExperiment(t)
	if _, err := runCommandLine("run", file, file); err == nil || !strings.Contains(err.Error(), file) {
		t.Errorf("error %v", err)
	}
}

// writeLongExperiment writes an experiment whose steady state lasts far longer than the test.
func writeLongExperiment(t *testing.T) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "long.json")
	content := `{
		"name": "long", "seed": 1, "sizes": [4], "zones": 2,
		"settle": "0s", "rest": "9m", "time_limit": "10m", "memory_limit_mib": 1024, "faults": []
	}`
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// The balancer must not link the packages of this tool.
func TestBalancerDoesNotLinkScalePackages(t *testing.T) {
	output, err := exec.Command("go", "list", "-deps", "oxbowloft/cmd/oxbowloft").Output()
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(string(output), "oxbowloft/internal/scale") {
		t.Error("cmd/oxbowloft links internal/scale")
	}
}
