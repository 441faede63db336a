// Package process runs the relays under test as real processes: it starts, kills, pauses, replaces and starves them and
// samples the resources they use. None outlives the testbed, even if the testbed crashes.
package process

import (
	"os/exec"
	"runtime"
	"syscall"
)

// Starter starts processes that the kernel kills when the testbed ends, even by a crash or SIGKILL. The parent-death signal
// is tied to the thread that started the child, so a single long-lived thread starts them all.
type Starter struct{ requests chan func() }

// NewStarter returns a Starter with its thread running.
func NewStarter() *Starter {
	s := &Starter{requests: make(chan func())}
	go func() {
		runtime.LockOSThread() // never unlocked: the thread exits with the goroutine, after Stop
		for f := range s.requests {
			f()
		}
	}()
	return s
}

// Start starts a command in its own process group.
func (s *Starter) Start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	done := make(chan error)
	s.requests <- func() { done <- cmd.Start() }
	return <-done
}

// Stop ends the thread. Every process that it started must have exited.
func (s *Starter) Stop() { close(s.requests) }
