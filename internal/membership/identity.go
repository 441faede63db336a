package membership

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"
)

const identityFile = "member.json"

// identity is the part of a member's identity that survives restarts.
type identity struct {
	Folder      string // random, chosen when the folder is created
	Incarnation uint64
}

// BeginIncarnation starts a new incarnation in the state folder dir and stores it. The incarnation increases with every
// start. It is at least the wall clock in milliseconds, so it also increases if the folder was emptied in between,
// unless the clock was set back.
func BeginIncarnation(dir string, now time.Time) (folder string, incarnation uint64, err error) {
	path := filepath.Join(dir, identityFile)
	var id identity
	data, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(data, &id)
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		id = identity{} // torn by a power loss: treat the folder as new
	}
	if id.Folder == "" {
		id.Folder = rand.Text()[:12]
	}
	id.Incarnation = max(id.Incarnation+1, uint64(now.UnixMilli()))
	if data, err = json.Marshal(id); err != nil {
		return "", 0, fmt.Errorf("membership: %w", err)
	}
	f, err := os.OpenFile(path+".tmp", os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return "", 0, fmt.Errorf("membership: %w", err)
	}
	_, err = f.Write(data)
	// Synced: an incarnation that other members have seen must not be used again.
	if err = errors.Join(err, f.Sync(), f.Close()); err == nil {
		err = os.Rename(path+".tmp", path)
	}
	if err != nil {
		return "", 0, fmt.Errorf("membership: %w", err)
	}
	return id.Folder, id.Incarnation, nil
}
