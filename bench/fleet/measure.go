package main

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/crocushinge/crocushinge/fleettest"
	"github.com/crocushinge/crocushinge/publish"
)

const (
	// settleTime is how long the benchmark waits for the hosts of a new fleet to
	// learn of each other.
	settleTime = 8 * time.Second
	// spreadTimeout is the maximum time until a change is in force on all hosts.
	// If a change takes longer, the run fails.
	spreadTimeout = 30 * time.Second
	// pollInterval is the time between two checks of the hosts' revisions.
	pollInterval = time.Millisecond
	// directoryRequests is how many requests are sent to the directory.
	directoryRequests = 2000
	// Range, in microseconds, and precision of the histograms.
	longestMicros = 60_000_000
	digits        = 3
)

// result holds the measurements of one fleet.
type result struct {
	hosts int
	// spread holds the times from the acceptance of a change until it is in
	// force on a host, over all hosts and changes.
	spread *hdrhistogram.Histogram
	// directory holds the latencies of requests to the directory.
	directory *hdrhistogram.Histogram
	// control is the bytes per second that one idle host sends to other hosts. On
	// average, a host also receives that many. probes is the bytes per second
	// between one idle host and the targets, in both directions.
	control, probes float64
	// processor is the share of a core that one idle host uses: the processor
	// time of the whole process, with the targets and the benchmark itself,
	// divided by the number of hosts.
	processor float64
	// memory is the size of the heap and the stacks of one host, in bytes.
	memory float64
	// reads is the table reads per second by all hosts.
	reads float64
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, longestMicros, digits) }

// measure runs and measures one fleet.
func measure(hosts, services, changes int, idle time.Duration) (result, error) {
	r := result{hosts: hosts, spread: newHistogram(), directory: newHistogram()}
	before := memoryInUse()
	network := fleettest.NewLoopback(1)
	fleet := fleettest.New(fleettest.Config{
		Network: network, Log: zerolog.Nop(), LeaveTime: time.Millisecond,
	})
	list, err := startTargets(network)
	if err != nil {
		return r, err
	}
	for i := range hosts {
		if err := fleet.Start(hostName(i)); err != nil {
			return r, err
		}
	}
	for i := range services {
		if _, err := publishVersion(fleet, list, i, 0, hostName(i%hosts)); err != nil {
			return r, err
		}
	}
	time.Sleep(settleTime)
	r.measureIdle(fleet, idle)
	r.memory = (memoryInUse() - before) / float64(hosts)
	if err := r.measureSpread(fleet, list, services, changes); err != nil {
		return r, err
	}
	if err := r.measureDirectory(fleet); err != nil {
		return r, err
	}
	return r, closeAll(fleet, list)
}

func hostName(i int) string { return fmt.Sprintf("h%02d", i) }

func startTargets(n *fleettest.Network) ([]*fleettest.Target, error) {
	var list []*fleettest.Target
	for i := range targets {
		t, err := fleettest.StartTarget(n, fmt.Sprint("t", i))
		if err != nil {
			return nil, err
		}
		list = append(list, t)
	}
	return list, nil
}

func closeAll(fleet *fleettest.Fleet, list []*fleettest.Target) error {
	err := fleet.Close()
	for _, t := range list {
		_ = t.Close()
	}
	return err
}

// publishVersion publishes the version after base of a service through a host.
func publishVersion(fleet *fleettest.Fleet, list []*fleettest.Target, service int, base uint64, through string) (publish.Result, error) {
	subject := fmt.Sprintf("service%02d", service)
	result, err := fleet.Publish(context.Background(), through,
		fmt.Sprintf("%s-%d", subject, base), subject, fleettest.Contract(subject, list...), base)
	if err == nil && result.Status != publish.Accepted {
		err = errors.Errorf("proposal not accepted: %+v", result)
	}
	return result, err
}

// measureIdle measures the resource use of the hosts while nothing happens.
func (r *result) measureIdle(fleet *fleettest.Fleet, idle time.Duration) {
	network := fleet.Network
	reads, control, probes := fleet.Reads(), network.Bytes(betweenHosts), network.Bytes(toTargets)
	start, processor := time.Now(), processorTime()
	time.Sleep(idle)
	seconds := time.Since(start).Seconds()
	perHost := seconds * float64(r.hosts)
	r.processor = (processorTime() - processor).Seconds() / perHost
	r.control = float64(network.Bytes(betweenHosts)-control) / perHost
	r.probes = float64(network.Bytes(toTargets)-probes) / perHost
	r.reads = float64(fleet.Reads()-reads) / seconds
}

func isHost(node string) bool { return strings.HasPrefix(node, "h") }

func betweenHosts(from, to string) bool { return isHost(from) && isHost(to) }

func toTargets(from, to string) bool { return isHost(from) != isHost(to) }

// measureSpread publishes changes and measures how long they take to be in force
// on each host.
func (r *result) measureSpread(fleet *fleettest.Fleet, list []*fleettest.Target, services, changes int) error {
	names := fleet.Names()
	for i := range changes {
		base := uint64(1 + i/services)
		accepted, err := publishVersion(fleet, list, i%services, base, names[(i*7)%len(names)])
		if err != nil {
			return err
		}
		if err := r.waitForRevision(fleet, names, accepted.Revision); err != nil {
			return err
		}
	}
	return nil
}

// waitForRevision records for each host the time until the revision is in force.
func (r *result) waitForRevision(fleet *fleettest.Fleet, names []string, revision uint64) error {
	start := time.Now()
	waiting := append([]string(nil), names...)
	for len(waiting) > 0 {
		if time.Since(start) > spreadTimeout {
			return errors.Errorf("revision %d not in force at %v after %s", revision, waiting, spreadTimeout)
		}
		remaining := waiting[:0]
		for _, n := range waiting {
			if fleet.Host(n).Snapshot().Revision >= revision {
				_ = r.spread.RecordValue(max(1, time.Since(start).Microseconds()))
			} else {
				remaining = append(remaining, n)
			}
		}
		waiting = remaining
		time.Sleep(pollInterval)
	}
	return nil
}

// measureDirectory measures the latency of directory requests, sent one after
// the other.
func (r *result) measureDirectory(fleet *fleettest.Fleet) error {
	names := fleet.Names()
	for i := range directoryRequests {
		self := fleet.Host(names[i%len(names)]).Self()
		start := time.Now()
		resp, err := http.Get("http://" + self.APIAddress + "/v1/directory/service00?zone=" + fleettest.Zones[i%len(fleettest.Zones)])
		if err != nil {
			return errors.Wrap(err, "request the directory")
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return errors.Errorf("request the directory: status %s", resp.Status)
		}
		if i >= len(names) { // the first request to each host opens a connection
			_ = r.directory.RecordValue(max(1, time.Since(start).Microseconds()))
		}
	}
	return nil
}

// processorTime returns the processor time of this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memoryInUse returns the bytes of heap in use after a garbage collection, plus
// those of the stacks.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC() // frees what the finalizers of the first collection released
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
