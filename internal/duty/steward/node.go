// Package steward replicates the fleet's duties with raft: three or five processes agree on who holds which duty, and
// continue as long as a majority of them is available. Consensus, log and elections come from a library; the replicated
// state is a duty.Table, and the leader tracks leases with duty.Leases.
package steward

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"

	"onyxroad.dev/onyxroad/internal/duty"
)

const (
	// A follower that hears nothing from its leader for 0.4 to 1.2 s starts an election; a leader that has had no answer
	// from a majority for leaderLease steps down. The longest round trip between buildings is 0.22 s, and the interval
	// between two heartbeats is then about as long.
	heartbeat     = 400 * time.Millisecond
	leaderLease   = 400 * time.Millisecond
	commitTimeout = 200 * time.Millisecond

	applyTimeout      = 2 * time.Second
	snapshotInterval  = 30 * time.Second
	snapshotThreshold = 4096 // log entries
	trailingEntries   = 1024 // log entries kept for followers that lag behind
	snapshotsKept     = 2
	maxPooledConns    = 3 // idle connections per steward
	rpcTimeout        = 2 * time.Second

	logFile = "raft.db"
	// epochJump is added to the epochs when grants may have been lost with a majority. It exceeds the number of grants
	// that can have been lost.
	epochJump = 1 << 32
)

// Config configures a steward.
type Config struct {
	Name         string
	Fleet        string   // label of the fleet
	Listen       string   // host and port for the other stewards
	Advertise    string   // address that the other stewards use; default: Listen
	API          string   // host and port for relays, tools and operators
	AdvertiseAPI string   // address that clients use; default: API
	Dir          string   // state folder
	Seeds        []string // API addresses of other stewards, used to join
	Log          *slog.Logger
}

// Steward is a running steward.
type Steward struct {
	cfg           Config
	id            *identity
	stream        *streamLayer
	raft          *raft.Raft
	trans         transport
	store         *raftboltdb.BoltStore
	leaderChanges chan bool
	verify        leaderVerifier
	schedulerWake chan struct{} // signal of capacity 1

	mu         sync.Mutex // guards the fields below
	table      *duty.Table
	leadership *leadership // nil unless this steward leads and has committed its first entry
}

// leadership is the state of one term as leader.
type leadership struct {
	*duty.Leases
	ended         chan struct{} // closed when the term ends
	waiters       map[string][]waitingWish
	dirty         map[string]bool
	nextCheck     map[string]time.Time
	watches       map[*watch]struct{}
	waitingWishes int
}

// Open starts a steward on its folder. It takes part once it has joined a cluster or created one.
func Open(cfg Config) (*Steward, error) {
	if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("steward: %w", err)
	}
	id, err := openIdentity(cfg.Dir, cfg.Name)
	if err != nil {
		return nil, err
	}
	s := &Steward{cfg: cfg, id: id, table: duty.NewTable(), leaderChanges: make(chan bool, 64), schedulerWake: make(chan struct{}, 1)}
	if s.stream, err = listen(cfg, id); err != nil {
		return nil, err
	}
	s.cfg.Listen = s.stream.Addr().String()
	s.cfg.Advertise, s.cfg.AdvertiseAPI = cmp.Or(cfg.Advertise, s.cfg.Listen), cmp.Or(cfg.AdvertiseAPI, cfg.API)
	if s.store, err = openStore(cfg.Dir); err != nil {
		s.stream.Close()
		return nil, err
	}
	if err := s.start(); err != nil {
		return nil, errors.Join(err, s.stream.Close(), s.store.Close())
	}
	s.verify.check = func() error { return s.raft.VerifyLeader().Error() }
	return s, nil
}

func openStore(dir string) (*raftboltdb.BoltStore, error) {
	store, err := raftboltdb.New(raftboltdb.Options{Path: filepath.Join(dir, logFile), BoltOptions: boltOptions()})
	if err != nil {
		return nil, fmt.Errorf("steward: open the log: %w", err)
	}
	return store, nil
}

func (s *Steward) start() error {
	logger := newRaftLogger(s.cfg.Log)
	snaps, err := raft.NewFileSnapshotStoreWithLogger(s.cfg.Dir, snapshotsKept, logger)
	if err != nil {
		return fmt.Errorf("steward: %w", err)
	}
	s.id.ownProgress = func() (progress, error) { return folderProgress(s.store, snaps) }
	go s.stream.run()
	s.trans = transport{raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: s.stream, MaxPool: maxPooledConns, Timeout: rpcTimeout,
		Logger: logger}), s.id}
	if s.raft, err = raft.NewRaft(s.raftConfig(logger), (*stateMachine)(s), s.store, s.store, snaps, s.trans); err != nil {
		return errors.Join(fmt.Errorf("steward: %w", err), s.trans.Close())
	}
	return nil
}

// folderProgress returns the term of a folder and its last entry, in the log or in a snapshot.
func folderProgress(store *raftboltdb.BoltStore, snaps raft.SnapshotStore) (p progress, err error) {
	p.Term, err = store.GetUint64([]byte("CurrentTerm")) // the library's key
	if err != nil && !errors.Is(err, raftboltdb.ErrKeyNotFound) {
		return p, err
	}
	if p.Last, err = store.LastIndex(); err != nil {
		return p, err
	}
	all, err := snaps.List()
	if err == nil && len(all) > 0 {
		p.Last = max(p.Last, all[0].Index)
	}
	return p, err
}

func (s *Steward) raftConfig(logger hclog.Logger) *raft.Config {
	c := raft.DefaultConfig()
	c.LocalID, c.Logger = raft.ServerID(s.id.ID()), logger
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout, c.CommitTimeout = heartbeat, heartbeat, leaderLease, commitTimeout
	c.SnapshotInterval, c.SnapshotThreshold, c.TrailingLogs = snapshotInterval, snapshotThreshold, trailingEntries
	c.NotifyCh = s.leaderChanges
	return c
}

// address is this steward's address in the raft configuration: its id and both network addresses.
func (s *Steward) address() raft.ServerAddress {
	return raft.ServerAddress(strings.Join([]string{s.id.ID(), s.cfg.Advertise, s.cfg.AdvertiseAPI}, ","))
}

// splitAddress splits such an address into the id, the address for stewards and the API address.
func splitAddress(a raft.ServerAddress) (id, listen, api string) {
	p := strings.SplitN(string(a), ",", 3)
	if len(p) != 3 {
		return "", string(a), ""
	}
	return p[0], p[1], p[2]
}

// Run takes part until ctx ends, or until the other stewards have removed this one.
func (s *Steward) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var work sync.WaitGroup
	work.Go(func() { s.schedule(ctx) })
	work.Go(func() { s.leadershipLoop(ctx) })
	work.Go(func() { s.join(ctx) })
	removed := make(chan struct{})
	work.Go(func() {
		if s.awaitRemoval(ctx) {
			close(removed)
		}
	})
	var err error
	select {
	case <-ctx.Done():
	case <-removed:
		err = ErrRemoved
	}
	cancel()
	if s.raft.State() == raft.Leader {
		s.raft.LeadershipTransfer().Error() // best effort: otherwise another is elected
	}
	err = errors.Join(err, s.raft.Shutdown().Error())
	s.trans.CloseStreams()
	work.Wait()
	s.endLeadership()
	return errors.Join(err, s.stream.Close(), s.store.Close())
}

// leadershipLoop begins and ends terms as leader.
func (s *Steward) leadershipLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case leads := <-s.leaderChanges:
			s.endLeadership()
			if leads {
				s.beginLeadership(ctx)
			}
		}
	}
}

// beginLeadership begins a term as leader. Committing its first entry yields the term, and ensures that the table
// contains every earlier entry.
func (s *Steward) beginLeadership(ctx context.Context) {
	for ctx.Err() == nil && s.raft.State() == raft.Leader {
		res, err := s.apply(duty.Command{Op: duty.BeginTerm})
		if err != nil {
			s.cfg.Log.Warn("the first entry of the term could not be committed", "err", err)
			continue
		}
		if to := s.id.pendingRaise(); to > 0 {
			if _, err := s.apply(duty.Command{Op: duty.RaiseEpochs, After: to}); err != nil {
				continue
			}
			if err := s.id.clearRaise(); err != nil {
				s.cfg.Log.Error("could not record that epochs were raised: they will be raised again", "err", err)
			}
		}
		s.mu.Lock()
		s.leadership = &leadership{Leases: duty.NewLeases(s.table, res.Term, time.Now()), ended: make(chan struct{}),
			waiters: map[string][]waitingWish{}, dirty: map[string]bool{}, nextCheck: map[string]time.Time{}, watches: map[*watch]struct{}{}}
		s.mu.Unlock()
		s.cfg.Log.Info("leads", "term", res.Term)
		return
	}
}

func (s *Steward) endLeadership() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leadership != nil {
		close(s.leadership.ended)
		s.leadership = nil
		s.cfg.Log.Info("no longer leads")
	}
}

// currentLeadership returns the current term as leader, or nil; s.mu must be held.
func (s *Steward) currentLeadership() *leadership {
	if s.leadership != nil && s.raft.State() == raft.Leader && s.raft.CurrentTerm() == s.leadership.Term {
		return s.leadership
	}
	return nil
}

// apply commits a command and returns its result.
func (s *Steward) apply(c duty.Command) (duty.Result, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return duty.Result{}, fmt.Errorf("steward: %w", err)
	}
	f := s.raft.Apply(data, applyTimeout)
	if err := f.Error(); err != nil {
		return duty.Result{}, fmt.Errorf("steward: agree on %s of %s: %w", c.Op, c.Duty, err)
	}
	return f.Response().(duty.Result), nil
}

// stateMachine is the Steward as raft's state machine.
type stateMachine Steward

func (m *stateMachine) Apply(l *raft.Log) any {
	var c duty.Command
	if err := json.Unmarshal(l.Data, &c); err != nil {
		return duty.Result{Err: err}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Apply(c, l.Term)
}

func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	data, err := m.table.Encode()
	return snapshot(data), err
}

func (m *stateMachine) Restore(r io.ReadCloser) error {
	defer r.Close()
	data, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	t, err := duty.Decode(data)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	*m.table = *t
	return nil
}

type snapshot []byte

func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := io.Copy(sink, bytes.NewReader(s)); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

func (snapshot) Release() {}

// leaderVerifier confirms that this steward still leads. Callers that arrive while a check is running share the next
// one.
type leaderVerifier struct {
	check func() error

	mu      sync.Mutex
	next    *verification
	running bool
}

type verification struct {
	done chan struct{}
	err  error
}

// confirmLeader returns nil if this steward was the leader at a moment after the call began.
func (v *leaderVerifier) confirmLeader(ctx context.Context) error {
	v.mu.Lock()
	if v.next == nil {
		v.next = &verification{done: make(chan struct{})}
	}
	mine := v.next
	if !v.running {
		v.running = true
		go v.run()
	}
	v.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-mine.done:
		return mine.err
	}
}

func (v *leaderVerifier) run() {
	for {
		v.mu.Lock()
		x := v.next
		v.next = nil
		if x == nil {
			v.running = false
			v.mu.Unlock()
			return
		}
		v.mu.Unlock()
		x.err = v.check()
		close(x.done)
	}
}

// newRaftLogger writes the library's warnings and errors to l.
func newRaftLogger(l *slog.Logger) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: logWriter{l}, DisableTime: true})
}

type logWriter struct{ log *slog.Logger }

func (l logWriter) Write(p []byte) (int, error) {
	l.log.Info("raft", "says", strings.TrimSpace(string(p)))
	return len(p), nil
}

// hostOf returns the host of an address.
func hostOf(addr string) string {
	h, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return h
}
