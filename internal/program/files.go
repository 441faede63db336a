//go:build !testbed

package program

import "onyxroad.dev/onyxroad/internal/disk"

// files is the state folder.
func files(dir string) (disk.FS, error) { return disk.Dir(dir), nil }
