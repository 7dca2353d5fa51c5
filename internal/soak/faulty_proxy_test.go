package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// faultVariable names the rule that the faulty proxy violates now and then; "none" violates none.
const faultVariable = "OXBOWSOAK_ROGUE"

// TestMain runs the faulty proxy if the process was started as that, and the tests otherwise.
func TestMain(m *testing.M) {
	if rule := os.Getenv(faultVariable); rule != "" {
		runFaultyProxy(Rule(rule))
		return
	}
	os.Exit(m.Run())
}

// runFaultyProxy is a small proxy with an injected fault. It sends each request to one backend of
// its list, which is from its configuration or from discovery.
func runFaultyProxy(violated Rule) {
	var config struct {
		Listen    string
		Discovery string
		Known     struct{ Targets []wireTarget }
	}
	text, err := os.ReadFile(os.Getenv("BALANCER_CONFIG"))
	if err != nil || json.Unmarshal(text, &config) != nil {
		os.Exit(3)
	}
	ln, err := net.Listen("tcp", config.Listen)
	if err != nil {
		os.Exit(4)
	}
	var targets atomic.Pointer[[]wireTarget]
	targets.Store(&config.Known.Targets)
	followed := &targets
	if violated == RuleDrain { // it watches the list, but uses the old one
		followed = &atomic.Pointer[[]wireTarget]{}
		followed.Store(&config.Known.Targets)
	}
	go followList(config.Discovery, followed)
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM)
	if violated != RuleCrash {
		go func() {
			<-ended
			time.Sleep(time.Second) // requests in flight are finished
			os.Exit(0)
		}()
	}
	for n := 0; ; n++ {
		c, err := ln.Accept()
		if err != nil {
			os.Exit(5)
		}
		go serveFaulty(c, violated, &targets)
	}
}

// followList keeps the list up to date from a watch.
func followList(addr string, targets *atomic.Pointer[[]wireTarget]) {
	for ; ; time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + addr + "/v1/servers?stream=1&index=0")
		if err != nil {
			continue
		}
		lists := json.NewDecoder(resp.Body)
		for {
			var list struct {
				All     bool
				Targets []wireTarget
			}
			if lists.Decode(&list) != nil {
				break
			}
			now := slices.Clone(*targets.Load())
			if list.All {
				now = nil
			}
			for _, t := range list.Targets {
				now = slices.DeleteFunc(now, func(x wireTarget) bool { return x.UID == t.UID })
				if t.State == "in_service" {
					now = append(now, t)
				}
			}
			targets.Store(&now)
		}
		resp.Body.Close()
	}
}

func serveFaulty(c net.Conn, violated Rule, targets *atomic.Pointer[[]wireTarget]) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		if violated != RuleBadClient {
			c.SetReadDeadline(time.Now().Add(2500 * time.Millisecond))
		}
		req, err := http.ReadRequest(in)
		if err != nil {
			if violated == RuleBadClient {
				time.Sleep(time.Hour)
			}
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil || req.Header.Get("X-Request-ID") == "" && req.URL.Path != "/healthz" {
			return
		}
		if req.URL.Path == "/healthz" {
			reply(c, http.StatusOK, "", "ok\n")
			continue
		}
		if !forwardFaulty(c, req, violated, *targets.Load()) {
			return
		}
	}
}

// forwardFaulty forwards a request and its response. One time in ten it injects the fault.
func forwardFaulty(c net.Conn, req *http.Request, violated Rule, targets []wireTarget) bool {
	inject := rand.IntN(10) == 0
	if len(targets) == 0 {
		return reply(c, http.StatusServiceUnavailable, "", "none\n")
	}
	if violated == RuleGone { // even if the client disconnects meanwhile
		time.Sleep(400 * time.Millisecond)
	}
	to := targets[rand.IntN(len(targets))].Endpoint
	timeoutMs := req.Header.Get("X-Timeout-Ms")
	if inject && violated == RuleDeadline {
		timeoutMs = "3000"
	}
	status, body := sendAttempt(to, req, timeoutMs)
	if status == 0 {
		return reply(c, http.StatusBadGateway, "", "failed\n")
	}
	if !inject {
		return reply(c, status, "", body)
	}
	switch violated {
	case RuleLost:
		return false
	case RuleForeign:
		body = "something else\n"
	case RuleDuplicate:
		sendAttempt(to, req, timeoutMs)
	case RuleRefused:
		status = http.StatusServiceUnavailable
	case RuleCrash:
		os.Exit(6)
	}
	return reply(c, status, "", body)
}

// sendAttempt makes one attempt. Status 0 means that there was no response.
func sendAttempt(addr string, req *http.Request, timeoutMs string) (status int, body string) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, ""
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	length := ""
	if req.Method == http.MethodPost {
		length = "Content-Length: 0\r\n"
	}
	fmt.Fprintf(c, "%s /api HTTP/1.1\r\nHost: h\r\nX-Request-ID: %s\r\nX-Timeout-Ms: %s\r\n%s\r\n", req.Method,
		req.Header.Get("X-Request-ID"), timeoutMs, length)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, ""
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(text)
}

// faultyProxyPlan returns a plan with the faulty proxy as its program.
func faultyProxyPlan(t *testing.T, rule Rule) *Plan {
	t.Helper()
	dir := t.TempDir()
	program := filepath.Join(dir, "faulty-proxy")
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	script := fmt.Sprintf("#!/bin/sh\n%s=%s exec %s\n", faultVariable, rule, self)
	if err := os.WriteFile(program, []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	return &Plan{Program: program, Dir: dir, Proxies: 2, Backends: 3, Clients: 3, Length: 4 * time.Second}
}

// An injected violation of each rule is detected, under the right rule.
func TestPlantedFaults(t *testing.T) {
	leavers := []Event{{At: 500 * time.Millisecond, Kind: ClientsLeave, Span: 3 * time.Second}}
	for _, c := range []struct {
		rule   Rule
		events []Event
	}{
		{RuleLost, nil},
		{RuleForeign, nil},
		{RuleDuplicate, nil},
		{RuleRefused, nil},
		{RuleDeadline, nil},
		{RuleCrash, nil},
		{RuleGone, leavers},
		{RuleDrain, []Event{{At: 500 * time.Millisecond, Kind: Drain, Span: 3 * time.Second}}},
		{RuleBadClient, []Event{{At: 300 * time.Millisecond, Kind: BadClients, Span: 3 * time.Second}}},
	} {
		t.Run(string(c.rule), func(t *testing.T) {
			t.Parallel()
			plan := faultyProxyPlan(t, c.rule)
			report, err := Run(context.Background(), plan, 1, c.events)
			if err != nil {
				t.Fatal(err)
			}
			if !report.violates(c.rule) {
				t.Errorf("violation not detected: %s; void %q", report.Summary, report.Void)
			}
		})
	}
}

// A short run of the built proxy, without failing system calls, violates no rule.
func TestSoakShort(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "oxbowloft")
	if text, err := exec.Command("go", "build", "-o", program, "oxbowloft/cmd/oxbowloft").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	for _, c := range []struct {
		seed uint64
		plan Plan
	}{
		{1, Plan{Proxies: 6, Backends: 4, Clients: 2, Length: 6 * time.Second}},
		// Lists get stale while backends drain: there were 284 attempts past the grace before
		// proxies with a stale list stopped using draining backends past it.
		{49014, Plan{Proxies: 8, Backends: 8, Clients: 2, Length: 16 * time.Second}},
	} {
		t.Run(fmt.Sprint("seed ", c.seed), func(t *testing.T) {
			c.plan.Program, c.plan.Dir = program, dir
			report, err := Run(context.Background(), &c.plan, c.seed, Schedule(c.seed, &c.plan))
			if err != nil {
				t.Fatal(err)
			}
			if report.Outcomes["served"] == 0 {
				t.Errorf("no request was served: %s", report.Summary)
			}
			for _, v := range report.Violations {
				t.Errorf("%s: %s\n%s", v.Rule, v.Detail, strings.Join(v.Trace, "\n"))
			}
		})
	}
}

// The same seed gives the same events, and another seed gives others.
func TestScheduleIsDrawn(t *testing.T) {
	plan := &Plan{Length: 10 * time.Second}
	if !slices.Equal(Schedule(7, plan), Schedule(7, plan)) {
		t.Error("the same seed gives two schedules")
	}
	if slices.Equal(Schedule(7, plan), Schedule(8, plan)) {
		t.Error("two seeds give the same schedule")
	}
	kinds := map[EventKind]bool{}
	for seed := range uint64(50) {
		for _, e := range Schedule(seed, plan) {
			kinds[e.Kind] = true
		}
	}
	for _, kind := range eventKinds {
		if !kinds[kind] {
			t.Errorf("%s is never drawn", kind)
		}
	}
}
