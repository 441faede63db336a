package relayslope

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"

	"onyxroad.dev/onyxroad/internal/testbed/process"
)

// child is a child process, from the parent's side.
type child struct {
	cmd     *exec.Cmd
	in      io.WriteCloser
	out     *bufio.Scanner
	starter *process.Starter
	initial childState // reported when it was ready
}

// startChild starts this program as a child process with a job, and waits until it is ready. The job is written to a file in dir.
func startChild(ctx context.Context, dir string, j job) (*child, error) {
	data, err := json.Marshal(j)
	if err != nil {
		return nil, fmt.Errorf("relayslope: %w", err)
	}
	path := filepath.Join(dir, "job.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return nil, fmt.Errorf("relayslope: %w", err)
	}
	self, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("relayslope: %w", err)
	}
	c := &child{cmd: exec.CommandContext(ctx, self, ChildCommand, path), starter: process.NewStarter()}
	c.cmd.Stderr = os.Stderr
	in, err := c.cmd.StdinPipe()
	if err != nil {
		return nil, fmt.Errorf("relayslope: %w", err)
	}
	out, err := c.cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("relayslope: %w", err)
	}
	c.in, c.out = in, bufio.NewScanner(out)
	if err := c.starter.Start(c.cmd); err != nil {
		c.starter.Stop()
		return nil, fmt.Errorf("relayslope: child: %w", err)
	}
	if c.initial, err = c.readState(); err != nil {
		return nil, errors.Join(err, c.kill())
	}
	return c, nil
}

// query sends a command to the child and returns its answer.
func (c *child) query(command string) (childState, error) {
	if _, err := fmt.Fprintln(c.in, command); err != nil {
		return childState{}, fmt.Errorf("relayslope: child: %w", err)
	}
	return c.readState()
}

func (c *child) readState() (s childState, err error) {
	if !c.out.Scan() {
		return s, errors.Join(errors.New("relayslope: the child closed its output"), c.out.Err())
	}
	if err := json.Unmarshal(c.out.Bytes(), &s); err != nil {
		return s, fmt.Errorf("relayslope: child: %w", err)
	}
	return s, nil
}

// kill kills the child and waits for it. Its state is not needed any more.
func (c *child) kill() error {
	err := c.cmd.Process.Kill()
	if errors.Is(err, os.ErrProcessDone) {
		err = nil
	}
	var status *exec.ExitError
	if werr := c.cmd.Wait(); werr != nil && !errors.As(werr, &status) {
		err = errors.Join(err, werr)
	}
	c.starter.Stop()
	return err
}
