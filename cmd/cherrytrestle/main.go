// Command cherrytrestle is the relay: it takes messages from clients and delivers each by a call to a host of
// its destination. The environment tells it what the platform knows, see package relay; a settings file turns on what is
// off without one, see package settings.
package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"onyxroad.dev/onyxroad/internal/relay"
	"onyxroad.dev/onyxroad/internal/settings"
)

// heapShare is the part of the memory limit that the heap may grow to; the rest is for stacks, the program
// itself and the files of the log.
const heapShare = 0.7

const usage = `Usage: cherrytrestle [relay] [--config FILE]

Runs one relay until SIGTERM. ROUTER_CONFIG names the platform's configuration; ROUTER_NAME, ROUTER_LISTEN,
ROUTER_DISCOVERY, ROUTER_STATE and ROUTER_ADMIN_ADDR go before what stands there.

  --config FILE   the settings of this project; IVYGAUGE_CONFIG if not given. Without one all of these are off:
                  [state] durability = "process" or "power", memories, memories_every
                  log_format, log_level
                  Check a file with: cherrytrestlectl config check FILE

Exit: 0 after SIGTERM, 1 if it could not start or go on, 2 for wrong use.
`

func main() {
	set := flag.NewFlagSet("cherrytrestle", flag.ContinueOnError)
	set.Usage = func() { fmt.Fprint(os.Stderr, usage) }
	path := set.String("config", "", "")
	args := os.Args[1:]
	if len(args) > 0 && args[0] == "relay" {
		args = args[1:]
	}
	switch err := set.Parse(args); {
	case err == flag.ErrHelp:
		return
	case err != nil:
		os.Exit(2)
	case set.NArg() > 0:
		fmt.Fprintf(os.Stderr, "cherrytrestle: %q means nothing here\n%s", set.Arg(0), usage)
		os.Exit(2)
	}
	if err := run(*path); err != nil {
		slog.Error("stopped", "err", err)
		os.Exit(1)
	}
}

func run(path string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	reload := make(chan os.Signal, 1) // caught from the start: unhandled, SIGHUP ends the process
	signal.Notify(reload, syscall.SIGHUP)
	own, err := settings.Load(path)
	if err != nil {
		return err
	}
	slog.SetDefault(own.Logger())
	cfg, err := relay.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	if st := own.State; st != nil {
		cfg.Segments, cfg.Power = true, st.Power()
		if st.Remembers() {
			cfg.MemoriesEvery = time.Duration(st.MemoriesEvery)
		}
		if cfg.Disk, err = files(cfg.StateDir); err != nil {
			return err
		}
	}
	debug.SetMemoryLimit(int64(cfg.Limits.MemoryMB * heapShare * (1 << 20)))
	runtime.GOMAXPROCS(max(1, int(cfg.Limits.Cores)))
	r, err := relay.New(ctx, cfg, slog.Default())
	if ctx.Err() != nil {
		return nil
	}
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	go func() {
		for range reload {
			cfg, err := relay.ReloadConfig(os.Getenv)
			if err != nil {
				slog.Warn("keeping the configuration", "err", err)
				continue
			}
			r.Reload(cfg)
		}
	}()
	return r.Run(ctx)
}
