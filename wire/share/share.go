// Package share encodes what the hosts of a fleet with discovered targets tell
// each other.
package share

import (
	"math"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/fleet"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/pool"
	sharev1 "github.com/crocushinge/crocushinge/wire/gen/crocushinge/share/v1"
	"github.com/crocushinge/crocushinge/zone"
)

// millis encodes a duration in whole milliseconds.
func millis(d time.Duration) uint32 {
	return uint32(min(max(0, d.Milliseconds()), math.MaxUint32))
}

func duration(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// EncodeDatagram encodes a datagram.
func EncodeDatagram(d fleet.Datagram) ([]byte, error) {
	out := &sharev1.Datagram{From: uint32(d.From), Hop: uint32(d.Hop), Answer: d.WantHello}
	if d.Hello != nil {
		out.Hello = PeerToProto(*d.Hello)
	}
	for _, r := range d.Reports {
		out.Reports = append(out.Reports, reportToProto(r))
	}
	data, err := proto.Marshal(out)
	return data, errors.Wrap(err, "encode a datagram")
}

// DecodeDatagram decodes a datagram.
func DecodeDatagram(data []byte) (fleet.Datagram, error) {
	var in sharev1.Datagram
	if err := proto.Unmarshal(data, &in); err != nil {
		return fleet.Datagram{}, errors.Wrap(err, "decode a datagram")
	}
	d := fleet.Datagram{From: fleet.Hash(in.GetFrom()), Hop: fleet.Hop(in.GetHop()), WantHello: in.GetAnswer()}
	if in.GetHello() != nil {
		peer := PeerFromProto(in.GetHello())
		d.Hello = &peer
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
		out.Loads = append(out.Loads, &sharev1.Load{Target: uint32(l.Target), Requests: uint32(l.Requests)})
	}
	for _, e := range r.Endings {
		out.Endings = append(out.Endings, &sharev1.Ending{
			Target:    uint32(e.Target),
			Outcome:   uint32(e.Outcome),
			LatencyMs: millis(e.Latency),
		})
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
	}
	for _, l := range r.GetLoads() {
		out.Loads = append(out.Loads, fleet.Load{Target: pool.Hash(l.GetTarget()), Requests: int(l.GetRequests())})
	}
	for _, e := range r.GetEndings() {
		if e.GetOutcome() >= uint32(link.Outcomes) {
			continue // of a later version
		}
		out.Endings = append(out.Endings, fleet.Ending{
			Target: pool.Hash(e.GetTarget()),
			Ending: pool.Ending{Outcome: link.Outcome(e.GetOutcome()), Latency: duration(e.GetLatencyMs())},
		})
	}
	return out
}

// StampToProto encodes a stamp.
func StampToProto(s fleet.Stamp) *sharev1.Stamp {
	if s.Revision == 0 {
		return nil
	}
	return &sharev1.Stamp{Revision: s.Revision, Digest: s.Digest, AgeMs: millis(s.Age), ConfirmedMs: s.Confirmed}
}

// StampFromProto decodes a stamp.
func StampFromProto(s *sharev1.Stamp) fleet.Stamp {
	return fleet.Stamp{Revision: s.GetRevision(), Digest: s.GetDigest(), Age: duration(s.GetAgeMs()), Confirmed: s.GetConfirmedMs()}
}

// PeerToProto encodes a host.
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

// PeerFromProto decodes a host.
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

// EncodePeer encodes a host for its row in the store.
func EncodePeer(p fleet.Peer) ([]byte, error) {
	data, err := proto.Marshal(PeerToProto(p))
	return data, errors.Wrap(err, "encode a host")
}

// DecodePeer decodes a host's row in the store.
func DecodePeer(data []byte) (fleet.Peer, error) {
	var in sharev1.Host
	if err := proto.Unmarshal(data, &in); err != nil {
		return fleet.Peer{}, errors.Wrap(err, "decode a host")
	}
	p := PeerFromProto(&in)
	if p.ID == "" || p.Address == "" || p.DatagramAddress == "" || p.RPCAddress == "" {
		return fleet.Peer{}, errors.New("decode a host: its id or an address is missing")
	}
	return p, nil
}

// TargetsToProto encodes the registered targets.
func TargetsToProto(t *discovery.Targets, stamp fleet.Stamp) *sharev1.Targets {
	if t == nil {
		return nil
	}
	out := &sharev1.Targets{Stamp: StampToProto(stamp)}
	for _, e := range t.List {
		out.Targets = append(out.Targets, &sharev1.Target{
			Id:       e.ID,
			Born:     e.Born,
			Service:  e.Service,
			Address:  e.Address,
			Zone:     string(e.Zone),
			Slots:    uint32(e.Slots),
			Draining: e.Leaving,
			Warming:  e.Warming,
			Revision: e.Revision,
		})
	}
	return out
}

// TargetsFromProto decodes the registered targets.
func TargetsFromProto(in *sharev1.Targets) (*discovery.Targets, fleet.Stamp) {
	if in == nil {
		return nil, fleet.Stamp{}
	}
	stamp := StampFromProto(in.GetStamp())
	list := make([]discovery.Target, 0, len(in.GetTargets()))
	for _, e := range in.GetTargets() {
		list = append(list, discovery.Target{
			ID:       e.GetId(),
			Born:     e.GetBorn(),
			Service:  e.GetService(),
			Address:  e.GetAddress(),
			Zone:     zone.ID(e.GetZone()),
			Slots:    int(e.GetSlots()),
			Leaving:  e.GetDraining(),
			Warming:  e.GetWarming(),
			Revision: e.GetRevision(),
		})
	}
	return discovery.NewTargets(stamp.Revision, stamp.Confirmed, list), stamp
}
