package faultfile

import (
	"onyxroad.dev/onyxroad/internal/disk"
	"onyxroad.dev/onyxroad/internal/disk/faultdisk"
)

// Disk returns a file system whose operations fail according to the rules of the file.
func (f *File) Disk(fs disk.FS) disk.FS {
	return &faultdisk.Disk{FS: fs, Fail: func(op faultdisk.Op, _ string) faultdisk.Fault {
		rule := f.Next(string(op))
		if rule.Errno == 0 {
			return faultdisk.Fault{}
		}
		reach := map[string]faultdisk.Extent{"part": faultdisk.Part, "all": faultdisk.Full}[rule.Reach]
		return faultdisk.Fault{Err: rule.Errno, Extent: reach}
	}}
}
