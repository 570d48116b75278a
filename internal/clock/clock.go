// Package clock converts times to numbers that have the same order as the times
// within this process. Numbers taken from the wall clock would jump whenever it
// is adjusted.
package clock

import "time"

var processStart = time.Now()

// Nanos returns the nanoseconds from the start of the process to t. It uses the
// monotonic clock if t has a monotonic reading, as times from time.Now do.
func Nanos(t time.Time) int64 { return int64(t.Sub(processStart)) }

// Time converts a number from Nanos back to a time.
func Time(nanos int64) time.Time { return processStart.Add(time.Duration(nanos)) }
