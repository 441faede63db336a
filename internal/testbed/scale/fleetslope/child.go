package fleetslope

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"onyxroad.dev/onyxroad/internal/testbed/network"
	"onyxroad.dev/onyxroad/internal/testbed/process"
)

// child is a child process that ends with this process.
type child struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

// launch starts a program with its output redirected to a file in dir.
func launch(start *process.Starter, dir string, cmd *exec.Cmd) (*child, error) {
	out, err := os.OpenFile(filepath.Join(dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("fleetslope: %w", err)
	}
	defer out.Close()
	cmd.Stdout, cmd.Stderr, cmd.Dir = out, out, dir
	if err := start.Start(cmd); err != nil {
		return nil, fmt.Errorf("fleetslope: start %s: %w", cmd.Path, err)
	}
	c := &child{cmd: cmd, exited: make(chan struct{})}
	go func() { cmd.Wait(); close(c.exited) }()
	return c, nil
}

func (c *child) pid() int { return c.cmd.Process.Pid }

// kill sends SIGKILL and waits for the process to exit.
func (c *child) kill() {
	c.cmd.Process.Signal(syscall.SIGKILL)
	<-c.exited
}

// poll calls try at an interval until it succeeds, ctx ends or the time limit has passed.
func poll(ctx context.Context, what string, most, every time.Duration, try func() error) error {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	for {
		err := try()
		if err == nil {
			return nil
		}
		if network.Sleep(ctx, every) != nil {
			return fmt.Errorf("fleetslope: timeout after %v waiting until %s: %w", most, what, errors.Join(context.Cause(ctx), err))
		}
	}
}

// freeAddrs returns n loopback addresses with free ports.
func freeAddrs(n int) (all []string, err error) {
	for range n {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("fleetslope: %w", err)
		}
		defer l.Close()
		all = append(all, l.Addr().String())
	}
	return all, nil
}
