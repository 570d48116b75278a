//go:build review

// Clients send a further idempotent request before the first one has been answered. The further one
// has a body of some hundred lines of text.
package main

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/review/stand3"
)

const (
	clients = 20
	rounds  = 20
	// bodyBytes is the largest body on the sheets (req_bytes of avis).
	bodyBytes = 24000
)

func main() {
	r := stand3.NewRun()
	d := r.NewDeployment(nil)
	for n := range 6 {
		i := r.StartInstance(&stand3.Instance{ID: "i-" + string(rune('a'+n)), Service: "catalogo-svc"}, d.Host.IP)
		d.Register(discovery.Target{ID: i.ID, Born: time.Now().UnixMilli(), Service: i.Service, Address: i.Address, Zone: "ar-centro-a", Slots: 4})
	}
	d.Configure(1, []discovery.Route{stand3.Route("catalogo", "/catalogo/", "catalogo-svc", true)}, []string{"catalogo-svc"}, nil)
	d.StartHost(true)
	d.AwaitReady()
	time.Sleep(time.Second)
	line := []byte("7790001;blotting sheet 120 g;12;ARS\n")
	body := bytes.Repeat(line, bodyBytes/len(line))
	var mu sync.Mutex
	byStatus := make(map[int]int)
	sent, denied := 0, 0
	count := func(id, method string, status int, text []byte) {
		mu.Lock()
		defer mu.Unlock()
		byStatus[status]++
		if status >= 400 && status < 500 && status != 408 && status != 421 && status != 429 {
			denied++
			r.Note("%s %s of %d bytes: %d %.60q", method, id, len(body), status, text)
		}
	}
	// exchange sends a GET and a PUT on one connection, the PUT before the answer to the GET if there
	// is trouble.
	exchange := func() {
		conn, err := net.DialTimeout("tcp4", d.Front(), time.Second)
		if err != nil {
			return
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(6 * time.Second))
		reader := bufio.NewReader(conn)
		ids := []string{stand3.NewID(), stand3.NewID()}
		methods := []string{http.MethodGet, http.MethodPut}
		requests := [][]byte{
			stand3.Request(methods[0], "/catalogo/precios", ids[0], "", nil),
			stand3.Request(methods[1], "/catalogo/precios", ids[1], "", body),
		}
		mu.Lock()
		sent += 2
		mu.Unlock()
		if r.Trouble {
			go conn.Write(bytes.Join(requests, nil))
		}
		for n := range requests {
			if !r.Trouble {
				if _, err := conn.Write(requests[n]); err != nil {
					return
				}
			}
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				count(ids[n], methods[n], 0, nil)
				return
			}
			text, _ := io.ReadAll(resp.Body)
			count(ids[n], methods[n], resp.StatusCode, text)
			if resp.Close {
				return
			}
		}
	}
	var all sync.WaitGroup
	for range clients {
		all.Go(func() {
			for range rounds {
				exchange()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	all.Wait()
	r.Note("%d requests sent, answers by status (0: none): %v", sent, byStatus)
	if byStatus[http.StatusOK] == 0 {
		r.End(stand3.NotRun, "no request was served: %v", byStatus)
	}
	if allowed := 5 + sent/500; denied > allowed {
		r.End(stand3.Broken, "%d of %d proper requests were denied, at most %d are allowed: %v", denied, sent, allowed, byStatus)
	}
	r.End(stand3.Held, "%d requests: %v", sent, byStatus)
}
