package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"time"

	"onyxroad.dev/onyxroad/internal/testbed/experiment"
	"onyxroad.dev/onyxroad/internal/testbed/ledger"
	"onyxroad.dev/onyxroad/internal/testbed/load"
	"onyxroad.dev/onyxroad/internal/testbed/plan"
)

type loadCmd struct {
	Rate   float64       `default:"5000" help:"Messages a second."`
	For    time.Duration `default:"10s" help:"How long."`
	Relays int           `default:"12" help:"Stand-ins that the messages go to."`
	Seed   uint64        `default:"1" help:"What all is drawn from."`
	Most   time.Duration `default:"5ms" help:"How late the clients may be, at the 99th percentile."`
}

// Run hands planned messages to stand-ins in a process of their own.
func (c *loadCmd) Run(ctx context.Context) error {
	x := experiment.Default()
	x.Name, x.Length = "load", experiment.Duration(c.For)
	n := float64(c.Relays)
	x.Fleet.Relays = experiment.Of(n, n)
	x.Partners.Count = experiment.Of(10, 10)
	x.Partners.Rate, x.Load.Level = experiment.Of(c.Rate/10, c.Rate/10), experiment.Of(1, 1)
	x.Load.Clumps, x.Load.HeavyBody = experiment.Of(0, 0), experiment.Of(0, 0)
	p := plan.Draw(x, c.Seed, false)
	self, err := os.Executable()
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(ctx, self, "stand-in")
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("stand-in: %w", err)
	}
	defer func() { cmd.Process.Kill(); cmd.Wait() }()
	var addr string
	if _, err := fmt.Fscanln(out, &addr); err != nil {
		return fmt.Errorf("stand-in: %w", err)
	}
	book := ledger.New()
	l := load.New(p, book, func(int) string { return addr }, func(int) bool { return true })
	began := book.Now() + 100*time.Millisecond
	l.Run(ctx, began)
	took := book.Now() - began
	l.Wait()
	answered := 0
	for _, h := range book.Submissions {
		if h.Status == http.StatusAccepted {
			answered++
		}
	}
	rate := float64(len(p.Arrivals)) / took.Seconds()
	p50, p99 := l.Lateness(50), l.Lateness(99)
	fmt.Printf("%d messages in %.1f s, %.0f a second, %d answered; the clients were late by %v at p50, %v at p99\n", len(p.Arrivals),
		took.Seconds(), rate, answered, p50, p99)
	if p99 > c.Most || answered < len(p.Arrivals)*999/1000 {
		return errBroken
	}
	return nil
}

type standInCmd struct{}

// Run answers on a port of its choice, whose address it prints.
func (*standInCmd) Run(ctx context.Context) error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Println(l.Addr())
	s := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		io.Copy(io.Discard, req.Body)
		w.WriteHeader(http.StatusAccepted)
	}), ReadHeaderTimeout: time.Minute}
	defer context.AfterFunc(ctx, func() { s.Close() })()
	s.Serve(l)
	return nil
}
