//go:build testbed

package program

import (
	"os"
	"time"

	"onyxroad.dev/onyxroad/internal/disk"
	"onyxroad.dev/onyxroad/internal/disk/tracedisk"
	"onyxroad.dev/onyxroad/internal/faultfile"
)

// openStateDisk returns the file system of the state folder: the testbed's emulated disk if the environment asks for one.
func openStateDisk(dir string) (disk.FS, error) {
	if f := faultfile.FromEnv(); f != nil {
		return f.Disk(disk.Dir(dir)), nil
	}
	if trace := os.Getenv(tracedisk.EnvTrace); trace != "" {
		return tracedisk.Open(disk.Dir(dir), trace)
	}
	if text := os.Getenv(tracedisk.EnvSync); text != "" {
		d, err := time.ParseDuration(text)
		return tracedisk.DelayedSync{Dir: disk.Dir(dir), Delay: d}, err
	}
	return disk.Dir(dir), nil
}

// openBacklogDisk returns the file system of the backlog's folder: if the environment asks for a trace, the emulated disk with a
// separate trace file next to that of the state folder.
func openBacklogDisk(dir string) (disk.FS, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	if trace := os.Getenv(tracedisk.EnvTrace); trace != "" {
		return tracedisk.Open(disk.Dir(dir), trace+tracedisk.BacklogSuffix)
	}
	return nil, nil
}
