//go:build review

// Package harness runs the gateway's processes for the cases of the review, with stand-ins for the
// store, the servers and the clients on loopback addresses.
package harness

import (
	"bufio"
	"context"
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
	"syscall"
	"time"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/platform/platformtest"
	"github.com/crocushinge/crocushinge/zone"
)

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Authority is the host name of all routes.
const Authority = "shop.example"

// Ports are the same for all hosts, since each has a loopback address of its own.
var Ports = platformtest.Ports{Callers: 8161, Ready: 8167, Directory: 8164, Control: 8166, Internal: 7720}

// Bounds are those of the site secante-gw.
var Bounds = platformtest.Bounds{
	Drain: 2 * time.Second, Apply: 2 * time.Second, Grace: 6 * time.Second, DirectoryTTL: 5 * time.Second,
	Floor: 0.7, RetryRatio: 0.2, MinRetries: 64, RetryWindow: 10 * time.Second,
}

// Heartbeat is how often a server writes its entry.
const Heartbeat = 1500 * time.Millisecond

var zones = []zone.Zone{{ID: "a", Region: "r"}, {ID: "b", Region: "r"}, {ID: "c", Region: "r"}}

// Case is one run: its processes, stand-ins and record.
type Case struct {
	// Trouble is false in a run without the disruption.
	Trouble bool
	// Store holds the entries of the servers and the configuration.
	Store *platformtest.Store
	// StoreAddress is where the store listens.
	StoreAddress string
	Hosts        []*Host
	began        time.Time
	program      string
	dir          string
	network      int
	mu           sync.Mutex
	record       *bufio.Writer
	file         *os.File
	broken       []string
}

// Main runs a case in the folder given as the first argument and exits with its result.
func Main(run func(*Case) error) {
	c, err := newCase()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitNotRun)
	}
	err = run(c)
	code := ExitHeld
	switch {
	case err != nil:
		c.Note("the case could not run: %v", err)
		code = ExitNotRun
	case len(c.broken) > 0:
		for _, b := range c.broken {
			c.Note("BROKEN: %s", b)
		}
		code = ExitBroken
	default:
		c.Note("the rule held")
	}
	c.close()
	fmt.Printf("exit %d, %d broken\n", code, len(c.broken))
	os.Exit(code)
}

func newCase() (*Case, error) {
	if len(os.Args) < 2 {
		return nil, fmt.Errorf("usage: %s FOLDER", os.Args[0])
	}
	file, err := os.Create(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs("target/crocushinge-gateway")
	if err != nil {
		return nil, err
	}
	c := &Case{
		Trouble: os.Getenv("TROUBLE") != "0", Store: platformtest.NewStore(), began: time.Now(), program: program, dir: dir,
		network: os.Getpid(), file: file, record: bufio.NewWriter(file),
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c.StoreAddress = l.Addr().String()
	go func() { _ = (&http.Server{Handler: c.Store, ReadHeaderTimeout: time.Second}).Serve(l) }()
	c.Note("disruption: %t", c.Trouble)
	return c, nil
}

// Note adds a line to the record.
func (c *Case) Note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%8.3f ", time.Since(c.began).Seconds())
	fmt.Fprintf(c.record, format+"\n", args...)
}

// Broken records that the rule was broken.
func (c *Case) Broken(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

func (c *Case) close() {
	for _, h := range c.Hosts {
		h.Kill()
	}
	_ = c.record.Flush()
	_ = c.file.Close()
	_ = os.RemoveAll(c.dir)
}

// Host is a process of the gateway.
type Host struct {
	platformtest.Host
	c *Case
	// CPUShare is the host's share of a core.
	CPUShare float64
	settings string
	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
}

// StartHosts starts n hosts for the first time and waits until all are ready. storeFor gives the
// address by which a host reaches the store; nil for the store's own.
func (c *Case) StartHosts(n int, storeFor func(i int) string) error {
	return c.StartUnequalHosts(n, storeFor, func(int) float64 { return 0.32 })
}

// StartUnequalHosts is like StartHosts; cpuShare gives the share of a core of a host.
func (c *Case) StartUnequalHosts(n int, storeFor func(i int) string, cpuShare func(i int) float64) error {
	ip := func(i int) string { return fmt.Sprintf("127.%d.%d.%d", 20+c.network%200, (c.network/200)%250, 1+i) }
	for i := range n {
		h := &Host{c: c, CPUShare: cpuShare(i), settings: filepath.Join(c.dir, fmt.Sprintf("host-%d.toml", i))}
		h.Host = platformtest.Host{
			Name: fmt.Sprintf("edge-%d", i), IP: ip(i), Zone: zones[i%len(zones)], Zones: zones,
			Store: c.StoreAddress, Ports: Ports, Bounds: Bounds,
		}
		if storeFor != nil {
			h.Store = storeFor(i)
		}
		for s := range min(3, n) {
			h.Seeds = append(h.Seeds, ip(s))
		}
		c.Hosts = append(c.Hosts, h)
	}
	for _, h := range c.Hosts {
		if err := h.Start(true); err != nil {
			return err
		}
	}
	for _, h := range c.Hosts {
		if err := h.AwaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	c.Note("%d hosts are ready", n)
	return nil
}

// Start writes the settings and starts the process.
func (h *Host) Start(first bool) error {
	h.Bootstrap = first
	text := strings.Replace(h.SettingsFile(), "cpu_share = 0.32", fmt.Sprintf("cpu_share = %g", h.CPUShare), 1)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return err
	}
	cmd := exec.Command(h.c.program, "--metrics", "9464/metrics")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.c.dir, "CROCUSHINGE_CONFIG=" + h.settings}
	log, err := os.OpenFile(h.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		err := cmd.Wait()
		h.c.Note("%s has ended: %v", h.Name, err)
		close(done)
	}()
	h.mu.Lock()
	h.cmd, h.done = cmd, done
	h.mu.Unlock()
	h.c.Note("%s started as process %d", h.Name, cmd.Process.Pid)
	return nil
}

// Log returns what the process has written so far.
func (h *Host) Log() string {
	text, _ := os.ReadFile(h.settings + ".log")
	return string(text)
}

// Address returns the address of a port of the host.
func (h *Host) Address(port int) string { return net.JoinHostPort(h.IP, strconv.Itoa(port)) }

// AwaitReady waits until the host says that it is ready.
func (h *Host) AwaitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		ready := platformtest.Ready(ctx, h.Address(Ports.Ready))
		cancel()
		if ready {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", h.Name, limit)
}

// Signal sends a signal to the process.
func (h *Host) Signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.c.Note("%s: %s", h.Name, s)
	_ = h.cmd.Process.Signal(s)
}

// Done is closed when the process has ended.
func (h *Host) Done() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.done
}

// Kill ends the process.
func (h *Host) Kill() {
	h.mu.Lock()
	cmd, done := h.cmd, h.done
	h.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	<-done
}

// Configure writes a configuration.
func (c *Case) Configure(version uint64, routes []discovery.Route, services ...string) error {
	limits := discovery.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second}
	data, err := platformtest.EncodeConfiguration(discovery.Version(version), routes, services, limits)
	if err != nil {
		return err
	}
	c.Store.Put(platformtest.TableOperator, platformtest.KeyConfiguration, data)
	c.Note("configuration %d is written", version)
	return nil
}

// Link is a proxy between a host and the store that can be cut: then it passes nothing on, in either
// direction, until it is healed.
type Link struct {
	listen net.Listener
	to     string
	mu     sync.Mutex
	// open is closed while the link is not cut.
	open chan struct{}
}

// NewLink opens a link to an address.
func NewLink(to string) (*Link, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	link := &Link{listen: l, to: to, open: make(chan struct{})}
	close(link.open)
	go link.accept()
	return link, nil
}

// Address returns the address of the link.
func (l *Link) Address() string { return l.listen.Addr().String() }

// Cut cuts the link.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = make(chan struct{})
}

// Heal ends the cut.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.open)
}

func (l *Link) await() {
	l.mu.Lock()
	open := l.open
	l.mu.Unlock()
	<-open
}

func (l *Link) accept() {
	for {
		conn, err := l.listen.Accept()
		if err != nil {
			return
		}
		go func() {
			l.await()
			upstream, err := net.Dial("tcp4", l.to)
			if err != nil {
				_ = conn.Close()
				return
			}
			go l.forward(upstream, conn)
			l.forward(conn, upstream)
		}()
	}
}

// forward copies one direction of a connection until it ends, and closes both sides then.
func (l *Link) forward(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		l.await()
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// Run is a request that a server has begun to work on.
type Run struct {
	Request, Server, Service, Method, Path, Body string
	At                                           time.Time
}

// Answer says how a server answers a request.
type Answer struct {
	Status int
	// Headers are added to those of every answer, and Body is the answer's body.
	Headers []string
	Body    string
	// Work is how long the server works on the request.
	Work time.Duration
	// Refused is set when the server has not run the request.
	Refused bool
	// Raw is sent in place of the answer if it is not empty.
	Raw string
	// Extra is sent after the answer, late: when the next request has come on the connection.
	Extra string
}

// Server is a stand-in for an instance that registers itself in the store.
type Server struct {
	discovery.Target
	c      *Case
	answer func(r *http.Request, body string) Answer
	listen net.Listener
	mu     sync.Mutex
	runs   []Run
	conns  map[net.Conn]bool
	stop   chan struct{}
	once   sync.Once
}

// StartServer starts a server at an address ("127.0.0.1:0" for any) and registers it. It has more slots
// than any case uses, since none depends on its queue.
func (c *Case) StartServer(id, service, address string, zoneIndex int, answer func(*http.Request, string) Answer) (*Server, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &Server{
		Target: discovery.Target{
			ID: id, Born: time.Now().UnixMilli(), Service: service, Address: l.Addr().String(),
			Zone: zones[zoneIndex%len(zones)].ID, Slots: 16,
		},
		c: c, answer: answer, listen: l, conns: make(map[net.Conn]bool), stop: make(chan struct{}),
	}
	go s.accept()
	go s.register()
	return s, nil
}

func (s *Server) register() {
	for sequence := 1; ; sequence++ {
		s.mu.Lock()
		row, err := platformtest.TargetRow(s.Target, sequence)
		s.mu.Unlock()
		if err == nil {
			s.c.Store.Put(platformtest.TableTargets, s.ID, row)
		}
		select {
		case <-s.stop:
			return
		case <-time.After(Heartbeat):
		}
	}
}

// StopHeartbeat ends the writes of the server's entry.
func (s *Server) StopHeartbeat() { s.once.Do(func() { close(s.stop) }) }

// Runs returns what the server has run.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

func (s *Server) accept() {
	for {
		conn, err := s.listen.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go s.serve(conn)
	}
}

// Kill ends the server: its connections are reset and its address is free again.
func (s *Server) Kill() {
	s.StopHeartbeat()
	_ = s.listen.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	extra := ""
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if extra != "" {
			s.c.Note("server %s sends %d additional bytes", s.ID, len(extra))
			if _, err := io.WriteString(conn, extra); err != nil {
				return
			}
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Crocushinge-Request-Id")
		if expected := r.Header.Get("X-Crocushinge-Expected-Instance"); expected != "" && expected != s.ID {
			s.c.Note("server %s refuses %s, meant for %s (421)", s.ID, id, expected)
			if s.write(conn, id, Answer{Status: http.StatusMisdirectedRequest, Refused: true}) != nil {
				return
			}
			continue
		}
		a := s.answer(r, string(body))
		if !a.Refused {
			s.mu.Lock()
			s.runs = append(s.runs, Run{Request: id, Server: s.ID, Service: s.Service, Method: r.Method, Path: r.URL.RequestURI(), Body: string(body), At: time.Now()})
			s.mu.Unlock()
			s.c.Note("server %s runs %s %s %s", s.ID, id, r.Method, r.URL.RequestURI())
		}
		time.Sleep(a.Work)
		if a.Raw != "" {
			s.c.Note("server %s sends %d bytes that are no answer to %s", s.ID, len(a.Raw), id)
			if _, err := io.WriteString(conn, a.Raw); err != nil {
				return
			}
			continue
		}
		if s.write(conn, id, a) != nil {
			return
		}
		extra = a.Extra
		s.c.Note("server %s has answered %s with %d, %d bytes", s.ID, id, a.Status, len(a.Body))
	}
}

func (s *Server) write(conn net.Conn, id string, a Answer) error {
	lines := []string{
		fmt.Sprintf("HTTP/1.1 %d %s", a.Status, http.StatusText(a.Status)), "X-Crocushinge-Request-Id: " + id,
		"Content-Length: " + strconv.Itoa(len(a.Body)), "Keep-Alive: timeout=10",
	}
	if a.Refused {
		lines = append(lines, "X-Crocushinge-Not-Executed: 1")
	} else {
		lines = append(lines, "X-Crocushinge-Response-Signature: "+Signature(id, a.Status, a.Body))
	}
	lines = append(lines, a.Headers...)
	_, err := io.WriteString(conn, strings.Join(lines, "\r\n")+"\r\n\r\n"+a.Body)
	return err
}

// Request is a request of a client.
type Request struct {
	ID, Method, Path, Body string
	// Deadline is how long the client waits.
	Deadline time.Duration
}

// Result is what a client got for a request.
type Result struct {
	Request
	Sent, Ended time.Time
	// Status is 0 if there was no answer.
	Status                    int
	AnswerID, Signature, Body string
	// Close is set when the answer ends the connection.
	Close bool
	Err   error
}

// Send sends a request on a connection.
func (c *Case) Send(conn net.Conn, r Request) error {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Crocushinge-Request-Id: %s\r\nX-Crocushinge-Deadline-Ms: %d\r\n",
		r.Method, r.Path, Authority, r.ID, r.Deadline.Milliseconds())
	if r.Method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(r.Body))
	}
	_, err := io.WriteString(conn, head+"\r\n"+r.Body)
	c.Note("client sends %s %s %s (%v)", r.ID, r.Method, r.Path, err)
	return err
}

// Receive reads the answer to a request.
func (c *Case) Receive(conn net.Conn, in *bufio.Reader, r Request, sent time.Time) Result {
	result := Result{Request: r, Sent: sent}
	_ = conn.SetReadDeadline(sent.Add(r.Deadline + time.Second))
	resp, err := http.ReadResponse(in, &http.Request{Method: r.Method})
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
		result.Status, result.Close, result.Body = resp.StatusCode, resp.Close, string(body)
		result.AnswerID = resp.Header.Get("X-Crocushinge-Request-Id")
		result.Signature = resp.Header.Get("X-Crocushinge-Response-Signature")
	}
	result.Err, result.Ended = err, time.Now()
	c.Note("client got %s: %d, signature %q, %d bytes (%v)", r.ID, result.Status, result.Signature, len(body), err)
	return result
}

// Exchange sends a request and reads its answer.
func (c *Case) Exchange(conn net.Conn, in *bufio.Reader, r Request) Result {
	sent := time.Now()
	if err := c.Send(conn, r); err != nil {
		return Result{Request: r, Sent: sent, Ended: time.Now(), Err: err}
	}
	return c.Receive(conn, in, r, sent)
}

// Signature returns the signature of an answer.
func Signature(id string, status int, body string) string {
	sum := uint64(14695981039346656037)
	for _, b := range []byte(id + "\n" + strconv.Itoa(status) + "\n" + body) {
		sum = (sum ^ uint64(b)) * 1099511628211
	}
	return fmt.Sprintf("%016x", sum)
}
