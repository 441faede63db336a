package steward

import (
	"errors"
	"fmt"
	"log/slog"
	"strings"

	crand "crypto/rand"

	"github.com/hashicorp/raft"

	"onyxroad.dev/onyxroad/internal/duty"
)

// FolderState is the content of a stopped steward's folder.
type FolderState struct {
	ID       string
	Cluster  string
	Era      uint64
	Stewards []string // of the last configuration in the folder
	Last     uint64   // highest epoch in the folder
	Duties   []duty.Grant
	Index    uint64 // index of the last log entry
}

// Summary describes the folder and what recovering from it alone means.
func (f *FolderState) Summary() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Folder of steward %s, cluster %s, era %d, with %d entries.\n", f.ID, f.Cluster, f.Era, f.Index)
	fmt.Fprintf(&b, "It lists %d stewards: %s.\n", len(f.Stewards), strings.Join(f.Stewards, ", "))
	fmt.Fprintf(&b, "It contains %d duties and epochs up to %d.\n", len(f.Duties), f.Last)
	b.WriteString("Recovering from this folder alone means:\n")
	fmt.Fprintf(&b, "- Commands that the others committed and this folder does not contain are lost: grants, hand-overs, changes of stewards.\n")
	fmt.Fprintf(&b, "- Epochs continue above %d, so that no effect of a lost grant is accepted after one of a new grant.\n", f.Last+epochJump)
	b.WriteString("- Holders lose their duties; they or others can claim them once the stewards are available again.\n")
	b.WriteString("- The other stewards are not included: stop them first, empty their folders, and start them again to join.\n")
	b.WriteString("  One that keeps running stays in the abandoned cluster; relays that have contacted the new one ignore it.\n")
	return b.String()
}

// Inspect reads a stopped steward's folder. It changes nothing but the count of starts.
func Inspect(cfg Config) (*FolderState, error) { return readFolder(cfg, false) }

// Recover makes a stopped steward's folder the only member of a cluster with a new era, to recover from a lost majority.
func Recover(cfg Config) (*FolderState, error) { return readFolder(cfg, true) }

func readFolder(cfg Config, change bool) (found *FolderState, err error) {
	id, err := openIdentity(cfg.Dir, cfg.Name)
	if err != nil {
		return nil, err
	}
	if id.saved.Cluster == "" {
		return nil, errors.New("steward: this folder never belonged to a cluster")
	}
	store, err := openStore(cfg.Dir)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, store.Close()) }()
	log := newRaftLogger(slog.New(slog.DiscardHandler))
	snaps, err := raft.NewFileSnapshotStoreWithLogger(cfg.Dir, snapshotsKept, log)
	if err != nil {
		return nil, fmt.Errorf("steward: %w", err)
	}
	_, trans := raft.NewInmemTransport("")
	defer trans.Close()
	s := &Steward{cfg: cfg, id: id, table: duty.NewTable(), leaderChanges: make(chan bool, 1), store: store}
	c := s.raftConfig(log)
	c.LocalID = raft.ServerID(id.ID())
	now, err := raft.GetConfiguration(c, (*stateMachine)(s), store, store, snaps, trans)
	if err != nil {
		return nil, fmt.Errorf("steward: %w", err)
	}
	found = &FolderState{ID: id.ID(), Cluster: id.saved.Cluster, Era: id.saved.Era}
	for _, x := range now.Servers {
		found.Stewards = append(found.Stewards, string(x.ID))
	}
	if found.Index, err = store.LastIndex(); err != nil {
		return nil, fmt.Errorf("steward: %w", err)
	}
	if err := s.replay(snaps); err != nil {
		return nil, err
	}
	found.Last, found.Duties = s.table.LastEpoch(), s.table.All()
	if !change {
		return found, nil
	}
	if cfg.API == "" || cfg.Listen == "" {
		return nil, errors.New("steward: the listen and API addresses are required")
	}
	// Store the new identity first: if this is interrupted, only running Recover again can continue with the folder.
	id.saved.Cluster, id.saved.Era, id.saved.Raise = crand.Text()[:12], id.saved.Era+1, found.Last+epochJump
	if err := id.save(); err != nil {
		return nil, err
	}
	s.table = duty.NewTable()
	err = raft.RecoverCluster(c, (*stateMachine)(s), store, store, snaps, trans,
		raft.Configuration{Servers: []raft.Server{{ID: raft.ServerID(id.ID()), Address: s.address()}}})
	if err != nil {
		return nil, fmt.Errorf("steward: %w", err)
	}
	return found, id.retainPeers(func(string) bool { return false })
}

// replay rebuilds the table from the last snapshot and every log entry. Uncommitted entries are included, since the
// other stewards may have committed them.
func (s *Steward) replay(snaps raft.SnapshotStore) error {
	all, err := snaps.List()
	if err != nil {
		return fmt.Errorf("steward: %w", err)
	}
	from := uint64(1)
	if len(all) > 0 {
		meta, r, err := snaps.Open(all[0].ID)
		if err != nil {
			return fmt.Errorf("steward: %w", err)
		}
		if err := (*stateMachine)(s).Restore(r); err != nil {
			return err
		}
		from = meta.Index + 1
	}
	first, err := s.store.FirstIndex()
	if err != nil {
		return fmt.Errorf("steward: %w", err)
	}
	last, err := s.store.LastIndex()
	if err != nil {
		return fmt.Errorf("steward: %w", err)
	}
	for i := max(from, first, 1); i <= last; i++ {
		var l raft.Log
		if err := s.store.GetLog(i, &l); err != nil {
			return fmt.Errorf("steward: entry %d: %w", i, err)
		}
		if l.Type == raft.LogCommand {
			(*stateMachine)(s).Apply(&l)
		}
	}
	return nil
}
