package main

import (
	"fmt"
	"time"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/service"
	"github.com/crocushinge/crocushinge/target"
)

// Exchange of reports between the hosts of an entry set.
const (
	// reportIntervalTicks is the number of ticks between two regular reports of
	// one host. Urgent reports are sent at the next tick.
	reportIntervalTicks = 10
	// reportDelay is the network latency of a report.
	reportDelay = 2 * time.Millisecond
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// reportBatch is a batch of reports that a host has sent and that is not yet
// delivered.
type reportBatch struct {
	from    int
	due     time.Duration
	reports []service.TargetReport
}

// serviceDetector runs the failure detection of package service on every host
// of an entry set.
type serviceDetector struct {
	contract *contract.Contract
	hosts    []*service.Service
	// links holds the links by host and target.
	links [][]*link.Link
	keys  []target.Key
	// slotShares holds the number of slots by host and target.
	slotShares [][]int
	ticks      int
	batches    []reportBatch
	// ejectionCounts holds the number of ejections by target.
	ejectionCounts []int
	// ejectedAt holds, by target, when the latest ejection was counted. Later
	// ejections by other hosts within sameEjectionTime are not counted again.
	ejectedAt []time.Duration
	linkCuts  int
}

func newServiceDetector(d deployment) *serviceDetector {
	det := &serviceDetector{contract: d.contract(), ejectedAt: make([]time.Duration, d.targets), ejectionCounts: make([]int, d.targets)}
	locations := d.hostLocations()
	for i := range d.hosts {
		s := service.New(det.contract, locations[i], epoch)
		s.SetSlotShare(d.hosts, i)
		det.hosts = append(det.hosts, s)
		det.slotShares = append(det.slotShares, service.SlotShare(det.contract.Targets, d.hosts, i))
	}
	for i := range d.targets {
		det.keys = append(det.keys, target.Key{Service: d.name, Name: targetName(i)})
		det.ejectedAt[i] = -time.Hour
	}
	det.lookUpLinks()
	return det
}

// lookUpLinks looks up the links of all hosts to all targets.
func (d *serviceDetector) lookUpLinks() {
	d.links = make([][]*link.Link, len(d.hosts))
	for h, s := range d.hosts {
		for i := range d.keys {
			d.links[h] = append(d.links[h], s.Link(targetName(i)))
		}
	}
}

func (d *serviceDetector) sendsTo(host, target int) bool {
	return d.hosts[host].SendsTo(targetName(target))
}

func (d *serviceDetector) acquire(r request) (int, bool) {
	if !d.sendsTo(r.host, r.target) {
		return 0, false
	}
	return d.links[r.host][r.target].Acquire(epoch.Add(r.at))
}

func (d *serviceDetector) done(r request, slot int, observation link.Observation) {
	d.deliver(r.at + observation.Latency)
	d.links[r.host][r.target].Release(slot)
	observation.Target = d.keys[r.target]
	observation.Started = epoch.Add(r.at)
	observation.At = observation.Started.Add(observation.Latency)
	d.countTransitions(d.hosts[r.host].Observe(observation), r.at+observation.Latency)
}

// sameEjectionTime is the period after a host's ejection of a target in which
// ejections of that target by other hosts count as the same ejection.
const sameEjectionTime = 5 * time.Second

// countTransitions counts the ejections and link cuts in the list.
func (d *serviceDetector) countTransitions(list []service.Transition, at time.Duration) {
	for _, tr := range list {
		if tr.Kind == service.LinkCut {
			d.linkCuts++
		}
		if tr.Kind != service.StateChanged || tr.To != target.Ejected {
			continue
		}
		var i int
		_, _ = fmt.Sscanf(tr.Target.Name, "t%d", &i)
		if at-d.ejectedAt[i] > sameEjectionTime {
			d.ejectionCounts[i]++
			d.ejectedAt[i] = at
		}
	}
}

func (d *serviceDetector) observeProbe(target int, passed bool, at time.Duration) {
	prober := d.hosts[target%len(d.hosts)]
	p := service.ProbeResult{Target: targetName(target), Passed: passed}
	d.countTransitions(prober.ObserveProbe(p, epoch.Add(at)), at)
}

func (d *serviceDetector) tick(at time.Duration) {
	now := epoch.Add(at)
	d.ticks++
	d.deliver(at)
	for i, s := range d.hosts {
		d.countTransitions(s.Tick(now), at)
		if s.HasUrgentReport() || (d.ticks+i)%reportIntervalTicks == 0 {
			if reports := s.Reports(now); len(reports) > 0 {
				d.batches = append(d.batches, reportBatch{from: i, due: at + reportDelay, reports: reports})
			}
		}
	}
}

// deliver delivers the reports that are due to all other hosts.
func (d *serviceDetector) deliver(at time.Duration) {
	if len(d.batches) == 0 {
		return
	}
	now := epoch.Add(at)
	pending := d.batches[:0]
	for _, batch := range d.batches {
		if batch.due > at {
			pending = append(pending, batch)
			continue
		}
		from := targetNames[batch.from]
		for i, s := range d.hosts {
			if i == batch.from {
				continue
			}
			for _, r := range batch.reports {
				d.countTransitions(s.ObserveReport(from, r, now), at)
			}
		}
	}
	d.batches = pending
}

// replace applies a contract with a new address for the target.
func (d *serviceDetector) replace(i int, at time.Duration) {
	next := *d.contract
	next.Targets = append([]contract.Target(nil), d.contract.Targets...)
	next.Targets[i].Address = fmt.Sprintf("10.0.0.%d:%d", i, d.ticks)
	d.contract = &next
	for rank, s := range d.hosts {
		d.countTransitions(s.Apply(&next, epoch.Add(at)), at)
		s.SetSlotShare(len(d.hosts), rank)
	}
	d.lookUpLinks()
}

func (d *serviceDetector) ejections() []int { return d.ejectionCounts }
