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

// child is a child process as its parent sees it.
type child struct {
	cmd     *exec.Cmd
	in      io.WriteCloser
	out     *bufio.Scanner
	starter *process.Starter
	initial   childState // what it told when it was ready
}

// startChild starts this program once more as a child with a job, and waits until it is ready. dir is where its job is written.
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
		c.starter.End()
		return nil, fmt.Errorf("relayslope: child: %w", err)
	}
	if c.initial, err = c.readState(); err != nil {
		return nil, errors.Join(err, c.kill())
	}
	return c, nil
}

// query has the child answer a word.
func (c *child) query(word string) (childState, error) {
	if _, err := fmt.Fprintln(c.in, word); err != nil {
		return childState{}, fmt.Errorf("relayslope: child: %w", err)
	}
	return c.readState()
}

func (c *child) readState() (s childState, err error) {
	if !c.out.Scan() {
		return s, errors.Join(errors.New("relayslope: the child says nothing"), c.out.Err())
	}
	if err := json.Unmarshal(c.out.Bytes(), &s); err != nil {
		return s, fmt.Errorf("relayslope: child: %w", err)
	}
	return s, nil
}

// kill ends the child at once: nothing that it holds is wanted any more.
func (c *child) kill() error {
	err := c.cmd.Process.Kill()
	if errors.Is(err, os.ErrProcessDone) {
		err = nil
	}
	var status *exec.ExitError
	if werr := c.cmd.Wait(); werr != nil && !errors.As(werr, &status) {
		err = errors.Join(err, werr)
	}
	c.starter.End()
	return err
}
