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

// What is known of partners outlasts the process in a file of its own, put down from time to time and at a planned end. It
// is worth nothing but time: one that is missing, torn or old does no harm.

const memoriesName = "partners.json"

var errNoMemories = errors.New("relay: no memories")

// memories is the file's content, after a checksum.
type memories struct {
	Saved    time.Time     // on the log's timeline
	Clock    time.Duration // and by the module's clock
	Memories []policy.RouteState
}

// memoriesMost is the file's size at most, in bytes.
func memoriesMost(cfg Config) int64 { return min(128<<10, int64(cfg.Limits.DiskMB*1e6/16)) }

// putDown writes what is known. The loop calls it; writing is done beside it, one at a time.
func (r *Relay) putDown() {
	if r.cfg.MemoriesEvery <= 0 || clock.Since(r.memoriesSavedAt) < r.cfg.MemoriesEvery || !r.savingMemories.CompareAndSwap(false, true) {
		return
	}
	r.memoriesSavedAt = clock.Now()
	data, err := r.memoriesNow()
	if err != nil {
		r.savingMemories.Store(false)
		return
	}
	go func() {
		defer r.savingMemories.Store(false)
		r.writeMemories(data)
	}()
}

func (r *Relay) memoriesNow() ([]byte, error) {
	text, err := json.Marshal(memories{r.wal.Stamp(clock.Now()), r.now(), r.sender.RouteStates()})
	if err != nil {
		return nil, fmt.Errorf("relay: memories: %w", err)
	}
	return append(fmt.Appendf(nil, "%08x\n", crc32.Checksum(text, crc32.MakeTable(crc32.Castagnoli))), text...), nil
}

func (r *Relay) writeMemories(data []byte) {
	if int64(len(data)) > memoriesMost(r.cfg) {
		return
	}
	path := filepath.Join(r.cfg.StateDir, memoriesName)
	err := os.WriteFile(path+".tmp", data, 0o600)
	if err == nil {
		err = os.Rename(path+".tmp", path)
	}
	if err != nil && !r.saveFailed.Swap(true) {
		r.log.Warn("what is known of partners is not put down", "err", err)
	}
}

// putDownLast is the last one, at a planned end, when the loop is over.
func (r *Relay) putDownLast() {
	if r.cfg.MemoriesEvery <= 0 || r.successor != nil {
		return
	}
	for !r.savingMemories.CompareAndSwap(false, true) {
		time.Sleep(time.Millisecond)
	}
	if data, err := r.memoriesNow(); err == nil {
		r.writeMemories(data)
	}
}

// readMemories reads what a process before has put down.
func readMemories(dir string) (m memories, err error) {
	data, err := os.ReadFile(filepath.Join(dir, memoriesName))
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

// recall has the module know what a process before knew. The list came first.
func (r *Relay) recall() {
	m := r.recalled
	if len(m.Memories) == 0 {
		return
	}
	age := clock.Since(r.wal.Local(m.Saved))
	r.sender.RestoreRouteStates(m.Memories, m.Clock, age)
	r.log.Info("recalled partners", "routes", len(m.Memories), "age", age)
	r.recalled = memories{}
}
