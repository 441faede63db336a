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

// identity is what outlasts a process of what it is.
type identity struct {
	Folder      string // drawn when the folder was new
	Incarnation uint64
}

// BeginIncarnation begins a new incarnation in the state folder dir. It grows with every start, also where the folder was emptied
// in between, as long as the wall clock goes on: then it is the time, in milliseconds.
func BeginIncarnation(dir string, now time.Time) (folder string, incarnation uint64, err error) {
	path := filepath.Join(dir, identityFile)
	var id identity
	data, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(data, &id)
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		id = identity{} // torn by a loss of power: as if the folder were new
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
	// Synced: an incarnation that is told to others may not be used again.
	if err = errors.Join(err, f.Sync(), f.Close()); err == nil {
		err = os.Rename(path+".tmp", path)
	}
	if err != nil {
		return "", 0, fmt.Errorf("membership: %w", err)
	}
	return id.Folder, id.Incarnation, nil
}
