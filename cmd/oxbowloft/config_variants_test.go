package main

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"oxbowloft/internal/standin"
)

// This file tests configurations of every kind that the operators' documentation allows.

// configSummary has the parts of a configuration that the test needs: the names of its classes,
// and the values that tell which features it covers.
type configSummary struct {
	Limits *struct{ Sockets int }
	Known  *struct {
		Targets []struct{ State string }
	}
	Settings struct {
		Kind      string `json:"kind-of-service"`
		Discovery string
		Zones     []string
		Stage     int
		Classes   []struct{ Name, Idempotency, Group string }
		Clients   struct {
			Marks bool `json:"marks-retry"`
		}
		Limits struct {
			Streams int  `json:"streams-per-conn"`
			After   bool `json:"retry-after"`
			Tell    bool `json:"may-tell"`
			Probing bool
		}
		Report struct{ How string }
		Orgs   []struct{ Name string }
		Moon   string
	}
}

// features returns the names of the features that the configuration covers.
func (s *configSummary) features() []string {
	o := s.Settings
	count := func(what string, n int) string { return what + " " + strconv.Itoa(min(n, 2)) }
	out := []string{
		"kind " + o.Kind, "discovery " + o.Discovery, "report " + o.Report.How,
		"kind " + o.Kind + ", streams " + strconv.Itoa(o.Limits.Streams),
		"kind " + o.Kind + ", discovery " + o.Discovery,
		"kind " + o.Kind + ", marks " + strconv.FormatBool(o.Clients.Marks),
		"kind " + o.Kind + ", tell " + strconv.FormatBool(o.Limits.Tell),
		"kind " + o.Kind + ", probing " + strconv.FormatBool(o.Limits.Probing),
		"kind " + o.Kind + ", " + count("zones", len(o.Zones)),
		"stage " + strconv.Itoa(o.Stage),
		"retry-after " + strconv.FormatBool(o.Limits.After),
		count("tenants", len(o.Orgs)),
	}
	for _, c := range o.Classes {
		out = append(out, c.Idempotency)
		if c.Idempotency == "guarded" {
			out = append(out, "group "+c.Group)
		}
	}
	switch {
	case s.Limits == nil:
		out = append(out, "no limits")
	case s.Limits.Sockets == 32:
		out = append(out, "least sockets")
	}
	if o.Moon != "" {
		out = append(out, "unknown keys")
	}
	switch {
	case s.Known == nil:
		out = append(out, "no known")
	case len(s.Known.Targets) == 0:
		out = append(out, "empty known")
	}
	if s.Known != nil {
		for _, t := range s.Known.Targets {
			out = append(out, "known "+t.State)
		}
	}
	return out
}

// With each configuration of testdata/shapes, which together cover every feature that the
// operators' documentation allows, the program starts, gets ready, and serves a request of each
// class. Guards against validation that rejects, or code that fails on, unusual deployments.
func TestConfigVariants(t *testing.T) {
	files, err := filepath.Glob("testdata/shapes/*.json")
	if err != nil {
		t.Fatal(err)
	}
	covered := map[string]bool{}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		var s configSummary
		if err := json.Unmarshal(text, &s); err != nil {
			t.Fatalf("%s: %v", file, err)
		}
		for _, c := range s.features() {
			covered[c] = true
		}
		t.Run(strings.TrimSuffix(filepath.Base(file), ".json"), func(t *testing.T) { serveConfig(t, string(text), &s) })
	}
	for _, want := range []string{
		"kind chain", "kind mesh", "kind proxy", "kind ",
		"discovery on_request", "discovery pushed", "discovery ",
		"kind chain, discovery on_request", "kind chain, discovery pushed",
		"kind mesh, discovery on_request", "kind mesh, discovery pushed",
		"kind chain, streams 1", "kind chain, streams 100", "kind mesh, streams 1", "kind mesh, streams 100",
		"kind chain, marks true", "kind chain, marks false", "kind mesh, marks true", "kind mesh, marks false",
		"kind chain, tell true", "kind mesh, tell true", "kind chain, probing true", "kind mesh, probing true",
		"kind chain, zones 1", "kind chain, zones 2", "kind mesh, zones 1", "kind mesh, zones 2",
		"stage 0", "stage 1",
		"free", "guarded", "single_shot", "group all", "group zone", "group cell",
		"report inline", "report on_probe", "report off", "report ",
		"retry-after true", "retry-after false",
		"tenants 0", "tenants 2",
		"unknown keys", "no limits", "least sockets",
		"no known", "empty known", "known in_service", "known terminating", "known terminated",
	} {
		if !covered[want] {
			t.Errorf("no file in testdata/shapes covers %q", want)
		}
	}
}

// serveConfig starts the program with the configuration in text, with addresses filled in, and
// sends it a request of each class.
func serveConfig(t *testing.T, text string, s *configSummary) {
	b, gone := standin.NewBackend(t, standin.Echo), standin.NewBackend(t, standin.Echo)
	d := standin.NewDiscovery(t, standin.ListJSON(100, true, standin.TargetJSON("b-9", b.Addr())))
	addr := freeAddr(t)
	text = strings.NewReplacer("LISTEN", addr, "DISCOVERY", d.Addr(), "BACKEND", b.Addr(), "GONE", gone.Addr()).Replace(text)
	config := writeConfig(t, text)
	if out, err := exec.Command(program, "check", config).CombinedOutput(); err != nil {
		t.Fatalf("check rejects the configuration: %s", out)
	}
	cmd := exec.Command(program, "serve", "--grace", "20ms")
	cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+config)
	r := startCommand(t, cmd, addr)
	r.eventually("ready", func() bool {
		return r.dial().roundTrip("GET /healthz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").status == 200
	})
	// With pushed lists every change counts as announced at once, and the configured list may be
	// used only briefly.
	r.eventually("the list", func() bool { return strings.Contains(r.logText(), "event=list ") })
	for _, class := range s.Settings.Classes {
		request, want := requestHead("GET", "/api", class.Name, 4000), "GET /api "
		if class.Idempotency != "free" {
			request, want = postRequest(class.Name, "x", 4000), "POST /api x"
		}
		if got := r.dial().roundTrip(request); got.status != 200 || got.body != want {
			t.Errorf("%s: got %+v", class.Name, got)
		}
	}
	if want := len(s.Settings.Classes); b.RequestCount() != want || gone.RequestCount() != 0 {
		t.Errorf("%d requests at the backend in service, want %d; %d at the one terminated or terminating", b.RequestCount(), want, gone.RequestCount())
	}
	if slices.ContainsFunc(s.features(), func(c string) bool { return c == "no known" || c == "empty known" }) && len(d.RequestURIs()) == 0 {
		t.Error("no request for the list to discovery")
	}
}
