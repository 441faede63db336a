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
	Rate   float64       `default:"5000" help:"Messages per second."`
	For    time.Duration `default:"10s" help:"How long."`
	Relays int           `default:"12" help:"Number of stand-ins to send to."`
	Seed   uint64        `default:"1" help:"The seed."`
	Most   time.Duration `default:"5ms" help:"Maximum lateness of the clients at the 99th percentile."`
}

// Run sends planned messages to stand-ins in a separate process.
func (c *loadCmd) Run(ctx context.Context) error {
	x := experiment.Default()
	x.Name, x.Length = "load", experiment.Duration(c.For)
	n := float64(c.Relays)
	x.Fleet.Relays = experiment.NewRange(n, n)
	x.Partners.Count = experiment.NewRange(10, 10)
	x.Partners.Rate, x.Load.Level = experiment.NewRange(c.Rate/10, c.Rate/10), experiment.NewRange(1, 1)
	x.Load.Clumps, x.Load.HeavyBody = experiment.NewRange(0, 0), experiment.NewRange(0, 0)
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
	start := book.Now() + 100*time.Millisecond
	l.Run(ctx, start)
	took := book.Now() - start
	l.Wait()
	answered := 0
	for _, h := range book.Submissions {
		if h.Status == http.StatusAccepted {
			answered++
		}
	}
	rate := float64(len(p.Arrivals)) / took.Seconds()
	p50, p99 := l.Lateness(50), l.Lateness(99)
	fmt.Printf("%d messages in %.1f s, %.0f per second, %d answered; the clients were late by %v at p50, %v at p99\n", len(p.Arrivals),
		took.Seconds(), rate, answered, p50, p99)
	if p99 > c.Most || answered < len(p.Arrivals)*999/1000 {
		return errBroken
	}
	return nil
}

type standInCmd struct{}

// Run answers on a free port and prints its address.
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
