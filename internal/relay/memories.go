package relay

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"time"

	"onyxroad.dev/onyxroad/internal/clock"
	"onyxroad.dev/onyxroad/policy"
)

// The module's learned state about partners is saved to a file at intervals and at an orderly shutdown, and restored by
// the next process. It only saves learning time: a missing, torn or outdated file does no harm.

const memoriesFile = "partners.json"

var errNoMemories = errors.New("relay: no memories")

// memories is the file's content, which follows a line with its checksum.
type memories struct {
	Saved    time.Time     // on the log's timeline
	Clock    time.Duration // the same time on the module's clock
	Memories []policy.RouteState
}

// maxMemoriesSize is the largest size of the file in bytes.
func maxMemoriesSize(cfg Config) int64 { return min(128<<10, int64(cfg.Limits.DiskMB*1e6/16)) }

// saveMemories saves the state if the interval has passed. The loop calls it; a goroutine does the writing, one at a
// time.
func (r *Relay) saveMemories() {
	if r.cfg.MemoriesEvery <= 0 || clock.Since(r.memoriesSavedAt) < r.cfg.MemoriesEvery || !r.savingMemories.CompareAndSwap(false, true) {
		return
	}
	r.memoriesSavedAt = clock.Now()
	data, err := r.encodeMemories()
	if err != nil {
		r.savingMemories.Store(false)
		return
	}
	go func() {
		defer r.savingMemories.Store(false)
		r.writeMemories(data)
	}()
}

// encodeMemories returns the content of the file.
func (r *Relay) encodeMemories() ([]byte, error) {
	text, err := json.Marshal(memories{r.wal.Stamp(clock.Now()), r.now(), r.sender.RouteStates()})
	if err != nil {
		return nil, fmt.Errorf("relay: memories: %w", err)
	}
	return append(fmt.Appendf(nil, "%08x\n", crc32.Checksum(text, crc32.MakeTable(crc32.Castagnoli))), text...), nil
}

// writeMemories replaces the file. A state that exceeds maxMemoriesSize is not written.
func (r *Relay) writeMemories(data []byte) {
	if int64(len(data)) > maxMemoriesSize(r.cfg) {
		return
	}
	path := filepath.Join(r.cfg.StateDir, memoriesFile)
	err := os.WriteFile(path+".tmp", data, 0o600)
	if err == nil {
		err = os.Rename(path+".tmp", path)
	}
	if err != nil && !r.saveFailed.Swap(true) {
		r.log.Warn("cannot save the state of partners", "err", err)
	}
}

// saveMemoriesAtExit saves the state at an orderly shutdown, after the loop has ended.
func (r *Relay) saveMemoriesAtExit() {
	if r.cfg.MemoriesEvery <= 0 || r.successor != nil {
		return
	}
	for !r.savingMemories.CompareAndSwap(false, true) {
		time.Sleep(time.Millisecond)
	}
	if data, err := r.encodeMemories(); err == nil {
		r.writeMemories(data)
	}
}

// readMemories reads the file that an earlier process saved.
func readMemories(dir string) (m memories, err error) {
	data, err := os.ReadFile(filepath.Join(dir, memoriesFile))
	if errors.Is(err, fs.ErrNotExist) {
		return m, errNoMemories
	} else if err != nil {
		return m, fmt.Errorf("relay: memories: %w", err)
	}
	sum, text, _ := strings.Cut(string(data), "\n")
	if fmt.Sprintf("%08x", crc32.Checksum([]byte(text), crc32.MakeTable(crc32.Castagnoli))) != sum {
		return m, errors.New("relay: memories: damaged")
	}
	if err := json.Unmarshal([]byte(text), &m); err != nil {
		return memories{}, fmt.Errorf("relay: memories: %w", err)
	}
	return m, nil
}

// restoreMemories passes the state of an earlier process to the module, which must have the list by then.
func (r *Relay) restoreMemories() {
	m := r.loadedMemories
	if len(m.Memories) == 0 {
		return
	}
	age := clock.Since(r.wal.Local(m.Saved))
	r.sender.RestoreRouteStates(m.Memories, m.Clock, age)
	r.log.Info("restored the state of partners", "routes", len(m.Memories), "age", age)
	r.loadedMemories = memories{}
}
