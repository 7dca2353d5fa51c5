package sourcecheck

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// wallClockCalls are functions and methods that read the wall clock of a time, or take its
// monotonic reading away. A span that is measured with one changes when the clock is
// stepped.
var wallClockCalls = map[string]bool{
	"Unix": true, "UnixMilli": true, "UnixMicro": true, "UnixNano": true,
	"UTC": true, "Local": true, "AddDate": true, "Date": true, "ModTime": true,
	"Gettimeofday": true, "ClockGettime": true,
}

// allowedCalls are the places that may read the wall clock, with the reason.
var allowedCalls = map[string]string{
	"internal/soak/registry.go: UnixMilli":   "the stamps of starts that the stand-in for discovery gives",
	"proxy/clock.go: UnixNano":               "the stamps of starts that discovery gives are Unix time; read once, at the start",
	"internal/scale/report/markdown.go: UTC": "the date of a run in its report",
	"proxy/state.go: ModTime":                "compared for equality with itself alone, to see that a file is another",
	"internal/http1/conn.go: Unix":           "a moment long past, for a deadline that is over whatever the clock says",
	"fleet/agree/store_record.go: Unix":      "stored beside an entry of the log, as the library wants; nothing is decided by it",
	"fleet/agree/store_record.go: UnixNano":  "the same",
}

// No decision, wait or deadline reads the wall clock, which may be stepped: spans are of
// monotonic time.
func TestNoWallClock(t *testing.T) {
	root := filepath.Join("..", "..")
	used := map[string]bool{}
	for _, dir := range []string{"cmd", "fleet", "internal", "logic", "proxy"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			name, err := filepath.Rel(root, path)
			if err != nil {
				return err
			}
			return checkFile(path, func(line int, reading string) {
				key := fmt.Sprintf("%s: %s", filepath.ToSlash(name), reading)
				if allowedCalls[key] == "" {
					t.Errorf("%s:%d: %s reads the wall clock", name, line, reading)
				}
				used[key] = true
			})
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for key := range allowedCalls {
		if !used[key] {
			t.Errorf("%s is allowed and not used", key)
		}
	}
}

// checkFile tells found of each reading of the wall clock in a file.
func checkFile(path string, found func(line int, reading string)) error {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, 0)
	if err != nil {
		return err
	}
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		function, ok := call.Fun.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		name := function.Sel.Name
		if wallClockCalls[name] || stripsMonotonicReading(name, call.Args) {
			found(files.Position(call.Pos()).Line, name)
		}
		return true
	})
	return nil
}

// stripsMonotonicReading tells whether a call is the idiom that takes a time's monotonic reading away.
func stripsMonotonicReading(name string, args []ast.Expr) bool {
	if name != "Round" && name != "Truncate" || len(args) != 1 {
		return false
	}
	literal, ok := args[0].(*ast.BasicLit)
	return ok && literal.Value == "0"
}

// A planted reading of each kind is found.
func TestWallClockCallsAreFound(t *testing.T) {
	for _, reading := range []string{"t.UnixNano()", "time.Unix(0, 1)", "t.Round(0)", "t.UTC()", "info.ModTime()"} {
		path := filepath.Join(t.TempDir(), "planted.go")
		text := "package p\nfunc f() { _ = " + reading + " }\n"
		if err := writeFile(path, text); err != nil {
			t.Fatal(err)
		}
		count := 0
		if err := checkFile(path, func(int, string) { count++ }); err != nil || count != 1 {
			t.Errorf("%s: found %d times, %v", reading, count, err)
		}
	}
}

func writeFile(path, text string) error { return os.WriteFile(path, []byte(text), 0o600) }
