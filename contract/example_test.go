package contract_test

import (
	"fmt"

	"github.com/crocushinge/crocushinge/contract"
)

// A floor of 60% of 24 declared slots allows one target of 4 slots to be
// ejected from 20 healthy ones, and no second.
func ExampleFloor() {
	floor := contract.Floor{Percent: 60}
	fmt.Println("least slots:", floor.MinSlots(24))
	fmt.Println(floor.AllowsEjection(24, 20, 4))
	fmt.Println(floor.AllowsEjection(24, 16, 4))
	// Output:
	// least slots: 15
	// true
	// false
}
