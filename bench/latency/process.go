package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// usage is the resource use of a host since its start.
type usage struct {
	processor   time.Duration
	allocations int64
}

// process reads the resource use of the host process.
type process struct {
	pid int
	// metrics is the URL of the host's metrics.
	metrics string
}

func (p process) usage() (usage, error) {
	processor, err := processTime(p.pid)
	if err != nil {
		return usage{}, err
	}
	allocations, err := p.counter("crocushinge_runtime_allocations_total")
	return usage{processor, allocations}, err
}

// counter returns the value of one counter in the metrics.
func (p process) counter(name string) (int64, error) {
	resp, err := http.Get(p.metrics)
	if err != nil {
		return 0, errors.Wrap(err, "read the metrics of the host")
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if !strings.HasPrefix(lines.Text(), name+"{") {
			continue
		}
		fields := strings.Fields(lines.Text())
		value, err := strconv.ParseFloat(fields[len(fields)-1], 64)
		return int64(value), errors.Wrapf(err, "parse the value of metric %s", name)
	}
	if err := lines.Err(); err != nil {
		return 0, errors.Wrap(err, "read the metrics of the host")
	}
	return 0, errors.Errorf("the host has no metric %s", name)
}

// clockTick is the unit of processor time in /proc.
const clockTick = 10 * time.Millisecond

// Indexes of fields in /proc/PID/stat, counted after the name of the command.
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
	_, stat, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(stat)
	if len(fields) <= fieldSystemTime {
		return 0, errors.Errorf("processor time of the host: unexpected content of /proc/PID/stat: %q", data)
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
