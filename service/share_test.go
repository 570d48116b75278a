package service

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/crocushinge/crocushinge/contract"
)

func TestSharesAddUpToTheSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(1, 20).Draw(t, "members")
		slots := rapid.SliceOfN(rapid.IntRange(1, 8), 1, 30).Draw(t, "slots")
		targets := make([]contract.Target, len(slots))
		total := 0
		for i, n := range slots {
			targets[i].Slots = n
			total += n
		}
		perTarget := make([]int, len(slots))
		for rank := range members {
			own := 0
			for i, n := range Share(targets, members, rank) {
				perTarget[i] += n
				own += n
			}
			if own != total/members && own != total/members+1 {
				t.Fatalf("rank %d of %d has %d of %d slots", rank, members, own, total)
			}
		}
		for i, n := range perTarget {
			if n != slots[i] {
				t.Fatalf("target %d: %d slots assigned of %d", i, n, slots[i])
			}
		}
	})
}
