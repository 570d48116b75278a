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
