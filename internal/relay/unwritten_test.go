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

// sickDisk has calls of a folder fail while it is sick.
type sickDisk struct {
	fault faultdisk.Fault
	ops   []faultdisk.Op
	sick  atomic.Bool
}

func (s *sickDisk) files(dir string) disk.FS {
	return &faultdisk.Disk{FS: disk.Dir(dir), Fail: func(op faultdisk.Op, _ string) faultdisk.Fault {
		if s.sick.Load() && slices.Contains(s.ops, op) {
			return s.fault
		}
		return faultdisk.Fault{}
	}}
}

// stateFormats are the ways in which the log is kept where a process's end is all that it has to outlast.
var stateFormats = map[string]func(*Config){
	"one file":    func(*Config) {},
	"in segments": func(c *Config) { c.Segments = true },
}

func TestNoEndIsToldThatTheNextProcessDoesNotKnow(t *testing.T) {
	for format, change := range stateFormats {
		for name, c := range map[string]struct {
			fault faultdisk.Fault
			ops   []faultdisk.Op
			full  bool
		}{
			"a write fails":         {faultdisk.Fault{Err: syscall.EIO}, []faultdisk.Op{faultdisk.Write}, false},
			"half a write stays":    {faultdisk.Fault{Err: syscall.ENOSPC, Reach: faultdisk.Part}, []faultdisk.Op{faultdisk.Write}, false},
			"no room, and none had": {faultdisk.Fault{Err: syscall.ENOSPC}, []faultdisk.Op{faultdisk.Open}, true},
		} {
			t.Run(format+" "+name, func(t *testing.T) {
				d := &sickDisk{fault: c.fault, ops: c.ops}
				r := newTestRelayOn(t, d.files, change)
				const dest = 8 // listed once, and without an endpoint now
				r.cells[dest] = true
				if a := decide(r, newHandIn("m1", dest, 5*time.Second))[0]; a.status != http.StatusAccepted {
					t.Fatalf("%+v", a)
				}
				limit := r.wal.Limit
				d.sick.Store(true)
				if c.full {
					r.wal.Limit = r.wal.Size() + 2*disk.Sector
				}
				r.execute([]policy.Action{{Kind: policy.Refuse, ID: r.traces["m1"].ID}}, nil)
				if len(r.finals.queue) > 0 {
					t.Error("told, and the next process would send it")
				}
				d.sick.Store(false)
				r.wal.Limit = limit
				eventually(t, "its end is told once it is in the log", func() bool { r.maintainLog(); return len(r.finals.queue) > 0 })
				next := restarted(t, r)
				if m := next.traces["m1"]; m == nil || m.Final == nil || !m.Final.Deferred || next.held != 0 {
					t.Errorf("the next process has %+v, %d held", m, next.held)
				}
			})
		}
	}
}

// A client that is told that its message has no effect while the log has it, and not its end.
func TestNoRefusalIsToldThatTheNextProcessDoesNotKnow(t *testing.T) {
	for format, change := range stateFormats {
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
			decide(r, newHandIn("first", 7, 5*time.Second))
			writes.Store(1) // the message is written, and what the step decides is not
			in := newHandIn("m1", 7, -time.Second)
			r.step([]any{in})
			if a, ok := answered(in); ok && a.status != http.StatusAccepted {
				t.Errorf("told %+v, and the next process would send it", a)
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
				t.Errorf("told %+v, remembered as %v, %v", a, how, ok)
			}
			if next := restarted(t, r); next.traces["m1"] != nil {
				t.Error("the next process holds it")
			}
		})
	}
}

func TestNoRefusalIsToldWhileTheLogMayHoldTheMessage(t *testing.T) {
	for format, change := range stateFormats {
		t.Run(format, func(t *testing.T) {
			// All of a write stays, though it fails, and can't be taken away.
			d := &sickDisk{fault: faultdisk.Fault{Err: syscall.EIO, Reach: faultdisk.All},
				ops: []faultdisk.Op{faultdisk.Write}}
			cleaning := &sickDisk{fault: faultdisk.Fault{Err: syscall.EIO}, ops: []faultdisk.Op{faultdisk.Truncate, faultdisk.Open}}
			var erasing atomic.Bool
			r := newTestRelayOn(t, func(dir string) disk.FS {
				return &faultdisk.Disk{FS: cleaning.files(dir), Fail: func(op faultdisk.Op, _ string) faultdisk.Fault {
					switch {
					case op != faultdisk.Write || !d.sick.Load():
						return faultdisk.Fault{}
					case erasing.Swap(true):
						return cleaning.fault
					}
					return d.fault
				}}
			}, change)
			d.sick.Store(true)
			cleaning.sick.Store(true)
			first, again := newHandIn("m1", 7, 5*time.Second), newHandIn("m1", 7, 5*time.Second)
			r.step([]any{first})
			r.step([]any{again})
			r.maintainLog()
			for _, in := range []*handIn{first, again} {
				if a, ok := answered(in); ok {
					t.Errorf("told %+v, and the next process may send it", a)
				}
			}
			d.sick.Store(false)
			cleaning.sick.Store(false)
			for _, in := range []*handIn{first, again} {
				eventually(t, "answered", func() bool {
					r.maintainLog()
					a, ok := answered(in)
					if ok && a.status != http.StatusServiceUnavailable && a.status != 0 {
						t.Errorf("told %+v", a)
					}
					return ok
				})
			}
			if next := restarted(t, r); next.traces["m1"] != nil {
				t.Error("the next process holds it")
			}
		})
	}
}

func TestAWithheldAnswerIsGivenUpOnceItsClientHasLeft(t *testing.T) {
	d := &sickDisk{fault: faultdisk.Fault{Err: syscall.EIO, Reach: faultdisk.All}, ops: []faultdisk.Op{faultdisk.Write, faultdisk.Truncate}}
	r := newTestRelayOn(t, d.files)
	d.sick.Store(true)
	in := newHandIn("m1", 7, 5*time.Second)
	r.step([]any{in})
	r.withheld[0].until = time.Now()
	r.step(nil)
	if a, ok := answered(in); !ok || a.status != 0 {
		t.Errorf("answered %+v, %v", a, ok)
	}
	late := newHandIn("m1", 7, 5*time.Second)
	r.step([]any{late})
	if a, ok := answered(late); ok {
		t.Errorf("its id is answered %+v while the log may hold it", a)
	}
}
