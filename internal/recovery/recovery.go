// Package recovery lets an operator work on a stopped relay's state folder: check it, list its messages, and repair it. Reading changes
// nothing. Repairing takes the same steps as a start, so that an interrupted repair leaves what an interrupted start leaves.
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

// ErrRelayRunning means that a relay is using the folder.
var ErrRelayRunning = errors.New("a relay is using the folder: stop it first")

// Folder describes a state folder.
type Folder struct {
	Dir      string
	Log      *wal.Report
	Messages []Message
	Excluded []string  // endpoints excluded by an operator
	Partners time.Time // when the partners' state was last saved; zero if never
	Bytes    int64     // on disk, in whole sectors
}

// Message describes a message held in the log.
type Message struct {
	ID       uint32
	Trace    string
	Class    int // index in the settings
	Dest     int
	Deadline time.Time
	Attempts int
	MayRun   int    // attempts that may have run
	State    string // "held", "ended", "withdrawn", "in doubt"
}

// lock takes the folder's lock so that no relay starts meanwhile.
func lock(dir string) (unlock func(), err error) {
	info, err := os.Stat(dir)
	if err != nil {
		return nil, fmt.Errorf("recovery: %w", err)
	}
	if !info.IsDir() {
		return nil, fmt.Errorf("recovery: %s is not a directory", dir)
	}
	f, err := wal.LockExisting(dir)
	if errors.Is(err, fs.ErrNotExist) {
		return func() {}, nil // no relay has used this folder, and a check must not create a lock file
	}
	if errors.Is(err, wal.ErrLocked) {
		return nil, ErrRelayRunning
	}
	if err != nil {
		return nil, fmt.Errorf("recovery: %w", err)
	}
	return func() { f.Close() }, nil
}

// Read reads a folder without changing it.
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
		listed := Message{ID: m.ID, Trace: m.Trace, Class: m.Class, Dest: m.Dest, Deadline: m.Deadline, Attempts: m.Attempts,
			MayRun: len(m.MayRun), State: "held"}
		switch {
		case m.Withdrawn:
			listed.State = "withdrawn"
		case m.Final != nil:
			listed.State = "ended"
		case m.Doubt:
			listed.State = "in doubt"
		}
		f.Messages = append(f.Messages, listed)
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

// Request is what a folder knows of a trace id.
type Request struct {
	Trace   string
	Message *Message `json:",omitempty"` // the message that the log holds under the id; nil if there is none
	Ended   string   `json:",omitempty"` // how the request ended: "delivered", "refused" or "failed"; "" if no end is remembered
}

// Known reports whether the folder knows the id. A relay does not accept a known id as a new message, unless the message was
// withdrawn.
func (r *Request) Known() bool { return r.Message != nil || r.Ended != "" }

// FindRequest looks up a trace id in a folder without changing it.
func FindRequest(dir, trace string) (*Request, error) {
	unlock, err := lock(dir)
	if err != nil {
		return nil, err
	}
	defer unlock()
	f, err := read(dir)
	if err != nil {
		return nil, err
	}
	found := &Request{Trace: trace}
	for i := range f.Messages {
		if f.Messages[i].Trace == trace {
			found.Message = &f.Messages[i]
		}
	}
	how, ok, err := wal.FindEnd(disk.Dir(dir), trace)
	if err != nil {
		return nil, fmt.Errorf("recovery: %w", err)
	}
	if ok {
		found.Ended = how.String()
	}
	return found, nil
}

// Repair repairs a folder as a start would, in the given format (0 keeps the present one), and returns what it held before. A non-empty
// adopt assigns the folder to another relay, which must never have served at the same time as the relay that owned it.
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
