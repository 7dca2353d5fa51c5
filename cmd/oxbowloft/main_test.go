package main

import (
	"bytes"
	"os"
	"os/exec"
	"strings"
	"testing"

	"oxbowloft/internal/standin"
)

// This file tests the commands and the validation of configurations.

// An invalid configuration ends both commands with one line that names the error.
func TestBadConfig(t *testing.T) {
	good := standin.Config("127.0.0.1:0", "127.0.0.1:1", 256, standin.ListJSON(1, true))
	goodMesh := standin.MeshConfig("127.0.0.1:0", "127.0.0.1:1", 256, standin.ListJSON(1, true))
	replaceIn := func(good, old, with string) string {
		if !strings.Contains(good, old) {
			t.Fatalf("no %s in the configuration", old)
		}
		return strings.Replace(good, old, with, 1)
	}
	swap := func(old, with string) string { return replaceIn(good, old, with) }
	mesh := func(old, with string) string { return replaceIn(goodMesh, old, with) }
	for _, c := range []struct{ name, text, want string }{
		{"not JSON", "listen = 3", "invalid character"},
		{"empty", "", "unexpected end"},
		{"no listen", swap(`"listen":"127.0.0.1:0",`, ""), "listen"},
		{"no discovery", swap(`"discovery":"127.0.0.1:1",`, ""), "discovery"},
		{"bad admin address", swap(`"seed"`, `"admin":"nowhere","seed"`), "admin"},
		{"bad admin port", swap(`"seed"`, `"admin":"127.0.0.1:http-ish","seed"`), "admin"},
		{"bad seed", swap("8c1f30d27a5be964", "xyz"), "seed"},
		{"few sockets", swap(`"sockets":256`, `"sockets":8`), "sockets"},
		{"no settings", `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1"}`, "no settings"},
		{"bad class", swap(`"idempotency":"free"`, `"idempotency":"maybe"`), "idempotency"},
		{"no attempts", swap(`"max-attempts":4`, `"max-attempts":0`), "max-attempts"},
		{"unknown kind of service", swap(`"settings":{`, `"settings":{"kind-of-service":"ring",`), "kind-of-service"},
		{"a mesh without its number of proxies", mesh(`"balancers":100`, `"balancers":0`), "balancers"},
		{"own number past the last proxy", mesh(`"me":0`, `"me":100`), "me"},
		{"a lower tier in a mesh", mesh(`"stage":0`, `"stage":1`), "stage"},
		{"tiers in a mesh", mesh(`"stage":0`, `"tiers":["a","b"]`), "tiers"},
		{"unknown discovery", swap(`"discovery":"on_request"`, `"discovery":"by letter"`), "discovery"},
		{"unknown group", swap(`"group":"all","idempotency":"guarded"`, `"group":"some","idempotency":"guarded"`), "group"},
		{"settings are null", `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":null}`, "no settings"},
		{"no classes", swap(`"settings":{`, `"settings":{"limits":{"max-attempts":1}},"else":{`), "classes"},
		{"a class that is null", swap(`"classes":[`, `"classes":[null,`), "classes: number 0: name"},
		{"a class twice", swap(`"name":"put"`, `"name":"get"`), `classes: "get": name`},
		{"no deadline", swap(`"give-up-ms":2000`, `"give-up-ms":0`), "give-up-ms"},
		{"a time below zero", swap(`"conn-idle-ms":60000`, `"conn-idle-ms":-1`), "conn-idle-ms"},
		{"a number that overflows", swap(`"conn-idle-ms":60000`, `"conn-idle-ms":1e999`), "conn-idle-ms"},
		{"text for a number", swap(`"cold-from":0.2`, `"cold-from":"much"`), "cold-from"},
		{"warm-up fraction above 1", swap(`"cold-from":0.2`, `"cold-from":1.2`), "cold-from"},
		{"sockets below zero", swap(`"sockets":256`, `"sockets":-1`), "sockets"},
		{"memory below zero", swap(`"memory_mb":192`, `"memory_mb":-1`), "memory_mb"},
		{"cores below zero", swap(`"cores":1.0`, `"cores":-1`), "cores"},
		{"known list is an array", swap(`"known":{`, `"known":[],"else":{`), "known"},
		{"bad known list", swap(`"targets":[]`, `"targets":[{}]`), "known"},
	} {
		for _, command := range []string{"serve", "check"} {
			t.Run(c.name+" "+command, func(t *testing.T) {
				cmd := exec.Command(program, command, writeConfig(t, c.text))
				var out, errs bytes.Buffer
				cmd.Stdout, cmd.Stderr = &out, &errs
				if err := cmd.Run(); err == nil {
					t.Error("exit without an error")
				}
				if text := errs.String(); strings.Count(text, "\n") != 1 || !strings.Contains(text, c.want) {
					t.Errorf("standard error: %q", text)
				}
			})
		}
	}
	if out, err := exec.Command(program, "check", writeConfig(t, good)).Output(); err != nil || string(out) != "ok\n" {
		t.Errorf("check of a valid configuration: %q, %v", out, err)
	}
	if out, err := exec.Command(program, "check", writeConfig(t, goodMesh)).Output(); err != nil || string(out) != "ok\n" {
		t.Errorf("check of a valid mesh configuration: %q, %v", out, err)
	}
	cmd := exec.Command(program, "serve")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH")}
	if out, err := cmd.CombinedOutput(); err == nil || !strings.Contains(string(out), "BALANCER_CONFIG") {
		t.Errorf("without a configuration: %q, %v", out, err)
	}
}

// Environment variables supply values that the configuration leaves out.
func TestEnvironmentVariables(t *testing.T) {
	text := strings.Replace(standin.Config("", "", 256, "null"), `"listen":"","discovery":"",`, "", 1)
	cmd := exec.Command(program, "check", writeConfig(t, text))
	cmd.Env = append(os.Environ(), "BALANCER_LISTEN=127.0.0.1:1", "BALANCER_DISCOVERY=127.0.0.1:2")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Errorf("%s: %v", out, err)
	}
}

// The version command prints the program's name.
func TestVersion(t *testing.T) {
	if out, err := exec.Command(program, "version").Output(); err != nil || !strings.HasPrefix(string(out), "oxbowloft ") {
		t.Errorf("%q, %v", out, err)
	}
}
