// Package wallshift emulates a step of the machine's wall clock: readings of the time whose wall clock is off, while their
// monotonic clock runs on. No program that serves links it.
package wallshift

import (
	"time"
	"unsafe"
)

// secondUnit is a second in the first word of a time.Time that has a monotonic reading: below it are 30 bits of nanoseconds.
const secondUnit = 1 << 30

// Shift is t, which has a monotonic reading, with its wall clock off by whole seconds. Every other way to add to a time moves
// both of its readings.
func Shift(t time.Time, seconds int64) time.Time {
	*(*uint64)(unsafe.Pointer(&t)) += uint64(seconds * secondUnit)
	return t
}
