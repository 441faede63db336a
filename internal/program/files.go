//go:build !testbed

package program

import "onyxroad.dev/onyxroad/internal/disk"

// files is the state folder.
func files(dir string) (disk.FS, error) { return disk.Dir(dir), nil }

// backlogFiles is the backlog's folder; nil: the operating system's.
func backlogFiles(string) (disk.FS, error) { return nil, nil }
