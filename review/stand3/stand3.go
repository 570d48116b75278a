//go:build review

// Package stand3 holds what the scripts of review/11 to review/15 share: the metadata store, one
// process of the project on loopback addresses, instances, and the record of a run.
package stand3

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
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

// Authority is the host of all routes.
const Authority = "pedidos.example"

// Limits of the configurations.
var Limits = discovery.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 20 * time.Second}

// Run is one run of a script.
type Run struct {
	Began   time.Time
	Trouble bool
	dir     string
	mu      sync.Mutex
	record  *os.File
	closers []func()
}

// NewRun begins a run whose record.txt stands in the working directory.
func NewRun() *Run {
	record, err := os.Create("record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	return &Run{Began: time.Now(), Trouble: os.Getenv("TROUBLE") != "0", dir: dir, record: record}
}

// Note writes a line to the record, with the seconds since the start.
func (r *Run) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.Began).Seconds(), fmt.Sprintf(format, args...))
}

// OnEnd adds what is to be done at the end of the run.
func (r *Run) OnEnd(f func()) { r.closers = append(r.closers, f) }

// End ends what the run has started, and the program.
func (r *Run) End(code int, format string, args ...any) {
	for i := len(r.closers) - 1; i >= 0; i-- {
		r.closers[i]()
	}
	verdict := map[int]string{Held: "held", Broken: "BROKEN", NotRun: "could not run"}[code]
	r.Note("%s: %s", verdict, fmt.Sprintf(format, args...))
	fmt.Printf("%s: %s\n", verdict, fmt.Sprintf(format, args...))
	_ = os.RemoveAll(r.dir)
	os.Exit(code)
}

// Must ends the run if it cannot go on.
func (r *Run) Must(err error) {
	if err != nil {
		r.End(NotRun, "%v", err)
	}
}

// Deployment is a store and the addresses of one machine.
type Deployment struct {
	run   *Run
	Store *platformtest.Store
	// StoreAddress is the address of the store.
	StoreAddress string
	Host         platformtest.Host
	handler      http.Handler
	storeServer  *http.Server
	cmd          *exec.Cmd
	ended        chan struct{}
}

var nextIP atomic.Int64

// freeIP returns a loopback address on which the given ports and the internal ones are free.
func freeIP(ports ...int) (string, error) {
	for range 200 {
		ip := fmt.Sprintf("127.%d.%d.%d", 40+os.Getpid()%100, 1+nextIP.Add(1), 1+(os.Getpid()/100)%200)
		if allFree(ip, ports) {
			return ip, nil
		}
	}
	return "", fmt.Errorf("no loopback address with free ports")
}

func allFree(ip string, ports []int) bool {
	for _, p := range ports {
		l, err := net.Listen("tcp4", net.JoinHostPort(ip, strconv.Itoa(p)))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

// metricsPort is the port of deploy/system.toml.
const metricsPort = 9464

// Bounds are those of grown/secante-gw-grown.toml.
var Bounds = platformtest.Bounds{
	Drain: 2500 * time.Millisecond, Apply: 2500 * time.Millisecond, Grace: 6 * time.Second, DirectoryTTL: 5 * time.Second,
	Floor: 0.7, RetryRatio: 0.2, MinRetries: 64, RetryWindow: 10 * time.Second,
}

// NewDeployment starts a store behind the given handler, which may be nil, and chooses addresses for one machine.
func (r *Run) NewDeployment(wrap func(http.Handler) http.Handler) *Deployment {
	ports := platformtest.Ports{Callers: 8161, Ready: 8167, Directory: 8164, Control: 8166, Internal: 7720}
	ip, err := freeIP(ports.Callers, ports.Ready, ports.Directory, ports.Control, ports.Internal, ports.Internal+1, metricsPort)
	r.Must(err)
	d := &Deployment{run: r, Store: platformtest.NewStore()}
	l, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	r.Must(err)
	d.StoreAddress = l.Addr().String()
	var h http.Handler = d.Store
	if wrap != nil {
		h = wrap(h)
	}
	d.handler = h
	d.serveStore(l)
	r.OnEnd(func() { d.storeServer.Close() })
	z := zone.Zone{ID: "ar-centro-a", Region: "ar-centro"}
	d.Host = platformtest.Host{
		Name: "edge-ar-centro-a-1", IP: ip, Zone: z, Zones: []zone.Zone{z}, Seeds: []string{ip}, Store: d.StoreAddress,
		Ports: ports, Bounds: Bounds, Contracts: []string{"base", "drain", "config", "cost", "retry", "recover", "health", "platform"},
	}
	return d
}

func (d *Deployment) serveStore(l net.Listener) {
	d.storeServer = &http.Server{Handler: d.handler}
	go d.storeServer.Serve(l)
}

// RefuseStore cuts the machine off from the store: its connections are closed, and new ones refused.
func (d *Deployment) RefuseStore() { _ = d.storeServer.Close() }

// AcceptStore ends that.
func (d *Deployment) AcceptStore() {
	l, err := net.Listen("tcp4", d.StoreAddress)
	d.run.Must(err)
	d.serveStore(l)
}

// Configure writes a configuration and returns when the store has acknowledged it.
func (d *Deployment) Configure(version discovery.Version, routes []discovery.Route, services []string, accounts map[string]platformtest.Account) time.Time {
	data, err := platformtest.EncodeAccounts(version, routes, services, Limits, accounts)
	d.run.Must(err)
	d.Store.Put(platformtest.TableOperator, platformtest.KeyConfiguration, data)
	return time.Now()
}

// Route returns a route to one service.
func Route(name, prefix, service string, idempotent bool) discovery.Route {
	return discovery.Route{
		Name: name, Authority: Authority, Prefix: prefix, Idempotent: idempotent, Attempts: 3, Timeout: 5 * time.Second,
		Objective: 800 * time.Millisecond, Priority: 1, Services: []discovery.WeightedService{{Service: service, Weight: 1}},
	}
}

// Register writes an instance's entry, and again at each heartbeat until the returned function is called.
func (d *Deployment) Register(t discovery.Target) (stop func()) {
	done := make(chan struct{})
	var once sync.Once
	write := func(sequence int) {
		row, err := platformtest.TargetRow(t, sequence)
		d.run.Must(err)
		d.Store.Put(platformtest.TableTargets, t.ID, row)
	}
	write(1)
	go func() {
		for sequence := 2; ; sequence++ {
			select {
			case <-done:
				return
			case <-time.After(1500 * time.Millisecond):
				write(sequence)
			}
		}
	}()
	return func() { once.Do(func() { close(done) }) }
}

// StartHost starts the program with the command of deploy/system.toml.
func (d *Deployment) StartHost(bootstrap bool) {
	d.Host.Bootstrap = bootstrap
	file := filepath.Join(d.run.dir, d.Host.Name+".toml")
	d.run.Must(os.WriteFile(file, []byte(d.Host.SettingsFile()), 0o600))
	program, err := filepath.Abs("../../target/crocushinge-gateway")
	d.run.Must(err)
	log, err := os.Create(filepath.Join(d.run.dir, d.Host.Name+".log"))
	d.run.Must(err)
	cmd := exec.Command(program, "--metrics", strconv.Itoa(metricsPort)+"/metrics")
	cmd.Dir = filepath.Dir(filepath.Dir(program))
	cmd.Env = []string{"CROCUSHINGE_CONFIG=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = log, log
	d.run.Must(cmd.Start())
	d.cmd, d.ended = cmd, make(chan struct{})
	ended := d.ended
	go func() { _ = cmd.Wait(); close(ended) }()
	d.run.OnEnd(func() { _ = cmd.Process.Kill(); <-ended; d.copyLog() })
	d.run.Note("process %d started", cmd.Process.Pid)
}

// AnotherHost returns a second machine of the deployment, on a loopback address of its own.
func (d *Deployment) AnotherHost(n int) *Deployment {
	p := d.Host.Ports
	ip, err := freeIP(p.Callers, p.Ready, p.Directory, p.Control, p.Internal, p.Internal+1, metricsPort)
	d.run.Must(err)
	other := &Deployment{run: d.run, Store: d.Store, StoreAddress: d.StoreAddress, Host: d.Host}
	other.Host.IP, other.Host.Name = ip, fmt.Sprintf("edge-ar-centro-a-%d", n)
	return other
}

// copyLog appends the last lines of the program's log to the record.
func (d *Deployment) copyLog() {
	data, err := os.ReadFile(filepath.Join(d.run.dir, d.Host.Name+".log"))
	if err != nil {
		return
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	if len(lines) > 60 {
		lines = lines[len(lines)-60:]
	}
	d.run.Note("the last lines of the program's log:")
	for _, line := range lines {
		d.run.Note("  %.400s", line)
	}
}

// AwaitEnd waits until the program has ended.
func (d *Deployment) AwaitEnd() { <-d.ended }

// Process returns the program's process, and a channel that is closed when it has ended.
func (d *Deployment) Process() (*os.Process, <-chan struct{}) { return d.cmd.Process, d.ended }

// Signal sends a signal to the program.
func (d *Deployment) Signal(s syscall.Signal) {
	d.run.Note("signal %v", s)
	_ = d.cmd.Process.Signal(s)
}

// Front returns the address for clients.
func (d *Deployment) Front() string {
	return net.JoinHostPort(d.Host.IP, strconv.Itoa(d.Host.Ports.Callers))
}

// AwaitReady waits until the host says that it is ready.
func (d *Deployment) AwaitReady() {
	address := net.JoinHostPort(d.Host.IP, strconv.Itoa(d.Host.Ports.Ready))
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 150 {
		resp, err := client.Get("http://" + address + "/v1/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				d.run.Note("the host is ready")
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	d.run.End(NotRun, "the host is not ready after 15 s")
}

var ids atomic.Int64

// NewID returns the id of a client attempt.
func NewID() string { return fmt.Sprintf("%08x%08x", os.Getpid(), ids.Add(1)) }

// Instance is an instance of a service that answers every request at once, unless Answer is set.
type Instance struct {
	ID, Service, Address string
	// Answer, if set, handles one request on its connection and reports whether the connection stays open.
	Answer func(conn net.Conn, reader *bufio.Reader, r *http.Request, body []byte) bool
	// OnRun is called with each request that the instance runs.
	OnRun func(id string, r *http.Request, body []byte)
}

// StartInstance starts an instance on a loopback address.
func (r *Run) StartInstance(i *Instance, ip string) *Instance {
	l, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	r.Must(err)
	i.Address = l.Addr().String()
	r.OnEnd(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go i.serve(conn)
		}
	}()
	return i
}

func (i *Instance) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Crocushinge-Request-Id")
		if expected := r.Header.Get("X-Crocushinge-Expected-Instance"); expected != "" && expected != i.ID {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Crocushinge-Request-Id: %s\r\nX-Crocushinge-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, i.ID)
			continue
		}
		if i.OnRun != nil {
			i.OnRun(id, r, body)
		}
		if i.Answer != nil {
			if !i.Answer(conn, reader, r, body) {
				return
			}
			continue
		}
		if _, err := io.WriteString(conn, Response(id, "ran at "+i.ID+"\n")); err != nil {
			return
		}
	}
}

// Response returns a success with the signature that an instance sets.
func Response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Crocushinge-Request-Id: %s\r\nX-Crocushinge-Response-Signature: s.%s.%d\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), len(body), body)
}

// Request returns the bytes of a client's request.
func Request(method, path, id, key string, body []byte) []byte {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Crocushinge-Request-Id: %s\r\nX-Crocushinge-Deadline-Ms: 5000\r\n", method, path, Authority, id)
	if key != "" {
		head += "Authorization: Token " + key + "\r\n"
	}
	if method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return append([]byte(head+"\r\n"), body...)
}

// Send sends a request on a new connection and returns the status and the body; 0 without an answer.
func (d *Deployment) Send(request []byte) (status int, body string) {
	conn, err := net.DialTimeout("tcp4", d.Front(), time.Second)
	if err != nil {
		return 0, err.Error()
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(6 * time.Second))
	if _, err := conn.Write(request); err != nil {
		return 0, err.Error()
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}
