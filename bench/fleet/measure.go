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
	// settle is the time for a new fleet to find itself.
	settle = 8 * time.Second
	// spreadLimit is how long a change may take before the run fails.
	spreadLimit = 30 * time.Second
	// sampleTime is the time between two looks at the hosts' revisions.
	sampleTime = time.Millisecond
	// questions is how many directory questions are timed.
	questions = 2000
	// histogram limits, in microseconds.
	longest = 60_000_000
	digits  = 3
)

// result is what was measured of one fleet.
type result struct {
	hosts int
	// spread is the time from acceptance to in force, over hosts and changes.
	spread *hdrhistogram.Histogram
	// directory is the time of a directory answer.
	directory *hdrhistogram.Histogram
	// control and probes are the bytes a second that one host sends to hosts,
	// and exchanges with targets, at rest. A host receives from hosts as many
	// as it sends.
	control, probes float64
	// processor is the share of a core of one host at rest, with its part of
	// the targets and of the harness.
	processor float64
	// memory is the heap and stacks of one host, in bytes.
	memory float64
	// reads is the reads of the table a second by all hosts.
	reads float64
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, longest, digits) }

// measure runs one fleet.
func measure(hosts, services, changes int, idle time.Duration) (result, error) {
	r := result{hosts: hosts, spread: newHistogram(), directory: newHistogram()}
	before := heap()
	network := fleettest.NewLoopback(1)
	fleet := fleettest.New(fleettest.Config{
		Network: network, Log: zerolog.Nop(), LeaveTime: time.Millisecond,
	})
	list, err := startTargets(network)
	if err != nil {
		return r, err
	}
	for i := range hosts {
		if err := fleet.Start(name(i)); err != nil {
			return r, err
		}
	}
	for i := range services {
		if _, err := change(fleet, list, i, 0, name(i%hosts)); err != nil {
			return r, err
		}
	}
	time.Sleep(settle)
	r.rest(fleet, idle)
	r.memory = (heap() - before) / float64(hosts)
	if err := r.spreadChanges(fleet, list, services, changes); err != nil {
		return r, err
	}
	if err := r.askDirectory(fleet); err != nil {
		return r, err
	}
	return r, finish(fleet, list)
}

func name(i int) string { return fmt.Sprintf("h%02d", i) }

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

func finish(fleet *fleettest.Fleet, list []*fleettest.Target) error {
	err := fleet.Close()
	for _, t := range list {
		_ = t.Close()
	}
	return err
}

// change publishes a version of a service through a host.
func change(fleet *fleettest.Fleet, list []*fleettest.Target, service int, base uint64, through string) (publish.Result, error) {
	subject := fmt.Sprintf("service%02d", service)
	result, err := fleet.Publish(context.Background(), through,
		fmt.Sprintf("%s-%d", subject, base), subject, fleettest.Contract(subject, list...), base)
	if err == nil && result.Status != publish.Accepted {
		err = errors.Errorf("proposal: %+v", result)
	}
	return result, err
}

// rest measures what the hosts spend while nothing happens.
func (r *result) rest(fleet *fleettest.Fleet, idle time.Duration) {
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

func isHost(place string) bool { return strings.HasPrefix(place, "h") }

func betweenHosts(from, to string) bool { return isHost(from) && isHost(to) }

func toTargets(from, to string) bool { return isHost(from) != isHost(to) }

// spreadChanges times changes from their acceptance to each host.
func (r *result) spreadChanges(fleet *fleettest.Fleet, list []*fleettest.Target, services, changes int) error {
	names := fleet.Names()
	for i := range changes {
		base := uint64(1 + i/services)
		accepted, err := change(fleet, list, i%services, base, names[(i*7)%len(names)])
		if err != nil {
			return err
		}
		if err := r.awaitRevision(fleet, names, accepted.Revision); err != nil {
			return err
		}
	}
	return nil
}

func (r *result) awaitRevision(fleet *fleettest.Fleet, names []string, revision uint64) error {
	start := time.Now()
	waiting := append([]string(nil), names...)
	for len(waiting) > 0 {
		if time.Since(start) > spreadLimit {
			return errors.Errorf("revision %d not in force at %v after %s", revision, waiting, spreadLimit)
		}
		left := waiting[:0]
		for _, n := range waiting {
			if fleet.Host(n).Snapshot().Revision >= revision {
				_ = r.spread.RecordValue(max(1, time.Since(start).Microseconds()))
			} else {
				left = append(left, n)
			}
		}
		waiting = left
		time.Sleep(sampleTime)
	}
	return nil
}

// askDirectory times answers of the directory, one after the other.
func (r *result) askDirectory(fleet *fleettest.Fleet) error {
	names := fleet.Names()
	for i := range questions {
		self := fleet.Host(names[i%len(names)]).Self()
		start := time.Now()
		resp, err := http.Get("http://" + self.APIAddress + "/v1/directory/service00?zone=" + fleettest.Zones[i%len(fleettest.Zones)])
		if err != nil {
			return errors.Wrap(err, "directory")
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return errors.Errorf("directory: %s", resp.Status)
		}
		if i >= len(names) { // the first question to each host opens a connection
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

// heap returns the bytes of the memory in use after a collection, stacks
// included.
func heap() float64 {
	runtime.GC()
	runtime.GC() // what the first left to finalizers
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
