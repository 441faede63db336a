package wal

import (
	"errors"
	"fmt"
	"slices"
	"syscall"
	"testing"

	"onyxroad.dev/onyxroad/internal/disk"
	"onyxroad.dev/onyxroad/internal/disk/faultdisk"
)

// failingDisk is a directory whose calls of some kinds fail.
type failingDisk struct {
	*faultdisk.Disk
	ops    []faultdisk.Op
	extent faultdisk.Extent
	times  int // number of calls that still fail; -1 for all
}

func newFailingDisk(dir string) *failingDisk {
	f := &failingDisk{}
	f.Disk = &faultdisk.Disk{FS: disk.Dir(dir), Fail: func(op faultdisk.Op, _ string) faultdisk.Fault {
		if f.times == 0 || !slices.Contains(f.ops, op) {
			return faultdisk.Fault{}
		}
		f.times--
		return faultdisk.Fault{Err: syscall.EIO, Extent: f.extent}
	}}
	return f
}

func (f *failingDisk) fail(times int, extent faultdisk.Extent, ops ...faultdisk.Op) {
	f.ops, f.extent, f.times = ops, extent, times
}

func (f *failingDisk) options(format int) Options {
	return Options{FS: f, Limit: ampleLimit, Format: format, Name: "n3"}
}

var (
	formats = []int{1, SegmentFormat}
	extents = []faultdisk.Extent{faultdisk.None, faultdisk.Part, faultdisk.Full}
)

// If Accept fails, the client submits its message again, so the failed write must not be recovered as a second copy. If the write can't
// be undone, the error must say so. Messages accepted before and after it must stay undamaged.
func TestFailedAcceptIsNotRecovered(t *testing.T) {
	for _, format := range formats {
		for _, extent := range extents {
			for _, cleanup := range []bool{true, false} {
				for _, later := range []int{0, 1, 2} {
					name := fmt.Sprintf("format %d, extent %d, cleaned up %v, %d later", format, extent, cleanup, later)
					t.Run(name, func(t *testing.T) {
						dir := t.TempDir()
						f := newFailingDisk(dir)
						l, _, err := OpenWith(f.options(format))
						must(t, err)
						must(t, l.Accept(message(1), message(2)))
						ops := []faultdisk.Op{faultdisk.Write}
						if !cleanup {
							ops = faultdisk.MutatingOps
						}
						times := -1
						if cleanup {
							times = 1
						}
						f.fail(times, extent, ops...)
						err = l.Accept(message(3), message(4), message(5))
						if err == nil {
							t.Fatal("accepted although the write failed")
						}
						indeterminate := errors.Is(err, ErrIndeterminate)
						if indeterminate && cleanup {
							t.Errorf("indeterminate although it could be cleaned up: %v", err)
						}
						f.fail(0, 0)
						want := "1 2 "
						for k := range later {
							id := uint32(6 + k)
							m := message(id)
							m.Key = "" // shorter than the failed record that it may overwrite
							m.Body = nil
							acceptAfterRecovery(t, l, m)
							want += fmt.Sprint(id, " ")
						}
						if !indeterminate || later > 0 {
							_, found, err := OpenWith(newFailingDisk(dir).options(format))
							must(t, err)
							if got := foundIDs(found); got != want || found.Damaged || found.Report != nil && !found.Report.Intact() {
								t.Errorf("found %q, damaged %v, report %+v; want %q", got, found.Damaged, found.Report, want)
							}
						}
					})
				}
			}
		}
	}
}

// acceptAfterRecovery accepts a message once the log has found the disk working again.
func acceptAfterRecovery(t *testing.T, l *Log, m *Message) {
	t.Helper()
	var err error
	for range 100 {
		l.TryRecover()
		if err = l.Accept(m); err == nil {
			return
		}
		skipRetryInterval(l)
	}
	t.Fatal(err)
}

// skipRetryInterval makes the pause between two recovery attempts look elapsed.
func skipRetryInterval(l *Log) {
	if s, ok := l.backend.(*segmentedLog); ok {
		s.mu.Lock()
		s.lastFailedTry = s.lastFailedTry.Add(-recoveryRetryInterval)
		s.mu.Unlock()
	}
}

// A failing call that changes the folder must not make a start fail: the messages held are read, and new work is accepted once the
// disk works again.
func TestStartWithFailingDisk(t *testing.T) {
	for _, format := range formats {
		for _, torn := range []bool{false, true} {
			for _, extent := range extents {
				for times := 1; times <= 6; times++ {
					for _, empty := range []bool{false, true} {
						name := fmt.Sprintf("format %d, torn %v, extent %d, the first %d calls, empty %v", format, torn, extent, times, empty)
						t.Run(name, func(t *testing.T) {
							dir := t.TempDir()
							want := ""
							if !empty {
								l, _, err := OpenWith(newFailingDisk(dir).options(format))
								must(t, err)
								must(t, l.Accept(message(1), message(2)))
								want = "1 2 "
								if torn {
									f := newFailingDisk(dir)
									appendTornRecord(t, f, format)
								}
							}
							f := newFailingDisk(dir)
							f.fail(times, extent, faultdisk.MutatingOps...)
							l, found, err := OpenWith(f.options(format))
							if err != nil {
								t.Fatalf("the start failed: %v", err)
							}
							if got := foundIDs(found); got != want || found.Damaged {
								t.Errorf("found %q, damaged %v; want %q", got, found.Damaged, want)
							}
							acceptAfterRecovery(t, l, message(9))
							_, found, err = OpenWith(newFailingDisk(dir).options(format))
							must(t, err)
							if got := foundIDs(found); got != want+"9 " || found.Damaged {
								t.Errorf("at the next start: found %q, damaged %v", got, found.Damaged)
							}
						})
					}
				}
			}
		}
	}
}

// appendTornRecord writes half a record at the end of the current file.
func appendTornRecord(t *testing.T, f *failingDisk, format int) {
	t.Helper()
	names, err := f.Names()
	must(t, err)
	last := logName
	if format == SegmentFormat {
		for _, n := range names {
			if _, ok := parseGeneration(segPrefix, n); ok {
				last = n
			}
		}
	}
	data, err := f.ReadFile(last)
	must(t, err)
	file, err := f.Open(last)
	must(t, err)
	half := appendRecord(nil, payload(record{Kind: recAccept, ID: 3, Message: message(3)}, message(3).Body))
	_, err = file.WriteAt(half[:len(half)/2], int64(len(data)))
	must(t, errors.Join(err, file.Close()))
}

// A failed compaction may have taken effect: afterwards the log must still be read and written in one place.
func TestFailedCompactionLosesNothing(t *testing.T) {
	for _, format := range formats {
		for _, op := range faultdisk.MutatingOps {
			for _, extent := range extents {
				for _, times := range []int{1, 2, 3, -1} {
					t.Run(fmt.Sprintf("format %d, %s, extent %d, %d times", format, op, extent, times), func(t *testing.T) {
						dir := t.TempDir()
						f := newFailingDisk(dir)
						l, _, err := OpenWith(f.options(format))
						must(t, err)
						must(t, l.Accept(message(1), message(2)))
						f.fail(times, extent, op)
						l.compact()
						f.fail(0, 0)
						acceptAfterRecovery(t, l, message(3))
						l.End(l.live[1])
						must(t, l.Flush())
						_, found, err := OpenWith(newFailingDisk(dir).options(format))
						must(t, err)
						if got := foundIDs(found); got != "2 3 " || found.Damaged {
							t.Errorf("found %q, damaged %v", got, found.Damaged)
						}
					})
				}
			}
		}
	}
}
