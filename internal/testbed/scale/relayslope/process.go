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
	first   state // what it told when it was ready
}

// start starts this program once more as a child with a job, and waits until it is ready. dir is where its job is written.
func start(ctx context.Context, dir string, j job) (*child, error) {
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
	if c.first, err = c.read(); err != nil {
		return nil, errors.Join(err, c.end())
	}
	return c, nil
}

// ask has the child answer a word.
func (c *child) ask(word string) (state, error) {
	if _, err := fmt.Fprintln(c.in, word); err != nil {
		return state{}, fmt.Errorf("relayslope: child: %w", err)
	}
	return c.read()
}

func (c *child) read() (s state, err error) {
	if !c.out.Scan() {
		return s, errors.Join(errors.New("relayslope: the child says nothing"), c.out.Err())
	}
	if err := json.Unmarshal(c.out.Bytes(), &s); err != nil {
		return s, fmt.Errorf("relayslope: child: %w", err)
	}
	return s, nil
}

// end ends the child at once: nothing that it holds is wanted any more.
func (c *child) end() error {
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
