package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/platform/platformtest"
	"github.com/crocushinge/crocushinge/zone"
)

// startWithPipe starts the program with a pipe as its settings, and sends it a signal while it waits for
// them. write ends the wait, and ended gets the result of the process.
func startWithPipe(t *testing.T, signal syscall.Signal, args ...string) (write func(), ended chan error) {
	is := is.New(t)
	pipe := filepath.Join(t.TempDir(), "settings")
	is.NoErr(syscall.Mkfifo(pipe, 0o600))
	cmd := exec.Command(buildProgram(t), append([]string{"--settings", pipe}, args...)...)
	is.NoErr(cmd.Start())
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	ended = make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	time.Sleep(500 * time.Millisecond) // the process opens the pipe
	is.NoErr(cmd.Process.Signal(signal))
	select {
	case err := <-ended:
		t.Fatal("the process has ended: ", err)
	case <-time.After(200 * time.Millisecond):
	}
	return func() {
		a := zone.Zone{ID: "a", Region: "r"}
		settings := platformtest.Host{Name: "h", IP: "127.0.0.1", Zone: a, Zones: []zone.Zone{a}, Store: "127.0.0.1:1", Ports: testPorts, Bounds: testBounds}
		is.NoErr(os.WriteFile(pipe, []byte(settings.SettingsFile()), 0o600))
	}, ended
}

// TestStopSignalWhileStartingIsAPlannedStop guards against a process that is killed by the signal of a
// planned stop because it has just been started.
func TestStopSignalWhileStartingIsAPlannedStop(t *testing.T) {
	is := is.New(t)
	write, ended := startWithPipe(t, syscall.SIGTERM)
	write()
	select {
	case err := <-ended:
		is.NoErr(err)
	case <-time.After(20 * time.Second):
		t.Fatal("the process does not stop")
	}
}

// TestReloadSignalWhileStartingIsNoEnd guards against a process that ends because its settings
// change while it starts. The settings are a pipe, so that the process waits for them.
func TestReloadSignalWhileStartingIsNoEnd(t *testing.T) {
	is := is.New(t)
	write, ended := startWithPipe(t, syscall.SIGHUP, "--check")
	write()
	is.NoErr(<-ended)
}
