// Package clock turns times into numbers that compare as the times do within this
// process. The time of day may jump; a number taken from it would jump too.
package clock

import "time"

var started = time.Now()

// Nanos returns the time since the process started, in nanoseconds, by the steady clock
// if the time bears its reading, as those of time.Now do.
func Nanos(t time.Time) int64 { return int64(t.Sub(started)) }

// Time returns the time of a number from Nanos.
func Time(nanos int64) time.Time { return started.Add(time.Duration(nanos)) }
