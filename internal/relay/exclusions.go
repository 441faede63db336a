package relay

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"onyxroad.dev/onyxroad/internal/duty"
)

const (
	exclusionsFile     = "excluded.json"
	maxExclusionsBytes = 16 << 10 // size of the set on disk, in bytes
	maxSeenIDs         = 8192     // ids that a list has ever named, including those no longer listed
	// stateReserve is the part of the disk limit that the log may not use: the set, a temporary copy of it, and the rest.
	stateReserve = 64 << 10
)

// exclusionChange is an operator's request to exclude an endpoint, or to include it again. One that a duty's holder makes
// carries the holder's epoch.
type exclusionChange struct {
	Host  string `json:",omitempty"`
	Out   bool   `json:",omitempty"`
	Duty  string `json:",omitempty"`
	Epoch uint64 `json:",omitempty"`
}

// exclusions is the set of endpoints that operators have excluded. Only this type writes the set to the state folder, and
// it does so before a change is confirmed. Callers change the set without waiting for the loop, which is notified by
// changed.
type exclusions struct {
	log     *slog.Logger
	dir     string
	changed chan struct{} // capacity 1

	mu        sync.Mutex    // held while the set is handed over
	owned     bool          // this process owns the set
	successor *handoverLink // otherwise the process that owns it; nil if none does yet
	excluded  map[string]bool
	seen      map[string]bool
	seenOrder []string    // the ids of seen, oldest first
	fence     *duty.Fence // for changes made in the name of a duty; nil until the first one

	unsaved bool // the set on disk is outdated
}

func newExclusions(log *slog.Logger, dir string) *exclusions {
	return &exclusions{log: log, dir: dir, changed: make(chan struct{}, 1), excluded: map[string]bool{}, seen: map[string]bool{}}
}

// load takes the set over from an earlier process. The caller must hold the log's lock. An error is transient, and then
// nothing is taken over.
func (x *exclusions) load(seen []string) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	data, err := os.ReadFile(filepath.Join(x.dir, exclusionsFile))
	if isTransient(err) {
		return fmt.Errorf("relay: read excluded endpoints: %w", err)
	}
	x.owned = true
	x.addSeen(seen)
	var ids []string
	if err == nil {
		err = json.Unmarshal(data, &ids)
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		x.log.Error("cannot read the set of excluded endpoints", "err", err)
	}
	for _, id := range ids {
		x.excluded[id] = true // not shared with readers yet
	}
	x.notify()
	return nil
}

// unload gives the set up again, because the earlier process keeps it.
func (x *exclusions) unload() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.owned, x.excluded, x.unsaved = false, map[string]bool{}, false
}

func (x *exclusions) notify() {
	select {
	case x.changed <- struct{}{}:
	default:
	}
}

// noteListed records ids from discovery's list. If there are too many, the oldest that are no longer listed are dropped.
func (x *exclusions) noteListed(ids []string, isListed func(id string) bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.addSeen(ids)
	for n := len(x.seenOrder); n > 0 && len(x.seenOrder) > maxSeenIDs; n-- {
		id := x.seenOrder[0]
		x.seenOrder = x.seenOrder[1:]
		if isListed(id) {
			x.seenOrder = append(x.seenOrder, id)
		} else {
			delete(x.seen, id)
		}
	}
}

func (x *exclusions) addSeen(ids []string) {
	for _, id := range ids {
		if !x.seen[id] {
			x.seen[id] = true
			x.seenOrder = append(x.seenOrder, id)
		}
	}
}

// set excludes an endpoint, or includes it again.
func (x *exclusions) set(change exclusionChange) answer {
	id, out := change.Host, change.Out
	x.mu.Lock()
	if successor := x.successor; successor != nil {
		x.mu.Unlock()
		in := &submission{exclusionChange: change, reply: make(chan answer, 1)}
		successor.forward(in)
		return <-in.reply
	}
	defer x.mu.Unlock()
	switch {
	case !x.owned:
		return answer{status: http.StatusServiceUnavailable, text: "not serving"}
	case !x.excluded[id] && !x.seen[id]:
		return answer{status: http.StatusNotFound, text: "no such endpoint was ever listed"}
	}
	if err := x.checkFence(change); errors.Is(err, duty.ErrFenced) {
		return answer{status: http.StatusConflict, text: err.Error()}
	} else if err != nil {
		x.log.Error("cannot check the epoch of a duty's request", "duty", change.Duty, "epoch", change.Epoch, "err", err)
		return answer{status: http.StatusServiceUnavailable, text: "not kept: " + err.Error()}
	}
	if x.excluded[id] != out {
		next, err := x.withChange(id, out)
		if err != nil {
			return answer{status: http.StatusServiceUnavailable, text: err.Error()}
		}
		// In force at once, even if saving fails: an exclusion must hold from 1 s after the request, whatever the disk
		// does.
		x.excluded, x.unsaved = next, true
		x.log.Info("endpoint exclusion changed", "id", id, "out", out)
		x.notify()
	}
	if err := x.save(); err != nil {
		x.log.Error("endpoint exclusion not saved", "id", id, "out", out, "err", err)
		return answer{status: http.StatusServiceUnavailable, text: "in force, and not kept yet: " + err.Error()}
	}
	if out {
		return answer{status: http.StatusOK, text: "out"}
	}
	return answer{status: http.StatusOK, text: "back"}
}

// checkFence refuses a change by a former holder of a duty; mu must be held. A newer epoch is saved to disk before
// anything in its name is done.
func (x *exclusions) checkFence(change exclusionChange) (err error) {
	if change.Duty == "" {
		return nil
	}
	if x.fence == nil {
		if x.fence, err = duty.OpenFence(x.dir); err != nil {
			return err
		}
	}
	return x.fence.Admit(change.Duty, change.Epoch)
}

// withChange returns the set with one endpoint excluded or included.
func (x *exclusions) withChange(id string, out bool) (map[string]bool, error) {
	next := maps.Clone(x.excluded)
	if next[id] = true; !out {
		delete(next, id)
	}
	data, err := json.Marshal(slices.Sorted(maps.Keys(next)))
	if err != nil {
		return nil, err
	}
	if len(data) > maxExclusionsBytes {
		return nil, fmt.Errorf("more than %d bytes of ids", maxExclusionsBytes)
	}
	return next, nil
}

// retrySave tries again to save the set if saving has failed.
func (x *exclusions) retrySave() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.owned && x.unsaved && x.save() == nil {
		x.log.Info("excluded endpoints are saved again")
	}
}

// save replaces the set on disk atomically, if it is outdated.
func (x *exclusions) save() error {
	if !x.unsaved {
		return nil
	}
	data, err := json.Marshal(slices.Sorted(maps.Keys(x.excluded)))
	if err != nil {
		return err
	}
	temp := filepath.Join(x.dir, exclusionsFile+".tmp")
	if err := os.WriteFile(temp, data, 0o600); err != nil {
		return err
	}
	if err := os.Rename(temp, filepath.Join(x.dir, exclusionsFile)); err != nil {
		return err
	}
	x.unsaved = false
	return nil
}

// current returns the set. It is never modified: a change makes a new one.
func (x *exclusions) current() map[string]bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.excluded
}
