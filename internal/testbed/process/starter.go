// Package process runs the relays under test as real processes: it starts, kills, pauses, replaces and starves them,
// watches what they hold, and leaves none behind, whatever becomes of the testbed itself.
package process

import (
	"os/exec"
	"runtime"
	"syscall"
)

// starter starts processes that the kernel kills when the testbed ends, by a crash or SIGKILL too. The kernel goes by the
// thread that started them, so that one thread does it and stays.
type starter struct{ todo chan func() }

func newStarter() *starter {
	s := &starter{todo: make(chan func())}
	go func() {
		runtime.LockOSThread() // never unlocked: the thread ends with the goroutine, when the run is over
		for f := range s.todo {
			f()
		}
	}()
	return s
}

// start starts a command as a process group of its own.
func (s *starter) start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	done := make(chan error)
	s.todo <- func() { done <- cmd.Start() }
	return <-done
}

// end lets the thread go. Everything that it started has to have ended.
func (s *starter) end() { close(s.todo) }
