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
	identityFile = "steward.json"
	peersFile    = "peers.json"
	maxPeers    = 64
)

// identity is what outlasts a steward's process. A steward is its folder: votes that were given and entries that were
// acknowledged are in it, so that one whose folder was emptied is another steward, and one whose folder was put back to an
// earlier state is none that may take part.
type identity struct {
	dir string

	mu   sync.Mutex // guards what follows
	saved savedIdentity
	boot string           // of this process
	seen map[string]start // other stewards, by id
	// What others have acknowledged to this process: the highest term of each, and the last entry that was agreed on by then.
	// Not on disk: it finds a folder that was put back, as long as one that led since has not ended as well.
	acked map[string]progress
	ownProgress   func() (progress, error) // what this steward's folder holds
}

// progress is how far a steward has come.
type progress struct {
	Term uint64 `json:"term"`
	Last uint64 `json:"last"`
}

type savedIdentity struct {
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

func openIdentity(dir, name string) (*identity, error) {
	x := &identity{dir: dir, boot: rand.Text()[:12], seen: map[string]start{}, acked: map[string]progress{}}
	if err := readJSON(dir, identityFile, &x.saved); err != nil {
		return nil, err
	}
	if err := readJSON(dir, peersFile, &x.seen); err != nil {
		return nil, err
	}
	if x.saved.Folder == "" {
		if _, err := os.Stat(filepath.Join(dir, logFile)); err == nil {
			return nil, fmt.Errorf("steward: %s has a log, but no %s: is part of the folder missing? Give the steward an empty one", dir, identityFile)
		}
		x.saved.Name, x.saved.Folder = name, rand.Text()[:12]
	}
	if x.saved.Name != name {
		return nil, fmt.Errorf("steward: %s is the folder of %q, not of %q", dir, x.saved.Name, name)
	}
	x.saved.Starts++
	return x, x.save()
}

func readJSON(dir, name string, into any) error {
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

func (x *identity) save() error { return x.writeJSON(identityFile, x.saved) }

func (x *identity) writeJSON(name string, v any) error {
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
func (x *identity) ID() string { return x.saved.Name + "/" + x.saved.Folder }

func (x *identity) hello() (hello, error) {
	p, err := x.ownProgress()
	if err != nil {
		return hello{}, fmt.Errorf("steward: how far the folder is: %w", err)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return hello{From: x.ID(), Cluster: x.saved.Cluster, Era: x.saved.Era, start: start{x.saved.Starts, x.boot},
		progress: p}, nil
}

// recordAck notes how far another steward has come, by what it answered.
func (x *identity) recordAck(id string, p progress) {
	x.mu.Lock()
	defer x.mu.Unlock()
	old := x.acked[id]
	x.acked[id] = progress{max(old.Term, p.Term), max(old.Last, p.Last)}
}

func (x *identity) cluster() (id string, era uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.saved.Cluster, x.saved.Era
}

// setCluster has this steward setCluster to a cluster from now on.
func (x *identity) setCluster(cluster string, era uint64) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.saved.Cluster == cluster {
		return nil
	}
	if x.saved.Cluster != "" {
		return fmt.Errorf("steward: this one belongs to cluster %s, not to %s", x.saved.Cluster, cluster)
	}
	x.saved.Cluster, x.saved.Era = cluster, era
	return x.save()
}

func (x *identity) pendingRaise() uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.saved.Raise
}

func (x *identity) clearRaise() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.saved.Raise = 0
	return x.save()
}

// checkPeer takes what another steward says of itself; an error if it may not take part.
func (x *identity) checkPeer(h hello) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if h.Cluster != x.saved.Cluster || h.Cluster == "" {
		return fmt.Errorf("it belongs to cluster %q, this one to %q", h.Cluster, x.saved.Cluster)
	}
	last := x.seen[h.From]
	switch {
	case h.Starts < last.Starts || h.Starts == last.Starts && h.Boot != last.Boot:
		return fmt.Errorf("%w: it was started %d times, and was seen after %d", errOutdatedFolder, h.Starts, last.Starts)
	case h.Term < x.acked[h.From].Term || h.Last < x.acked[h.From].Last:
		return fmt.Errorf("%w: it holds term %d and entry %d, and has acknowledged %d and %d", errOutdatedFolder, h.Term, h.Last,
			x.acked[h.From].Term, x.acked[h.From].Last)
	case h.start == last:
		return nil
	case len(x.seen) >= maxPeers && last == start{}:
		return errors.New("too many stewards were seen")
	}
	x.seen[h.From] = h.start
	return x.writeJSON(peersFile, x.seen)
}

// retainPeers forgets stewards that are none any more.
func (x *identity) retainPeers(keep func(id string) bool) error {
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
	return x.writeJSON(peersFile, x.seen)
}

// errOutdatedFolder refuses a steward whose folder was put back to an earlier state, or copied: it may have forgotten what it voted and
// acknowledged.
var errOutdatedFolder = errors.New("its folder is an older one, or a copy")
