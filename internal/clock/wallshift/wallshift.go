// Package wallshift emulates a step of the machine's wall clock: it returns times whose wall clock reading is offset while their
// monotonic reading is unchanged. No production program links it.
package wallshift

import (
	"time"
	"unsafe"
)

// secondUnit is one second in the first word of a time.Time with a monotonic reading, whose lowest 30 bits are nanoseconds.
const secondUnit = 1 << 30

// Shift returns t, which must have a monotonic reading, with its wall clock offset by whole seconds. Package time has no such operation:
// adding to a time moves both of its readings.
func Shift(t time.Time, seconds int64) time.Time {
	*(*uint64)(unsafe.Pointer(&t)) += uint64(seconds * secondUnit)
	return t
}
