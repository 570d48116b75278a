package contract_test

import (
	"fmt"

	"github.com/crocushinge/crocushinge/contract"
)

// A floor of 60% of 24 declared slots is 15 slots. With 20 healthy slots it
// allows the ejection of one target of 4 slots, but not of a second one.
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
