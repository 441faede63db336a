//go:build !testbed

package program

import "onyxroad.dev/onyxroad/internal/disk"

// openStateDisk is the state folder.
func openStateDisk(dir string) (disk.FS, error) { return disk.Dir(dir), nil }

// openBacklogDisk is the backlog's folder; nil: the operating system's.
func openBacklogDisk(string) (disk.FS, error) { return nil, nil }
