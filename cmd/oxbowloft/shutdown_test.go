package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"oxbowloft/internal/standin"
)

// This file tests signals before the program serves, and responses that its death truncates.

// A signal that arrives while the configuration is still being read has its usual effect: the
// platform may stop a process right after its start. The configuration is a named pipe, so that
// reading it takes as long as the test wants.
func TestSignalBeforeServing(t *testing.T) {
	list := standin.ListJSON(1, true)
	for _, signals := range [][]os.Signal{
		{syscall.SIGTERM},
		{syscall.SIGHUP, syscall.SIGTERM},
		{syscall.SIGTERM, syscall.SIGHUP},
	} {
		t.Run(fmt.Sprint(signals), func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "config.json")
			if err := syscall.Mkfifo(path, 0o600); err != nil {
				t.Fatal(err)
			}
			cmd := exec.Command(program, "serve", "--grace", "20ms", path)
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			r := &runningProgram{t: t, cmd: cmd, exited: make(chan error, 1)}
			go func() { r.exited <- cmd.Wait() }()
			pipe, err := os.OpenFile(path, os.O_WRONLY, 0) // once the program has opened it
			if err != nil {
				t.Fatal(err)
			}
			for _, s := range signals {
				r.signal(s)
			}
			io.WriteString(pipe, standin.Config(freeAddr(t), "127.0.0.1:1", 256, list))
			pipe.Close()
			if err := r.wait(); err != nil {
				t.Errorf("exit: %v", err)
			}
		})
	}
}

// When the process dies in the middle of a response that is delimited by the close of the
// connection, the client gets a reset, so that the response does not look complete.
func TestKilledDuringCloseDelimitedResponse(t *testing.T) {
	long := strings.Repeat("x", 200_000)
	b := standin.NewBackend(t, func(c *standin.Call) {
		c.WriteRaw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n30d40\r\n" + long + "\r\n")
		c.Hang()
	})
	r := startWithBackends(t, b)
	c := r.dial()
	c.send(strings.Replace(getRequest(2000), "HTTP/1.1", "HTTP/1.0", 1))
	if _, err := io.ReadFull(c.r, make([]byte, len(long))); err != nil {
		t.Fatal(err)
	}
	r.signal(syscall.SIGKILL)
	r.wait()
	if _, err := io.ReadAll(c.r); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the response ended with %v, want a reset", err)
	}
}
