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

// failingDisk is a folder whose calls of some kinds fail while it is sick.
type failingDisk struct {
	*faultdisk.Disk
	ops    []faultdisk.Op
	extent faultdisk.Extent
	times  int // calls that still fail; -1: all
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

func (f *failingDisk) fail(times int, reach faultdisk.Extent, ops ...faultdisk.Op) {
	f.ops, f.extent, f.times = ops, reach, times
}

func (f *failingDisk) options(format int) Options {
	return Options{FS: f, Limit: ampleLimit, Format: format, Name: "n3"}
}

var (
	formats = []int{1, SegmentFormat}
	extents = []faultdisk.Extent{faultdisk.None, faultdisk.Part, faultdisk.Full}
)

// A client that was told of a refusal hands its message in anew: it must not come back from the log as well. Where nothing can
// be made of the failed write, the error says so. What was taken on before and after it stays, undamaged.
func TestFailedAcceptIsNotRecovered(t *testing.T) {
	for _, format := range formats {
		for _, reach := range extents {
			for _, cleanup := range []bool{true, false} {
				for _, later := range []int{0, 1, 2} {
					name := fmt.Sprintf("format %d, reach %d, cleaned up %v, %d later", format, reach, cleanup, later)
					t.Run(name, func(t *testing.T) {
						dir := t.TempDir()
						f := newFailingDisk(dir)
						l, _, err := OpenWith(f.options(format))
						must(t, err)
						must(t, l.Accept(message(1), message(2)))
						sick := []faultdisk.Op{faultdisk.Write}
						if !cleanup {
							sick = faultdisk.MutatingOps
						}
						times := -1
						if cleanup {
							times = 1
						}
						f.fail(times, reach, sick...)
						err = l.Accept(message(3), message(4), message(5))
						if err == nil {
							t.Fatal("taken on though the write failed")
						}
						unclear := errors.Is(err, ErrIndeterminate)
						if unclear && cleanup {
							t.Errorf("unclear though it could be cleaned up: %v", err)
						}
						f.fail(0, 0)
						want := "1 2 "
						for k := range later {
							id := uint32(6 + k)
							m := message(id)
							m.Key = "" // shorter than what it may stand over
							m.Body = nil
							acceptAfterRecovery(t, l, m)
							want += fmt.Sprint(id, " ")
						}
						if !unclear || later > 0 {
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

// acceptAfterRecovery takes a message on, once the log has found that the disk is well again.
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

// skipRetryInterval lets the pause pass between two attempts to go on.
func skipRetryInterval(l *Log) {
	if s, ok := l.backend.(*segmentedLog); ok {
		s.mu.Lock()
		s.lastFailedTry = s.lastFailedTry.Add(-recoveryRetryInterval)
		s.mu.Unlock()
	}
}

// No call of a start that changes the folder may refuse it, whichever fails: what was owed is read, and new work is taken on
// once the disk is well again.
func TestStartWithFailingDisk(t *testing.T) {
	for _, format := range formats {
		for _, torn := range []bool{false, true} {
			for _, reach := range extents {
				for times := 1; times <= 6; times++ {
					for _, empty := range []bool{false, true} {
						name := fmt.Sprintf("format %d, torn %v, reach %d, the first %d calls, empty %v", format, torn, reach, times, empty)
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
							f.fail(times, reach, faultdisk.MutatingOps...)
							l, found, err := OpenWith(f.options(format))
							if err != nil {
								t.Fatalf("refused: %v", err)
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

// appendTornRecord leaves half a record at the end of the file that is written.
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

// A compaction that fails, and may have had its effect, leaves a log that is read and written in one place.
func TestFailedCompactionLosesNothing(t *testing.T) {
	for _, format := range formats {
		for _, op := range faultdisk.MutatingOps {
			for _, reach := range extents {
				for _, times := range []int{1, 2, 3, -1} {
					t.Run(fmt.Sprintf("format %d, %s, reach %d, %d times", format, op, reach, times), func(t *testing.T) {
						dir := t.TempDir()
						f := newFailingDisk(dir)
						l, _, err := OpenWith(f.options(format))
						must(t, err)
						must(t, l.Accept(message(1), message(2)))
						f.fail(times, reach, op)
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
