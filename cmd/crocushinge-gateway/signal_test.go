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

// TestReloadSignalWhileStartingIsNoEnd guards against a process that ends because its settings
// change while it starts. The settings are a pipe, so that the process waits for them.
func TestReloadSignalWhileStartingIsNoEnd(t *testing.T) {
	is := is.New(t)
	pipe := filepath.Join(t.TempDir(), "settings")
	is.NoErr(syscall.Mkfifo(pipe, 0o600))
	cmd := exec.Command(buildProgram(t), "--settings", pipe, "--check")
	is.NoErr(cmd.Start())
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	time.Sleep(500 * time.Millisecond) // the process opens the pipe
	is.NoErr(cmd.Process.Signal(syscall.SIGHUP))
	select {
	case err := <-ended:
		t.Fatal("the process has ended: ", err)
	case <-time.After(200 * time.Millisecond):
	}
	a := zone.Zone{ID: "a", Region: "r"}
	settings := platformtest.Host{Name: "h", IP: "127.0.0.1", Zone: a, Zones: []zone.Zone{a}, Store: "127.0.0.1:1", Ports: testPorts, Bounds: testBounds}
	is.NoErr(os.WriteFile(pipe, []byte(settings.SettingsFile()), 0o600))
	is.NoErr(<-ended)
}
