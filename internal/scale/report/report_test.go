package report

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"oxbowloft/internal/scale/experiment"
	"oxbowloft/internal/scale/fit"
	"oxbowloft/internal/scale/runner"
)

func sample() *runner.Result {
	return &runner.Result{
		Experiment: experiment.Experiment{Name: "sample", Seed: 42, Sizes: []int{12, 30, 60}, Zones: 3},
		Environment: runner.Environment{
			Command: []string{"oxbowscale", "run", "sample.json", "out"}, GoVersion: "go1.99", Cores: 8, GoMaxProcs: 2,
		},
		Sizes: []runner.SizeResult{
			{
				Size:         12,
				StartSeconds: 1.5,
				SteadyState: &runner.SteadyState{
					BytesOut: runner.Distribution{Count: 12, Mean: 1234.5},
					KindsOut: map[string]float64{"ping": 1.25},
				},
				Faults: []runner.FaultResult{
					{Kind: experiment.Kill, At: 5, Members: []int{3}, AllConvergedSeconds: 7.25, ConvergenceSeconds: runner.Distribution{Count: 11, Median: 6, P99: 7.25}},
					{Kind: experiment.Partition, At: 20, Zone: 2, Unconverged: 12},
				},
			},
			{Size: 30, Failure: "out of memory"},
		},
		NotRun: []int{60},
		Fits: []runner.NamedFit{
			{Measure: "bytes out", Unit: "bytes/s", Line: fit.Line{Points: 4, Intercept: 10, Slope: 0.5, SlopeError: 0.01, SlopeErrorKnown: true, Curvature: fit.CurvatureUp}},
			{Measure: "bytes in", Unit: "bytes/s", Line: fit.Line{Points: 2, Intercept: 10, Slope: 0.5, Curvature: fit.CurvatureUnknown}},
		},
	}
}

func TestMarkdown(t *testing.T) {
	page := Markdown(sample())
	for _, want := range []string{
		"- Command: `oxbowscale run sample.json out`\n",
		"- Seed: 42\n",
		"- Sizes: 12, 30, 60; zones: 3\n",
		"- go1.99, 8 cores, 2 of them used at a time\n",
		"- **Failed** at 30 members: out of memory\n",
		"- **Not run**: 60 members\n",
		"| 12 | 1.5 | 1234 |",
		"| 30 | - | - |",
		"| 12 | 1.25 | 0 |",
		"| 12 | kill at 5 s (1 member) | 6 | 7.25 | 7.25 | 0 |\n",
		"| 12 | cut at 20 s (zone 2) | - | - | - | 12 |\n",
		"| bytes out | bytes/s | 10.0 | 50.0 | 1 | **bends upward** |\n",
		"| bytes in | bytes/s | 10.0 | 50.0 | not known | not known |\n",
	} {
		if !strings.Contains(page, want) {
			t.Errorf("page lacks %q:\n%s", want, page)
		}
	}
}

// The JSON file contains the whole result, and the folder is created.
func TestWrite(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "new", "folder")
	if err := MakeDirectory(folder); err != nil {
		t.Fatal(err)
	}
	paths, err := Write(folder, sample())
	if err != nil {
		t.Fatal(err)
	}
	content, err := os.ReadFile(paths.JSON)
	if err != nil {
		t.Fatal(err)
	}
	var read runner.Result
	if err := json.Unmarshal(content, &read); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(&read, sample()) {
		t.Errorf("JSON file decodes to\n%+v\nwant\n%+v", &read, sample())
	}
	page, err := os.ReadFile(paths.Markdown)
	if err != nil || string(page) != Markdown(sample()) {
		t.Errorf("Markdown file contains %q, error %v", page, err)
	}
}

// MakeDirectory fails if the path is a file, so that the error is known before a run.
func TestMakeDirectoryWhereAFileIs(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, fileMode); err != nil {
		t.Fatal(err)
	}
	if err := MakeDirectory(file); err == nil {
		t.Error("no error for a path that is a file")
	}
}
