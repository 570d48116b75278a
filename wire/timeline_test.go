package wire

import (
	"fmt"
	"sort"
	"testing"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/timeline"
)

func TestBatchNamesRoundTripAndSortByLastEvent(t *testing.T) {
	is := is.New(t)
	names := []BatchName{
		{LastMillis: 1_700_000_000_000, FirstMillis: 1_600_000_000_000, Host: "b_1", Incarnation: 5, Number: 2},
		{LastMillis: 1_700_000_000_001, FirstMillis: 1_500_000_000_000, Host: "10.0.0.1:8082", Incarnation: 4, Number: 1},
	}
	var encoded []string
	for _, n := range names {
		got, err := ParseBatchName(n.String())
		is.NoErr(err)
		is.Equal(got, n)
		encoded = append(encoded, n.String())
	}
	is.True(sort.StringsAreSorted(encoded))
	is.True(BatchListStart(1_700_000_000_000) < encoded[0])
	is.True(BatchListStart(1_700_000_000_001) > encoded[0])
	for _, malformed := range []string{"", "timeline/", "timeline/1_2_h_x_1", "other/1_2_h_1_1", "timeline/1_2_3_4"} {
		_, err := ParseBatchName(malformed)
		is.True(err != nil)
	}
}

// sampleEvents returns n different events of ended requests.
func sampleEvents(n int) []timeline.Event {
	events := make([]timeline.Event, n)
	for i := range events {
		events[i] = timeline.Event{
			Stamp: timeline.Stamp{Wall: 1_700_000_000_000 + int64(i)*37}, Host: "lima-a-17", Incarnation: 1_700_000_000_000,
			Kind: timeline.RequestEnded, Service: "checkout", Target: fmt.Sprintf("checkout-%d", i*7%6),
			Request: fmt.Sprintf("lima-a-17.loyw3v28.ce.%x", i*7919), To: "completed",
		}
	}
	return events
}

func TestBatchRoundTrip(t *testing.T) {
	is := is.New(t)
	events := sampleEvents(3)
	data, err := EncodeBatch(events)
	is.NoErr(err)
	got, err := DecodeBatch(data)
	is.NoErr(err)
	is.Equal(got, events)
	_, err = DecodeBatch(data[:len(data)/2])
	is.True(err != nil)
	_, err = DecodeBatch([]byte("not a batch"))
	is.True(err != nil)
}

// BenchmarkEncodeBatch reports the encoded bytes per event for several batch
// sizes.
func BenchmarkEncodeBatch(b *testing.B) {
	for _, n := range []int{1, 10, 100, 1000, 20_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			events := sampleEvents(n)
			size := 0
			for b.Loop() {
				data, err := EncodeBatch(events)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size)/float64(n), "B/event")
		})
	}
}
