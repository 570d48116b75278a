package main

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// newRow returns a row with 1,000 requests of the given latencies.
func newRow(rate float64, direct, host time.Duration, failed int) row {
	r := row{rate: rate, direct: newSample(), host: newSample()}
	for i := range 1000 {
		var err error
		if i < failed {
			err = errors.New("no response")
		}
		r.direct.record(direct, 0, nil)
		r.host.record(host, 0, err)
	}
	return r
}

// A rate above one that exceeds the bound must not count as within the bound, but
// can count as served.
func TestHighestRates(t *testing.T) {
	const ms = time.Millisecond
	is := is.New(t)
	is.True(newRow(100, ms, ms, 1).withinBound())
	is.True(!newRow(100, ms, ms, 2).withinBound()) // too few responses
	var total summary
	total.add(newRow(100, ms, 3*ms, 0))
	total.add(newRow(1000, ms, 2*ms, 1))
	is.Equal(total.highestWithinBound, 1000.0)
	total.add(newRow(2000, ms, 40*ms, 0))
	is.Equal(total.highestServed.rate, 2000.0)
	is.True(!total.highestServed.withinBound())
	total.add(newRow(3000, ms, 2*ms, 0))
	is.Equal(total.highestWithinBound, 1000.0) // the rate 2000 exceeded the bound
	is.Equal(total.highestServed.rate, 3000.0)
	total.add(newRow(4500, ms, 60*ms, 0))
	total.add(newRow(4500, ms, 2*ms, 2))
	is.Equal(total.highestServed.rate, 3000.0)
}
