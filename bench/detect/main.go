// Command detect measures the detection time and the false ejections of the
// failure detection in package service and of two baselines, on generated
// observations. It runs on virtual time: the same flags give the same table.
// Target-hours are split into runs of one hour, each with its own seed, which
// run in parallel. The exit code is 1 if a performance goal is missed.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"time"
)

// Defaults of the flags.
const (
	defaultTrials      = 150
	defaultHours       = 60
	defaultSafetyHours = 1000
	defaultSeed        = 1
	// maxWorkers leaves cores free for other processes.
	maxWorkers = 4
)

func main() {
	var o options
	flag.IntVar(&o.trials, "trials", defaultTrials, "faults for each row of detection times")
	flag.IntVar(&o.hours, "hours", defaultHours, "target-hours for each row of healthy targets")
	flag.IntVar(&o.safetyHours, "safety-hours", defaultSafetyHours, "target-hours for a service of weight safety")
	flag.Uint64Var(&o.seed, "seed", defaultSeed, "seed of the generator")
	flag.StringVar(&o.service, "service", "", "run this service only")
	flag.StringVar(&o.kind, "kind", "", "run this kind of row only")
	flag.StringVar(&o.rows, "rows", allRows, "rows to run: all, gray or healthy")
	flag.BoolVar(&o.baselines, "baselines", true, "measure the baselines too")
	flag.IntVar(&o.workers, "workers", min(maxWorkers, runtime.GOMAXPROCS(0)), "runs at once")
	flag.Parse()
	fmt.Printf("%s, %s/%s, %d cores, %d workers\n", time.Now().Format(time.DateOnly),
		runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), o.workers)
	start := time.Now()
	rows := measureAll(o)
	printTable(os.Stdout, o, rows)
	missed := checkGoals(os.Stdout, rows)
	fmt.Printf("%s\n", time.Since(start).Round(time.Second))
	if missed > 0 {
		os.Exit(1)
	}
}

// Values of the flag rows.
const (
	allRows     = "all"
	grayRows    = "gray"
	healthyRows = "healthy"
)

// options holds the values of the command's flags.
type options struct {
	trials, hours, safetyHours int
	seed                       uint64
	service, kind, rows        string
	baselines                  bool
	workers                    int
}

// methods returns the detectors to measure. The first is that of package
// service.
func (o options) methods() []method {
	if o.baselines {
		return methods
	}
	return methods[:1]
}

// selects reports whether a row is to be measured.
func (o options) selects(r row) bool {
	return (o.service == "" || o.service == r.d.name) && (o.kind == "" || o.kind == r.kind()) &&
		(o.rows != grayRows || r.gray != nil) && (o.rows != healthyRows || r.healthy != nil)
}
