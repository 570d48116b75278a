package service

import (
	"math"
	"slices"
	"time"
)

// Shape of the histogram of latencies.
const (
	// shortestLatency is the upper edge of the first bucket.
	shortestLatency = 100 * time.Microsecond
	// bucketGrowth is the ratio of the edges of two neighboring buckets.
	bucketGrowth = 1.1
	// buckets reach to more than 100 seconds.
	buckets = 150
)

const (
	// edgesTime is the time between two estimates of the quantiles.
	edgesTime = 200 * time.Millisecond
	// halfLife is the time in which an observed latency loses half of its
	// weight.
	halfLife = 30 * time.Second
	// minSamples is the weight below which the distribution is not used.
	minSamples = 100
	// minTailSamples is the weight below which its last quantile is not used.
	minTailSamples = 1000
	// recentSize is how many of the newest latencies tell a slowdown of the
	// whole service.
	recentSize = 31
	// slowdownNoise is the ratio of the recent to the long-run median up to
	// which no slowdown is assumed.
	slowdownNoise = 1.3
)

// The quantiles that divide the latencies into bins.
var quantiles = [...]float64{0.5, 0.9, 0.99, 0.999}

// minSpread is how far each edge lies from the median at least, as a ratio, so
// that slightly slower machines are no suspects where latencies hardly vary.
var minSpread = [...]float64{1, 1.5, 2, 3}

// binNats is the log-likelihood ratio of "slow" against "healthy" for a
// latency in each bin, in nats: of a slow target, the shares of requests in
// the bins are 15%, 20%, 25%, 25% and 15%.
var binNats = [...]float64{
	math.Log(0.15 / 0.5),
	math.Log(0.20 / 0.4),
	math.Log(0.25 / 0.09),
	math.Log(0.25 / 0.009),
	math.Log(0.15 / 0.001),
}

// Beyond the last edge the tail of healthy latencies is taken to fall with
// this power.
const tailPower = 2

// maxTailNats bounds what a latency far beyond the last edge adds.
var maxTailNats = math.Log(100)

// latencies estimates how a service's latencies are distributed at present on
// this host, over all of its targets. Latencies exclude the network's part.
type latencies struct {
	counts [buckets]float64
	total  float64
	// weight of the next sample; it grows, so that older ones count less.
	weight float64
	start  time.Time

	recent [recentSize]float64
	next   int

	edges       [len(quantiles)]time.Duration
	ready       bool
	nextRefresh time.Time
}

func newLatencies(now time.Time) *latencies {
	return &latencies{weight: 1, start: now}
}

var logGrowth = math.Log(bucketGrowth)

func bucketOf(d time.Duration) int {
	if d <= shortestLatency {
		return 0
	}
	i := int(math.Log(float64(d)/float64(shortestLatency))/logGrowth) + 1
	return min(i, buckets-1)
}

// Add counts a latency.
func (l *latencies) Add(d time.Duration) {
	l.counts[bucketOf(d)] += l.weight
	l.total += l.weight
	l.recent[l.next%recentSize] = float64(d)
	l.next++
}

// Refresh brings the edges of the bins up to date, every edgesTime.
func (l *latencies) Refresh(now time.Time) {
	if now.Before(l.nextRefresh) {
		return
	}
	l.nextRefresh = now.Add(edgesTime)
	l.age(now)
	weight := l.total / l.weight
	l.ready = weight >= minSamples
	if !l.ready {
		return
	}
	l.setEdges()
	if weight < minTailSamples {
		l.edges[3] = max(l.edges[3], 2*l.edges[2])
	}
	l.stretch()
}

// age raises the weight of new samples, and rescales before it grows large.
func (l *latencies) age(now time.Time) {
	const rescaleAt = 1 << 20
	l.weight = math.Exp2(float64(now.Sub(l.start)) / float64(halfLife))
	if l.weight < rescaleAt {
		return
	}
	for i := range l.counts {
		l.counts[i] /= l.weight
	}
	l.total /= l.weight
	l.weight = 1
	l.start = now
}

func (l *latencies) setEdges() {
	sum, q := 0.0, 0
	edge := float64(shortestLatency)
	for i := range l.counts {
		sum += l.counts[i]
		for q < len(quantiles) && sum >= quantiles[q]*l.total {
			l.edges[q] = time.Duration(edge)
			q++
		}
		edge *= bucketGrowth
	}
	median := float64(l.edges[0])
	for i, spread := range minSpread {
		l.edges[i] = max(l.edges[i], time.Duration(spread*median))
	}
}

// stretch moves the edges out while the whole service is slower than it was.
func (l *latencies) stretch() {
	if l.next < recentSize || !l.slowed() {
		return
	}
	sorted := l.recent
	slices.Sort(sorted[:])
	slowdown := sorted[recentSize/2] / float64(l.edges[0])
	for i := range l.edges {
		l.edges[i] = time.Duration(float64(l.edges[i]) * slowdown)
	}
}

// slowed reports whether the median of the newest latencies is noticeably
// above that of the long run, without sorting them.
func (l *latencies) slowed() bool {
	slower := 0
	for _, d := range l.recent {
		if d/float64(l.edges[0]) >= slowdownNoise {
			slower++
		}
	}
	return slower > recentSize/2
}

// Nats returns the evidence that a latency brings for a slow target, in nats;
// 0 while too little is known of the service.
func (l *latencies) Nats(d time.Duration) float64 {
	if !l.ready {
		return 0
	}
	bin := 0
	for bin < len(l.edges) && d > l.edges[bin] {
		bin++
	}
	nats := binNats[bin]
	if bin == len(l.edges) {
		nats += min(tailPower*math.Log(float64(d)/float64(l.edges[bin-1])), maxTailNats)
	}
	return nats
}

// Unusual reports whether a latency lies in the last tenth.
func (l *latencies) Unusual(d time.Duration) bool {
	return l.ready && d > l.edges[1]
}
