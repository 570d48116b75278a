package contract

// Floor is the minimum healthy capacity of a service: no ejection may reduce
// the capacity below it. Exactly one field is set.
type Floor struct {
	// Slots is an absolute number of slots.
	Slots int
	// Percent is a percentage of the declared slots, from 1 to 100.
	Percent int
}

// MinSlots returns the floor in slots, rounded up. Declared is the number of
// declared slots.
func (f Floor) MinSlots(declared int) int {
	if f.Percent > 0 {
		return (declared*f.Percent + 99) / 100
	}
	return f.Slots
}

// AllowsEjection reports whether the healthy slots stay at or above the floor
// after the ejection of a target with the given slots.
func (f Floor) AllowsEjection(declared, healthy, slots int) bool {
	return healthy-slots >= f.MinSlots(declared)
}
