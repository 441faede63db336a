// Package recovery is what an operator has to do with a stopped relay's state folder: check it, show what stands in it, and
// put it in order. Reading changes nothing; repairing goes the way that a start goes, so that a repair which is cut off
// leaves what a start that is cut off leaves.
package recovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"onyxroad.dev/onyxroad/internal/disk"
	"onyxroad.dev/onyxroad/internal/wal"
)

// ErrRelayRunning tells that a relay has the folder.
var ErrRelayRunning = errors.New("a relay has the folder: stop it first")

// Folder is what stands in a state folder.
type Folder struct {
	Dir      string
	Log      *wal.Report
	Messages []Message
	Excluded []string  // endpoints out by hand
	Partners time.Time // when what is known of partners was put down; zero: never
	Bytes    int64     // in whole sectors
}

// Message is a message that is held, as an operator wants to see it.
type Message struct {
	ID       uint32
	Trace    string
	Class    int // by its place in the settings
	Dest     int
	Deadline time.Time
	Attempts int
	MayRun   int    // attempts that may have run
	State    string // "held", "ended", "withdrawn", "in doubt"
}

// lock takes the folder's lock, so that no relay begins meanwhile.
func lock(dir string) (unlock func(), err error) {
	info, err := os.Stat(dir)
	if err != nil {
		return nil, fmt.Errorf("recovery: %w", err)
	}
	if !info.IsDir() {
		return nil, fmt.Errorf("recovery: %s is not a folder", dir)
	}
	f, err := wal.LockExisting(dir)
	if errors.Is(err, fs.ErrNotExist) {
		return func() {}, nil // no relay was ever here, and none is to be seen by a check
	}
	if errors.Is(err, wal.ErrLocked) {
		return nil, ErrRelayRunning
	}
	if err != nil {
		return nil, fmt.Errorf("recovery: %w", err)
	}
	return func() { f.Close() }, nil
}

// Read reads a folder and changes nothing.
func Read(dir string) (*Folder, error) {
	unlock, err := lock(dir)
	if err != nil {
		return nil, err
	}
	defer unlock()
	return read(dir)
}

func read(dir string) (*Folder, error) {
	r, ms, err := wal.Check(disk.Dir(dir))
	if err != nil {
		return nil, fmt.Errorf("recovery: %w", err)
	}
	f := &Folder{Dir: dir, Log: r}
	for _, m := range ms {
		one := Message{ID: m.ID, Trace: m.Trace, Class: m.Class, Dest: m.Dest, Deadline: m.Deadline, Attempts: m.Attempts,
			MayRun: len(m.MayRun), State: "held"}
		switch {
		case m.Withdrawn:
			one.State = "withdrawn"
		case m.Final != nil:
			one.State = "ended"
		case m.Doubt:
			one.State = "in doubt"
		}
		f.Messages = append(f.Messages, one)
	}
	if text, err := os.ReadFile(filepath.Join(dir, "excluded.json")); err == nil {
		if err := json.Unmarshal(text, &f.Excluded); err != nil {
			return nil, fmt.Errorf("recovery: excluded.json: %w", err)
		}
	}
	if info, err := os.Stat(filepath.Join(dir, "partners.json")); err == nil {
		f.Partners = info.ModTime()
	}
	return f, filepath.WalkDir(dir, func(_ string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() {
			return err
		}
		info, err := e.Info()
		if err == nil {
			f.Bytes += (info.Size() + disk.Sector - 1) / disk.Sector * disk.Sector
		}
		return err
	})
}

// Repair puts a folder in order as a start would, in the given format (0: the one that it has), and returns what it held
// before. Adopt gives it to another relay: that one must never have served beside the relay whose folder it was.
func Repair(dir string, format int, adopt string, limit int64) (*Folder, error) {
	lockFile, err := wal.Lock(dir)
	if errors.Is(err, wal.ErrLocked) {
		return nil, ErrRelayRunning
	} else if err != nil {
		return nil, fmt.Errorf("recovery: %w", err)
	}
	defer lockFile.Close()
	before, err := read(dir)
	if err != nil {
		return nil, err
	}
	if format == 0 {
		format = max(1, before.Log.Format)
	}
	name := before.Log.Name
	if adopt != "" {
		name = adopt
	}
	l, _, err := wal.OpenWith(wal.Options{Dir: dir, Limit: limit, Format: format, SyncWrites: format == wal.SegmentFormat, Name: name,
		AdoptForeign: adopt != ""})
	if err != nil {
		return before, fmt.Errorf("recovery: %w", err)
	}
	if err := errors.Join(l.Failure(), l.Close()); err != nil {
		return before, fmt.Errorf("recovery: %w", err)
	}
	return before, nil
}
