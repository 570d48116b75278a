package share

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/fleet"
	"github.com/crocushinge/crocushinge/history"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/pool"
	"github.com/crocushinge/crocushinge/quota"
	"github.com/crocushinge/crocushinge/target"
	sharev1 "github.com/crocushinge/crocushinge/wire/gen/crocushinge/share/v1"
)

// datagram returns a datagram with reports of 9 hosts, as many as the hosts send in one packet by the
// sizes that they assume (fleet.Report.size).
func datagram() fleet.Datagram {
	d := fleet.Datagram{From: 7, Hop: fleet.ToHost}
	for i := range 9 {
		r := fleet.Report{
			Host: fleet.Hash(i), Incarnation: 1 << 40, Sequence: uint32(i + 1), Ready: true,
			Targets:       fleet.Stamp{Revision: 900, Digest: 5, Age: 20 * time.Millisecond, Confirmed: 123456},
			Configuration: fleet.Stamp{Revision: 12, Age: 40 * time.Millisecond, Confirmed: 123456},
		}
		for k := range 4 {
			r.Loads = append(r.Loads, fleet.Load{Target: pool.Hash(1000 + k), Requests: k + 1})
		}
		r.Endings = []fleet.Ending{{Target: 1000, Ending: pool.Ending{Outcome: link.Failed, Latency: 5 * time.Millisecond, Retryable: i%2 == 0}}}
		r.Unserved = []fleet.Unserved{{Service: 2000, Requests: 3}}
		r.Admitted = []quota.Count{{Account: 1 << 31, Total: 900, Recent: -1}}
		r.Waiting = []fleet.Waiting{{Service: 2000, Requests: pool.Waiting{1, 0, 300, 2}}, {Service: 2001, Requests: pool.Waiting{0, 1}}}
		d.Reports = append(d.Reports, r)
	}
	return d
}

func TestDatagramsAreDecodedAsEncoded(t *testing.T) {
	is := is.New(t)
	hello := fleet.Peer{ID: "h", Incarnation: 3, Zone: "a", Address: "10.0.0.1:1", DatagramAddress: "10.0.0.1:2", RPCAddress: "10.0.0.1:3", Capacity: 16}
	changes := &discovery.Changes{Since: 5, Updated: []discovery.Target{{ID: "t", Revision: 8}}, Removed: []string{"u"}, Reading: history.Reading{History: 3, Revision: 9, At: 77}, Digest: 4}
	pushed := fleet.Datagram{From: 1, Hop: fleet.ToZone, Changes: changes, ChangesStamp: fleet.Stamp{History: 3, Revision: 9, Digest: 4, Confirmed: 77}}
	noticed := datagram()
	noticed.Reports = noticed.Reports[:1]
	for i := range 40 {
		noticed.Reports[0].Notices = append(noticed.Reports[0].Notices, fleet.TargetNotice{Target: pool.Hash(1 << 30), Limit: target.RateLimit(i) + 1.5})
	}
	for _, d := range []fleet.Datagram{datagram(), noticed, pushed, {From: 1, Hop: fleet.ToHost, Hello: &hello, WantsHello: true}, {From: 1, Registered: true}} {
		data, err := EncodeDatagram(d)
		is.NoErr(err)
		is.True(len(data) < 1400) // one packet
		got, err := DecodeDatagram(data)
		is.NoErr(err)
		is.Equal(got, d)
	}
}

// TestDatagramsOfOtherVersions covers fields that do not match each other, and outcomes that this
// version does not know.
func TestDatagramsOfOtherVersions(t *testing.T) {
	is := is.New(t)
	data, err := proto.Marshal(&sharev1.Datagram{Reports: []*sharev1.Report{{
		Host: 1, LoadTargets: []uint32{1, 2, 3}, LoadRequests: []uint32{4},
		AdmittedAccounts: []uint32{1, 2}, AdmittedTotals: []uint32{5},
		EndingTargets: []uint32{1, 2}, EndingOutcomes: []uint32{99, 0}, EndingLatenciesMs: []uint32{1, 2},
	}}})
	is.NoErr(err)
	d, err := DecodeDatagram(data)
	is.NoErr(err)
	is.Equal(d.Reports[0].Loads, []fleet.Load{{Target: 1, Requests: 4}})
	is.Equal(len(d.Reports[0].Admitted), 0)
	is.Equal(len(d.Reports[0].Endings), 1)
	is.Equal(d.Reports[0].Endings[0].Outcome, link.Succeeded)
}

func TestTargetsAndChangesAreDecodedAsEncoded(t *testing.T) {
	is := is.New(t)
	list := []discovery.Target{{ID: "t", Born: 4, Service: "s", Address: "10.0.0.1:80", Zone: "a", Slots: 4, Leaving: true, Warming: true, Revision: 8}}
	targets := discovery.NewTargets(history.Reading{History: 3, Revision: 9, At: 77}, list)
	stamp := fleet.Stamp{
		History: 3, Revision: 9, Digest: targets.Digest, Confirmed: 77,
		Coverage: discovery.Coverage{Since: 12, GraceUntil: 2212, UnavailableAt: 11},
	}
	got, changes, gotStamp := TargetsFromProto(TargetsToProto(targets, nil, stamp))
	is.Equal(got, targets)
	is.True(changes == nil)
	is.Equal(gotStamp, stamp)
	want := &discovery.Changes{Since: 5, Updated: list, Removed: []string{"u"}, Reading: history.Reading{History: 3, Revision: 9, At: 77}, Digest: targets.Digest}
	got, changes, _ = TargetsFromProto(TargetsToProto(nil, want, stamp))
	is.True(got == nil)
	is.Equal(changes, want)
	got, changes, _ = TargetsFromProto(TargetsToProto(nil, nil, stamp))
	is.True(got == nil && changes == nil)
}

// FuzzDecodeDatagram checks that no bytes from the network make the decoder panic.
func FuzzDecodeDatagram(f *testing.F) {
	data, err := EncodeDatagram(datagram())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = DecodeDatagram(data) })
}

func BenchmarkDecodeDatagram(b *testing.B) {
	data, err := EncodeDatagram(datagram())
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := DecodeDatagram(data); err != nil {
			b.Fatal(err)
		}
	}
}

func TestNoticesAreDecodedAsEncoded(t *testing.T) {
	is := is.New(t)
	notices := []fleet.TargetNotice{{Target: 1, Leaving: true}, {Target: 2, Limit: 1.1}, {Target: 3}}
	is.Equal(NoticesFromProto(NoticesToProto(notices)), notices)
	for _, limit := range []float64{-1, math.NaN(), math.Inf(1)} {
		got := NoticesFromProto([]*sharev1.TargetNotice{{Target: 1, RateLimit: limit}})
		is.Equal(got, []fleet.TargetNotice{{Target: 1}})
	}
	// An odd limit must not stop all requests for long.
	got := NoticesFromProto([]*sharev1.TargetNotice{{Target: 1, RateLimit: 1e-300}})
	is.Equal(got[0].Limit, target.MinRateLimit)
}
