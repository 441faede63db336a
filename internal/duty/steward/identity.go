package steward

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sync"

	"onyxroad.dev/onyxroad/internal/disk"
)

const (
	identityName = "steward.json"
	peersName    = "peers.json"
	peersMost    = 64
)

// identity is what outlasts a steward's process. A steward is its folder: votes that were given and entries that were
// acknowledged are in it, so that one whose folder was emptied is another steward, and one whose folder was put back to an
// earlier state is none that may take part.
type identity struct {
	dir string

	mu   sync.Mutex // guards what follows
	kept kept
	boot string           // of this process
	seen map[string]start // other stewards, by id
	// What others have acknowledged to this process: the highest term of each, and the last entry that was agreed on by then.
	// Not on disk: it finds a folder that was put back, as long as one that led since has not ended as well.
	acked map[string]progress
	own   func() (progress, error) // what this steward's folder holds
}

// progress is how far a steward has come.
type progress struct {
	Term uint64 `json:"term"`
	Last uint64 `json:"last"`
}

type kept struct {
	Name    string
	Folder  string // drawn when the folder was new
	Starts  uint64 // of a process on the folder
	Cluster string // of stewards that belong together; empty: none yet
	Era     uint64 // of the cluster: one more with each that was begun anew after a lost majority
	Raise   uint64 // epochs have to go on above this, once this steward leads; 0: nothing is to be done
}

// start is the latest start of a steward's process that was seen.
type start struct {
	Starts uint64
	Boot   string
}

func identify(dir, name string) (*identity, error) {
	x := &identity{dir: dir, boot: rand.Text()[:12], seen: map[string]start{}, acked: map[string]progress{}}
	if err := read(dir, identityName, &x.kept); err != nil {
		return nil, err
	}
	if err := read(dir, peersName, &x.seen); err != nil {
		return nil, err
	}
	if x.kept.Folder == "" {
		if _, err := os.Stat(filepath.Join(dir, logName)); err == nil {
			return nil, fmt.Errorf("steward: %s has a log, but no %s: is part of the folder missing? Give the steward an empty one", dir, identityName)
		}
		x.kept.Name, x.kept.Folder = name, rand.Text()[:12]
	}
	if x.kept.Name != name {
		return nil, fmt.Errorf("steward: %s is the folder of %q, not of %q", dir, x.kept.Name, name)
	}
	x.kept.Starts++
	return x, x.keep()
}

func read(dir, name string, into any) error {
	data, err := os.ReadFile(filepath.Join(dir, name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err == nil {
		err = json.Unmarshal(data, into)
	}
	if err != nil {
		return fmt.Errorf("steward: %s: %w", name, err)
	}
	return nil
}

func (x *identity) keep() error { return x.write(identityName, x.kept) }

func (x *identity) write(name string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("steward: %w", err)
	}
	if err := disk.Replace(disk.Dir(x.dir), name, data); err != nil {
		return fmt.Errorf("steward: %s: %w", name, err)
	}
	return nil
}

// ID is the steward's among the others.
func (x *identity) ID() string { return x.kept.Name + "/" + x.kept.Folder }

func (x *identity) hello() (hello, error) {
	p, err := x.own()
	if err != nil {
		return hello{}, fmt.Errorf("steward: how far the folder is: %w", err)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return hello{From: x.ID(), Cluster: x.kept.Cluster, Era: x.kept.Era, start: start{x.kept.Starts, x.boot},
		progress: p}, nil
}

// heard notes how far another steward has come, by what it answered.
func (x *identity) heard(id string, p progress) {
	x.mu.Lock()
	defer x.mu.Unlock()
	old := x.acked[id]
	x.acked[id] = progress{max(old.Term, p.Term), max(old.Last, p.Last)}
}

func (x *identity) cluster() (id string, era uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.kept.Cluster, x.kept.Era
}

// belong has this steward belong to a cluster from now on.
func (x *identity) belong(cluster string, era uint64) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.kept.Cluster == cluster {
		return nil
	}
	if x.kept.Cluster != "" {
		return fmt.Errorf("steward: this one belongs to cluster %s, not to %s", x.kept.Cluster, cluster)
	}
	x.kept.Cluster, x.kept.Era = cluster, era
	return x.keep()
}

func (x *identity) raise() uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.kept.Raise
}

func (x *identity) raised() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.kept.Raise = 0
	return x.keep()
}

// meet takes what another steward says of itself; an error if it may not take part.
func (x *identity) meet(h hello) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if h.Cluster != x.kept.Cluster || h.Cluster == "" {
		return fmt.Errorf("it belongs to cluster %q, this one to %q", h.Cluster, x.kept.Cluster)
	}
	last := x.seen[h.From]
	switch {
	case h.Starts < last.Starts || h.Starts == last.Starts && h.Boot != last.Boot:
		return fmt.Errorf("%w: it was started %d times, and was seen after %d", errOlder, h.Starts, last.Starts)
	case h.Term < x.acked[h.From].Term || h.Last < x.acked[h.From].Last:
		return fmt.Errorf("%w: it holds term %d and entry %d, and has acknowledged %d and %d", errOlder, h.Term, h.Last,
			x.acked[h.From].Term, x.acked[h.From].Last)
	case h.start == last:
		return nil
	case len(x.seen) >= peersMost && last == start{}:
		return errors.New("too many stewards were seen")
	}
	x.seen[h.From] = h.start
	return x.write(peersName, x.seen)
}

// forget forgets stewards that are none any more.
func (x *identity) forget(keep func(id string) bool) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	for id := range x.acked {
		if !keep(id) {
			delete(x.acked, id)
		}
	}
	n := len(x.seen)
	for id := range x.seen {
		if !keep(id) {
			delete(x.seen, id)
		}
	}
	if len(x.seen) == n {
		return nil
	}
	return x.write(peersName, x.seen)
}

// errOlder refuses a steward whose folder was put back to an earlier state, or copied: it may have forgotten what it voted and
// acknowledged.
var errOlder = errors.New("its folder is an older one, or a copy")
