package main

import (
	"debug/elf"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"oxbowloft/internal/standin"
)

// This file tests the build and start commands of the deployment, and the README's example.

// repositoryRoot is the path from this package to the root of the repository.
const repositoryRoot = "../.."

// deploySetting returns the value of a key in deploy/balancer.toml, the operators' file.
func deploySetting(t *testing.T, key string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(repositoryRoot, "deploy/balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	m := regexp.MustCompile(`(?m)^` + key + ` = (.*)$`).FindSubmatch(text)
	if m == nil {
		t.Fatalf("deploy/balancer.toml has no %s", key)
	}
	return strings.Trim(string(m[1]), `"`)
}

// shellCommand returns a command that a shell runs from the repository's root, as the operators do.
func shellCommand(command string, env ...string) *exec.Cmd {
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir = repositoryRoot
	cmd.Env = append(os.Environ(), env...)
	return cmd
}

// exampleConfig writes the example configuration with free addresses, and starts its backends.
func exampleConfig(t *testing.T) (path, addr string) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(repositoryRoot, "examples/config.json"))
	if err != nil {
		t.Fatal(err)
	}
	addr = freeAddr(t)
	swap := strings.NewReplacer("127.0.0.1:3000", addr, "127.0.0.1:8500", freeAddr(t),
		"127.0.0.1:9001", standin.NewBackend(t, standin.Echo).Addr(),
		"127.0.0.1:9002", standin.NewBackend(t, standin.Echo).Addr())
	return writeConfig(t, swap.Replace(string(text))), addr
}

// The operators' build and run commands work with the example configuration.
func TestDeploy(t *testing.T) {
	if out, err := shellCommand(deploySetting(t, "build")).CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	path, addr := exampleConfig(t)
	r := startCommand(t, shellCommand(deploySetting(t, "run"), "BALANCER_NAME=n1", "BALANCER_CONFIG="+path), addr)
	r.eventually("ready", func() bool {
		resp, err := http.Get("http://" + addr + "/healthz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == 200
	})
	http.DefaultClient.CloseIdleConnections()
	if got := r.dial().roundTrip(postRequest("order", "one tile", 900)); got.status != 200 || got.body != "POST /api one tile" {
		t.Errorf("got %+v", got)
	}
}

// The deployed program is linked dynamically against the C library. Guards against a build without
// cgo or with internal linking: the operators' bench for the full fleet can't run a static program.
func TestDeployDynamic(t *testing.T) {
	if out, err := shellCommand(deploySetting(t, "build")).CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	m := regexp.MustCompile(`^exec (bin/\S+)( |$)`).FindStringSubmatch(deploySetting(t, "run"))
	if m == nil {
		t.Fatalf("run = %q does not exec a program in bin", deploySetting(t, "run"))
	}
	f, err := elf.Open(filepath.Join(repositoryRoot, m[1]))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if f.Section(".interp") == nil {
		t.Errorf("%s has no interpreter section: it is linked statically", m[1])
	}
	libs, err := f.ImportedLibraries()
	if err != nil {
		t.Fatal(err)
	}
	if !slices.ContainsFunc(libs, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		t.Errorf("%s is linked against %q, not the C library", m[1], libs)
	}
}

// All files named in the operators' file exist.
func TestDeployNames(t *testing.T) {
	for _, key := range []string{"policy", "node"} {
		var names []string
		if err := json.Unmarshal([]byte(deploySetting(t, key)), &names); err != nil {
			t.Fatalf("%s: %v", key, err)
		}
		for _, name := range names {
			if _, err := os.Stat(filepath.Join(repositoryRoot, name)); err != nil {
				t.Errorf("%s: %v", key, err)
			}
		}
	}
}

// The README's example requests succeed with its example configuration.
func TestReadme(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(repositoryRoot, "README.md"))
	if err != nil {
		t.Fatal(err)
	}
	path, addr := exampleConfig(t)
	startCommand(t, exec.Command(program, "serve", path), addr)
	lines := regexp.MustCompile(`(?m)^    curl -i 127\.0\.0\.1:3000(/\S*)(.*)$`).FindAllStringSubmatch(string(text), -1)
	if len(lines) != 3 {
		t.Fatalf("%d requests in the README, want 3", len(lines))
	}
	for _, line := range lines {
		method, body := "GET", ""
		if d := regexp.MustCompile(`-d '(.*)'`).FindStringSubmatch(line[2]); d != nil {
			method, body = "POST", d[1]
		}
		req, err := http.NewRequest(method, "http://"+addr+line[1], strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		for _, h := range regexp.MustCompile(`-H '(.*?): (.*?)'`).FindAllStringSubmatch(line[2], -1) {
			req.Header.Set(h[1], h[2])
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != 200 {
			t.Errorf("%s: %s", line[0], resp.Status)
		}
	}
	http.DefaultClient.CloseIdleConnections()
}
