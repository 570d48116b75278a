package service

import (
	"math"
	"slices"
	"time"
)

// Shape of the latency histogram.
const (
	// shortestLatency is the upper edge of the first bucket.
	shortestLatency = 100 * time.Microsecond
	// bucketGrowth is the ratio of the upper edges of two adjacent buckets.
	bucketGrowth = 1.1
	// bucketCount is the number of buckets, which cover latencies up to more than 100
	// seconds.
	bucketCount = 150
)

const (
	// quantileInterval is the time between two estimates of the quantiles.
	quantileInterval = 200 * time.Millisecond
	// latencyHalfLife is the time in which an observed latency loses half of its
	// weight.
	latencyHalfLife = 30 * time.Second
	// minSamples is the total weight below which the distribution is not used.
	minSamples = 100
	// minTailSamples is the total weight below which the last quantile alone is not
	// relied on: the last edge is then at least twice the edge before it.
	minTailSamples = 1000
	// recentSamples is the number of most recent latencies from which a slowdown of the
	// whole service is detected.
	recentSamples = 31
	// minSlowdown is the ratio of the recent to the long-term median from which a
	// slowdown is assumed; a smaller ratio counts as noise.
	minSlowdown = 1.3
)

// quantiles are the quantiles at which the latencies are divided into bins.
var quantiles = [...]float64{0.5, 0.9, 0.99, 0.999}

// minEdgeRatio is the minimum ratio of each bin edge to the median, so that slightly
// slower machines are not suspected where latencies hardly vary.
var minEdgeRatio = [...]float64{1, 1.5, 2, 3}

// binNats is the log-likelihood ratio of "slow" against "healthy" for a latency in each
// bin, in nats. The model of a slow target has 15%, 20%, 25%, 25% and 15% of its
// requests in the bins.
var binNats = [...]float64{
	math.Log(0.15 / 0.5),
	math.Log(0.20 / 0.4),
	math.Log(0.25 / 0.09),
	math.Log(0.25 / 0.009),
	math.Log(0.15 / 0.001),
}

// tailExponent is the exponent of the power law that the tail of healthy latencies is
// assumed to follow beyond the last edge.
const tailExponent = 2

// maxTailNats bounds the additional evidence of a latency far beyond the last edge.
var maxTailNats = math.Log(100)

// latencies estimates the current distribution of a service's latencies on this host,
// over all of its targets. Latencies exclude the network round trip.
type latencies struct {
	counts [bucketCount]float64
	total  float64
	// weight is the weight of the next sample. It grows with time since weightStart, so
	// that older samples count less.
	weight      float64
	weightStart time.Time

	// recent is a ring buffer of the most recent latencies, and added is the number of
	// all latencies added.
	recent [recentSamples]float64
	added  int

	// edges are the upper edges of the bins; the last bin has none. They are valid
	// while ready is set.
	edges       [len(quantiles)]time.Duration
	ready       bool
	nextRefresh time.Time
}

func newLatencies(now time.Time) *latencies {
	return &latencies{weight: 1, weightStart: now}
}

var logGrowth = math.Log(bucketGrowth)

// bucketIndex returns the index of the bucket that a latency falls into.
func bucketIndex(d time.Duration) int {
	if d <= shortestLatency {
		return 0
	}
	i := int(math.Log(float64(d)/float64(shortestLatency))/logGrowth) + 1
	return min(i, bucketCount-1)
}

// Add adds a latency.
func (l *latencies) Add(d time.Duration) {
	l.counts[bucketIndex(d)] += l.weight
	l.total += l.weight
	l.recent[l.added%recentSamples] = float64(d)
	l.added++
}

// Refresh updates the edges of the bins, once per quantileInterval.
func (l *latencies) Refresh(now time.Time) {
	if now.Before(l.nextRefresh) {
		return
	}
	l.nextRefresh = now.Add(quantileInterval)
	l.decay(now)
	weight := l.total / l.weight
	l.ready = weight >= minSamples
	if !l.ready {
		return
	}
	l.setEdges()
	if weight < minTailSamples {
		l.edges[3] = max(l.edges[3], 2*l.edges[2])
	}
	l.scaleEdgesToSlowdown()
}

// decay raises the weight of new samples, which lowers the relative weight of older
// ones, and rescales all weights before they grow too large.
func (l *latencies) decay(now time.Time) {
	const rescaleAt = 1 << 20
	l.weight = math.Exp2(float64(now.Sub(l.weightStart)) / float64(latencyHalfLife))
	if l.weight < rescaleAt {
		return
	}
	for i := range l.counts {
		l.counts[i] /= l.weight
	}
	l.total /= l.weight
	l.weight = 1
	l.weightStart = now
}

// setEdges sets the edges to the quantiles of the histogram.
func (l *latencies) setEdges() {
	cumulative, q := 0.0, 0
	edge := float64(shortestLatency)
	for i := range l.counts {
		cumulative += l.counts[i]
		for q < len(quantiles) && cumulative >= quantiles[q]*l.total {
			l.edges[q] = time.Duration(edge)
			q++
		}
		edge *= bucketGrowth
	}
	median := float64(l.edges[0])
	for i, ratio := range minEdgeRatio {
		l.edges[i] = max(l.edges[i], time.Duration(ratio*median))
	}
}

// scaleEdgesToSlowdown raises the edges while the whole service is slower than before.
func (l *latencies) scaleEdgesToSlowdown() {
	if l.added < recentSamples || !l.hasSlowedDown() {
		return
	}
	sorted := l.recent
	slices.Sort(sorted[:])
	slowdown := sorted[recentSamples/2] / float64(l.edges[0])
	for i := range l.edges {
		l.edges[i] = time.Duration(float64(l.edges[i]) * slowdown)
	}
}

// hasSlowedDown reports whether the median of the most recent latencies is at least
// minSlowdown times the long-term median, without sorting them.
func (l *latencies) hasSlowedDown() bool {
	slower := 0
	for _, d := range l.recent {
		if d/float64(l.edges[0]) >= minSlowdown {
			slower++
		}
	}
	return slower > recentSamples/2
}

// LLR returns how strongly a latency shows that its target is slow, in nats. It returns
// 0 while there are too few samples.
func (l *latencies) LLR(d time.Duration) float64 {
	if !l.ready {
		return 0
	}
	bin := 0
	for bin < len(l.edges) && d > l.edges[bin] {
		bin++
	}
	nats := binNats[bin]
	if bin == len(l.edges) {
		nats += min(tailExponent*math.Log(float64(d)/float64(l.edges[bin-1])), maxTailNats)
	}
	return nats
}

// InTail reports whether a latency is above the edge at the 90% quantile, that is,
// among the slowest tenth.
func (l *latencies) InTail(d time.Duration) bool {
	return l.ready && d > l.edges[1]
}
