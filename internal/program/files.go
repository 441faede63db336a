//go:build !testbed

package program

import "onyxroad.dev/onyxroad/internal/disk"

// openStateDisk returns the file system of the state folder.
func openStateDisk(dir string) (disk.FS, error) { return disk.Dir(dir), nil }

// openBacklogDisk returns the file system of the backlog's folder; nil: the operating system's.
func openBacklogDisk(string) (disk.FS, error) { return nil, nil }
