package target

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/zone"
)

var (
	epoch      = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	thresholds = ThresholdsFor(contract.WeightBalanced)
	threshold  = thresholds[Failing]
	rates      = RatesAround(0)
)

// peerReports sends reports of simulated peers to a pool and accumulates their totals.
type peerReports struct {
	pool *Pool
	last map[string]News
}

func newPeerReports(p *Pool, hosts map[string]zone.ID) *peerReports {
	reports := &peerReports{pool: p, last: make(map[string]News)}
	for host, z := range hosts {
		reports.last[host] = News{Zone: z}
		reports.add(host, 0)
	}
	return reports
}

// add reports additional evidence of a peer.
func (reports *peerReports) add(host string, nats float64) {
	report := reports.last[host]
	report.Sequence++
	report.Observations++
	report.Total[Failing] += nats
	reports.last[host] = report
	reports.pool.Hear(host, report, thresholds, epoch)
}

func TestEvidenceOfOneHostIsNotSufficient(t *testing.T) {
	is := is.New(t)
	p := NewPool("a")
	p.CountObservation(epoch)
	reports := newPeerReports(p, map[string]zone.ID{"a1": "a"})
	for range 100 {
		reports.add("a1", 100)
		p.Add(Failing, rates.Success(), threshold, epoch)
		is.True(p.Judge(Failing, threshold, epoch) != Gray)
	}
}

func TestOneHostPlusOneFailureElsewhereIsDisputed(t *testing.T) {
	is := is.New(t)
	p := NewPool("a")
	p.CountObservation(epoch)
	reports := newPeerReports(p, map[string]zone.ID{"a1": "a"})
	reports.add("a1", 100)
	p.Add(Failing, rates.Failure(), threshold, epoch)
	is.Equal(p.Judge(Failing, threshold, epoch), Disputed)
}

func TestEvidenceOfOneZoneIsNotSufficient(t *testing.T) {
	is := is.New(t)
	p := NewPool("a")
	p.CountObservation(epoch)
	reports := newPeerReports(p, map[string]zone.ID{"b1": "b", "b2": "b"})
	for range 100 {
		reports.add("b1", rates.Failure())
		reports.add("b2", rates.Failure())
		p.Add(Failing, rates.Success(), threshold, epoch)
		is.True(p.Judge(Failing, threshold, epoch) != Gray)
	}
	is.Equal(p.Judge(Failing, threshold, epoch), Disputed)
}

func TestEvidenceOfSeveralZonesIsSufficient(t *testing.T) {
	is := is.New(t)
	p := NewPool("a")
	p.CountObservation(epoch)
	reports := newPeerReports(p, map[string]zone.ID{"b1": "b"})
	requests := 0
	for p.Judge(Failing, threshold, epoch) != Gray {
		p.Add(Failing, rates.Failure(), threshold, epoch)
		reports.add("b1", rates.Failure())
		requests += 2
	}
	is.Equal(requests, 6) // Wald's bound for a false-ejection probability of 1e-8 and a gray rate of 30%
}

func TestEvidenceOfOnlyHostWithTrafficIsSufficient(t *testing.T) {
	is := is.New(t)
	p := NewPool("a")
	for range 6 {
		p.CountObservation(epoch)
		p.Add(Failing, rates.Failure(), threshold, epoch)
	}
	is.Equal(p.Judge(Failing, threshold, epoch), Gray)
}

func TestHostThatReportsLinkCutIsExcluded(t *testing.T) {
	is := is.New(t)
	p := NewPool("a")
	reports := newPeerReports(p, map[string]zone.ID{"b1": "b"})
	reports.add("b1", 12)
	is.Equal(p.Sum()[Failing], 12.0)
	report := reports.last["b1"]
	report.Sequence++
	report.LinkCut = true
	p.Hear("b1", report, thresholds, epoch)
	is.Equal(p.Sum()[Failing], 0.0)
}

func TestHealthyPastDoesNotDelayDetection(t *testing.T) {
	is := is.New(t)
	p := NewPool("a")
	for range 100000 {
		p.Add(Failing, rates.Success(), threshold, epoch)
	}
	p.Add(Failing, rates.Failure(), threshold, epoch)
	is.Equal(p.Sum()[Failing], rates.Failure())
}

func TestEachEjectionLastsLonger(t *testing.T) {
	is := is.New(t)
	var d Damping
	is.Equal(d.Strike(epoch), 10*time.Second)
	second := d.Strike(epoch.Add(20 * time.Second))
	is.True(second > 19*time.Second && second <= 20*time.Second)
	third := d.Strike(epoch.Add(60 * time.Second))
	is.True(third > 34*time.Second)
	is.True(d.Strike(epoch.Add(time.Hour)) < 11*time.Second) // the penalty has decayed
}

func TestProbesAloneDoNotEject(t *testing.T) {
	is := is.New(t)
	tgt := New("checkout", contract.Target{Name: "checkout-1"}, "a", Active, epoch)
	for range 1000 {
		tgt.AddProbe(false, threshold)
	}
	is.Equal(tgt.Judge(Failing, threshold, epoch), Unproved)
}

func TestProbesDoNotCountOnHostWithoutTraffic(t *testing.T) {
	is := is.New(t)
	tgt := New("checkout", contract.Target{Name: "checkout-1"}, "a", Active, epoch)
	for range 1000 {
		tgt.AddProbe(false, threshold)
	}
	reports := newPeerReports(tgt.Pool(), map[string]zone.ID{"b1": "b", "c1": "c"})
	reports.add("b1", float64(threshold)/3)
	reports.add("c1", float64(threshold)/3)
	is.Equal(tgt.Judge(Failing, threshold, epoch), Unproved)
}

func TestThresholdsGrowFromDetectionToSafety(t *testing.T) {
	is := is.New(t)
	detection := ThresholdsFor(contract.WeightDetection)
	balanced := ThresholdsFor(contract.WeightBalanced)
	safety := ThresholdsFor(contract.WeightSafety)
	for k := range Suspicions {
		is.True(detection[k] < balanced[k])
		is.True(balanced[k] < safety[k])
	}
	is.True(detection[Slow] > detection[Failing]) // healthy latencies vary more than healthy failures
}
