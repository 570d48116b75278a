package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// workers is how many requests of a caller may be under way at once.
const workers = 256

// backlog is how many requests may wait for a worker.
const backlog = 1 << 16

// caller sends requests to one service.
type caller struct {
	addresses []string
	key       string
	client    *http.Client
	next      atomic.Uint64
}

func newCaller(addresses []string, key string) *caller {
	return &caller{addresses: addresses, key: key, client: &http.Client{
		Timeout:   5 * time.Second,
		Transport: &http.Transport{MaxIdleConnsPerHost: workers, DisableCompression: true},
	}}
}

// load sends requests at a constant rate, however long their answers take, and
// records each latency from the moment at which the request was due.
func (c *caller) load(rate float64, length time.Duration, into *hdrhistogram.Histogram) (sent, failed int64) {
	due := make(chan time.Time, backlog)
	histograms := make([]*hdrhistogram.Histogram, workers)
	var failures atomic.Int64
	var group sync.WaitGroup
	for i := range histograms {
		histograms[i] = newHistogram()
		group.Go(func() {
			for at := range due {
				if c.call() != nil {
					failures.Add(1)
				}
				_ = histograms[i].RecordValue(max(lowestLatency, int64(time.Since(at))))
			}
		})
	}
	start := time.Now()
	n := int64(rate * length.Seconds())
	for i := range n {
		at := start.Add(time.Duration(float64(i) / rate * float64(time.Second)))
		time.Sleep(time.Until(at))
		due <- at
	}
	close(due)
	group.Wait()
	for _, h := range histograms {
		into.Merge(h)
	}
	return n, failures.Load()
}

// call sends one request and reads the whole answer.
func (c *caller) call() error {
	address := c.addresses[c.next.Add(1)%uint64(len(c.addresses))]
	request, err := http.NewRequest(http.MethodGet, "http://"+address+"/bench/1", nil)
	if err != nil {
		return err
	}
	if c.key != "" {
		request.Header.Set("Crocushinge-Key", c.key)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("status %s", response.Status)
	}
	return nil
}

// clockTick is the unit of processor time in /proc.
const clockTick = 10 * time.Millisecond

// Fields of /proc/PID/stat behind the name of the command.
const (
	fieldUserTime   = 11
	fieldSystemTime = 12
)

// processTime returns the processor time that a process has used.
func processTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "processor time of the host")
	}
	_, behind, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(behind)
	if len(fields) <= fieldSystemTime {
		return 0, errors.Errorf("processor time of the host: %q", data)
	}
	var ticks int64
	for _, i := range []int{fieldUserTime, fieldSystemTime} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return 0, errors.Wrap(err, "processor time of the host")
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick, nil
}

func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Join(strings.Fields(string(data))[:3], " ")
}
