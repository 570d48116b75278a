// Command fleet measures the cost of fleet membership for one host, and how fast
// a configuration change is in force on all hosts. It runs fleets of several
// sizes in one process, with real daemons over loopback, and extrapolates the
// results to the size that the users expect:
//
//	go run ./bench/fleet
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"time"

	"github.com/pkg/errors"
)

// The size of the fleet that the users expect.
const (
	expectedHosts    = 890
	expectedServices = 380
	// targets is the number of targets of each service: 7,400 targets in 380
	// services.
	targets = 19
)

// servicesFor returns the number of services for a fleet of the given size, so
// that there are as many services per host as in the expected fleet.
func servicesFor(hosts int) int { return (hosts*expectedServices + expectedHosts - 1) / expectedHosts }

func main() {
	changes := flag.Int("changes", 40, "changes of configuration in each fleet")
	idle := flag.Duration("idle", 15*time.Second, "time over which the costs at rest are measured")
	flag.Parse()
	if err := run(*changes, *idle); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(changes int, idle time.Duration) error {
	fmt.Printf("%s, %s/%s, %d processors, %s\n", time.Now().UTC().Format(time.DateOnly),
		runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), runtime.Version())
	fmt.Printf("%d targets a service, %d services for %d hosts, %d changes, %s at rest\n\n",
		targets, expectedServices, expectedHosts, changes, idle)
	var results []result
	for _, hosts := range []int{3, 12, 24, 48} {
		r, err := measure(hosts, servicesFor(hosts), changes, idle)
		if err != nil {
			return errors.Wrapf(err, "measure a fleet of %d hosts", hosts)
		}
		results = append(results, r)
	}
	print(results)
	return nil
}
