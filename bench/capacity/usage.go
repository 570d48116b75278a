package main

import "time"

// usage is what one host's control used: in the course of a run, or a second.
type usage struct {
	// cores is processor time in seconds.
	cores  float64
	heapMB float64
	// sent counts messages that the host began, and received those that it
	// answered, with the bytes of their bodies both ways.
	sent, received           float64
	sentBytes, receivedBytes float64
	probes, reads, hostLists float64
	publications             float64
	events                   float64
	fronted                  int
	worstStep                time.Duration
}

// rates are the counts that become rates.
func (u *usage) rates() []*float64 {
	return []*float64{
		&u.cores, &u.sent, &u.received, &u.sentBytes, &u.receivedBytes,
		&u.probes, &u.reads, &u.hostLists, &u.publications, &u.events,
	}
}

// plus adds the counts of another run, and keeps the greatest of the rest.
func (u usage) plus(v usage) usage {
	others := v.rates()
	for i, total := range u.rates() {
		*total += *others[i]
	}
	u.heapMB = max(u.heapMB, v.heapMB)
	u.fronted = max(u.fronted, v.fronted)
	u.worstStep = max(u.worstStep, v.worstStep)
	return u
}

// perSecond turns counts of runs into rates.
func (u usage) perSecond(length time.Duration) usage {
	for _, v := range u.rates() {
		*v /= length.Seconds()
	}
	return u
}
