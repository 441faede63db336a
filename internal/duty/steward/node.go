// Package steward keeps the fleet's duties on raft: three or five processes that agree on who holds what, and that go on as long
// as more than half of them are there. Consensus, log and elections are a library's; what is agreed on is a duty.Table, and the
// leader's promises of time are duty.Leases.
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
	// A follower that hears nothing of its leader for 0.4 to 1.2 s asks for votes; a leader that more than half have not
	// answered for leaderFor steps down. The longest round trip between buildings is 0.22 s, and as long is it from one
	// heartbeat to the next then.
	heartbeat = 400 * time.Millisecond
	leaderLease = 400 * time.Millisecond
	commitTimeout  = 200 * time.Millisecond

	applyTimeout      = 2 * time.Second
	snapshotInterval = 30 * time.Second
	snapshotThreshold = 4096 // entries of the log
	trailingEntries      = 1024 // entries that are kept for a follower that is behind
	snapshotsKept = 2
	maxPooledConns      = 3 // idle connections to another steward
	rpcTimeout        = 2 * time.Second

	logFile = "raft.db"
	// epochJump is how far epochs jump where grants may be lost with a majority: further than a lost one can have gone.
	epochJump = 1 << 32
)

// Config is one steward.
type Config struct {
	Name         string
	Fleet        string   // the fleet's label
	Listen       string   // host and port for the other stewards
	Advertise    string   // where they find it; none: Listen
	API          string   // host and port for relays, tools and operators
	AdvertiseAPI string   // where they find it; none: API
	Dir          string   // the folder that lasts
	Seeds        []string // APIs of other stewards, to join by
	Log          *slog.Logger
}

// Steward is one steward's process.
type Steward struct {
	cfg    Config
	id     *identity
	stream *streamLayer
	raft   *raft.Raft
	trans  transport
	store  *raftboltdb.BoltStore
	leaderChanges  chan bool
	verify leaderVerifier
	schedulerWake chan struct{} // holds one: the scheduler has something to do

	mu    sync.Mutex // guards what follows
	table *duty.Table
	leadership *leadership // nil: this one does not lead, or does not yet
}

// leadership is one time of leading.
type leadership struct {
	*duty.Leases
	ended    chan struct{} // closed at its end
	waiters map[string][]waitingWish
	dirty   map[string]bool
	nextCheck     map[string]time.Time
	watches map[*watch]struct{}
	waitingWishes  int
}

// Open starts a steward on its folder. It takes no part before it has joined others, or was told to begin.
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

// folderProgress is how folderProgress a folder is: its term, and its last entry, in the log or in a snapshot.
func folderProgress(store *raftboltdb.BoltStore, snaps raft.SnapshotStore) (p progress, err error) {
	p.Term, err = store.GetUint64([]byte("CurrentTerm")) // the library's name for it
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

// address is where the others find this steward, in raft's configuration: what it is, with both addresses.
func (s *Steward) address() raft.ServerAddress {
	return raft.ServerAddress(strings.Join([]string{s.id.ID(), s.cfg.Advertise, s.cfg.AdvertiseAPI}, ","))
}

// splitAddress are those of an address: id, address for stewards, API.
func splitAddress(a raft.ServerAddress) (id, listen, api string) {
	p := strings.SplitN(string(a), ",", 3)
	if len(p) != 3 {
		return "", string(a), ""
	}
	return p[0], p[1], p[2]
}

// Run takes part until ctx ends, or until the others have removed this steward.
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
		s.raft.LeadershipTransfer().Error() // whether or not it works: another is elected
	}
	err = errors.Join(err, s.raft.Shutdown().Error())
	s.trans.CloseStreams()
	work.Wait()
	s.endLeadership()
	return errors.Join(err, s.stream.Close(), s.store.Close())
}

// leadershipLoop begins and ends reigns.
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

// beginLeadership has a leader begin. Its first entry tells its term, and that everything before it is in the table.
func (s *Steward) beginLeadership(ctx context.Context) {
	for ctx.Err() == nil && s.raft.State() == raft.Leader {
		res, err := s.apply(duty.Command{Op: duty.BeginTerm})
		if err != nil {
			s.cfg.Log.Warn("no reign yet", "err", err)
			continue
		}
		if to := s.id.pendingRaise(); to > 0 {
			if _, err := s.apply(duty.Command{Op: duty.RaiseEpochs, After: to}); err != nil {
				continue
			}
			if err := s.id.clearRaise(); err != nil {
				s.cfg.Log.Error("epochs are raised once more at the next start", "err", err)
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
		s.cfg.Log.Info("leads no more")
	}
}

// currentLeadership is the reign, if it still is one; with mu held.
func (s *Steward) currentLeadership() *leadership {
	if s.leadership != nil && s.raft.State() == raft.Leader && s.raft.CurrentTerm() == s.leadership.Term {
		return s.leadership
	}
	return nil
}

// apply has the stewards agree on a command.
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

// stateMachine is the Steward as raft's state stateMachine.
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

// leaderVerifier asks whether this steward still leads, once for all that ask while a question is out.
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

// newRaftLogger has what the library says at the level that it deserves.
func newRaftLogger(l *slog.Logger) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: logWriter{l}, DisableTime: true})
}

type logWriter struct{ log *slog.Logger }

func (l logWriter) Write(p []byte) (int, error) {
	l.log.Info("raft", "says", strings.TrimSpace(string(p)))
	return len(p), nil
}

// hostOf is an address's, without its port.
func hostOf(addr string) string {
	h, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return h
}
