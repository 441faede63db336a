//go:build testbed

package sockets

import (
	"syscall"

	"onyxroad.dev/onyxroad/internal/faultfile"
)

func init() {
	if f := faultfile.FromEnv(); f != nil {
		SetFaults(fileFaults{f})
	}
}

// fileFaults implements Faults with the rules of the testbed's fault file.
type fileFaults struct{ *faultfile.File }

func (f fileFaults) Fail(call Call) syscall.Errno { return f.Next(string(call)).Errno }

func (f fileFaults) MaxBytes(n int) int {
	if most := f.Current().MaxIO; most > 0 {
		return min(n, most)
	}
	return n
}
