// Package process runs the relays under test as real processes: it starts, kills, pauses, replaces and starves them,
// watches what they hold, and leaves none behind, whatever becomes of the testbed itself.
package process

import (
	"os/exec"
	"runtime"
	"syscall"
)

// Starter starts processes that the kernel kills when the testbed ends, by a crash or SIGKILL too. The kernel goes by the
// thread that started them, so that one thread does it and stays.
type Starter struct{ requests chan func() }

// NewStarter returns one that is ready.
func NewStarter() *Starter {
	s := &Starter{requests: make(chan func())}
	go func() {
		runtime.LockOSThread() // never unlocked: the thread ends with the goroutine, when the run is over
		for f := range s.requests {
			f()
		}
	}()
	return s
}

// Start starts a command as a process group of its own.
func (s *Starter) Start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	done := make(chan error)
	s.requests <- func() { done <- cmd.Start() }
	return <-done
}

// Stop lets the thread go. Everything that it started has to have ended.
func (s *Starter) Stop() { close(s.requests) }
