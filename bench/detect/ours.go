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
	// reportEvery is the ticks between two regular exchanges of one host.
	// Urgent evidence goes out at the next tick.
	reportEvery = 10
	// reportDelay is the time from sending to receiving a report.
	reportDelay = 2 * time.Millisecond
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// parcel is a host's reports on their way.
type parcel struct {
	from    int
	due     time.Duration
	reports []service.TargetReport
}

// ours is the detection of package service on every host of an entry set.
type ours struct {
	contract *contract.Contract
	hosts    []*service.Service
	// links are those of each host, by target.
	links [][]*link.Link
	keys  []target.Key
	// share is the slots of each host, by target.
	share   [][]int
	ticks   int
	parcels []parcel
	// ejected counts the ejections, by target.
	ejected []int
	// ejectedAt is the time until which an ejection of a target counts as
	// the same one, which the other hosts follow.
	ejectedAt []time.Duration
	cuts      int
}

func newOurs(d deployment) *ours {
	o := &ours{contract: d.contract(), ejectedAt: make([]time.Duration, d.targets), ejected: make([]int, d.targets)}
	places := d.places()
	for i := range d.hosts {
		s := service.New(o.contract, places[i], epoch)
		s.SetSlotShare(d.hosts, i)
		o.hosts = append(o.hosts, s)
		o.share = append(o.share, service.SlotShare(o.contract.Targets, d.hosts, i))
	}
	for i := range d.targets {
		o.keys = append(o.keys, target.Key{Service: d.name, Name: targetName(i)})
		o.ejectedAt[i] = -time.Hour
	}
	o.linkAll()
	return o
}

// linkAll looks up the links of all hosts.
func (o *ours) linkAll() {
	o.links = make([][]*link.Link, len(o.hosts))
	for h, s := range o.hosts {
		for i := range o.keys {
			o.links[h] = append(o.links[h], s.Link(targetName(i)))
		}
	}
}

func (o *ours) sends(host, target int) bool {
	return o.hosts[host].SendsTo(targetName(target))
}

func (o *ours) acquire(r request) (int, bool) {
	if !o.sends(r.host, r.target) {
		return 0, false
	}
	return o.links[r.host][r.target].Acquire(epoch.Add(r.at))
}

func (o *ours) done(r request, slot int, ob link.Observation) {
	o.deliver(r.at + ob.Latency)
	o.links[r.host][r.target].Release(slot)
	ob.Target = o.keys[r.target]
	ob.Started = epoch.Add(r.at)
	ob.At = ob.Started.Add(ob.Latency)
	o.count(o.hosts[r.host].Observe(ob), r.at+ob.Latency)
}

// followTime is how long after a host's ejection of a target those of the
// other hosts count as the same.
const followTime = 5 * time.Second

func (o *ours) count(list []service.Transition, at time.Duration) {
	for _, tr := range list {
		if tr.Kind == service.LinkCut {
			o.cuts++
		}
		if tr.Kind != service.StateChanged || tr.To != target.Ejected {
			continue
		}
		var i int
		_, _ = fmt.Sscanf(tr.Target.Name, "t%d", &i)
		if at-o.ejectedAt[i] > followTime {
			o.ejected[i]++
			o.ejectedAt[i] = at
		}
	}
}

func (o *ours) probed(target int, passed bool, at time.Duration) {
	prober := o.hosts[target%len(o.hosts)]
	p := service.ProbeResult{Target: targetName(target), Passed: passed}
	o.count(prober.ObserveProbe(p, epoch.Add(at)), at)
}

func (o *ours) tick(at time.Duration) {
	now := epoch.Add(at)
	o.ticks++
	o.deliver(at)
	for i, s := range o.hosts {
		o.count(s.Tick(now), at)
		if s.HasUrgentReport() || (o.ticks+i)%reportEvery == 0 {
			if reports := s.Reports(now); len(reports) > 0 {
				o.parcels = append(o.parcels, parcel{from: i, due: at + reportDelay, reports: reports})
			}
		}
	}
}

// deliver hands the reports that are due to all other hosts.
func (o *ours) deliver(at time.Duration) {
	if len(o.parcels) == 0 {
		return
	}
	now := epoch.Add(at)
	later := o.parcels[:0]
	for _, p := range o.parcels {
		if p.due > at {
			later = append(later, p)
			continue
		}
		from := names[p.from]
		for i, s := range o.hosts {
			if i == p.from {
				continue
			}
			for _, r := range p.reports {
				o.count(s.ObserveReport(from, r, now), at)
			}
		}
	}
	o.parcels = later
}

// replace declares another address for the target.
func (o *ours) replace(i int, at time.Duration) {
	next := *o.contract
	next.Targets = append([]contract.Target(nil), o.contract.Targets...)
	next.Targets[i].Address = fmt.Sprintf("10.0.0.%d:%d", i, o.ticks)
	o.contract = &next
	for rank, s := range o.hosts {
		o.count(s.Apply(&next, epoch.Add(at)), at)
		s.SetSlotShare(len(o.hosts), rank)
	}
	o.linkAll()
}

func (o *ours) ejections() []int { return o.ejected }
