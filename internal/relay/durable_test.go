package relay

import (
	"context"
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"onyxroad.dev/onyxroad/internal/disk/crashdisk"
	"onyxroad.dev/onyxroad/internal/wal"
)

// newDurableRelay returns a relay with Config.Power on an in-memory disk. Its loop is not running, and its syncs block
// while syncLock is locked.
func newDurableRelay(t *testing.T, d *crashdisk.Disk, syncLock *sync.RWMutex) *Relay {
	t.Helper()
	d.Fail = func(op, _ string) error {
		if op == "sync" {
			syncLock.RLock()
			syncLock.RUnlock() //lint:ignore SA2001 waits until the test unlocks it
		}
		return nil
	}
	c, err := parseConfig([]byte(`{"name":"n3","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":` + settingsJSON +
		`,"known":{"version":1,"full":true,"servers":[
		{"id":"s-1","addr":"127.0.0.1:1","zone":"a","kind":"gateway","cell":7,"state":"ready","weight":50}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	c.StateDir, c.Segments, c.Power, c.Disk, c.MemoriesEvery = t.TempDir(), true, true, d, time.Second
	r, err := New(t.Context(), c, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); r.callWG.Wait(); r.hosts.close(); r.wal.Close() })
	r.callCtx = ctx
	r.restore()
	return r
}

// answered returns the answer to a request, if there is one yet.
func answered(in *submission) (a answer, ok bool) {
	select {
	case a = <-in.reply:
		return a, true
	default:
		return a, false
	}
}

// waitOnDisk waits until everything is on disk and all pending steps are finished.
func waitOnDisk(t *testing.T, r *Relay) {
	t.Helper()
	eventually(t, "everything is on disk", func() bool { r.maintainLog(); return len(r.pendingSteps) == 0 })
}

func TestAnswersAndCallsWaitForSync(t *testing.T) {
	var syncLock sync.RWMutex
	d := crashdisk.New()
	r := newDurableRelay(t, d, &syncLock)
	syncLock.Lock()
	in, duplicate := newSubmission("a", 7, time.Minute), newSubmission("a", 7, time.Minute)
	r.step([]any{in})
	r.step([]any{duplicate})
	r.maintainLog()
	_, one := answered(in)
	_, two := answered(duplicate)
	if one || two || r.callsOut > 0 {
		t.Errorf("before it is on disk: answers %v and %v, %d calls", one, two, r.callsOut)
	}
	syncLock.Unlock()
	waitOnDisk(t, r)
	for _, in := range []*submission{in, duplicate} {
		if a, ok := answered(in); !ok || a.status != http.StatusAccepted {
			t.Errorf("once it is on disk: %+v, %v", a, ok)
		}
	}
	if r.callsOut != 1 {
		t.Errorf("%d calls", r.callsOut)
	}
	// A loss of power here loses everything that was not synced.
	_, found, err := wal.OpenWith(wal.Options{FS: d.Crash(func() bool { return false }), Limit: 1 << 20, Format: wal.SegmentFormat})
	if err != nil || len(found.Messages) != 1 || len(found.Messages[0].MayRun) != 1 {
		t.Errorf("after a loss of power: %+v, %v", found.Messages, err)
	}
}

func TestSlowDiskRejectsClients(t *testing.T) {
	var syncLock sync.RWMutex
	r := newDurableRelay(t, crashdisk.New(), &syncLock)
	syncLock.Lock()
	in, duplicate := newSubmission("a", 7, time.Minute), newSubmission("a", 7, time.Minute)
	r.step([]any{in, duplicate})
	r.pendingSteps[0].since = time.Now().Add(-time.Second)
	r.maintainLog()
	for _, in := range []*submission{in, duplicate} {
		if a, ok := answered(in); !ok || a.status != http.StatusServiceUnavailable || a.retryAfter <= 0 {
			t.Errorf("while the disk is slow: %+v, %v", a, ok)
		}
	}
	syncLock.Unlock()
	waitOnDisk(t, r)
	r.step(nil)
	waitOnDisk(t, r)
	r.step(nil)
	if r.callsOut > 0 || r.held > 0 || len(r.msgs) > 0 {
		t.Errorf("after the rejection: %d calls, %d held, %d known messages; want none", r.callsOut, r.held, len(r.msgs))
	}
}

func TestFailedSyncRejectsNewMessages(t *testing.T) {
	var syncLock sync.RWMutex
	d := crashdisk.New()
	r := newDurableRelay(t, d, &syncLock)
	old := newSubmission("a", 7, time.Minute)
	r.step([]any{old})
	waitOnDisk(t, r)
	d.Fail = func(op, _ string) error {
		if op == "sync" {
			return errors.New("input/output error")
		}
		return nil
	}
	in := newSubmission("b", 7, time.Minute)
	r.step([]any{in})
	eventually(t, "the failure is known", func() bool { r.maintainLog(); return r.logFailed })
	late := newSubmission("c", 7, time.Minute)
	r.step([]any{late})
	if a, ok := answered(late); !ok || a.status != http.StatusServiceUnavailable {
		t.Errorf("after a failed sync: %+v, %v", a, ok)
	}
	d.Fail = nil
	eventually(t, "a new file is there", func() bool { r.maintainLog(); return !r.logFailed })
	waitOnDisk(t, r)
	again := newSubmission("d", 7, time.Minute)
	r.step([]any{again})
	waitOnDisk(t, r)
	if a, ok := answered(again); !ok || a.status != http.StatusAccepted {
		t.Errorf("in the new file: %+v, %v", a, ok)
	}
}

func TestUncertainAttemptsCountAsRunLongAgo(t *testing.T) {
	r := newTestRelay(t)
	m := &message{Message: &wal.Message{ID: 1, Dest: 7, Deadline: time.Now().Add(time.Minute), Doubt: true}}
	if e := r.resumedEvent(m, nil); !e.Resumed.MayHaveRun || e.Resumed.FirstRunAgo < time.Hour {
		t.Errorf("attempts unknown: %+v", e.Resumed)
	}
	// The clock was set back by an hour: a message that seems seconds old may be an hour old.
	sent := time.Now().Add(time.Hour)
	m = &message{Message: &wal.Message{ID: 2, Dest: 7, Deadline: sent.Add(5 * time.Second), MayRun: []wal.Attempt{{At: sent}}}}
	r.adjustForClockSetBack(wal.Recovery{Messages: []*wal.Message{m.Message}}, sent)
	e := r.resumedEvent(m, nil)
	if e.TimeLeft > 6*time.Second || !e.Resumed.MayHaveRun || e.Resumed.FirstRunAgo < time.Hour {
		t.Errorf("after the clock was set back: left %v, %+v", e.TimeLeft, e.Resumed)
	}
}

func TestMemoriesAreReadBackOrRejected(t *testing.T) {
	var syncLock sync.RWMutex
	r := newDurableRelay(t, crashdisk.New(), &syncLock)
	if _, err := readMemories(r.cfg.StateDir); !errors.Is(err, errNoMemories) {
		t.Errorf("without a file: %v", err)
	}
	data, err := r.encodeMemories()
	if err != nil {
		t.Fatal(err)
	}
	r.writeMemories(data)
	m, err := readMemories(r.cfg.StateDir)
	if err != nil || len(m.Memories) != 1 || m.Memories[0].Route != "s-1" || m.Clock <= 0 {
		t.Errorf("%+v, %v", m, err)
	}
	path := filepath.Join(r.cfg.StateDir, memoriesFile)
	for _, bad := range [][]byte{data[:len(data)/2], append([]byte{data[0] ^ 1}, data[1:]...), {}} {
		if err := os.WriteFile(path, bad, 0o600); err != nil {
			t.Fatal(err)
		}
		if m, err := readMemories(r.cfg.StateDir); err == nil || len(m.Memories) > 0 {
			t.Errorf("damaged file was accepted: %+v", m)
		}
	}
}

// A client that disconnects while its message's call waits for the disk submits the message again. The first call must
// then not be made as well.
func TestDelayedCallIsDroppedWhenClientDisconnects(t *testing.T) {
	var syncLock sync.RWMutex
	r := newDurableRelay(t, crashdisk.New(), &syncLock)
	r.guard.OnViolation(func(text string) { t.Error(text) })
	syncLock.Lock()
	in := newSubmission("a", 7, time.Minute)
	r.step([]any{in})
	r.step([]any{withdrawal{r.byTrace["a"].ID}})
	syncLock.Unlock()
	waitOnDisk(t, r)
	r.step(nil)
	if r.callsOut > 0 {
		t.Errorf("%d calls in flight for a withdrawn message", r.callsOut)
	}
	waitOnDisk(t, r)
	if r.held > 0 || len(r.msgs) > 0 {
		t.Errorf("%d held, %d known messages; want none", r.held, len(r.msgs))
	}
}
