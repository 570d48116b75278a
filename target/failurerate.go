package target

// failureDecay is the weight of a new request in the moving failure rate.
const failureDecay = 1.0 / 64

// FailureRate is a moving average of the share of failed requests.
type FailureRate struct{ rate float64 }

// Add counts a request.
func (r *FailureRate) Add(failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	r.rate += failureDecay * (value - r.rate)
}

// Rate returns the share of failed requests, from 0 to 1.
func (r *FailureRate) Rate() float64 { return r.rate }
