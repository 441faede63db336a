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
	maxPeers     = 64
)

// identity is the part of a steward that survives its process. A steward is identified by its folder, which holds its
// votes and the entries it has acknowledged: with an emptied folder it is another steward, and with a folder restored to
// an earlier state it must not take part.
type identity struct {
	dir string

	mu    sync.Mutex // guards the fields below
	saved savedIdentity
	boot  string           // id of this process
	seen  map[string]start // latest known start of other stewards, by id
	// What other stewards have acknowledged to this process: the highest term, and the last entry committed by then. It
	// reveals a restored folder. It is not on disk: a restored folder is missed if every leader since has ended as well.
	acked       map[string]progress
	ownProgress func() (progress, error) // progress of this steward's folder
}

// progress is how far the log of a steward has advanced.
type progress struct {
	Term uint64 `json:"term"`
	Last uint64 `json:"last"`
}

type savedIdentity struct {
	Name    string
	Folder  string // random, chosen when the folder is created
	Starts  uint64 // number of processes started on the folder
	Cluster string // id of the cluster; empty: none yet
	Era     uint64 // of the cluster: increases with each recovery from a lost majority
	Raise   uint64 // epochs must continue above this once this steward leads; 0: nothing to do
}

// start identifies the latest known process of a steward.
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
			return nil, fmt.Errorf("steward: %s has a log, but no %s: part of the folder may be missing. Start the steward on an empty folder", dir, identityFile)
		}
		x.saved.Name, x.saved.Folder = name, rand.Text()[:12]
	}
	if x.saved.Name != name {
		return nil, fmt.Errorf("steward: folder %s belongs to %q, not to %q", dir, x.saved.Name, name)
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

// ID is the steward's id among the stewards.
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

// recordAck records the progress that another steward has acknowledged.
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

// setCluster makes this steward a member of a cluster.
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

// checkPeer records what another steward announces, or returns an error if it may not take part.
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

// retainPeers forgets stewards that have been removed.
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

// errOutdatedFolder refuses a steward whose folder was restored to an earlier state, or copied: it may have lost votes
// and acknowledged entries.
var errOutdatedFolder = errors.New("its folder is an older one, or a copy")
