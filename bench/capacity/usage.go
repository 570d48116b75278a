package main

import "time"

// usage is the resource use of one host's control core, in total or per second.
type usage struct {
	// cores is processor time in seconds, or cores if usage is per second.
	cores  float64
	heapMB float64
	// sent counts calls that the host makes, received those that it responds
	// to. The bytes are those of the message bodies in both directions.
	sent, received           float64
	sentBytes, receivedBytes float64
	probes, reads, hostLists float64
	publications             float64
	events                   float64
	entryServices            int
	longestStep              time.Duration
}

// counts returns the fields that perSecond turns into rates.
func (u *usage) counts() []*float64 {
	return []*float64{
		&u.cores, &u.sent, &u.received, &u.sentBytes, &u.receivedBytes,
		&u.probes, &u.reads, &u.hostLists, &u.publications, &u.events,
	}
}

// plus adds the counts of another run and keeps the maximum of the other fields.
func (u usage) plus(v usage) usage {
	others := v.counts()
	for i, total := range u.counts() {
		*total += *others[i]
	}
	u.heapMB = max(u.heapMB, v.heapMB)
	u.entryServices = max(u.entryServices, v.entryServices)
	u.longestStep = max(u.longestStep, v.longestStep)
	return u
}

// perSecond turns the counts of runs of a total length into rates.
func (u usage) perSecond(length time.Duration) usage {
	for _, v := range u.counts() {
		*v /= length.Seconds()
	}
	return u
}
