// Package program is the relay's program, which two commands share: the one by itself, and the one that is a member of its
// fleet.
package program

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"onyxroad.dev/onyxroad/internal/disk"
	"onyxroad.dev/onyxroad/internal/membership"
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
                  [backlog] dir, disk_mb, window, share
                  [membership] fleet, bind, advertise, seeds, allow
                  [duties] stewards, lease, figures
                  log_format, log_level
                  Check a file with: cherrytrestlectl config check FILE

Exit: 0 after SIGTERM, 1 if it could not start or go on, 2 for wrong use.
`

// Fleet is the program beside this one that has what membership and a backlog take.
const Fleet = "cherrytrestle-fleet"

// Parts are what the program is given that only some relays need. None is in the program that starts Fleet in its place.
type Parts struct {
	Join    membership.Join                   // joins the fleet
	Duties  func(DutyConfig) relay.Duties     // takes part in its duties
	Backlog func(BacklogConfig) relay.Backlog // keeps what is owed beyond a window on disk
}

// BacklogConfig is how a backlog is kept.
type BacklogConfig struct {
	settings.Backlog
	Power bool
	Name  string // the relay's
	FS    disk.FS
	Log   *slog.Logger
}

// Main runs the program.
func Main(parts Parts) {
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
	if err := run(*path, parts); err != nil {
		slog.Error("stopped", "err", err)
		os.Exit(1)
	}
}

// DutyConfig is a relay's part in the fleet's duties.
type DutyConfig struct {
	Stewards []string
	Lease    time.Duration
	Figures  bool
	Name     string // the relay's
	Admin    string // its second address
	Log      *slog.Logger
}

func run(path string, parts Parts) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	reload := make(chan os.Signal, 1) // caught from the start: unhandled, SIGHUP ends the process
	signal.Notify(reload, syscall.SIGHUP)
	own, err := settings.Load(path)
	if err != nil {
		return err
	}
	slog.SetDefault(own.Logger())
	if own.Membership != nil && parts.Join == nil || own.Backlog != nil && parts.Backlog == nil {
		return inPlace()
	}
	cfg, err := relay.LoadConfigWithRetry(ctx, os.Getenv)
	if err != nil {
		return err
	}
	if st := own.State; st != nil {
		cfg.Segments, cfg.Power = true, st.Power()
		if st.Remembers() {
			cfg.MemoriesEvery = time.Duration(st.MemoriesEvery)
		}
	}
	if cfg.Disk, err = files(cfg.StateDir); err != nil {
		return err
	}
	if b := own.Backlog; b != nil {
		if b.Dir, err = ownFolder(b.Dir, cfg.StateDir); err != nil {
			return err
		}
		c := BacklogConfig{Backlog: *b, Power: cfg.Power, Name: cfg.Name, Log: slog.Default()}
		if c.FS, err = backlogFiles(b.Dir); err != nil {
			return err
		}
		made := parts.Backlog(c)
		cfg.Backlog = &made
	}
	if m := own.Membership; m != nil {
		cfg.Join, cfg.Membership = parts.Join, membership.Config{Fleet: m.Fleet, Name: cfg.Name, Bind: m.Bind, Advertise: m.Advertise,
			Seeds: m.Seeds, Allow: m.Allow, Admin: cfg.Admin, Size: cfg.Settings.Senders, StateDir: cfg.StateDir, Version: version(), Log: slog.Default()}
		if z := cfg.Settings.Zone; z >= 0 && z < len(cfg.Zones) {
			cfg.Membership.Building = cfg.Zones[z]
		}
	}
	if d := own.Duties; d != nil {
		cfg.Duties = parts.Duties(DutyConfig{Stewards: d.Stewards, Lease: time.Duration(d.Lease), Figures: d.Figures, Name: cfg.Name,
			Admin: cfg.Admin, Log: slog.Default()})
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
			cfg, err := relay.ReloadConfigWithRetry(ctx, os.Getenv)
			if err != nil {
				slog.Warn("keeping the configuration", "err", err)
				continue
			}
			r.Reload(cfg)
		}
	}()
	return r.Run(ctx)
}

// ownFolder is a backlog's folder by its whole path; an error if it is the state folder, or one of the two is in the other.
func ownFolder(dir, state string) (string, error) {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return "", fmt.Errorf("backlog.dir: %w", err)
	}
	if state, err = filepath.Abs(state); err != nil {
		return "", fmt.Errorf("backlog.dir: %w", err)
	}
	within := func(a, b string) bool {
		rel, err := filepath.Rel(b, a)
		return err == nil && rel != ".." && !strings.HasPrefix(rel, ".."+string(filepath.Separator))
	}
	if within(dir, state) || within(state, dir) {
		return "", fmt.Errorf("backlog.dir: %s is no folder apart from the state folder %s", dir, state)
	}
	return dir, nil
}

// inPlace has the program that can be a member take this one's place: the same process, with the same arguments.
func inPlace() error {
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	path := filepath.Join(filepath.Dir(self), Fleet)
	return fmt.Errorf("start: [membership] and [backlog] need %s: %w", path, syscall.Exec(path, os.Args, os.Environ()))
}

// version is the program's: the revision that it was built from, or a digest of itself where that is not in it.
func version() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				return s.Value[:min(12, len(s.Value))]
			}
		}
	}
	self, err := os.Executable()
	if err != nil {
		return ""
	}
	f, err := os.Open(self)
	if err != nil {
		return ""
	}
	defer f.Close()
	h := sha256.New()
	if _, err := io.Copy(h, f); err != nil {
		return ""
	}
	return hex.EncodeToString(h.Sum(nil)[:6])
}
