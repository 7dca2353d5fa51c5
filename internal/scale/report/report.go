// Package report writes the result of a scale run as JSON and as tables in Markdown.
package report

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"oxbowloft/internal/scale/runner"
)

const (
	directoryMode = 0o755
	fileMode      = 0o644
)

// Paths holds the paths of the files of one result.
type Paths struct{ JSON, Markdown string }

// MakeDirectory creates the folder for results if it does not exist. Calling it before a run avoids
// finding out only afterwards that the results can't be written.
func MakeDirectory(folder string) error {
	if err := os.MkdirAll(folder, directoryMode); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

// Write writes both files into an existing folder. They are named after the experiment and replace
// its earlier results.
func Write(folder string, result *runner.Result) (Paths, error) {
	base := filepath.Join(folder, result.Experiment.Name)
	paths := Paths{JSON: base + ".json", Markdown: base + ".md"}
	content, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return Paths{}, fmt.Errorf("report: %w", err)
	}
	if err := os.WriteFile(paths.JSON, append(content, '\n'), fileMode); err != nil {
		return Paths{}, fmt.Errorf("report: %w", err)
	}
	if err := os.WriteFile(paths.Markdown, []byte(Markdown(result)), fileMode); err != nil {
		return Paths{}, fmt.Errorf("report: %w", err)
	}
	return paths, nil
}
