// Package owed is what a relay and the store of its backlog speak of, apart from the store's engine: a relay without a
// backlog does not link that.
package owed

import (
	"errors"
	"iter"
)

// ErrFull tells that there is no room for what is put. Removals go through.
var ErrFull = errors.New("backlog: no room")

// Ref names a message that is on disk, with all that finds it.
type Ref struct {
	ID       uint32 // the relay's own number, unique among all it owes
	Trace    string // the client's id
	Dest     int
	Rank     int64 // unix nanoseconds: least goes first within a destination; ties by ID
	Deadline int64 // unix nanoseconds
}

// Entry is a message on disk.
type Entry struct {
	Ref
	Data []byte // the relay's own record
}

// Store keeps messages on disk. Find, Get, Len, Count and Disk may be called from any goroutine, the others from one at a
// time.
type Store interface {
	// Apply removes messages and puts others, all or none, and returns once that is durable. Of removals with ErrFull
	// nothing is done either: they go through where nothing is put.
	Apply(put []Entry, remove []Ref) error
	// First returns the n most urgent messages of a destination, in order of rank and id.
	First(dest, n int) ([]Entry, error)
	// Due returns the messages whose deadline is by or before, soonest first, n at most.
	Due(by int64, n int) ([]Entry, error)
	// NextDue is the soonest deadline there is.
	NextDue() (int64, bool, error)
	Find(trace string) (Ref, bool, error)
	Get(id uint32) (Entry, bool, error)
	Len() int
	Count(dest int) int
	// Dests lists the destinations that have messages, with how many, in ascending order.
	Dests() iter.Seq2[int, int]
	DiskBytes() int64 // bytes
	Close() error
}

// OpenReport is what a start made of the folder.
type OpenReport struct {
	Messages int
	MaxID    uint32   // the highest id since the store was last empty
	Problems []string // what could not be read, in plain words
	Lost     bool     // nothing could be read: the files were set aside, and the store begun anew
	Rebuilt  bool     // something could not be read: what could be was written anew
}
