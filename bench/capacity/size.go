package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/crocushinge/crocushinge/zone"
)

// deploymentSize is the size of a deployment.
type deploymentSize struct {
	Hosts, Services, Targets, Routes, Accounts int
	Regions, Zones                             int
	// Requests is the peak request rate of the whole fleet, per second.
	Requests float64
	// Changes and Restarts are the numbers of configuration changes and of host
	// restarts per day.
	Changes, Restarts int
}

// designSize returns the size for which the system is designed.
func designSize() deploymentSize {
	return deploymentSize{
		Hosts: 890, Services: 380, Targets: 7400, Routes: 5700, Accounts: 26000,
		Regions: 2, Zones: 7, Requests: 89000, Changes: 1100, Restarts: 2200,
	}
}

// Limits on the control work of one host, and on the platform operations per
// second of all hosts.
const (
	limitCores       = 0.023
	limitMemoryMB    = 128
	limitBytesPerSec = 8 * 1024
	limitReads       = 200
	limitWrites      = 50
	secondsPerDay    = 24 * 60 * 60
)

// nonIdempotentShare is the assumed share of requests that are not idempotent.
const nonIdempotentShare = 0.1

// String describes the size in one line.
func (s deploymentSize) String() string {
	return fmt.Sprintf("size: %d hosts, %d services, %d targets, %d routes, %d accounts, %d regions, %d zones, %.0f requests/s, %d changes and %d restarts a day\n",
		s.Hosts, s.Services, s.Targets, s.Routes, s.Accounts, s.Regions, s.Zones, s.Requests, s.Changes, s.Restarts)
}

// zoneOf returns the zone of machine i. Machines are spread evenly over the
// zones.
func (s deploymentSize) zoneOf(i int) zone.ID { return zone.ID(fmt.Sprintf("zone-%d", i%s.Zones)) }

// regionOf returns the region of a zone. With two regions, the zones with even
// numbers are in one, the others in the other.
func (s deploymentSize) regionOf(zoneNumber int) string {
	return fmt.Sprintf("region-%d", zoneNumber%s.Regions)
}

func (s deploymentSize) zones() *zone.Map {
	var list []zone.Zone
	for i := range s.Zones {
		list = append(list, zone.Zone{ID: s.zoneOf(i), Region: s.regionOf(i)})
	}
	return zone.NewMap(list, nil)
}

// cpuModel returns the name of the processor, or "unknown processor".
func cpuModel() string {
	data, err := os.ReadFile("/proc/cpuinfo")
	if err != nil {
		return "unknown processor"
	}
	for line := range strings.Lines(string(data)) {
		if name, ok := strings.CutPrefix(line, "model name"); ok {
			return strings.Trim(name, " \t:\n")
		}
	}
	return "unknown processor"
}
