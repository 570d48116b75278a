// Package share encodes the datagrams, host rows and target lists of fleets
// whose targets register themselves and are discovered at run time.
package share

import (
	"math"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/fleet"
	"github.com/crocushinge/crocushinge/history"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/pool"
	"github.com/crocushinge/crocushinge/quota"
	"github.com/crocushinge/crocushinge/target"
	sharev1 "github.com/crocushinge/crocushinge/wire/gen/crocushinge/share/v1"
	"github.com/crocushinge/crocushinge/zone"
)

// toMillis converts a duration to whole milliseconds, limited to the range of
// uint32.
func toMillis(d time.Duration) uint32 {
	return uint32(min(max(0, d.Milliseconds()), math.MaxUint32))
}

func fromMillis(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// maxRequests limits the requests that one report states for a target or a service, so that a
// faulty host cannot overflow the sums.
const maxRequests = 1 << 20

func requests(n uint32) int { return int(min(n, maxRequests)) }

// EncodeDatagram encodes a datagram for other hosts.
func EncodeDatagram(d fleet.Datagram) ([]byte, error) {
	out := &sharev1.Datagram{From: uint32(d.From), Hop: uint32(d.Hop), Answer: d.WantsHello, Registered: d.Registered}
	if d.Hello != nil {
		out.Hello = PeerToProto(*d.Hello)
	}
	for _, r := range d.Reports {
		out.Reports = append(out.Reports, reportToProto(r))
	}
	if d.Changes != nil {
		out.Changes = TargetsToProto(nil, d.Changes, d.ChangesStamp)
	}
	data, err := proto.Marshal(out)
	return data, errors.Wrap(err, "encode datagram")
}

// DecodeDatagram decodes a datagram of another host.
func DecodeDatagram(data []byte) (fleet.Datagram, error) {
	var in sharev1.Datagram
	if err := proto.Unmarshal(data, &in); err != nil {
		return fleet.Datagram{}, errors.Wrap(err, "decode datagram")
	}
	d := fleet.Datagram{From: fleet.Hash(in.GetFrom()), Hop: fleet.Hop(in.GetHop()), WantsHello: in.GetAnswer(), Registered: in.GetRegistered()}
	if in.GetHello() != nil {
		peer := PeerFromProto(in.GetHello())
		d.Hello = &peer
	}
	if in.GetChanges().GetSince() > 0 {
		_, d.Changes, d.ChangesStamp = TargetsFromProto(in.GetChanges())
	}
	for _, r := range in.GetReports() {
		d.Reports = append(d.Reports, reportFromProto(r))
	}
	return d, nil
}

func reportToProto(r fleet.Report) *sharev1.Report {
	out := &sharev1.Report{
		Host:          uint32(r.Host),
		Incarnation:   r.Incarnation,
		Sequence:      r.Sequence,
		Ready:         r.Ready,
		Leaving:       r.Leaving,
		Targets:       StampToProto(r.Targets),
		Configuration: StampToProto(r.Configuration),
	}
	for _, l := range r.Loads {
		out.LoadTargets = append(out.LoadTargets, uint32(l.Target))
		out.LoadRequests = append(out.LoadRequests, uint32(l.Requests))
	}
	out.Notices = NoticesToProto(r.Notices)
	for _, u := range r.Unserved {
		out.UnservedServices = append(out.UnservedServices, uint32(u.Service))
		out.UnservedRequests = append(out.UnservedRequests, uint32(u.Requests))
	}
	for _, w := range r.Waiting {
		out.WaitingServices = append(out.WaitingServices, uint32(w.Service))
		for _, n := range w.Requests {
			out.WaitingRequests = append(out.WaitingRequests, uint32(n))
		}
	}
	for _, a := range r.Admitted {
		out.AdmittedAccounts = append(out.AdmittedAccounts, uint32(a.Account))
		out.AdmittedTotals = append(out.AdmittedTotals, a.Total)
		out.AdmittedRecent = append(out.AdmittedRecent, a.Recent)
	}
	for i, e := range r.Endings {
		if e.Retryable {
			out.EndingRetryable = append(out.EndingRetryable, uint32(i))
		}
		out.EndingTargets = append(out.EndingTargets, uint32(e.Target))
		out.EndingOutcomes = append(out.EndingOutcomes, uint32(e.Outcome))
		out.EndingLatenciesMs = append(out.EndingLatenciesMs, toMillis(e.Latency))
	}
	return out
}

func reportFromProto(r *sharev1.Report) fleet.Report {
	out := fleet.Report{
		Host:          fleet.Hash(r.GetHost()),
		Incarnation:   r.GetIncarnation(),
		Sequence:      r.GetSequence(),
		Ready:         r.GetReady(),
		Leaving:       r.GetLeaving(),
		Targets:       StampFromProto(r.GetTargets()),
		Configuration: StampFromProto(r.GetConfiguration()),
		Notices:       NoticesFromProto(r.GetNotices()),
		Waiting:       waitingFromProto(r),
	}
	loads := min(len(r.GetLoadTargets()), len(r.GetLoadRequests()))
	out.Loads = make([]fleet.Load, 0, loads)
	for i := range loads {
		out.Loads = append(out.Loads, fleet.Load{Target: pool.Hash(r.GetLoadTargets()[i]), Requests: requests(r.GetLoadRequests()[i])})
	}
	endings := min(len(r.GetEndingTargets()), len(r.GetEndingOutcomes()), len(r.GetEndingLatenciesMs()))
	retryable := make(map[uint32]bool, len(r.GetEndingRetryable()))
	for _, i := range r.GetEndingRetryable() {
		retryable[i] = true
	}
	for i := range endings {
		outcome := r.GetEndingOutcomes()[i]
		if outcome >= uint32(link.Outcomes) {
			continue // an outcome that only a later version knows
		}
		out.Endings = append(out.Endings, fleet.Ending{
			Target: pool.Hash(r.GetEndingTargets()[i]),
			Ending: pool.Ending{Outcome: link.Outcome(outcome), Latency: fromMillis(r.GetEndingLatenciesMs()[i]), Retryable: retryable[uint32(i)]},
		})
	}
	unserved := min(len(r.GetUnservedServices()), len(r.GetUnservedRequests()))
	for i := range unserved {
		out.Unserved = append(out.Unserved, fleet.Unserved{Service: pool.ServiceHash(r.GetUnservedServices()[i]), Requests: requests(r.GetUnservedRequests()[i])})
	}
	out.Admitted = countsFromProto(r)
	return out
}

// countsFromProto decodes the requests of limited accounts that a host has admitted.
func countsFromProto(r *sharev1.Report) []quota.Count {
	var out []quota.Count
	for i := range min(len(r.GetAdmittedAccounts()), len(r.GetAdmittedTotals()), len(r.GetAdmittedRecent())) {
		out = append(out, quota.Count{
			Account: caller.AccountHash(r.GetAdmittedAccounts()[i]), Total: r.GetAdmittedTotals()[i], Recent: r.GetAdmittedRecent()[i],
		})
	}
	return out
}

// waitingFromProto decodes the waiting requests of a report. Services without a number for each
// class are left out.
func waitingFromProto(r *sharev1.Report) []fleet.Waiting {
	var out []fleet.Waiting
	counts := r.GetWaitingRequests()
	for _, service := range r.GetWaitingServices() {
		w := fleet.Waiting{Service: pool.ServiceHash(service)}
		if len(counts) < len(w.Requests) {
			break
		}
		for c := range w.Requests {
			w.Requests[c] = requests(counts[c])
		}
		counts = counts[len(w.Requests):]
		out = append(out, w)
	}
	return out
}

// NoticesToProto encodes what targets have said.
func NoticesToProto(notices []fleet.TargetNotice) []*sharev1.TargetNotice {
	var out []*sharev1.TargetNotice
	for _, n := range notices {
		out = append(out, &sharev1.TargetNotice{Target: uint32(n.Target), Leaving: n.Leaving, RateLimit: float64(n.Limit)})
	}
	return out
}

// NoticesFromProto decodes what targets have said.
func NoticesFromProto(in []*sharev1.TargetNotice) []fleet.TargetNotice {
	var out []fleet.TargetNotice
	for _, n := range in {
		out = append(out, fleet.TargetNotice{
			Target: pool.Hash(n.GetTarget()), Leaving: n.GetLeaving(), Limit: target.NewRateLimit(n.GetRateLimit()),
		})
	}
	return out
}

// StampToProto encodes the version and age of a document. It returns nil when
// the host has no version.
func StampToProto(s fleet.Stamp) *sharev1.Stamp {
	if s.Revision == 0 {
		return nil
	}
	return &sharev1.Stamp{
		History: uint64(s.History), Revision: s.Revision, Digest: s.Digest, AgeMs: toMillis(s.Age), ConfirmedMs: s.Confirmed,
		ReadSinceMs: s.Coverage.Since, GraceUntilMs: s.Coverage.GraceUntil, UnavailableMs: s.Coverage.UnavailableAt,
	}
}

// StampFromProto decodes the version and age of a document.
func StampFromProto(s *sharev1.Stamp) fleet.Stamp {
	return fleet.Stamp{
		History: history.ID(s.GetHistory()), Revision: s.GetRevision(), Digest: s.GetDigest(), Age: fromMillis(s.GetAgeMs()), Confirmed: s.GetConfirmedMs(),
		Coverage: discovery.Coverage{Since: s.GetReadSinceMs(), GraceUntil: s.GetGraceUntilMs(), UnavailableAt: s.GetUnavailableMs()},
	}
}

// PeerToProto encodes the description of a host.
func PeerToProto(p fleet.Peer) *sharev1.Host {
	return &sharev1.Host{
		Id:          string(p.ID),
		Incarnation: p.Incarnation,
		Zone:        string(p.Zone),
		Address:     p.Address,
		Datagrams:   p.DatagramAddress,
		Documents:   p.RPCAddress,
		Capacity:    uint32(p.Capacity),
	}
}

// PeerFromProto decodes the description of a host.
func PeerFromProto(p *sharev1.Host) fleet.Peer {
	return fleet.Peer{
		ID:              fleet.ID(p.GetId()),
		Incarnation:     p.GetIncarnation(),
		Zone:            zone.ID(p.GetZone()),
		Address:         p.GetAddress(),
		DatagramAddress: p.GetDatagrams(),
		RPCAddress:      p.GetDocuments(),
		Capacity:        int(p.GetCapacity()),
	}
}

// EncodePeer encodes the description of a host for its row in the metadata store.
func EncodePeer(p fleet.Peer) ([]byte, error) {
	data, err := proto.Marshal(PeerToProto(p))
	return data, errors.Wrap(err, "encode host")
}

// DecodePeer decodes the row of a host in the metadata store. It fails when the
// host that it names cannot be used.
func DecodePeer(data []byte) (fleet.Peer, error) {
	var in sharev1.Host
	if err := proto.Unmarshal(data, &in); err != nil {
		return fleet.Peer{}, errors.Wrap(err, "decode host")
	}
	p := PeerFromProto(&in)
	return p, errors.Wrap(p.Check(), "decode host")
}

// TargetsToProto encodes the list of registered targets, or the changes in it, with the
// stamp of the version. It returns nil when both are missing.
func TargetsToProto(t *discovery.Targets, changes *discovery.Changes, stamp fleet.Stamp) *sharev1.Targets {
	out := &sharev1.Targets{Stamp: StampToProto(stamp)}
	switch {
	case changes != nil:
		out.Since, out.Removed = changes.Since, changes.Removed
		out.Targets = targetListToProto(changes.Updated)
	case t != nil:
		out.Targets = targetListToProto(t.List)
	default:
		return nil
	}
	return out
}

func targetListToProto(list []discovery.Target) []*sharev1.Target {
	out := make([]*sharev1.Target, 0, len(list))
	for _, entry := range list {
		out = append(out, &sharev1.Target{
			Id:       entry.ID,
			Born:     entry.Born,
			Service:  entry.Service,
			Address:  entry.Address,
			Zone:     string(entry.Zone),
			Slots:    uint32(entry.Slots),
			Draining: entry.Leaving,
			Warming:  entry.Warming,
			Revision: entry.Revision,
		})
	}
	return out
}

// TargetsFromProto decodes the list of registered targets, or the changes in it, with the
// stamp of the version. It returns neither for a missing message.
func TargetsFromProto(in *sharev1.Targets) (*discovery.Targets, *discovery.Changes, fleet.Stamp) {
	if in == nil {
		return nil, nil, fleet.Stamp{}
	}
	stamp := StampFromProto(in.GetStamp())
	list := make([]discovery.Target, 0, len(in.GetTargets()))
	for _, entry := range in.GetTargets() {
		list = append(list, discovery.Target{
			ID:       entry.GetId(),
			Born:     entry.GetBorn(),
			Service:  entry.GetService(),
			Address:  entry.GetAddress(),
			Zone:     zone.ID(entry.GetZone()),
			Slots:    int(min(entry.GetSlots(), discovery.MaxSlots)),
			Leaving:  entry.GetDraining(),
			Warming:  entry.GetWarming(),
			Revision: entry.GetRevision(),
		})
	}
	reading := history.Reading{History: stamp.History, Revision: stamp.Revision, At: stamp.Confirmed}
	if in.GetSince() == 0 {
		return discovery.NewTargets(reading, list), nil, stamp
	}
	return nil, &discovery.Changes{
		Since: in.GetSince(), Updated: list, Removed: in.GetRemoved(),
		Reading: reading, Digest: stamp.Digest,
	}, stamp
}
