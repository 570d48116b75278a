//go:build review

// Package lab2 starts a small deployment for the scripts of the second review: hosts as processes
// of their own, and stand-ins for the store, the operator and the targets.
package lab2

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/platform/platformtest"
	"github.com/crocushinge/crocushinge/zone"
)

// Exit codes of a script.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Ports are the ports of each host. Each host has a loopback address of its own.
var Ports = platformtest.Ports{Callers: 8161, Ready: 8167, Directory: 8164, Control: 8166, Internal: 7720}

// Bounds are those of the sheet of mbmt-gateway-grown, with the retry slack of 48 machines.
var Bounds = platformtest.Bounds{
	Drain: 2500 * time.Millisecond, Apply: 2500 * time.Millisecond, Grace: 6 * time.Second, DirectoryTTL: 5 * time.Second,
	Floor: 0.7, RetryRatio: 0.2, MinRetries: 64, RetryWindow: 10 * time.Second,
	QuotaWindow: 5 * time.Second, QuotaOverage: 0.1, QuotaSlack: 20,
}

// Heartbeat is how often a target writes its entry.
const Heartbeat = 1500 * time.Millisecond

const metricsPort = 9464

// Lab is a small deployment.
type Lab struct {
	Store   *platformtest.Store
	Hosts   []*Host
	Zone    zone.Zone
	began   time.Time
	program string
	dir     string
	network string
	store   string
	server  *http.Server

	mu       sync.Mutex
	record   *os.File
	arrivals map[string][]platformtest.Arrival
	stops    []func()
}

// New starts the store. The record is written to the given file.
func New(record string) (*Lab, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs("target/crocushinge-gateway")
	if err != nil {
		return nil, err
	}
	l := &Lab{
		Store: platformtest.NewStore(), Zone: zone.Zone{ID: "qld-a", Region: "au-qld"},
		began: time.Now(), program: program, dir: dir, record: f,
		network:  fmt.Sprintf("127.%d.%d.", 100+rand.IntN(100), rand.IntN(250)),
		arrivals: make(map[string][]platformtest.Arrival),
	}
	listener, err := net.Listen("tcp4", l.network+"200:0")
	if err != nil {
		return nil, err
	}
	l.server = &http.Server{Handler: l.Store}
	go func() { _ = l.server.Serve(listener) }()
	l.stops = append(l.stops, func() { _ = l.server.Close() })
	l.Note("store at %s", listener.Addr())
	go l.closeOnSignal()
	l.store = listener.Addr().String()
	return l, nil
}

// MemoryMB is the memory of the machines of the hosts.
var MemoryMB = 536

// closeOnSignal ends the processes if the script is told to end.
func (l *Lab) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	l.Close()
	os.Exit(NotRun)
}

// Note writes a line to the record.
func (l *Lab) Note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%9.3f "+format+"\n", append([]any{time.Since(l.began).Seconds()}, args...)...)
}

// At returns a time as seconds since the start.
func (l *Lab) At(t time.Time) float64 { return t.Sub(l.began).Seconds() }

// Host is a host of the fleet and its process.
type Host struct {
	platformtest.Host
	lab  *Lab
	file string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// Address returns the address for callers.
func (h *Host) Address() string { return net.JoinHostPort(h.IP, strconv.Itoa(Ports.Callers)) }

// DirectoryAddress returns the address of the directory.
func (h *Host) DirectoryAddress() string {
	return net.JoinHostPort(h.IP, strconv.Itoa(Ports.Directory))
}

// StartHosts starts a fleet of n hosts for the first time and waits until all are ready.
func (l *Lab) StartHosts(n int, contracts []string) error {
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, l.network+strconv.Itoa(10+i))
	}
	for i := range n {
		h := &Host{lab: l, file: filepath.Join(l.dir, fmt.Sprintf("host-%d.toml", i)), Host: platformtest.Host{
			Name: fmt.Sprintf("edge-qld-a-%d", i+1), IP: l.network + strconv.Itoa(10+i), Zone: l.Zone, Zones: []zone.Zone{l.Zone},
			Seeds: seeds, Store: l.store, Ports: Ports, Bounds: Bounds, Bootstrap: true, MemoryMB: MemoryMB, Contracts: contracts,
		}}
		l.Hosts = append(l.Hosts, h)
		if err := h.Start(); err != nil {
			return err
		}
	}
	for _, h := range l.Hosts {
		if !h.AwaitReady(15 * time.Second) {
			return fmt.Errorf("%s is not ready", h.Name)
		}
	}
	time.Sleep(2 * time.Second) // hosts learn of each other
	return nil
}

// Start starts the program with the command of the deploy file.
func (h *Host) Start() error {
	if err := os.WriteFile(h.file, []byte(h.SettingsFile()), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(h.file+".log", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(h.lab.program, "--metrics", strconv.Itoa(metricsPort)+"/metrics")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CROCUSHINGE_CONFIG=" + h.file}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.exited = cmd, exited
	h.mu.Unlock()
	h.lab.Note("%s: started at %s", h.Name, h.IP)
	go func() {
		err := cmd.Wait()
		h.lab.Note("%s: ended: %v", h.Name, err)
		close(exited)
	}()
	return nil
}

// AwaitReady waits until the host says that it is ready.
func (h *Host) AwaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		ready := platformtest.Ready(ctx, net.JoinHostPort(h.IP, strconv.Itoa(Ports.Ready)))
		cancel()
		if ready {
			return true
		}
	}
	return false
}

// Signal sends a signal to the process.
func (h *Host) Signal(s syscall.Signal) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lab.Note("%s: %s", h.Name, s)
	at := time.Now()
	_ = h.cmd.Process.Signal(s)
	return at
}

// Exited is closed when the process has ended.
func (h *Host) Exited() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.exited
}

// Log returns the lines that the host has written.
func (h *Host) Log() string {
	data, _ := os.ReadFile(h.file + ".log")
	return string(data)
}

// Target is a target and its entry in the store.
type Target struct {
	*platformtest.Target
	lab *Lab

	mu       sync.Mutex
	entry    discovery.Target
	sequence int
	stop     chan struct{}
}

// StartTarget starts a target at an address of its own and registers it.
func (l *Lab) StartTarget(index int, service string, slots int, behavior platformtest.TargetBehavior) (*Target, error) {
	listener, err := net.Listen("tcp4", fmt.Sprintf("%s%d:0", l.network, 100+index))
	if err != nil {
		return nil, err
	}
	entry := discovery.Target{
		ID: fmt.Sprintf("i-%08x", rand.Uint32()), Born: time.Now().UnixMilli(), Service: service,
		Address: listener.Addr().String(), Zone: l.Zone.ID, Slots: slots,
	}
	t := &Target{lab: l, entry: entry, stop: make(chan struct{})}
	t.Target = platformtest.StartTarget(listener, entry, behavior, l.arrived)
	t.register()
	go func() {
		ticker := time.NewTicker(Heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				t.register()
			case <-t.stop:
				return
			}
		}
	}()
	l.Note("target %s of %s at %s, %d slots", entry.ID, service, entry.Address, slots)
	return t, nil
}

func (t *Target) register() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	value, err := platformtest.TargetRow(t.entry, t.sequence)
	if err == nil {
		t.lab.Store.Put(platformtest.TableTargets, t.entry.ID, value)
	}
}

func (l *Lab) arrived(a platformtest.Arrival) {
	l.mu.Lock()
	l.arrivals[a.Request] = append(l.arrivals[a.Request], a)
	l.mu.Unlock()
	l.Note("request %s at %s: refused %t", a.Request, a.Target, a.Refused)
}

// Arrivals returns the arrivals of a request at targets.
func (l *Lab) Arrivals(request string) []platformtest.Arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.arrivals[request]
}

// Configure writes a configuration as the operator.
func (l *Lab) Configure(version discovery.Version, routes []discovery.Route, services []string) error {
	limits := discovery.Limits{HeaderBytes: 16384, BodyBytes: 64 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second}
	data, err := platformtest.EncodeConfiguration(version, routes, services, limits)
	if err != nil {
		return err
	}
	l.Store.Put(platformtest.TableOperator, platformtest.KeyConfiguration, data)
	l.Note("configuration %d", version)
	return nil
}

// Close ends all processes and stand-ins, and removes the temporary folder.
func (l *Lab) Close() {
	for _, h := range l.Hosts {
		h.mu.Lock()
		if h.cmd != nil {
			_ = h.cmd.Process.Kill()
			<-h.exited
		}
		h.mu.Unlock()
	}
	for _, stop := range l.stops {
		stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	}
	_ = l.record.Close()
}

// Dir returns the folder of the settings and logs.
func (l *Lab) Dir() string { return l.dir }

// Trouble reports whether the disruption is wanted.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Pid returns the process id of the running process.
func (h *Host) Pid() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cmd.Process.Pid
}

// Address returns the loopback address with the given last number.
func (l *Lab) Address(last int) string { return l.network + strconv.Itoa(last) }

// Register writes the entry of a target that the script serves itself.
func (l *Lab) Register(entry discovery.Target) {
	if value, err := platformtest.TargetRow(entry, 1); err == nil {
		l.Store.Put(platformtest.TableTargets, entry.ID, value)
	}
}
