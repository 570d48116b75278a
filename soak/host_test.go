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

// host is a machine of the fleet and the process on it.
type host struct {
	platformtest.Host
	world *world
	dir   string
	link  *link
	// file is held while the settings file is replaced.
	file sync.Mutex

	mu sync.Mutex
	// process is the one that runs, nil for none, and incarnation counts the starts.
	process     *process
	incarnation int
}

// process is one start of the program.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
	// expected is set before the soak ends the process, and killed before it does so at
	// once.
	expected, killed bool
	err              error
}

func (h *host) settingsFile() string { return filepath.Join(h.dir, "local.toml") }

// address returns an address of the host.
func (h *host) address(port int) string { return joinPort(h.IP, port) }

// writeSettings replaces the settings file as a whole.
func (h *host) writeSettings(text string) error {
	h.file.Lock()
	defer h.file.Unlock()
	next := h.settingsFile() + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "write the settings")
	}
	return errors.Wrap(os.Rename(next, h.settingsFile()), "replace the settings")
}

// start runs the program.
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
	out, err := os.OpenFile(filepath.Join(h.dir, "lines.log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open the log")
	}
	defer out.Close()
	cmd := exec.Command(h.world.program, "--settings", h.settingsFile())
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start "+h.Name)
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	h.process = p
	h.incarnation++
	h.world.note("%s: started, process %d", h.Name, cmd.Process.Pid)
	go h.await(p)
	return nil
}

// await notes the end of a process.
func (h *host) await(p *process) {
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
		h.world.record.find("%s: the process ended by itself: %v", h.Name, err)
	}
}

// running returns the process that runs, or nil.
func (h *host) running() *process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process
}

// started returns how many times the program was started.
func (h *host) started() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.incarnation
}

// expectEnd notes that the soak ends the process.
func (h *host) expectEnd() *process {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		h.process.expected = true
	}
	return h.process
}

// signal sends a signal to the process that the host started.
func (h *host) signal(s syscall.Signal) {
	if p := h.running(); p != nil {
		h.world.note("%s: %s", h.Name, s)
		_ = p.cmd.Process.Signal(s) // a process that has ended needs none
	}
}

// kill ends the process at once.
func (h *host) kill() {
	p := h.expectEnd()
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

// endMargin is how much longer than the grace a process may take to end, for the
// machine's own delays.
const endMargin = 500 * time.Millisecond

// terminate asks the process to end and waits for it. A process must end within
// its grace, without an error.
func (h *host) terminate() {
	p := h.expectEnd()
	if p == nil {
		return
	}
	asked := time.Now()
	h.signal(syscall.SIGTERM)
	select {
	case <-p.done:
		if p.err != nil && !h.wasKilled(p) {
			h.world.record.find("%s: ended after SIGTERM with %v", h.Name, p.err)
		}
	case <-time.After(h.Bounds.Grace + endMargin):
		// A frozen process hears of the signal when it wakes up.
		if h.world.record.wasCalm(h.Name, asked) {
			h.world.record.find("%s: still runs after its grace", h.Name)
		}
		h.kill()
	}
}

// wasKilled reports whether the soak ended a process at once.
func (h *host) wasKilled(p *process) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return p.killed
}

// ready reports whether the host says that it can serve.
func (h *host) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return platformtest.Ready(ctx, h.address(h.Ports.Ready))
}
