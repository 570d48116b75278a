//go:build review

// Five machines of the smallest size serve 1,330 clients, three of which upload large documents. Four
// machines are lost, so that all clients come to the fifth. The platform kills a process whose memory
// exceeds the machine's.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/review/stand3"
)

const (
	machineCount = 5
	memoryMB     = 184      // the smallest machine of the sheets
	bodyLimit    = 67108864 // max_body_bytes of the configurations
	clients      = 1330
	instances    = 195
	slots        = 4
	work         = 290 * time.Millisecond
	pause        = 900 * time.Millisecond // between two requests of a client, on average
	uploadPause  = 200 * time.Millisecond
	lossAt       = 12 * time.Second
	end          = 75 * time.Second
)

// uploadSizes are the sizes of the documents of the uploading clients, in bytes.
var uploadSizes = []int{33 << 20, 8500 << 10, 4250 << 10}

// machine is one machine with its front, and whether it is up.
type machine struct {
	*stand3.Deployment
	up atomic.Bool
}

func rssAnon(pid int) int64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	_, after, _ := strings.Cut(string(data), "RssAnon:")
	fields := strings.Fields(after)
	if len(fields) == 0 {
		return 0
	}
	kb, _ := strconv.ParseInt(fields[0], 10, 64)
	return kb
}

func main() {
	r := stand3.NewRun()
	stand3.Limits.BodyBytes = bodyLimit
	first := r.NewDeployment(nil)
	first.Host.MemoryMB = memoryMB
	machines := []*machine{{Deployment: first}}
	for n := 2; n <= machineCount; n++ {
		machines = append(machines, &machine{Deployment: first.AnotherHost(n)})
	}
	var began sync.Map // ids of requests that an instance runs or has run
	for n := range instances {
		i := r.StartInstance(&stand3.Instance{ID: fmt.Sprintf("i-%d", n), Service: "catalogo-svc",
			OnRun: func(id string, _ *http.Request, _ []byte) { began.Store(id, true) },
			Answer: func(c net.Conn, _ *bufio.Reader, q *http.Request, _ []byte) bool {
				time.Sleep(work)
				_, err := io.WriteString(c, stand3.Response(q.Header.Get("X-Crocushinge-Request-Id"), strings.Repeat("x", 5000)))
				return err == nil
			}}, first.Host.IP)
		first.Register(discovery.Target{ID: i.ID, Born: time.Now().UnixMilli(), Service: i.Service, Address: i.Address, Zone: "ar-centro-a", Slots: slots})
	}
	first.Configure(1, []discovery.Route{stand3.Route("reposicion", "/reposicion/", "catalogo-svc", false)}, []string{"catalogo-svc"}, nil)
	for _, m := range machines {
		m.Host.Seeds = []string{machines[0].Host.IP, machines[1].Host.IP, machines[2].Host.IP}
		m.StartHost(true)
		m.up.Store(true)
	}
	var peak [machineCount]atomic.Int64
	var killed, lost, answered, uploads atomic.Int64
	for n, m := range machines {
		m.AwaitReady()
		// The platform: it kills a process that exceeds the machine's memory.
		process, ended := m.Process()
		go func() {
			for {
				select {
				case <-ended:
					return
				case <-time.After(time.Millisecond):
				}
				kb := rssAnon(process.Pid)
				if kb > peak[n].Load() {
					peak[n].Store(kb)
				}
				if kb > memoryMB<<10 {
					killed.Add(1)
					r.Note("machine %d: process %d has %d kB of anonymous memory, the machine has %d kB: the platform kills it", n+1, process.Pid, kb, memoryMB<<10)
					m.up.Store(false)
					_ = process.Kill()
					return
				}
			}
		}()
	}
	front := func() *machine {
		var up []*machine
		for _, m := range machines {
			if m.up.Load() {
				up = append(up, m)
			}
		}
		if len(up) == 0 {
			return nil
		}
		return up[rand.IntN(len(up))]
	}
	started := time.Now()
	running := func() bool { return time.Since(started) < end && killed.Load() == 0 }
	small := bytes.Repeat([]byte("a"), 1000)
	use := func(m *machine, body []byte, wait time.Duration) {
		conn, err := net.DialTimeout("tcp4", m.Front(), time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			return
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for running() && m.up.Load() {
			id := stand3.NewID()
			_ = conn.SetDeadline(time.Now().Add(6 * time.Second))
			_, err := conn.Write(stand3.Request("POST", "/reposicion/1", id, "", body))
			var resp *http.Response
			if err == nil {
				resp, err = http.ReadResponse(reader, nil)
			}
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
			if err != nil {
				if _, ran := began.Load(id); ran && killed.Load() > 0 {
					lost.Add(1)
					r.Note("request %s was passed on to an instance, and its connection ended without an answer", id)
				}
				return
			}
			answered.Add(1)
			if len(body) > len(small) {
				uploads.Add(1)
				r.Note("upload %s of %d bytes: %d", id, len(body), resp.StatusCode)
			}
			time.Sleep(wait/2 + rand.N(wait))
		}
	}
	var all sync.WaitGroup
	client := func(body []byte, wait time.Duration) {
		for running() {
			if m := front(); m != nil {
				use(m, body, wait)
			}
		}
	}
	for range clients - len(uploadSizes) {
		all.Go(func() { client(small, pause) })
	}
	for _, size := range uploadSizes {
		large := bytes.Repeat([]byte("7790001,12,blotting sheet\n"), size/26)
		all.Go(func() { client(large, uploadPause) })
	}
	time.Sleep(lossAt)
	if r.Trouble && killed.Load() == 0 {
		for _, m := range machines[1:] {
			m.up.Store(false)
			m.Signal(syscall.SIGKILL)
		}
		r.Note("all machines but the first are lost")
	}
	all.Wait()
	time.Sleep(200 * time.Millisecond)
	for n := range peak {
		r.Note("machine %d: at most %d kB of anonymous memory", n+1, peak[n].Load())
	}
	r.Note("%d answers, %d of them to uploads", answered.Load(), uploads.Load())
	if uploads.Load() == 0 && killed.Load() == 0 {
		r.End(stand3.NotRun, "no upload was answered")
	}
	if lost.Load() > 3 {
		r.End(stand3.Broken, "a process exceeded its machine's memory and was killed; %d requests that instances ran have no answer", lost.Load())
	}
	r.End(stand3.Held, "%d answers, %d requests lost", answered.Load(), lost.Load())
}
