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

// claim lets a peer add evidence to what it reported before.
type claim struct {
	pool *Pool
	news map[string]News
}

func newClaim(p *Pool, hosts map[string]zone.ID) *claim {
	c := &claim{pool: p, news: make(map[string]News)}
	for host, z := range hosts {
		c.news[host] = News{Zone: z}
		c.add(host, 0)
	}
	return c
}

func (c *claim) add(host string, nats float64) {
	n := c.news[host]
	n.Sequence++
	n.Observations++
	n.Total[Failing] += nats
	c.news[host] = n
	c.pool.Hear(host, n, thresholds, epoch)
}

func TestOneHostCannotBringAVerdictAlone(t *testing.T) {
	is := is.New(t)
	p := NewPool("a")
	p.CountObservation(epoch)
	c := newClaim(p, map[string]zone.ID{"liar": "a"})
	for range 100 {
		c.add("liar", 100)
		p.Add(Failing, rates.Success(), threshold, epoch)
		is.True(p.Judge(Failing, threshold, epoch) != Gray)
	}
}

func TestOneHostAndOneFailureElsewhereBringNoVerdict(t *testing.T) {
	is := is.New(t)
	p := NewPool("a")
	p.CountObservation(epoch)
	c := newClaim(p, map[string]zone.ID{"liar": "a"})
	c.add("liar", 100)
	p.Add(Failing, rates.Failure(), threshold, epoch)
	is.Equal(p.Judge(Failing, threshold, epoch), Disputed)
}

func TestOneZoneCannotBringAVerdictAlone(t *testing.T) {
	is := is.New(t)
	p := NewPool("a")
	p.CountObservation(epoch)
	c := newClaim(p, map[string]zone.ID{"b1": "b", "b2": "b"})
	for range 100 {
		c.add("b1", rates.Failure())
		c.add("b2", rates.Failure())
		p.Add(Failing, rates.Success(), threshold, epoch)
		is.True(p.Judge(Failing, threshold, epoch) != Gray)
	}
	is.Equal(p.Judge(Failing, threshold, epoch), Disputed)
}

func TestHostsOfSeveralZonesBringAVerdict(t *testing.T) {
	is := is.New(t)
	p := NewPool("a")
	p.CountObservation(epoch)
	c := newClaim(p, map[string]zone.ID{"b1": "b"})
	requests := 0
	for p.Judge(Failing, threshold, epoch) != Gray {
		p.Add(Failing, rates.Failure(), threshold, epoch)
		c.add("b1", rates.Failure())
		requests += 2
	}
	is.Equal(requests, 6) // Wald's bound for 1e-8 and a gray rate of 30%
}

func TestOnlyCarrierOfTrafficIsBelieved(t *testing.T) {
	is := is.New(t)
	p := NewPool("a")
	for range 6 {
		p.CountObservation(epoch)
		p.Add(Failing, rates.Failure(), threshold, epoch)
	}
	is.Equal(p.Judge(Failing, threshold, epoch), Gray)
}

func TestHostThatBlamesItsLinkIsNotCounted(t *testing.T) {
	is := is.New(t)
	p := NewPool("a")
	c := newClaim(p, map[string]zone.ID{"b1": "b"})
	c.add("b1", 12)
	is.Equal(p.Sum()[Failing], 12.0)
	n := c.news["b1"]
	n.Sequence++
	n.LinkCut = true
	p.Hear("b1", n, thresholds, epoch)
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
	is.True(d.Strike(epoch.Add(time.Hour)) < 11*time.Second) // forgiven
}

func TestProbesAloneEjectNothing(t *testing.T) {
	is := is.New(t)
	tg := New("checkout", contract.Target{Name: "checkout-1"}, "a", Active, epoch)
	for range 1000 {
		tg.AddProbe(false, threshold)
	}
	is.Equal(tg.Judge(Failing, threshold, epoch), Unproved)
}

func TestProbesDoNotCountOnAHostWithoutWork(t *testing.T) {
	is := is.New(t)
	tg := New("checkout", contract.Target{Name: "checkout-1"}, "a", Active, epoch)
	for range 1000 {
		tg.AddProbe(false, threshold)
	}
	c := newClaim(tg.Pool(), map[string]zone.ID{"b1": "b", "c1": "c"})
	c.add("b1", float64(threshold)/3)
	c.add("c1", float64(threshold)/3)
	is.Equal(tg.Judge(Failing, threshold, epoch), Unproved)
}

func TestWeightsOrderTheThresholds(t *testing.T) {
	is := is.New(t)
	detection := ThresholdsFor(contract.WeightDetection)
	balanced := ThresholdsFor(contract.WeightBalanced)
	safety := ThresholdsFor(contract.WeightSafety)
	for k := range Suspicions {
		is.True(detection[k] < balanced[k])
		is.True(balanced[k] < safety[k])
	}
	is.True(detection[Slow] > detection[Failing]) // healthy latencies vary more than failures
}
