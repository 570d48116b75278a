package main

import (
	"fmt"
	"time"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/service"
	"github.com/crocushinge/crocushinge/zone"
)

// requestRate is how many requests per second the whole entry set sends to each
// target.
const requestRate = 20

// deployment is a service of the size that its users have stated.
type deployment struct {
	name    string
	weight  contract.Weight
	targets int
	slots   int
	// hosts is the number of entry hosts.
	hosts int
	zones []zone.ID
	// oneWay is the one-way latency between two zones.
	oneWay time.Duration
	// floor is the percentage of the slots that ejections must leave available.
	floor int
}

var (
	threeZones = []zone.ID{"a", "b", "c"}
	fourZones  = []zone.ID{"a", "b", "c", "d"}
)

var deployments = []deployment{
	{"catalogue", contract.WeightBalanced, 30, 4, 9, threeZones, 1500 * time.Microsecond, 70},
	{"checkout", contract.WeightSafety, 6, 4, 3, threeZones, 1500 * time.Microsecond, 60},
	{"viewer", contract.WeightDetection, 30, 2, 8, fourZones, time.Millisecond, 70},
	{"release", contract.WeightBalanced, 8, 2, 3, fourZones, time.Millisecond, 60},
}

func (d deployment) hostZone(i int) zone.ID   { return d.zones[i%len(d.zones)] }
func (d deployment) targetZone(i int) zone.ID { return d.zones[i%len(d.zones)] }

// targetNames holds the names of the targets of the largest deployment.
var targetNames = func() (out [maxTargets]string) {
	for i := range out {
		out[i] = fmt.Sprintf("t%02d", i)
	}
	return out
}()

// maxTargets is the number of targets of the largest deployment.
const maxTargets = 30

func targetName(i int) string { return targetNames[i] }

// contract returns the service's contract.
func (d deployment) contract() *contract.Contract {
	c := &contract.Contract{
		Service: d.name,
		Weight:  d.weight,
		Floor:   contract.Floor{Percent: d.floor},
		Health:  contract.Health{Path: "/health", Interval: probeInterval},
	}
	for i := range d.targets {
		c.Targets = append(c.Targets, contract.Target{
			Name:    targetName(i),
			Address: fmt.Sprintf("10.0.0.%d:80", i),
			Zone:    d.targetZone(i),
			Slots:   d.slots,
		})
	}
	return c
}

// hostLocations returns the locations of the entry hosts.
func (d deployment) hostLocations() []service.Location {
	var zones []zone.Zone
	var distances []zone.Distance
	for i, a := range d.zones {
		zones = append(zones, zone.Zone{ID: a, Region: "r"})
		for _, b := range d.zones[i+1:] {
			distances = append(distances, zone.Distance{A: a, B: b, OneWay: d.oneWay})
		}
	}
	m := zone.NewMap(zones, distances)
	var out []service.Location
	for i := range d.hosts {
		out = append(out, service.Location{Zone: d.hostZone(i), Zones: m})
	}
	return out
}
