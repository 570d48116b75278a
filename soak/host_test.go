package soak

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/platform/platformtest"
)

// host is a host of the fleet: its address, settings and files, and its process.
type host struct {
	platformtest.Host
	deployment *deployment
	dir        string
	link       *link
	// settingsMu is held while the settings file is replaced.
	settingsMu sync.Mutex

	mu sync.Mutex
	// process is the running process, nil if there is none. incarnation counts the starts.
	process     *process
	incarnation int
}

// process is a process of the program under test.
type process struct {
	cmd *exec.Cmd
	// done is closed when the process has ended.
	done chan struct{}
	// expected is set before the soak test ends the process, and killed before it does so
	// by SIGKILL.
	expected, killed bool
	// err is the result of the process; it is set before done is closed.
	err error
}

func (h *host) settingsFile() string { return filepath.Join(h.dir, "local.toml") }

// address returns the "ip:port" address of a port of the host.
func (h *host) address(port int) string { return joinPort(h.IP, port) }

// writeSettings replaces the settings file by a rename, so that the program never reads
// half of it.
func (h *host) writeSettings(text string) error {
	h.settingsMu.Lock()
	defer h.settingsMu.Unlock()
	next := h.settingsFile() + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "write the settings")
	}
	return errors.Wrap(os.Rename(next, h.settingsFile()), "replace the settings")
}

// start writes the settings and starts the program unless it runs. The first start of a
// deployment bootstraps the fleet.
func (h *host) start(first bool) error {
	h.Bootstrap = first
	if err := h.writeSettings(h.SettingsFile()); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		return nil
	}
	out, err := os.OpenFile(filepath.Join(h.dir, "host.log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open the log")
	}
	defer out.Close()
	cmd := exec.Command(h.deployment.program, "--settings", h.settingsFile())
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start "+h.Name)
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	h.process = p
	h.incarnation++
	h.deployment.note("%s: started, process %d", h.Name, cmd.Process.Pid)
	go h.awaitExit(p)
	return nil
}

// awaitExit waits until a process has ended, which is a violation unless the soak test
// ended it.
func (h *host) awaitExit(p *process) {
	err := p.cmd.Wait()
	h.mu.Lock()
	p.err = err
	expected := p.expected
	if h.process == p {
		h.process = nil
	}
	h.mu.Unlock()
	close(p.done)
	if !expected {
		h.deployment.record.addViolation("%s: the process exited unexpectedly: %v", h.Name, err)
	}
}

// running returns the running process, or nil.
func (h *host) running() *process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process
}

// startCount returns how often the program was started.
func (h *host) startCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.incarnation
}

// expectExit marks the end of the running process as expected, and returns the process.
func (h *host) expectExit() *process {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		h.process.expected = true
	}
	return h.process
}

// signal sends a signal to the running process, if there is one.
func (h *host) signal(s syscall.Signal) {
	if p := h.running(); p != nil {
		h.deployment.note("%s: %s", h.Name, s)
		_ = p.cmd.Process.Signal(s) // fails if the process has just ended
	}
}

// kill ends the process by SIGKILL and waits until it has ended. A frozen process is
// resumed first.
func (h *host) kill() {
	p := h.expectExit()
	if p == nil {
		return
	}
	h.mu.Lock()
	p.killed = true
	h.mu.Unlock()
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	<-p.done
}

// exitMargin is how much longer than its grace period a process may take to exit, to
// allow for delays of the machine.
const exitMargin = 500 * time.Millisecond

// terminate sends SIGTERM and waits until the process has ended. A process must exit
// within its grace period and with status 0.
func (h *host) terminate() {
	p := h.expectExit()
	if p == nil {
		return
	}
	asked := time.Now()
	h.signal(syscall.SIGTERM)
	select {
	case <-p.done:
		if p.err != nil && !h.wasKilled(p) {
			h.deployment.record.addViolation("%s: exited after SIGTERM with %v", h.Name, p.err)
		}
	case <-time.After(h.Bounds.Grace + exitMargin):
		// A process that was frozen meanwhile handles the signal only after it is resumed.
		if h.deployment.record.undisturbedSince(h.Name, asked) {
			h.deployment.record.addViolation("%s: still running after its grace period", h.Name)
		}
		h.kill()
	}
}

// wasKilled reports whether the soak test ended a process by SIGKILL.
func (h *host) wasKilled(p *process) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return p.killed
}

// ready reports whether the readiness endpoint of the host says that it is ready.
func (h *host) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return platformtest.Ready(ctx, h.address(h.Ports.Ready))
}
