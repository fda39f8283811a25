package main

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// runAsNodeVariable is the environment variable that makes the test binary run as the node.
const runAsNodeVariable = "MONSOONLATCH_TEST_AS_NODE"

func TestMain(m *testing.M) {
	if os.Getenv(runAsNodeVariable) != "" {
		main()
	}
	os.Exit(m.Run())
}

// Guards against a SIGHUP that ends a starting node: the signal arrives while the node reads its settings file.
func TestHangupDuringStart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	cmd := exec.Command(os.Args[0], "--file", path)
	cmd.Env = append(os.Environ(), runAsNodeVariable+"=1")
	cmd.Stdout, cmd.Stderr = &out, &out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	// Opening the FIFO for writing blocks until the node has opened it for reading.
	w, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Error(err)
	}
	_, _ = w.WriteString("self = 3\n") // Fails only if the node has ended.
	w.Close()
	var exit *exec.ExitError
	if err := cmd.Wait(); !errors.As(err, &exit) || exit.ExitCode() != exitBadSettings {
		t.Errorf("the node ended with error %v, want exit code %d", err, exitBadSettings)
	}
	if !strings.Contains(out.String(), "remedy") {
		t.Errorf("no remedy in the error message %q", out.String())
	}
}
