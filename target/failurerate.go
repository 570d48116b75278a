package target

// smoothingFactor is the weight of a new request in the exponential moving average.
const smoothingFactor = 1.0 / 64

// FailureRate is an exponential moving average of the share of failed requests.
type FailureRate struct{ rate float64 }

// Add counts one request.
func (r *FailureRate) Add(failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	r.rate += smoothingFactor * (value - r.rate)
}

// Rate returns the share of failed requests, from 0 to 1.
func (r *FailureRate) Rate() float64 { return r.rate }
