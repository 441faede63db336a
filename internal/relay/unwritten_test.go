package relay

import (
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"onyxroad.dev/onyxroad/internal/disk"
	"onyxroad.dev/onyxroad/internal/disk/faultdisk"
	"onyxroad.dev/onyxroad/internal/wal"
	"onyxroad.dev/onyxroad/policy"
)

// failingDisk makes operations on a folder fail while failing is set.
type failingDisk struct {
	fault   faultdisk.Fault
	ops     []faultdisk.Op
	failing atomic.Bool
}

func (d *failingDisk) files(dir string) disk.FS {
	return &faultdisk.Disk{FS: disk.Dir(dir), Fail: func(op faultdisk.Op, _ string) faultdisk.Fault {
		if d.failing.Load() && slices.Contains(d.ops, op) {
			return d.fault
		}
		return faultdisk.Fault{}
	}}
}

// logFormats are the formats of the log when it only has to survive the end of the process, not a power failure.
var logFormats = map[string]func(*Config){
	"one file":    func(*Config) {},
	"in segments": func(c *Config) { c.Segments = true },
}

func TestEndIsReportedOnlyOnceLogged(t *testing.T) {
	for format, change := range logFormats {
		for name, c := range map[string]struct {
			fault faultdisk.Fault
			ops   []faultdisk.Op
			full  bool
		}{
			"a write fails":       {faultdisk.Fault{Err: syscall.EIO}, []faultdisk.Op{faultdisk.Write}, false},
			"a write is partial":  {faultdisk.Fault{Err: syscall.ENOSPC, Extent: faultdisk.Part}, []faultdisk.Op{faultdisk.Write}, false},
			"no space for a file": {faultdisk.Fault{Err: syscall.ENOSPC}, []faultdisk.Op{faultdisk.Open}, true},
		} {
			t.Run(format+" "+name, func(t *testing.T) {
				d := &failingDisk{fault: c.fault, ops: c.ops}
				r := newTestRelayOn(t, d.files, change)
				const dest = 8 // listed before, but without an endpoint now
				r.knownDests[dest] = true
				if a := stepSubmissions(r, newSubmission("m1", dest, 5*time.Second))[0]; a.status != http.StatusAccepted {
					t.Fatalf("%+v", a)
				}
				limit := r.wal.Limit
				d.failing.Store(true)
				if c.full {
					r.wal.Limit = r.wal.Size() + 2*disk.Sector
				}
				r.execute([]policy.Action{{Kind: policy.Refuse, ID: r.byTrace["m1"].ID}}, nil)
				if len(r.notices.queue) > 0 {
					t.Error("reported, but the next process would send it")
				}
				d.failing.Store(false)
				r.wal.Limit = limit
				eventually(t, "its end is reported once it is in the log", func() bool { r.maintainLog(); return len(r.notices.queue) > 0 })
				next := restartRelay(t, r)
				if m := next.byTrace["m1"]; m == nil || m.Final == nil || !m.Final.Deferred || next.held != 0 {
					t.Errorf("the next process has %+v, %d held", m, next.held)
				}
			})
		}
	}
}

// A refusal tells the client that its message has no effect. It must not be given while the log has the message but not
// its end.
func TestRefusalIsAnsweredOnlyOnceLogged(t *testing.T) {
	for format, change := range logFormats {
		t.Run(format, func(t *testing.T) {
			var writes atomic.Int64
			writes.Store(1 << 30)
			r := newTestRelayOn(t, func(dir string) disk.FS {
				return &faultdisk.Disk{FS: disk.Dir(dir), Fail: func(op faultdisk.Op, _ string) faultdisk.Fault {
					if op == faultdisk.Write && writes.Add(-1) < 0 {
						return faultdisk.Fault{Err: syscall.EIO}
					}
					return faultdisk.Fault{}
				}}
			}, change)
			stepSubmissions(r, newSubmission("first", 7, 5*time.Second))
			writes.Store(1) // the message is written, but not what the step decides
			in := newSubmission("m1", 7, -time.Second)
			r.step([]any{in})
			if a, ok := answered(in); ok && a.status != http.StatusAccepted {
				t.Errorf("answered %+v, but the next process would send it", a)
			}
			writes.Store(1 << 30)
			var a answer
			eventually(t, "answered", func() bool {
				r.maintainLog()
				got, ok := answered(in)
				a = got
				return ok
			})
			if how, ok := r.wal.Completed("m1"); a.status != http.StatusServiceUnavailable || !ok || how != wal.Refused {
				t.Errorf("answered %+v, remembered as %v, %v", a, how, ok)
			}
			if next := restartRelay(t, r); next.byTrace["m1"] != nil {
				t.Error("the next process holds it")
			}
		})
	}
}

func TestRefusalIsWithheldWhileLogMayHoldMessage(t *testing.T) {
	for format, change := range logFormats {
		t.Run(format, func(t *testing.T) {
			// A failed write leaves all of its data behind, and the data cannot be removed.
			d := &failingDisk{fault: faultdisk.Fault{Err: syscall.EIO, Extent: faultdisk.Full},
				ops: []faultdisk.Op{faultdisk.Write}}
			cleaning := &failingDisk{fault: faultdisk.Fault{Err: syscall.EIO}, ops: []faultdisk.Op{faultdisk.Truncate, faultdisk.Open}}
			var erasing atomic.Bool
			r := newTestRelayOn(t, func(dir string) disk.FS {
				return &faultdisk.Disk{FS: cleaning.files(dir), Fail: func(op faultdisk.Op, _ string) faultdisk.Fault {
					switch {
					case op != faultdisk.Write || !d.failing.Load():
						return faultdisk.Fault{}
					case erasing.Swap(true):
						return cleaning.fault
					}
					return d.fault
				}}
			}, change)
			d.failing.Store(true)
			cleaning.failing.Store(true)
			first, again := newSubmission("m1", 7, 5*time.Second), newSubmission("m1", 7, 5*time.Second)
			r.step([]any{first})
			r.step([]any{again})
			r.maintainLog()
			for _, in := range []*submission{first, again} {
				if a, ok := answered(in); ok {
					t.Errorf("answered %+v, but the next process may send it", a)
				}
			}
			d.failing.Store(false)
			cleaning.failing.Store(false)
			for _, in := range []*submission{first, again} {
				eventually(t, "answered", func() bool {
					r.maintainLog()
					a, ok := answered(in)
					if ok && a.status != http.StatusServiceUnavailable && a.status != 0 {
						t.Errorf("answered %+v", a)
					}
					return ok
				})
			}
			if next := restartRelay(t, r); next.byTrace["m1"] != nil {
				t.Error("the next process holds it")
			}
		})
	}
}

func TestWithheldAnswerIsAbandonedAfterLimit(t *testing.T) {
	d := &failingDisk{fault: faultdisk.Fault{Err: syscall.EIO, Extent: faultdisk.Full}, ops: []faultdisk.Op{faultdisk.Write, faultdisk.Truncate}}
	r := newTestRelayOn(t, d.files)
	d.failing.Store(true)
	in := newSubmission("m1", 7, 5*time.Second)
	r.step([]any{in})
	r.withheld[0].until = time.Now()
	r.step(nil)
	if a, ok := answered(in); !ok || a.status != 0 {
		t.Errorf("answered %+v, %v", a, ok)
	}
	late := newSubmission("m1", 7, 5*time.Second)
	r.step([]any{late})
	if a, ok := answered(late); ok {
		t.Errorf("its id is answered %+v while the log may hold it", a)
	}
}
