// Package program implements the relay command. It is shared by cherrytrestle and cherrytrestle-fleet, which adds fleet
// membership, duties and the backlog.
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

const usage = `Usage: cherrytrestle [relay] [--config FILE]

Runs one relay until SIGTERM. ROUTER_CONFIG names the platform's configuration; ROUTER_NAME, ROUTER_LISTEN,
ROUTER_DISCOVERY, ROUTER_STATE and ROUTER_ADMIN_ADDR override its values.

  --config FILE   this project's settings; default: IVYGAUGE_CONFIG. Without a file, all of these are disabled:
                  [state] durability = "process" or "power", memories, memories_every
                  [backlog] dir, disk_mb, window, share
                  [membership] fleet, bind, advertise, seeds, allow
                  [duties] stewards, lease, figures
                  log_format, log_level
                  Check a file with: cherrytrestlectl config check FILE

Exit status: 0 after SIGTERM, 1 if the relay could not start or failed, 2 for wrong usage.
`

// FleetProgram is the name of the program, in the same folder as this one, that includes membership and the backlog.
const FleetProgram = "cherrytrestle-fleet"

// Components holds the optional features of a relay. All are nil in the program that executes FleetProgram when it needs one.
type Components struct {
	Join    membership.Join                   // joins the fleet
	Duties  func(DutyConfig) relay.Duties     // takes part in the fleet's duties
	Backlog func(BacklogConfig) relay.Backlog // stores messages that do not fit into the window on disk
}

// BacklogConfig configures a backlog.
type BacklogConfig struct {
	settings.Backlog
	Fsync bool
	Name  string // name of the relay
	FS    disk.FS
	Log   *slog.Logger
}

// Main runs the program.
func Main(parts Components) {
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
		fmt.Fprintf(os.Stderr, "cherrytrestle: unexpected argument %q\n%s", set.Arg(0), usage)
		os.Exit(2)
	}
	if err := run(*path, parts); err != nil {
		slog.Error("stopped", "err", err)
		os.Exit(1)
	}
}

// DutyConfig configures how a relay takes part in the fleet's duties.
type DutyConfig struct {
	Stewards []string
	Lease    time.Duration
	Figures  bool
	Name     string // name of the relay
	Admin    string // admin address of the relay
	Log      *slog.Logger
}

func run(path string, parts Components) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	reload := make(chan os.Signal, 1) // registered first, because an unhandled SIGHUP ends the process
	signal.Notify(reload, syscall.SIGHUP)
	fileSettings, err := settings.Load(path)
	if err != nil {
		return err
	}
	slog.SetDefault(fileSettings.Logger())
	if fileSettings.Membership != nil && parts.Join == nil || fileSettings.Backlog != nil && parts.Backlog == nil {
		return execFleetProgram()
	}
	cfg, err := relay.LoadConfigWithRetry(ctx, os.Getenv)
	if err != nil {
		return err
	}
	if st := fileSettings.State; st != nil {
		cfg.Segments, cfg.Power = true, st.SurvivesPowerLoss()
		if st.KeepsMemories() {
			cfg.MemoriesEvery = time.Duration(st.MemoriesEvery)
		}
	}
	if cfg.Disk, err = openStateDisk(cfg.StateDir); err != nil {
		return err
	}
	if b := fileSettings.Backlog; b != nil {
		if b.Dir, err = separateFolder(b.Dir, cfg.StateDir); err != nil {
			return err
		}
		c := BacklogConfig{Backlog: *b, Fsync: cfg.Power, Name: cfg.Name, Log: slog.Default()}
		if c.FS, err = openBacklogDisk(b.Dir); err != nil {
			return err
		}
		built := parts.Backlog(c)
		cfg.Backlog = &built
	}
	if m := fileSettings.Membership; m != nil {
		cfg.Join, cfg.Membership = parts.Join, membership.Config{Fleet: m.Fleet, Name: cfg.Name, Bind: m.Bind, Advertise: m.Advertise,
			Seeds: m.Seeds, Allow: m.Allow, Admin: cfg.Admin, Size: cfg.Settings.Senders, StateDir: cfg.StateDir, Version: version(), Log: slog.Default()}
		if z := cfg.Settings.Zone; z >= 0 && z < len(cfg.Zones) {
			cfg.Membership.Building = cfg.Zones[z]
		}
	}
	if d := fileSettings.Duties; d != nil {
		cfg.Duties = parts.Duties(DutyConfig{Stewards: d.Stewards, Lease: time.Duration(d.Lease), Figures: d.Figures, Name: cfg.Name,
			Admin: cfg.Admin, Log: slog.Default()})
	}
	cfg.OwnsProcess = true
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
				slog.Warn("reload failed, keeping the current configuration", "err", err)
				continue
			}
			r.Reload(cfg)
		}
	}()
	return r.Run(ctx)
}

// separateFolder returns the absolute path of the backlog's folder. It is an error if that is the state folder, or if one
// contains the other.
func separateFolder(dir, state string) (string, error) {
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
		return "", fmt.Errorf("backlog.dir: %s must be separate from the state folder %s", dir, state)
	}
	return dir, nil
}

// execFleetProgram replaces this program with FleetProgram, in the same process and with the same arguments. It returns only on
// failure.
func execFleetProgram() error {
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	path := filepath.Join(filepath.Dir(self), FleetProgram)
	return fmt.Errorf("start: [membership] and [backlog] need %s: %w", path, syscall.Exec(path, os.Args, os.Environ()))
}

// version returns the revision that the program was built from, or a digest of its executable if the revision is unknown.
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
