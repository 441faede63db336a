package wal

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"onyxroad.dev/onyxroad/internal/disk"
	"onyxroad.dev/onyxroad/internal/disk/crashdisk"
)

// inSegs opens a folder in segments, synced or not.
func inSegs(t *testing.T, d disk.FS, power bool) (*Log, Recovery) {
	t.Helper()
	l, found, err := OpenWith(Options{FS: d, Limit: roomy, Name: "n3", Format: Format, Power: power})
	must(t, err)
	return l, found
}

// small is a small log with a bit of everything; its process is killed, or ends in order.
func small(t *testing.T, power, closed bool) *crashdisk.Disk {
	t.Helper()
	d := crashdisk.New()
	l, _ := inSegs(t, d, power)
	one, two, three := message(1), message(2), message(3)
	must(t, l.Accept(one, two))
	must(t, l.Sent(Send{one, Attempt{Host: "s-1", Zone: 1, At: noon}}, Send{two, Attempt{Host: "s-2", At: noon}}))
	l.NeverRan(two, 0)
	must(t, l.Close())
	l, _ = inSegs(t, d, power)
	must(t, l.Accept(three))
	one = l.live[1]
	l.Decide(one, Final{})
	must(t, l.Flush())
	must(t, l.Sent(Send{three, Attempt{Host: "s-3", At: noon}}))
	if closed {
		must(t, l.Close())
		return d
	}
	killed := d.Copy()
	must(t, l.Close())
	return killed
}

// TestEveryFlippedBitIsDetectedOrHarmless flips every single bit of a small log.
func TestEveryFlippedBitIsDetectedOrHarmless(t *testing.T) {
	for _, closed := range []bool{true, false} {
		for _, power := range []bool{true, false} {
			d := small(t, power, closed)
			_, want, err := Check(d)
			must(t, err)
			names, err := d.Names()
			must(t, err)
			flips, mended := 0, 0
			for _, n := range names {
				data, err := d.ReadFile(n)
				if err != nil {
					continue // the guard
				}
				for bit := range len(data) * 8 {
					bad := d.Copy()
					must(t, bad.Flip(n, bit))
					flips++
					r, got, err := Check(bad)
					if err != nil {
						t.Fatal(err)
					}
					same := reflect.DeepEqual(got, want)
					if r.Repaired > 0 && same {
						mended++
					}
					if !same && r.Sound() {
						t.Errorf("closed %v, power %v, %s, bit %d: not told, and %v for %v", closed, power, n, bit, got, want)
					}
				}
			}
			if mended < flips*9/10 {
				t.Errorf("closed %v, power %v: %d of %d flips read as they were written", closed, power, mended, flips)
			}
		}
	}
}

// TestDamageInTheMiddle loses a sector that was on disk.
func TestDamageInTheMiddle(t *testing.T) {
	d := crashdisk.New()
	l, _ := inSegs(t, d, true)
	one, two, three := message(1), message(2), message(3)
	one.Body = bytes.Repeat([]byte{1}, 2000)
	must(t, l.Accept(one))
	must(t, l.Accept(two))
	must(t, l.Sent(Send{two, Attempt{Host: "s-1", At: noon}}))
	must(t, l.Accept(three))
	must(t, l.Close())
	name := genName(segPrefix, 1)
	f, err := d.Open(name)
	must(t, err)
	_, err = f.WriteAt(make([]byte, disk.Sector), 1024)
	must(t, err)
	must(t, f.Sync())
	l, found := inSegs(t, d, true)
	defer l.Close()
	if got := ids(found); got != "2 3 " || found.Report.Sound() {
		t.Fatalf("found %q: %s", got, found.Report.Words())
	}
	// What came after the damage is whole; nothing stood before it.
	if found.Messages[0].Doubt || found.Messages[1].Doubt || len(found.Messages[0].MayRun) != 1 {
		t.Errorf("%+v", found.Messages[0])
	}
	names, err := d.Names()
	must(t, err)
	if !slices.ContainsFunc(names, func(n string) bool { return strings.HasPrefix(n, setAside+name) }) ||
		!slices.ContainsFunc(names, func(n string) bool { return strings.HasSuffix(n, ".txt") }) {
		t.Errorf("not set aside: %v", names)
	}
}

// TestADamagedSendIsDoubted loses the record of a send.
func TestADamagedSendIsDoubted(t *testing.T) {
	d := crashdisk.New()
	l, _ := inSegs(t, d, false)
	one, two := message(1), message(2)
	must(t, l.Accept(one))
	from := l.keep.(*segments).used
	must(t, l.Sent(Send{one, Attempt{Host: strings.Repeat("s", 100), At: noon}}))
	must(t, l.Accept(two))
	f, err := d.Open(genName(segPrefix, 1))
	must(t, err)
	_, err = f.WriteAt(make([]byte, 60), from+20)
	must(t, err)
	_, found := inSegs(t, d, false)
	if got := ids(found); got != "1 2 " || !found.Messages[0].Doubt || found.Messages[1].Doubt {
		t.Errorf("found %q, %+v", got, found.Messages)
	}
}

func TestFromOneFileAndBack(t *testing.T) {
	dir := t.TempDir()
	l, _ := open(t, dir, roomy)
	must(t, l.Accept(message(1), message(2)))
	must(t, l.Sent(Send{l.live[1], Attempt{Host: "s-1", At: noon}}))
	must(t, l.Close())
	l, found, err := OpenWith(Options{Dir: dir, Limit: roomy, Format: Format, Power: true})
	must(t, err)
	if got := ids(found); got != "1 2 " || len(found.Messages[0].MayRun) != 1 {
		t.Fatalf("found %q", got)
	}
	must(t, l.Accept(message(3)))
	must(t, l.Close())
	// A version that knows one file alone removes an unfinished one first, and can't.
	if err := os.Remove(filepath.Join(dir, tempName)); err == nil {
		t.Error("an older version starts, and finds nothing")
	}
	for range 2 {
		l, found = open(t, dir, roomy)
		if got := ids(found); got != "1 2 3 " || len(found.Messages[0].MayRun) != 1 {
			t.Fatalf("back in one file: %q", got)
		}
		must(t, l.Close())
	}
	names, err := disk.Dir(dir).Names()
	must(t, err)
	if !slices.Equal(names, []string{name}) {
		t.Errorf("left behind: %v", names)
	}
}

// TestEachStepBetweenTheFormats has the power fail at every step of the way to segments and back.
func TestEachStepBetweenTheFormats(t *testing.T) {
	check := func(d *crashdisk.Disk, when string) {
		for _, format := range []int{1, Format} {
			x := d.Copy()
			l, found, err := OpenWith(Options{FS: x, Limit: roomy, Format: format})
			if err != nil || ids(found) != "1 2 " {
				t.Fatalf("%s, format %d: %q, %v in %s", when, format, ids(found), err, x.Text())
			}
			must(t, l.Close())
		}
	}
	d := crashdisk.New()
	l, _, err := OpenWith(Options{FS: d, Limit: roomy})
	must(t, err)
	must(t, l.Accept(message(1), message(2)))
	must(t, l.Close())
	d = d.Copy() // it is on disk
	states := 0
	for _, format := range []int{Format, 1, Format} {
		d.After = func(op, name string) {
			for i := range uint64(1) << min(d.Pieces(), 10) {
				states++
				check(d.Crash(crashdisk.Number(i)), op+" "+name)
			}
		}
		l, found, err := OpenWith(Options{FS: d, Limit: roomy, Format: format, Power: format == Format})
		must(t, err)
		if ids(found) != "1 2 " {
			t.Fatalf("format %d: found %q", format, ids(found))
		}
		d.After = nil
		must(t, l.Close())
		d = d.Copy()
	}
	if states < 50 {
		t.Errorf("%d states alone", states)
	}
}

func TestAnothersFolder(t *testing.T) {
	d := crashdisk.New()
	l, _ := inSegs(t, d, false)
	must(t, l.Close())
	if _, _, err := OpenWith(Options{FS: d, Limit: roomy, Name: "n4", Format: Format}); !errors.Is(err, ErrOther) {
		t.Errorf("another relay's folder: %v", err)
	}
}

// TestAFailedSync has nothing more trusted to the file.
func TestAFailedSync(t *testing.T) {
	d := crashdisk.New()
	told := make(chan struct{}, 100)
	l, _, err := OpenWith(Options{FS: d, Limit: roomy, Format: Format, Power: true, Told: func() { told <- struct{}{} }})
	must(t, err)
	one, two := message(1), message(2)
	must(t, l.Accept(one, two))
	<-told
	broken := errors.New("input/output error")
	d.Fail = func(op, _ string) error {
		if op == "sync" {
			return broken
		}
		return nil
	}
	must(t, l.Sent(Send{one, Attempt{Host: "s-1", At: noon}}))
	<-told
	if l.Durable() == l.Written() {
		t.Error("a write whose sync failed counts as durable")
	}
	if err := l.Accept(message(3)); !errors.Is(err, ErrWorn) {
		t.Errorf("taken on after a failed sync: %v", err)
	}
	l.End(two)
	if err := l.Flush(); !errors.Is(err, ErrWorn) {
		t.Errorf("written after a failed sync: %v", err)
	}
	if l.Tend() {
		t.Error("the disk is still broken")
	}
	<-told
	d.Fail = nil
	s := l.keep.(*segments)
	s.tried = time.Time{} // its pause is over
	if l.Tend() {
		t.Error("before its snapshot is there")
	}
	<-told
	if !l.Tend() || l.Durable() != l.Written()-1 && l.Durable() != l.Written() {
		t.Errorf("not whole again: %d of %d", l.Durable(), l.Written())
	}
	must(t, l.Accept(message(4)))
	must(t, l.Close())
	_, found := inSegs(t, d.Crash(func() bool { return false }), true)
	if got := ids(found); got != "1 4 " || len(found.Messages[0].MayRun) != 1 {
		t.Errorf("found %q, %+v", got, found.Messages)
	}
}

// TestAFullDisk starts, and has what is held end.
func TestAFullDisk(t *testing.T) {
	d := small(t, false, true)
	full := errors.New("no space left on device")
	d.Fail = func(op, _ string) error {
		if op == "open" || op == "write" || op == "reserve" {
			return full
		}
		return nil
	}
	l, found := inSegs(t, d, false)
	if got := ids(found); got != "1 2 3 " {
		t.Fatalf("found %q", got)
	}
	if err := l.Accept(message(4)); !errors.Is(err, ErrWorn) {
		t.Errorf("taken on: %v", err)
	}
	l.End(l.live[1])
	d.Fail = nil
	l.keep.(*segments).tried = time.Time{}
	if !l.Tend() {
		t.Fatal("there is room again")
	}
	must(t, l.Accept(message(4)))
	must(t, l.Close())
	if _, found := inSegs(t, d, false); ids(found) != "2 3 4 " {
		t.Errorf("found %q", ids(found))
	}
}

func FuzzFolder(f *testing.F) {
	d := crashdisk.New()
	l, _, err := OpenWith(Options{FS: d, Limit: roomy, Name: "n3", Format: Format})
	if err != nil {
		f.Fatal(err)
	}
	l.Accept(message(1), message(2))
	l.Close()
	seg, _ := d.ReadFile(genName(segPrefix, 1))
	snap, _ := d.ReadFile(genName(snapPrefix, 1))
	f.Add(snap, seg, []byte{})
	f.Add(snap[:20], seg[:100], seg)
	f.Add([]byte{}, []byte{}, []byte{})
	f.Fuzz(func(t *testing.T, snap, seg, next []byte) {
		d := crashdisk.New()
		must(t, d.Guard(guardName, guardFile))
		for n, data := range map[string][]byte{genName(snapPrefix, 1): snap, genName(segPrefix, 1): seg, genName(segPrefix, 2): next} {
			file, err := d.Open(n)
			must(t, err)
			file.WriteAt(data, 0)
		}
		r, ms, err := Check(d)
		must(t, err)
		r.Words()
		l, found, err := OpenWith(Options{FS: d, Limit: roomy, Format: Format})
		must(t, err)
		if len(found.Messages) != len(ms) {
			t.Fatalf("a start finds %d messages, a check %d", len(found.Messages), len(ms))
		}
		must(t, l.Accept(&Message{ID: 1 << 31, Trace: "last"}))
		must(t, l.Close())
		_, again, err := OpenWith(Options{FS: d, Limit: roomy, Format: Format})
		if err != nil || !again.Report.Sound() || len(again.Messages) < len(ms) {
			t.Fatalf("%d messages after %d, %v: %s", len(again.Messages), len(ms), err, again.Report.Words())
		}
	})
}

func FuzzSnapshot(f *testing.F) {
	d := small(&testing.T{}, false, true)
	data, _ := d.ReadFile(genName(snapPrefix, 2))
	f.Add(data)
	f.Add(data[:len(data)-9])
	f.Fuzz(func(t *testing.T, data []byte) {
		s := &snapshot{}
		whole := s.read(map[string][]byte{genName(snapPrefix, 2): data}, 2)
		if whole != (len(s.Holes) == 0) {
			t.Errorf("whole %v, holes %v", whole, s.Holes)
		}
	})
}

// TestReclaim has another process open the log, in either format, and not go on with it.
func TestReclaim(t *testing.T) {
	for _, mine := range []int{1, Format} {
		for _, other := range []int{1, Format} {
			d := crashdisk.New()
			open := func(format int) (*Log, Recovery) {
				l, found, err := OpenWith(Options{FS: d, Limit: roomy, Format: format, Power: format == Format, Name: "n3"})
				must(t, err)
				return l, found
			}
			l, _ := open(mine)
			one, two := message(1), message(2)
			must(t, l.Accept(one, two))
			x, found := open(other)
			if ids(found) != "1 2 " {
				t.Fatalf("%d to %d: %q", mine, other, ids(found))
			}
			must(t, x.Close())
			must(t, l.Reclaim())
			must(t, l.Sent(Send{one, Attempt{Host: "s-1", At: noon}}))
			l.End(two)
			must(t, l.Accept(message(3)))
			must(t, l.Close())
			d = d.Copy()
			x, found = open(mine)
			if ids(found) != "1 3 " || len(found.Messages[0].MayRun) != 1 {
				t.Errorf("%d, and %d between: %q in %s", mine, other, ids(found), d.Text())
			}
			must(t, x.Close())
		}
	}
}

// TestTheDiskLimitIsKeptInSegments counts everything that the folder holds, at every change.
func TestTheDiskLimitIsKeptInSegments(t *testing.T) {
	const limit = 60_000
	for _, power := range []bool{false, true} {
		d := crashdisk.New()
		most := int64(0)
		d.After = func(string, string) {
			names, _ := d.Names()
			sum := int64(0)
			for _, n := range names {
				data, _ := d.ReadFile(n)
				sum += sectors(int64(len(data)))
			}
			most = max(most, sum)
		}
		var mu sync.Mutex
		after := d.After
		d.After = func(op, name string) { mu.Lock(); defer mu.Unlock(); after(op, name) }
		told := make(chan struct{}, 1)
		l, _, err := OpenWith(Options{FS: d, Limit: limit, Format: Format, Power: power, Told: func() {
			select {
			case told <- struct{}{}:
			default:
			}
		}})
		must(t, err)
		var held []*Message
		for i := range uint32(3000) {
			m := message(i + 1)
			switch err := l.Accept(m); {
			case errors.Is(err, ErrFull), errors.Is(err, ErrSlow):
				<-told // a snapshot or a sync is under way
				continue
			default:
				must(t, err)
			}
			if held = append(held, m); len(held) > 20 {
				l.End(held[0])
				held = held[1:]
				if err := l.Flush(); err != nil && !errors.Is(err, ErrFull) {
					t.Fatal(err)
				}
			}
		}
		must(t, l.Close())
		if most > limit || most < limit/4 {
			t.Errorf("power %v: %d bytes on disk at most, %d allowed", power, most, limit)
		}
		if _, found := inSegs(t, d, power); len(found.Messages) != len(held) {
			t.Errorf("power %v: %d held, %d found", power, len(held), len(found.Messages))
		}
	}
}
