//go:build testbed

package program

import (
	"os"
	"time"

	"onyxroad.dev/onyxroad/internal/disk"
	"onyxroad.dev/onyxroad/internal/disk/tracedisk"
	"onyxroad.dev/onyxroad/internal/faultfile"
)

// openStateDisk is the state folder on the testbed's emulated disk, in a build that the testbed makes for itself.
func openStateDisk(dir string) (disk.FS, error) {
	if f := faultfile.FromEnv(); f != nil {
		return f.Disk(disk.Dir(dir)), nil
	}
	if trace := os.Getenv(tracedisk.Env); trace != "" {
		return tracedisk.Open(disk.Dir(dir), trace)
	}
	if text := os.Getenv(tracedisk.EnvSync); text != "" {
		d, err := time.ParseDuration(text)
		return tracedisk.Timed{Dir: disk.Dir(dir), Sync: d}, err
	}
	return disk.Dir(dir), nil
}

// openBacklogDisk is the backlog's folder on the same emulated disk, with a trace of its own beside the other.
func openBacklogDisk(dir string) (disk.FS, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	if trace := os.Getenv(tracedisk.Env); trace != "" {
		return tracedisk.Open(disk.Dir(dir), trace+tracedisk.Backlog)
	}
	return nil, nil
}
