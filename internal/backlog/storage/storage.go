// Package storage declares the interface between a relay and the store of its backlog. It is separate from package backlog so
// that a relay without a backlog does not link the storage engine.
package storage

import (
	"errors"
	"iter"
)

// ErrFull is returned when there is no space for the added messages. Changes that only remove messages still succeed.
var ErrFull = errors.New("backlog: no room")

// Ref identifies a stored message and holds the values that it is indexed by.
type Ref struct {
	ID       uint32 // assigned by the relay, unique among the messages it holds
	Trace    string // trace id given by the client
	Dest     int
	Rank     int64 // Unix nanoseconds; messages of a destination are sent in ascending order of rank, then of ID
	Deadline int64 // Unix nanoseconds
}

// Entry is a stored message.
type Entry struct {
	Ref
	Data []byte // encoded by the relay, opaque to the store
}

// Store keeps messages on disk. Find, Get, Len, Count and DiskBytes may be called from any goroutine; the other methods must
// not be called concurrently.
type Store interface {
	// Apply removes and adds messages atomically, and returns once the change is durable. If it returns ErrFull the removals
	// are not applied either; removals without additions never return ErrFull.
	Apply(put []Entry, remove []Ref) error
	// First returns up to n messages of a destination, but for some ids, most urgent first: in order of rank, then of id.
	First(dest, n int, except map[uint32]struct{}) ([]Entry, error)
	// Due returns up to n messages whose deadline is at or before by, in order of deadline, then of id. They come after the
	// message after in this order, which need not exist.
	Due(after Ref, by int64, n int) ([]Entry, error)
	// NextDue returns the earliest deadline of the messages that come after the message after in the order of Due, and false
	// if there are none.
	NextDue(after Ref) (int64, bool, error)
	Find(trace string) (Ref, bool, error)
	Get(id uint32) (Entry, bool, error)
	Len() int
	Count(dest int) int
	// Dests yields the destinations that have messages, in ascending order, with their number of messages.
	Dests() iter.Seq2[int, int]
	DiskBytes() int64 // total size on disk
	Close() error
}

// OpenReport describes what opening a store found in its folder.
type OpenReport struct {
	Messages int
	MaxID    uint32   // highest id assigned since the store was last empty
	Problems []string // descriptions of everything that could not be read
	Lost     bool     // nothing was readable: the files were quarantined and the store starts empty
	Rebuilt  bool     // some data was unreadable: everything readable was rewritten
}
