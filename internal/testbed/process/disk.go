package process

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"onyxroad.dev/onyxroad/internal/disk"
	"onyxroad.dev/onyxroad/internal/disk/crashdisk"
	"onyxroad.dev/onyxroad/internal/disk/tracedisk"
	"onyxroad.dev/onyxroad/internal/testbed/network"
	"onyxroad.dev/onyxroad/internal/testbed/plan"
)

// The relays' disks. Where an experiment has them fail, the relays are built to write down every change of their folders,
// and what a loss of power leaves is worked out from that.

// own is the environment that the project's own settings and the testbed's disk ask for.
func (f *Fleet) own(r int, state string) ([]string, error) {
	x := f.plan.Experiment
	member := x.Fleet.Members && r < f.plan.Members()
	if x.Fleet.State == "" && !member && !x.Fleet.Debug {
		return nil, nil
	}
	path := filepath.Join(f.dir, f.plan.Relays[r].Name, "settings.toml")
	text := "log_format = \"json\"\n"
	if x.Fleet.Debug {
		text += "log_level = \"debug\"\n"
	}
	if x.Fleet.State != "" {
		text += fmt.Sprintf("[state]\ndurability = %q\nmemories = %v\n", x.Fleet.State, x.Fleet.Memories)
	}
	if x.Fleet.Backlog.Window > 0 {
		text += fmt.Sprintf("[backlog]\ndir = %q\ndisk_mb = 64\nwindow = %d\nshare = %v\n", f.backlog(r), x.Fleet.Backlog.Window,
			cmp.Or(x.Fleet.Backlog.Share, 1.0/16))
	}
	if member {
		at, more := f.ports.Gossip, ""
		if x.DisruptsGossip() {
			at, more = f.ports.Outside, fmt.Sprintf("advertise = %q\n", f.ports.Outside(r))
		}
		seeds := make([]string, 0, 3)
		for k := range min(3, len(f.plan.Relays)) {
			seeds = append(seeds, fmt.Sprintf("%q", at(k)))
		}
		text += fmt.Sprintf("[membership]\nfleet = \"testbed\"\nbind = %q\n%sseeds = [%s]\n", f.ports.Gossip(r), more,
			strings.Join(seeds, ", "))
	}
	if member && len(f.Stewards) > 0 {
		text += fmt.Sprintf("[duties]\nstewards = [\"%s\"]\nfigures = true\n", strings.Join(f.Stewards, `", "`))
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("process: settings: %w", err)
	}
	env := []string{"IVYGAUGE_CONFIG=" + path}
	if !x.NeedsDisk() {
		return env, nil
	}
	image, err := readImage(state, ofLog)
	if err != nil {
		return nil, err
	}
	var behind map[string][]byte
	if x.Fleet.Backlog.Window > 0 {
		if err := os.MkdirAll(f.backlog(r), 0o700); err != nil {
			return nil, fmt.Errorf("process: %w", err)
		}
		if behind, err = readImage(f.backlog(r), ofBacklog); err != nil {
			return nil, err
		}
		if err := os.WriteFile(f.trace(r)+tracedisk.BacklogSuffix+".faults", []byte(f.usual(r)), 0o600); err != nil {
			return nil, fmt.Errorf("process: %w", err)
		}
	}
	f.mu.Lock()
	f.relays[r].image, f.relays[r].backlog = image, behind
	first := f.relays[r].count == 0
	f.mu.Unlock()
	if first {
		if err := os.WriteFile(f.trace(r)+".faults", []byte(f.usual(r)), 0o600); err != nil {
			return nil, fmt.Errorf("process: %w", err)
		}
	}
	return append(env, tracedisk.EnvTrace+"="+f.trace(r)), nil
}

// usual is how a relay's disk is while nothing is wrong with it.
func (f *Fleet) usual(r int) string {
	rng := rand.New(rand.NewPCG(f.plan.Relays[r].Seed, 0x6469736b))
	return fmt.Sprintf("slow=%.1fms", f.plan.Experiment.Fleet.SyncMS.Draw(rng))
}

func (f *Fleet) trace(r int) string { return filepath.Join(f.dir, f.plan.Relays[r].Name, "trace") }

// backlog is the folder of a relay's backlog.
func (f *Fleet) backlog(r int) string { return filepath.Join(f.dir, f.plan.Relays[r].Name, "backlog") }

// ofBacklog tells whether a file of the backlog's folder is one that the trace tells of: all but the lock.
func ofBacklog(name string) bool { return !strings.Contains(strings.ToLower(name), "lock") }

// ofLog tells whether a file of the state folder is the log's, which the trace tells of.
func ofLog(name string) bool {
	for _, prefix := range []string{"seg-", "snap", "wal.", "damaged-"} {
		if strings.HasPrefix(name, prefix) && name != "wal.lock" {
			return true
		}
	}
	return false
}

// readImage reads the files of a folder that a trace tells of.
func readImage(state string, of func(string) bool) (map[string][]byte, error) {
	d := disk.Dir(state)
	names, err := d.Names()
	if err != nil {
		return nil, fmt.Errorf("process: %w", err)
	}
	image := map[string][]byte{}
	for _, n := range names {
		if !of(n) {
			continue
		}
		if strings.HasSuffix(n, "/") {
			image[n] = nil
		} else if image[n], err = d.ReadFile(n); err != nil {
			return nil, fmt.Errorf("process: %w", err)
		}
	}
	return image, nil
}

// losePower kills a relay, has its folder hold what a loss of power may have left, and starts it again.
func (f *Fleet) losePower(r int, pause time.Duration) error {
	x := f.relays[r]
	x.mu.Lock()
	defer x.mu.Unlock()
	if p := f.last(r); p != nil {
		f.setAlive(r, false)
		f.end(p, syscall.SIGKILL)
		state := filepath.Join(f.dir, f.plan.Relays[r].Name, "state")
		rng := rand.New(rand.NewPCG(f.plan.Relays[r].Seed, uint64(x.count)))
		d, err := tracedisk.Replay(x.image, f.trace(r), crashdisk.KeepRandom(rng))
		if err != nil {
			return err
		}
		if err := writeImage(state, d, func(name string) bool {
			return ofLog(name) || strings.HasPrefix(name, "partners") && rng.IntN(2) == 0
		}); err != nil {
			return err
		}
		if x.backlog != nil {
			if d, err = tracedisk.Replay(x.backlog, f.trace(r)+tracedisk.BacklogSuffix, crashdisk.KeepRandom(rng)); err != nil {
				return err
			}
			if err := writeImage(f.backlog(r), d, ofBacklog); err != nil {
				return err
			}
		}
	}
	if network.Sleep(f.ctx, pause) != nil {
		return nil
	}
	return f.begin(f.ctx, r, false)
}

// writeImage puts a folder's files in the place of those that go.
func writeImage(state string, d *crashdisk.Disk, goes func(name string) bool) error {
	entries, err := os.ReadDir(state)
	if err != nil {
		return fmt.Errorf("process: %w", err)
	}
	for _, e := range entries {
		if goes(e.Name()) {
			if err := os.RemoveAll(filepath.Join(state, e.Name())); err != nil {
				return fmt.Errorf("process: %w", err)
			}
		}
	}
	names, err := d.Names()
	if err != nil {
		return err
	}
	for _, n := range names {
		if folder, ok := strings.CutSuffix(n, "/"); ok {
			if err := disk.Dir(state).Guard(folder, "kept"); err != nil {
				return fmt.Errorf("process: %w", err)
			}
			continue
		}
		data, err := d.ReadFile(n)
		if err == nil {
			err = os.WriteFile(filepath.Join(state, n), data, 0o600)
		}
		if err != nil {
			return fmt.Errorf("process: %w", err)
		}
	}
	return nil
}

// diskFails has a relay's disk fail for a time.
func (f *Fleet) diskFails(r int, x *plan.Fault) error {
	words := map[string]string{"disk-full": "full", "disk-sick": "broken", "disk-slow": fmt.Sprintf("slow=%.0fms", x.Size)}
	say := func(word string) (err error) {
		for _, trace := range []string{f.trace(r), f.trace(r) + tracedisk.BacklogSuffix} {
			err = errors.Join(err, os.WriteFile(trace+".faults", []byte(word), 0o600))
		}
		return err
	}
	if err := say(words[x.Kind]); err != nil {
		return fmt.Errorf("process: %w", err)
	}
	network.Sleep(f.ctx, x.For)
	if err := say(f.usual(r)); err != nil {
		return fmt.Errorf("process: %w", err)
	}
	return nil
}
