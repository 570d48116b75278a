//go:build review

// Command memory lets many users come at once to hosts that hold two large bodies each, and does what
// the platform does to a process that exceeds its memory.
package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"

	"golang.org/x/time/rate"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/platform/platformtest"
	"github.com/crocushinge/crocushinge/review/lab2"
)

// The machines are those of secante-gw: 284 MB, 4,100 descriptors, 1,000 Mbit/s.
const (
	memoryMB    = 284
	uploadBytes = 115_000_000 // a second, nine tenths of the link
	hosts       = 2
	targets     = 12
	slots       = 24
	authority   = "ficu95.example"
	path        = "/pufi791/2f"
	work        = 150 * time.Millisecond
	timeout     = 2500 * time.Millisecond
	deadline    = 5 * time.Second
	smallBytes  = 1200
	// largeBytes is about half of max_body_bytes. Two such bodies fit in what a host sets aside.
	largeBytes = 34_000_000
	uploads    = 2
	// clients are the usual ones of each host, and burst is how many times as many come at once.
	clients     = 700
	burst       = 2.5
	burstTime   = 6 * time.Second
	burstPause  = 3 * time.Second
	requestGap  = 2 * time.Second
	length      = 100 * time.Second
	restartWait = time.Second
	// lostLimit is how many requests a machine may pass on and lose (LOST).
	lostLimit = 3
)

type run struct {
	lab *lab2.Lab
	mu  sync.Mutex
	// cut holds the requests whose connection ended without an answer, by host, with the time.
	cut      map[*lab2.Host]map[string]time.Time
	statuses map[int]int
	kills    map[*lab2.Host][]time.Time
	peak     map[*lab2.Host]int
	number   int
}

func main() { os.Exit(play()) }

func play() int {
	l, err := lab2.New(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return lab2.NotRun
	}
	defer l.Close()
	if err := deploy(l); err != nil {
		l.Note("%v", err)
		fmt.Println(err)
		return lab2.NotRun
	}
	r := &run{
		lab: l, cut: make(map[*lab2.Host]map[string]time.Time), statuses: make(map[int]int),
		kills: make(map[*lab2.Host][]time.Time), peak: make(map[*lab2.Host]int),
	}
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var group sync.WaitGroup
	for _, h := range l.Hosts {
		r.cut[h] = make(map[string]time.Time)
		group.Go(func() { r.platform(ctx, h, cancel) })
		link := rate.NewLimiter(uploadBytes, 65536)
		group.Go(func() { r.upload(ctx, h, link) })
		for range clients {
			group.Go(func() { r.client(ctx, h) })
		}
		if lab2.Trouble() {
			group.Go(func() { r.bursts(ctx, h) })
		}
	}
	group.Wait()
	return r.judge()
}

func deploy(l *lab2.Lab) error {
	lab2.MemoryMB = memoryMB
	for i := range targets {
		if _, err := l.StartTarget(i, "checkout-svc", slots, platformtest.TargetBehavior{MeanDuration: work}); err != nil {
			return err
		}
	}
	route := discovery.Route{
		Name: "pedido", Authority: authority, Prefix: "/pufi791/", Attempts: 2, Timeout: timeout, Objective: 800 * time.Millisecond,
		Services: []discovery.WeightedService{{Service: "checkout-svc", Weight: 1}},
	}
	if err := l.Configure(7, []discovery.Route{route}, []string{"checkout-svc"}); err != nil {
		return err
	}
	return l.StartHosts(hosts, []string{"base", "drain", "config", "cost", "retry", "recover", "health", "platform"})
}

var resident = regexp.MustCompile(`VmRSS:\s+(\d+) kB`)

// platform kills a process that exceeds its memory, and starts it again. It counts resident pages
// only, not what the kernel holds for its connections.
func (r *run) platform(ctx context.Context, h *lab2.Host, end func()) {
	for ctx.Err() == nil {
		time.Sleep(3 * time.Millisecond)
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.Pid()))
		match := resident.FindSubmatch(status)
		if err != nil || match == nil {
			continue
		}
		kb, _ := strconv.Atoi(string(match[1]))
		r.mu.Lock()
		r.peak[h] = max(r.peak[h], kb>>10)
		r.mu.Unlock()
		if kb <= memoryMB<<10 {
			continue
		}
		r.lab.Note("%s: holds %d kB, more than memory_mb %d", h.Name, kb, memoryMB)
		at := h.Signal(syscall.SIGKILL)
		<-h.Exited()
		r.mu.Lock()
		r.kills[h] = append(r.kills[h], at)
		r.mu.Unlock()
		time.Sleep(restartWait)
		_ = h.Start()
		time.AfterFunc(2*time.Second, end)
	}
}

func (r *run) nextID(kind string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.number++
	return fmt.Sprintf("%s-%d", kind, r.number)
}

// send sends a request on a kept connection and reads the response. It reports whether the
// connection can be used again.
func (r *run) send(h *lab2.Host, conn net.Conn, reader *bufio.Reader, id string, body io.Reader, size int) bool {
	_ = conn.SetDeadline(time.Now().Add(deadline))
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Crocushinge-Request-Id: %s\r\nX-Crocushinge-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		path, authority, id, deadline.Milliseconds(), size)
	_, err := io.WriteString(conn, head)
	if err == nil {
		_, err = io.Copy(conn, body)
	}
	var resp *http.Response
	if err == nil {
		if resp, err = http.ReadResponse(reader, nil); err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
	}
	status := 0
	if resp != nil {
		status = resp.StatusCode
	}
	r.lab.Note("request %s to %s, %d bytes: status %d, %v", id, h.Name, size, status, err)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.cut[h][id] = time.Now()
		return false
	}
	r.statuses[resp.StatusCode]++
	return !resp.Close
}

// zeros is a body of a client's request.
type zeros struct{ left int }

func (z *zeros) Read(p []byte) (int, error) {
	if z.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), z.left)
	clear(p[:n])
	z.left -= n
	return n, nil
}

// paced is a body that takes its share of the machine's link.
type paced struct {
	io.Reader
	link *rate.Limiter
}

func (b paced) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p[:min(len(p), 65536)])
	_ = b.link.WaitN(context.Background(), n)
	return n, err
}

// client sends small requests on kept connections.
func (r *run) client(ctx context.Context, h *lab2.Host) {
	time.Sleep(rand.N(requestGap / 2))
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp4", h.Address(), time.Second)
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		reader := bufio.NewReader(conn)
		for ctx.Err() == nil && r.send(h, conn, reader, r.nextID("small"), &zeros{smallBytes}, smallBytes) {
			select {
			case <-ctx.Done():
			case <-time.After(requestGap/2 + rand.N(requestGap)):
			}
		}
		_ = conn.Close()
	}
}

// upload sends large requests, two at a time.
func (r *run) upload(ctx context.Context, h *lab2.Host, link *rate.Limiter) {
	for ctx.Err() == nil {
		var both sync.WaitGroup
		for range uploads {
			both.Go(func() {
				conn, err := net.DialTimeout("tcp4", h.Address(), time.Second)
				if err != nil {
					time.Sleep(200 * time.Millisecond)
					return
				}
				defer conn.Close()
				r.send(h, conn, bufio.NewReader(conn), r.nextID("large"), paced{&zeros{largeBytes}, link}, largeBytes)
			})
		}
		both.Wait()
	}
}

// bursts lets more clients come at once, for burstTime, again and again.
func (r *run) bursts(ctx context.Context, h *lab2.Host) {
	for ctx.Err() == nil {
		time.Sleep(burstPause)
		r.lab.Note("%s: a burst of %.1f times the clients", h.Name, burst)
		most, cancel := context.WithTimeout(ctx, burstTime)
		var group sync.WaitGroup
		for range int((burst - 1) * clients) {
			group.Go(func() { r.client(most, h) })
		}
		group.Wait()
		cancel()
	}
}

// judge counts the requests that a host had passed on to a target from a kept connection when it
// exceeded its memory, and whose connection ended without an answer.
func (r *run) judge() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	broken := false
	for _, h := range r.lab.Hosts {
		lost := 0
		for id, at := range r.cut[h] {
			ran := false
			for _, a := range r.lab.Arrivals(id) {
				ran = ran || !a.Refused
			}
			for _, kill := range r.kills[h] {
				if ran && at.After(kill) && at.Before(kill.Add(restartWait)) {
					lost++
					r.lab.Note("LOST: %s at %s", id, h.Name)
				}
			}
		}
		broken = broken || lost > lostLimit
		line := fmt.Sprintf("%s: peak %d MB of %d, over its memory %d times, %d requests passed on and lost", h.Name, r.peak[h], memoryMB, len(r.kills[h]), lost)
		r.lab.Note("%s", line)
		fmt.Println(line)
	}
	r.lab.Note("answers by status: %v", r.statuses)
	switch {
	case r.statuses[http.StatusOK] == 0:
		return lab2.NotRun
	case broken:
		return lab2.Broken
	default:
		return lab2.Held
	}
}
