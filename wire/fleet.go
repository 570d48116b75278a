package wire

import (
	"time"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/history"
	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/timeline"
	fleetv1 "github.com/crocushinge/crocushinge/wire/gen/crocushinge/fleet/v1"
	"github.com/crocushinge/crocushinge/zone"
)

// PeerToProto encodes a host's identity.
func PeerToProto(id host.Identity) *fleetv1.Peer {
	return &fleetv1.Peer{
		Id:           string(id.ID),
		Incarnation:  id.Incarnation,
		Zone:         string(id.Zone),
		Address:      id.Address,
		FleetAddress: id.FleetAddress,
		ApiAddress:   id.APIAddress,
		Leaving:      id.Leaving,
		Sequence:     id.Sequence,
		Sick:         id.Sick,
	}
}

// PeerFromProto decodes a host's identity.
func PeerFromProto(p *fleetv1.Peer) host.Identity {
	return host.Identity{
		ID:           host.ID(p.GetId()),
		Incarnation:  p.GetIncarnation(),
		Zone:         zone.ID(p.GetZone()),
		Address:      p.GetAddress(),
		FleetAddress: p.GetFleetAddress(),
		APIAddress:   p.GetApiAddress(),
		Leaving:      p.GetLeaving(),
		Sequence:     p.GetSequence(),
		Sick:         p.GetSick(),
	}
}

// peerStateToProto maps each peer state to its encoding.
var peerStateToProto = map[host.PeerState]fleetv1.PeerState{
	host.PeerAlive:   fleetv1.PeerState_PEER_STATE_ALIVE,
	host.PeerSuspect: fleetv1.PeerState_PEER_STATE_SUSPECT,
	host.PeerGone:    fleetv1.PeerState_PEER_STATE_GONE,
}

// peerStateFromProto decodes a peer state. A state that only a later version knows is
// decoded as alive; this host then detects by its own pings whether the peer fails.
func peerStateFromProto(state fleetv1.PeerState) host.PeerState {
	for decoded, encoded := range peerStateToProto {
		if encoded == state {
			return decoded
		}
	}
	return host.PeerAlive
}

// UpdatesToProto encodes membership updates.
func UpdatesToProto(updates []host.Update) []*fleetv1.Update {
	out := make([]*fleetv1.Update, len(updates))
	for i, u := range updates {
		out[i] = &fleetv1.Update{Peer: PeerToProto(u.Identity), State: peerStateToProto[u.State]}
	}
	return out
}

// UpdatesFromProto decodes membership updates.
func UpdatesFromProto(updates []*fleetv1.Update) []host.Update {
	out := make([]host.Update, len(updates))
	for i, u := range updates {
		out[i] = host.Update{Identity: PeerFromProto(u.GetPeer()), State: peerStateFromProto(u.GetState())}
	}
	return out
}

// MessageToProto encodes a message of the membership protocol.
func MessageToProto(m host.Message) *fleetv1.Message {
	return &fleetv1.Message{
		From:     PeerToProto(m.From),
		Revision: m.Revision,
		History:  uint64(m.History),
		Kept:     uint32(m.Kept),
		Ready:    m.Ready,
		Stamp:    StampToProto(m.Stamp),
		Updates:  UpdatesToProto(m.Updates),
		Digest:   m.Digest,
	}
}

// MessageFromProto decodes a message of the membership protocol.
func MessageFromProto(m *fleetv1.Message) host.Message {
	return host.Message{
		From:     PeerFromProto(m.GetFrom()),
		Revision: m.GetRevision(),
		History:  history.ID(m.GetHistory()),
		Kept:     int(m.GetKept()),
		Ready:    m.GetReady(),
		Stamp:    StampFromProto(m.GetStamp()),
		Updates:  UpdatesFromProto(m.GetUpdates()),
		Digest:   m.GetDigest(),
	}
}

// StampToProto encodes a reading of the hybrid logical clock.
func StampToProto(s timeline.Stamp) *fleetv1.Stamp {
	return &fleetv1.Stamp{Wall: s.Wall, Logical: s.Logical}
}

// StampFromProto decodes a reading of the hybrid logical clock.
func StampFromProto(s *fleetv1.Stamp) timeline.Stamp {
	return timeline.Stamp{Wall: s.GetWall(), Logical: s.GetLogical()}
}

// ChangeToProto encodes a configuration change for a peer.
func ChangeToProto(ch contract.Change) *fleetv1.Change {
	return &fleetv1.Change{
		Revision: ch.Revision,
		Service:  ch.Subject,
		Version:  ch.Version,
		Document: ch.Document,
		Proposal: ch.Proposal,
		Operator: ch.Operator,
		At:       ch.At.UnixMilli(),
	}
}

// ChangeFromProto decodes a configuration change of a peer and parses its
// document.
func ChangeFromProto(p *fleetv1.Change) (contract.Change, error) {
	return parseDocument(contract.Change{
		Revision: p.GetRevision(),
		Subject:  p.GetService(),
		Version:  p.GetVersion(),
		Document: p.GetDocument(),
		Proposal: p.GetProposal(),
		Operator: p.GetOperator(),
		At:       time.UnixMilli(p.GetAt()),
	})
}
