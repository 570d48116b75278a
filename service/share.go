package service

import "github.com/crocushinge/crocushinge/contract"

// nonMemberSlots is the number of slots of a target that a host outside the entry set
// may use while it reaches no host of the set.
const nonMemberSlots = 1

// SlotShare returns how many slots of each target, in declared order, one member of an
// entry set may use. members is the size of the set, and rank the member's index in it.
// The service's slots are assigned to the members in turn, so that their shares differ
// by at most one slot, and add up to all slots if the members agree on the set. The
// members need not agree: if their views differ, a target receives somewhat more
// requests than it has slots, and sheds the excess.
func SlotShare(targets []contract.Target, members, rank int) []int {
	share := make([]int, len(targets))
	assigned := 0
	for i, t := range targets {
		share[i] = slotsAssignedTo(assigned+t.Slots, members, rank) - slotsAssignedTo(assigned, members, rank)
		assigned += t.Slots
	}
	return share
}

// slotsAssignedTo returns how many of the first n slots are assigned to a rank.
func slotsAssignedTo(n, members, rank int) int { return (n + members - 1 - rank) / members }

// outsideRateShare is the part of a target's rate limit that is set aside for the hosts outside
// the entry set. They send requests themselves only while they reach no host of the set, and
// then hear nothing of each other.
const outsideRateShare = 0.1

// RateShare returns the share of a target's rate limit that a host may use by itself. The
// members of the entry set divide all but outsideRateShare among themselves, and all hosts of
// the fleet divide that, so that the shares add up to 1 at most if the hosts agree on the set.
func RateShare(members, rank, hosts int) float64 {
	if rank < 0 {
		return outsideRateShare / float64(max(1, hosts))
	}
	return (1 - outsideRateShare) / float64(members)
}

// SetRateShare limits the links to a share of the targets' rate limits.
func (s *Service) SetRateShare(share float64) {
	for _, m := range s.targets {
		m.link.SetRateShare(share)
	}
}

// SetSlotShare limits the links to this host's share of the slots: that of the member
// with the given rank, or nonMemberSlots for a host outside the set, whose rank is -1.
func (s *Service) SetSlotShare(members, rank int) {
	if rank < 0 {
		for _, m := range s.targets {
			m.link.SetLimit(nonMemberSlots)
		}
		return
	}
	for i, n := range SlotShare(s.Contract.Targets, members, rank) {
		s.targets[i].link.SetLimit(n)
	}
}
