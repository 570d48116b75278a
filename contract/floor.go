package contract

// Floor is the healthy capacity below which no ejection may take the service.
// Exactly one of its fields is set.
type Floor struct {
	// Slots is an absolute number of slots.
	Slots int
	// Percent is a share of the declared slots, from 1 to 100.
	Percent int
}

// MinSlots returns the floor in slots, rounded up, for the declared capacity.
func (f Floor) MinSlots(declared int) int {
	if f.Percent > 0 {
		return (declared*f.Percent + 99) / 100
	}
	return f.Slots
}

// AllowsEjection reports whether ejecting a target of the given slots keeps
// the healthy slots at or above the floor.
func (f Floor) AllowsEjection(declared, healthy, slots int) bool {
	return healthy-slots >= f.MinSlots(declared)
}
