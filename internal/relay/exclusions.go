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
	exclusionsName = "excluded.json"
	exclusionsMost = 16 << 10 // bytes of the set on disk
	seenMost       = 8192     // ids that the list has named, those no longer on it among them
	// stateReserve is the part of the disk limit that is kept from the log: the set, a new one beside it, and the rest.
	stateReserve = 64 << 10
)

// order is an operator's: an endpoint is taken out by hand, or put back. One in the name of a duty carries the epoch of its
// holder.
type order struct {
	Host  string `json:",omitempty"`
	Out   bool   `json:",omitempty"`
	Duty  string `json:",omitempty"`
	Epoch uint64 `json:",omitempty"`
}

// exclusions is the set of endpoints that operators have taken out by hand. It alone writes the set, to the state
// folder and before the yes. Callers change it without waiting for the loop, which hears of it by changed.
type exclusions struct {
	log     *slog.Logger
	dir     string
	changed chan struct{} // holds one

	mu   sync.Mutex // held while the set is handed over
	mine bool       // this process has the set
	heir *link      // else the process that has it; nil if none has it yet
	out  map[string]bool
	seen map[string]bool
	ids  []string    // those of seen, by age
	gate *duty.Fence // of orders in the name of a duty; nil until one comes

	unkept bool // the set on disk is an older one
}

func newExclusions(log *slog.Logger, dir string) *exclusions {
	return &exclusions{log: log, dir: dir, changed: make(chan struct{}, 1), out: map[string]bool{}, seen: map[string]bool{}}
}

// load takes the set over from an earlier process. Whoever calls has the log's lock.
// The error is one that may pass: nothing is taken over then.
func (x *exclusions) load(seen []string) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	data, err := os.ReadFile(filepath.Join(x.dir, exclusionsName))
	if mayPass(err) {
		return fmt.Errorf("relay: endpoints out by hand: %w", err)
	}
	x.mine = true
	x.note(seen)
	var ids []string
	if err == nil {
		err = json.Unmarshal(data, &ids)
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		x.log.Error("endpoints out by hand are not known", "err", err)
	}
	for _, id := range ids {
		x.out[id] = true // nobody has seen it yet
	}
	x.signal()
	return nil
}

// unload gives the set up again: the earlier process has kept it.
func (x *exclusions) unload() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.mine, x.out, x.unkept = false, map[string]bool{}, false
}

func (x *exclusions) signal() {
	select {
	case x.changed <- struct{}{}:
	default:
	}
}

// listed notes ids that discovery's list names. Of those not on it for long the oldest are forgotten.
func (x *exclusions) listed(ids []string, on func(id string) bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.note(ids)
	for n := len(x.ids); n > 0 && len(x.ids) > seenMost; n-- {
		id := x.ids[0]
		x.ids = x.ids[1:]
		if on(id) {
			x.ids = append(x.ids, id)
		} else {
			delete(x.seen, id)
		}
	}
}

func (x *exclusions) note(ids []string) {
	for _, id := range ids {
		if !x.seen[id] {
			x.seen[id] = true
			x.ids = append(x.ids, id)
		}
	}
}

// set takes an endpoint out, or puts it back.
func (x *exclusions) set(o order) answer {
	id, out := o.Host, o.Out
	x.mu.Lock()
	if heir := x.heir; heir != nil {
		x.mu.Unlock()
		in := &handIn{order: o, reply: make(chan answer, 1)}
		heir.ask(in)
		return <-in.reply
	}
	defer x.mu.Unlock()
	switch {
	case !x.mine:
		return answer{status: http.StatusServiceUnavailable, text: "not serving"}
	case !x.out[id] && !x.seen[id]:
		return answer{status: http.StatusNotFound, text: "no such endpoint was ever listed"}
	}
	if err := x.pass(o); errors.Is(err, duty.ErrFenced) {
		return answer{status: http.StatusConflict, text: err.Error()}
	} else if err != nil {
		x.log.Error("order in the name of a duty", "duty", o.Duty, "epoch", o.Epoch, "err", err)
		return answer{status: http.StatusServiceUnavailable, text: "not kept: " + err.Error()}
	}
	if x.out[id] != out {
		next, err := x.with(id, out)
		if err != nil {
			return answer{status: http.StatusServiceUnavailable, text: err.Error()}
		}
		// In force at once, and with a no as well: the rule holds from 1 s after the call, whatever the disk does.
		x.out, x.unkept = next, true
		x.log.Info("endpoint out by hand", "id", id, "out", out)
		x.signal()
	}
	if err := x.keep(); err != nil {
		x.log.Error("endpoint out by hand", "id", id, "out", out, "err", err)
		return answer{status: http.StatusServiceUnavailable, text: "in force, and not kept yet: " + err.Error()}
	}
	if out {
		return answer{status: http.StatusOK, text: "out"}
	}
	return answer{status: http.StatusOK, text: "back"}
}

// pass refuses an order of a duty's former holder; with mu held. That a newer one was heard is on disk before anything of it
// is done.
func (x *exclusions) pass(o order) (err error) {
	if o.Duty == "" {
		return nil
	}
	if x.gate == nil {
		if x.gate, err = duty.OpenFence(x.dir); err != nil {
			return err
		}
	}
	return x.gate.Admit(o.Duty, o.Epoch)
}

// with is the set with one endpoint taken out or put back.
func (x *exclusions) with(id string, out bool) (map[string]bool, error) {
	next := maps.Clone(x.out)
	if next[id] = true; !out {
		delete(next, id)
	}
	data, err := json.Marshal(slices.Sorted(maps.Keys(next)))
	if err != nil {
		return nil, err
	}
	if len(data) > exclusionsMost {
		return nil, fmt.Errorf("more than %d bytes of ids", exclusionsMost)
	}
	return next, nil
}

// keepLate tries once more to put the set on disk where that has failed.
func (x *exclusions) keepLate() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.mine && x.unkept && x.keep() == nil {
		x.log.Info("endpoints out by hand are kept again")
	}
}

// keep puts the set on disk, whole or not at all, if an older one stands there.
func (x *exclusions) keep() error {
	if !x.unkept {
		return nil
	}
	data, err := json.Marshal(slices.Sorted(maps.Keys(x.out)))
	if err != nil {
		return err
	}
	temp := filepath.Join(x.dir, exclusionsName+".tmp")
	if err := os.WriteFile(temp, data, 0o600); err != nil {
		return err
	}
	if err := os.Rename(temp, filepath.Join(x.dir, exclusionsName)); err != nil {
		return err
	}
	x.unkept = false
	return nil
}

// current is the set as it is now: a change makes a new one.
func (x *exclusions) current() map[string]bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.out
}
