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

// Experiments with disk faults run relays built with tracedisk, which records every change of their folders. What a power
// loss leaves behind is derived from that trace.

// relayEnv writes the settings file of relay r and prepares the traced disk, and returns the environment variables that
// point the relay to them.
func (f *Fleet) relayEnv(r int, state string) ([]string, error) {
	exp := f.plan.Experiment
	member := exp.Fleet.Members && r < f.plan.Members()
	if exp.Fleet.State == "" && !member && !exp.Fleet.Debug {
		return nil, nil
	}
	path := filepath.Join(f.dir, f.plan.Relays[r].Name, "settings.toml")
	text := "log_format = \"json\"\n"
	if exp.Fleet.Debug {
		text += "log_level = \"debug\"\n"
	}
	if exp.Fleet.State != "" {
		text += fmt.Sprintf("[state]\ndurability = %q\nmemories = %v\n", exp.Fleet.State, exp.Fleet.Memories)
	}
	if exp.Fleet.Backlog.Window > 0 {
		text += fmt.Sprintf("[backlog]\ndir = %q\ndisk_mb = 64\nwindow = %d\nshare = %v\n", f.backlogDir(r), exp.Fleet.Backlog.Window,
			cmp.Or(exp.Fleet.Backlog.Share, 1.0/16))
	}
	if member {
		gossipAddr, advertise := f.ports.Gossip, ""
		if exp.DisruptsGossip() {
			gossipAddr, advertise = f.ports.GossipForwarder, fmt.Sprintf("advertise = %q\n", f.ports.GossipForwarder(r))
		}
		seeds := make([]string, 0, 3)
		for k := range min(3, len(f.plan.Relays)) {
			seeds = append(seeds, fmt.Sprintf("%q", gossipAddr(k)))
		}
		text += fmt.Sprintf("[membership]\nfleet = \"testbed\"\nbind = %q\n%sseeds = [%s]\n", f.ports.Gossip(r), advertise,
			strings.Join(seeds, ", "))
	}
	if member && len(f.Stewards) > 0 {
		text += fmt.Sprintf("[duties]\nstewards = [\"%s\"]\nfigures = true\n", strings.Join(f.Stewards, `", "`))
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("process: write settings: %w", err)
	}
	env := []string{"IVYGAUGE_CONFIG=" + path}
	if !exp.NeedsDisk() {
		return env, nil
	}
	stateImage, err := readImage(state, isLogFile)
	if err != nil {
		return nil, err
	}
	var backlogImage map[string][]byte
	if exp.Fleet.Backlog.Window > 0 {
		if err := os.MkdirAll(f.backlogDir(r), 0o700); err != nil {
			return nil, fmt.Errorf("process: %w", err)
		}
		if backlogImage, err = readImage(f.backlogDir(r), isBacklogFile); err != nil {
			return nil, err
		}
		if err := os.WriteFile(f.tracePath(r)+tracedisk.BacklogSuffix+".faults", []byte(f.baselineDiskFaults(r)), 0o600); err != nil {
			return nil, fmt.Errorf("process: %w", err)
		}
	}
	f.mu.Lock()
	f.relays[r].stateImage, f.relays[r].backlogImage = stateImage, backlogImage
	first := f.relays[r].starts == 0
	f.mu.Unlock()
	if first {
		if err := os.WriteFile(f.tracePath(r)+".faults", []byte(f.baselineDiskFaults(r)), 0o600); err != nil {
			return nil, fmt.Errorf("process: %w", err)
		}
	}
	return append(env, tracedisk.EnvTrace+"="+f.tracePath(r)), nil
}

// baselineDiskFaults returns the content of the faults file of a healthy disk: its sync latency, drawn once per relay.
func (f *Fleet) baselineDiskFaults(r int) string {
	rng := rand.New(rand.NewPCG(f.plan.Relays[r].Seed, 0x6469736b))
	return fmt.Sprintf("slow=%.1fms", f.plan.Experiment.Fleet.SyncMS.Draw(rng))
}

func (f *Fleet) tracePath(r int) string { return filepath.Join(f.dir, f.plan.Relays[r].Name, "trace") }

// backlogDir returns the folder of a relay's backlog.
func (f *Fleet) backlogDir(r int) string {
	return filepath.Join(f.dir, f.plan.Relays[r].Name, "backlog")
}

// isBacklogFile reports whether the trace covers a file of the backlog's folder: all but the lock files.
func isBacklogFile(name string) bool { return !strings.Contains(strings.ToLower(name), "lock") }

// isLogFile reports whether a file of the state folder belongs to the write-ahead log, which the trace covers.
func isLogFile(name string) bool {
	for _, prefix := range []string{"seg-", "snap", "wal.", "damaged-"} {
		if strings.HasPrefix(name, prefix) && name != "wal.lock" {
			return true
		}
	}
	return false
}

// readImage reads the files of dir for which include returns true. The value of a folder is nil.
func readImage(dir string, include func(string) bool) (map[string][]byte, error) {
	d := disk.Dir(dir)
	names, err := d.Names()
	if err != nil {
		return nil, fmt.Errorf("process: %w", err)
	}
	image := map[string][]byte{}
	for _, n := range names {
		if !include(n) {
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

// losePower kills relay r, replaces its folders' content by what a power loss may have left, and starts the relay again
// after pause.
func (f *Fleet) losePower(r int, pause time.Duration) error {
	x := f.relays[r]
	x.mu.Lock()
	defer x.mu.Unlock()
	if p := f.newest(r); p != nil {
		f.setAlive(r, false)
		f.stop(p, syscall.SIGKILL)
		state := filepath.Join(f.dir, f.plan.Relays[r].Name, "state")
		rng := rand.New(rand.NewPCG(f.plan.Relays[r].Seed, uint64(x.starts)))
		d, err := tracedisk.Replay(x.stateImage, f.tracePath(r), crashdisk.KeepRandom(rng))
		if err != nil {
			return err
		}
		if err := writeImage(state, d, func(name string) bool {
			return isLogFile(name) || strings.HasPrefix(name, "partners") && rng.IntN(2) == 0
		}); err != nil {
			return err
		}
		if x.backlogImage != nil {
			if d, err = tracedisk.Replay(x.backlogImage, f.tracePath(r)+tracedisk.BacklogSuffix, crashdisk.KeepRandom(rng)); err != nil {
				return err
			}
			if err := writeImage(f.backlogDir(r), d, isBacklogFile); err != nil {
				return err
			}
		}
	}
	if network.Sleep(f.ctx, pause) != nil {
		return nil
	}
	return f.startRelay(f.ctx, r, false)
}

// writeImage removes the entries of dir for which remove returns true and writes the files of d in their place.
func writeImage(dir string, d *crashdisk.Disk, remove func(name string) bool) error {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return fmt.Errorf("process: %w", err)
	}
	for _, e := range entries {
		if remove(e.Name()) {
			if err := os.RemoveAll(filepath.Join(dir, e.Name())); err != nil {
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
			if err := disk.Dir(dir).Guard(folder, "kept"); err != nil {
				return fmt.Errorf("process: %w", err)
			}
			continue
		}
		data, err := d.ReadFile(n)
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, n), data, 0o600)
		}
		if err != nil {
			return fmt.Errorf("process: %w", err)
		}
	}
	return nil
}

// failDisk makes the disk of relay r fail as the fault x says, for the duration of x.
func (f *Fleet) failDisk(r int, x *plan.Fault) error {
	modes := map[string]string{"disk-full": "full", "disk-sick": "broken", "disk-slow": fmt.Sprintf("slow=%.0fms", x.Size)}
	setMode := func(word string) (err error) {
		for _, trace := range []string{f.tracePath(r), f.tracePath(r) + tracedisk.BacklogSuffix} {
			err = errors.Join(err, os.WriteFile(trace+".faults", []byte(word), 0o600))
		}
		return err
	}
	if err := setMode(modes[x.Kind]); err != nil {
		return fmt.Errorf("process: %w", err)
	}
	network.Sleep(f.ctx, x.For)
	if err := setMode(f.baselineDiskFaults(r)); err != nil {
		return fmt.Errorf("process: %w", err)
	}
	return nil
}
