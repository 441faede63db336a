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
func (e *exclusions) load(seen []string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	data, err := os.ReadFile(filepath.Join(e.dir, exclusionsFile))
	if isTransient(err) {
		return fmt.Errorf("relay: read excluded endpoints: %w", err)
	}
	e.owned = true
	e.addSeen(seen)
	var ids []string
	if err == nil {
		err = json.Unmarshal(data, &ids)
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		e.log.Error("cannot read the set of excluded endpoints", "err", err)
	}
	for _, id := range ids {
		e.excluded[id] = true // not shared with readers yet
	}
	e.notify()
	return nil
}

// unload gives the set up again, because the earlier process keeps it.
func (e *exclusions) unload() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.owned, e.excluded, e.unsaved = false, map[string]bool{}, false
}

func (e *exclusions) notify() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// noteListed records ids from discovery's list. If there are too many, the oldest that are no longer listed are dropped.
func (e *exclusions) noteListed(ids []string, isListed func(id string) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addSeen(ids)
	for n := len(e.seenOrder); n > 0 && len(e.seenOrder) > maxSeenIDs; n-- {
		id := e.seenOrder[0]
		e.seenOrder = e.seenOrder[1:]
		if isListed(id) {
			e.seenOrder = append(e.seenOrder, id)
		} else {
			delete(e.seen, id)
		}
	}
}

func (e *exclusions) addSeen(ids []string) {
	for _, id := range ids {
		if !e.seen[id] {
			e.seen[id] = true
			e.seenOrder = append(e.seenOrder, id)
		}
	}
}

// set excludes an endpoint, or includes it again.
func (e *exclusions) set(change exclusionChange) answer {
	id, out := change.Host, change.Out
	e.mu.Lock()
	if successor := e.successor; successor != nil {
		e.mu.Unlock()
		in := &submission{exclusionChange: change, reply: make(chan answer, 1)}
		successor.forward(in)
		return <-in.reply
	}
	defer e.mu.Unlock()
	switch {
	case !e.owned:
		return answer{status: http.StatusServiceUnavailable, text: "not serving"}
	case !e.excluded[id] && !e.seen[id]:
		return answer{status: http.StatusNotFound, text: "no such endpoint was ever listed"}
	}
	if err := e.checkFence(change); errors.Is(err, duty.ErrFenced) {
		return answer{status: http.StatusConflict, text: err.Error()}
	} else if err != nil {
		e.log.Error("cannot check the epoch of a duty's request", "duty", change.Duty, "epoch", change.Epoch, "err", err)
		return answer{status: http.StatusServiceUnavailable, text: "not kept: " + err.Error()}
	}
	if e.excluded[id] != out {
		next, err := e.withChange(id, out)
		if err != nil {
			return answer{status: http.StatusServiceUnavailable, text: err.Error()}
		}
		// In force at once, even if saving fails: an exclusion must hold from 1 s after the request, whatever the disk
		// does.
		e.excluded, e.unsaved = next, true
		e.log.Info("endpoint exclusion changed", "id", id, "out", out)
		e.notify()
	}
	if err := e.save(); err != nil {
		e.log.Error("endpoint exclusion not saved", "id", id, "out", out, "err", err)
		return answer{status: http.StatusServiceUnavailable, text: "in force, and not kept yet: " + err.Error()}
	}
	if out {
		return answer{status: http.StatusOK, text: "out"}
	}
	return answer{status: http.StatusOK, text: "back"}
}

// checkFence refuses a change by a former holder of a duty; mu must be held. A newer epoch is saved to disk before
// anything in its name is done.
func (e *exclusions) checkFence(change exclusionChange) (err error) {
	if change.Duty == "" {
		return nil
	}
	if e.fence == nil {
		if e.fence, err = duty.OpenFence(e.dir); err != nil {
			return err
		}
	}
	return e.fence.Admit(change.Duty, change.Epoch)
}

// withChange returns the set with one endpoint excluded or included.
func (e *exclusions) withChange(id string, out bool) (map[string]bool, error) {
	next := maps.Clone(e.excluded)
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
func (e *exclusions) retrySave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.owned && e.unsaved && e.save() == nil {
		e.log.Info("excluded endpoints are saved again")
	}
}

// save replaces the set on disk atomically, if it is outdated.
func (e *exclusions) save() error {
	if !e.unsaved {
		return nil
	}
	data, err := json.Marshal(slices.Sorted(maps.Keys(e.excluded)))
	if err != nil {
		return err
	}
	temp := filepath.Join(e.dir, exclusionsFile+".tmp")
	if err := os.WriteFile(temp, data, 0o600); err != nil {
		return err
	}
	if err := os.Rename(temp, filepath.Join(e.dir, exclusionsFile)); err != nil {
		return err
	}
	e.unsaved = false
	return nil
}

// current returns the set. It is never modified: a change makes a new one.
func (e *exclusions) current() map[string]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.excluded
}
