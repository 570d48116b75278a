package service

import (
	"testing"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/contract"
)

func TestConnectionShare(t *testing.T) {
	targets := func(connections ...int) *contract.Contract {
		c := &contract.Contract{}
		for _, n := range connections {
			c.Targets = append(c.Targets, contract.Target{Connections: n})
		}
		return c
	}
	for _, test := range []struct {
		connections []int
		hosts, want int
	}{
		{[]int{400, 400}, 4, 90},
		{[]int{400, 40}, 4, 9},
		{[]int{400, 0}, 1, 360},
		{[]int{4}, 48, 1},
		{[]int{400}, 0, 360},
		{[]int{0}, 4, 0},
		{nil, 4, 0},
	} {
		is := is.New(t)
		is.Equal(ConnectionShare(targets(test.connections...), test.hosts), test.want)
	}
}
