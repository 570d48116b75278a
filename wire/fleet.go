package wire

import (
	"time"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/timeline"
	fleetv1 "github.com/crocushinge/crocushinge/wire/gen/crocushinge/fleet/v1"
	"github.com/crocushinge/crocushinge/zone"
)

// PeerToProto encodes an identity.
func PeerToProto(id host.Identity) *fleetv1.Peer {
	return &fleetv1.Peer{
		Id:           string(id.ID),
		Incarnation:  id.Incarnation,
		Zone:         string(id.Zone),
		Address:      id.Address,
		FleetAddress: id.FleetAddress,
		ApiAddress:   id.APIAddress,
		Leaving:      id.Leaving,
	}
}

// PeerFromProto decodes an identity.
func PeerFromProto(p *fleetv1.Peer) host.Identity {
	return host.Identity{
		ID:           host.ID(p.GetId()),
		Incarnation:  p.GetIncarnation(),
		Zone:         zone.ID(p.GetZone()),
		Address:      p.GetAddress(),
		FleetAddress: p.GetFleetAddress(),
		APIAddress:   p.GetApiAddress(),
		Leaving:      p.GetLeaving(),
	}
}

// PeersToProto encodes identities.
func PeersToProto(ids []host.Identity) []*fleetv1.Peer {
	out := make([]*fleetv1.Peer, len(ids))
	for i, id := range ids {
		out[i] = PeerToProto(id)
	}
	return out
}

// PeersFromProto decodes identities.
func PeersFromProto(peers []*fleetv1.Peer) []host.Identity {
	out := make([]host.Identity, len(peers))
	for i, p := range peers {
		out[i] = PeerFromProto(p)
	}
	return out
}

// StampToProto encodes a clock reading.
func StampToProto(s timeline.Stamp) *fleetv1.Stamp {
	return &fleetv1.Stamp{Wall: s.Wall, Logical: s.Logical}
}

// StampFromProto decodes a clock reading.
func StampFromProto(s *fleetv1.Stamp) timeline.Stamp {
	return timeline.Stamp{Wall: s.GetWall(), Logical: s.GetLogical()}
}

// ChangeToProto encodes a change for a peer.
func ChangeToProto(ch contract.Change) *fleetv1.Change {
	return &fleetv1.Change{
		Revision: ch.Revision,
		Service:  ch.Service,
		Version:  ch.Version,
		Document: ch.Document,
		Proposal: ch.Proposal,
		Operator: ch.Operator,
		At:       ch.At.UnixMilli(),
	}
}

// ChangeFromProto decodes a change and parses its contract.
func ChangeFromProto(p *fleetv1.Change) (contract.Change, error) {
	return withContract(contract.Change{
		Revision: p.GetRevision(),
		Service:  p.GetService(),
		Version:  p.GetVersion(),
		Document: p.GetDocument(),
		Proposal: p.GetProposal(),
		Operator: p.GetOperator(),
		At:       time.UnixMilli(p.GetAt()),
	})
}
