//go:build testbed

package sockets

import (
	"syscall"

	"onyxroad.dev/onyxroad/internal/faultfile"
)

func init() {
	if f := faultfile.Named(); f != nil {
		SetFaults(fromFile{f})
	}
}

// fromFile has calls fail as the testbed's file says.
type fromFile struct{ *faultfile.File }

func (f fromFile) Fail(call Call) syscall.Errno { return f.Next(string(call)).Errno }

func (f fromFile) Most(n int) int {
	if most := f.Now().Short; most > 0 {
		return min(n, most)
	}
	return n
}
