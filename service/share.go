package service

import "github.com/crocushinge/crocushinge/contract"

// directShare is the slots of a target that a host outside the entry set may
// use while it reaches no host of the set.
const directShare = 1

// Share returns how many slots of each target, in declared order, the member
// with the given rank of an entry set may use. The service's slots are dealt
// one by one to the members, so that their shares differ by one slot at most
// and add up to all slots when the members agree on the set. No safety rests
// on that agreement: with differing views a target sees some more requests
// than slots and sheds them.
func Share(targets []contract.Target, members, rank int) []int {
	out := make([]int, len(targets))
	dealt := 0
	for i, t := range targets {
		out[i] = dealtTo(dealt+t.Slots, members, rank) - dealtTo(dealt, members, rank)
		dealt += t.Slots
	}
	return out
}

// dealtTo returns how many of the first n slots are dealt to a rank.
func dealtTo(n, members, rank int) int { return (n + members - 1 - rank) / members }

// SetShare limits the links to this host's share of the slots: that of a
// member with the given rank, or directShare for a host outside the set,
// which has rank -1.
func (s *Service) SetShare(members, rank int) {
	if rank < 0 {
		for _, m := range s.members {
			m.link.SetLimit(directShare)
		}
		return
	}
	for i, n := range Share(s.Contract.Targets, members, rank) {
		s.members[i].link.SetLimit(n)
	}
}
