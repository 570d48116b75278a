// Command fleet measures what it costs a host to be one of a fleet, and how
// fast a change is in force everywhere. It runs fleets of several sizes in one
// process, with real daemons over loopback, and prints the slopes worked out
// to the size that the users expect:
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

// The size that the users expect.
const (
	expectedHosts    = 890
	expectedServices = 380
	// targets is how many targets each service has: 7,400 over 380 services.
	targets = 19
)

// servicesFor returns how many services a fleet of a size has, so that each
// host has as much to do as in the expected fleet.
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
			return errors.Wrapf(err, "%d hosts", hosts)
		}
		results = append(results, r)
	}
	print(results)
	return nil
}
