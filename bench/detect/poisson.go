package main

import "math"

// confidence is the confidence level of the upper bounds on rates.
const confidence = 0.95

// poissonBound returns the exact upper confidence bound of the mean of a Poisson
// distribution from which a count of n was observed.
func poissonBound(n int) float64 {
	low, high := float64(n), 2*float64(n)+10
	for range 60 {
		mid := (low + high) / 2
		if poissonAtMost(n, mid) > 1-confidence {
			low = mid
		} else {
			high = mid
		}
	}
	return high
}

// poissonAtMost returns the probability of at most n events in a Poisson
// distribution with the given mean.
func poissonAtMost(n int, mean float64) float64 {
	term := math.Exp(-mean)
	sum := term
	for i := 1; i <= n; i++ {
		term *= mean / float64(i)
		sum += term
	}
	return sum
}
