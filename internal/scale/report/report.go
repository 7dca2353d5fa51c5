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

// Paths are the files of one result.
type Paths struct{ JSON, Markdown string }

// Prepare makes the folder if it is missing, so that a run does not end with results that
// can't be written.
func MakeDirectory(folder string) error {
	if err := os.MkdirAll(folder, directoryMode); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

// Write writes both files into a folder that Prepare has made. They have the experiment's
// name, and replace an earlier result of it.
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
