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

// wallClockCalls are functions and methods that read the wall clock or strip the monotonic
// clock reading of a time. A duration measured with them is wrong if the clock is stepped.
var wallClockCalls = map[string]bool{
	"Unix": true, "UnixMilli": true, "UnixMicro": true, "UnixNano": true,
	"UTC": true, "Local": true, "AddDate": true, "Date": true, "ModTime": true,
	"Gettimeofday": true, "ClockGettime": true,
}

// allowedCalls are the files and calls that may read the wall clock, with the reason.
var allowedCalls = map[string]string{
	"internal/soak/registry.go: UnixMilli":   "start timestamps that the discovery test server reports",
	"proxy/clock.go: UnixNano":               "start timestamps from discovery are Unix time; read once, at the start",
	"internal/scale/report/markdown.go: UTC": "date of a run in its report",
	"proxy/clock.go: ClockGettime":           "CLOCK_MONOTONIC, which is not stepped and which all processes on a machine share",
	"internal/http1/conn.go: Unix":           "constant time in the past, for a deadline that has expired whatever the clock says",
	"fleet/agree/store_record.go: Unix":      "stored with a log entry, as the library requires; no decision depends on it",
	"fleet/agree/store_record.go: UnixNano":  "the same",
}

// No decision, wait or deadline may read the wall clock, which may be stepped: durations are
// measured in monotonic time.
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
			return checkFile(path, func(line int, function string) {
				key := fmt.Sprintf("%s: %s", filepath.ToSlash(name), function)
				if allowedCalls[key] == "" {
					t.Errorf("%s:%d: %s reads the wall clock", name, line, function)
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
			t.Errorf("%s is allowed but does not occur", key)
		}
	}
}

// checkFile calls report for each call in a file that reads the wall clock.
func checkFile(path string, report func(line int, function string)) error {
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
			report(files.Position(call.Pos()).Line, name)
		}
		return true
	})
	return nil
}

// stripsMonotonicReading reports whether a call is Round(0) or Truncate(0), the idiom that strips the
// monotonic clock reading of a time.
func stripsMonotonicReading(name string, args []ast.Expr) bool {
	if name != "Round" && name != "Truncate" || len(args) != 1 {
		return false
	}
	literal, ok := args[0].(*ast.BasicLit)
	return ok && literal.Value == "0"
}

// checkFile finds each kind of wall clock call in a generated file.
func TestWallClockCallsAreFound(t *testing.T) {
	for _, call := range []string{"t.UnixNano()", "time.Unix(0, 1)", "t.Round(0)", "t.UTC()", "info.ModTime()"} {
		path := filepath.Join(t.TempDir(), "generated.go")
		text := "package p\nfunc f() { _ = " + call + " }\n"
		if err := writeFile(path, text); err != nil {
			t.Fatal(err)
		}
		count := 0
		if err := checkFile(path, func(int, string) { count++ }); err != nil || count != 1 {
			t.Errorf("%s: found %d times, %v", call, count, err)
		}
	}
}

func writeFile(path, text string) error { return os.WriteFile(path, []byte(text), 0o600) }
