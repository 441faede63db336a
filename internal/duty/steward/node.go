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
	leaderFor = 400 * time.Millisecond
	commitIn  = 200 * time.Millisecond

	applyFor      = 2 * time.Second
	snapshotEvery = 30 * time.Second
	snapshotAfter = 4096 // entries of the log
	trailing      = 1024 // entries that are kept for a follower that is behind
	snapshotsKept = 2
	poolMost      = 3 // idle connections to another steward
	rpcFor        = 2 * time.Second

	logName = "raft.db"
	// raiseBy is how far epochs jump where grants may be lost with a majority: further than a lost one can have gone.
	raiseBy = 1 << 32
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
	stream *stream
	raft   *raft.Raft
	trans  transport
	store  *raftboltdb.BoltStore
	leads  chan bool
	verify verifier
	kicked chan struct{} // holds one: the scheduler has something to do

	mu    sync.Mutex // guards what follows
	table *duty.Table
	reign *reign // nil: this one does not lead, or does not yet
}

// reign is one time of leading.
type reign struct {
	*duty.Leases
	over    chan struct{} // closed at its end
	waiters map[string][]waiting
	dirty   map[string]bool
	due     map[string]time.Time
	watches map[*watch]struct{}
	wishes  int
}

// Open starts a steward on its folder. It takes no part before it has joined others, or was told to begin.
func Open(cfg Config) (*Steward, error) {
	if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("steward: %w", err)
	}
	id, err := identify(cfg.Dir, cfg.Name)
	if err != nil {
		return nil, err
	}
	s := &Steward{cfg: cfg, id: id, table: duty.NewTable(), leads: make(chan bool, 64), kicked: make(chan struct{}, 1)}
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
	s.verify.ask = func() error { return s.raft.VerifyLeader().Error() }
	return s, nil
}

func openStore(dir string) (*raftboltdb.BoltStore, error) {
	store, err := raftboltdb.New(raftboltdb.Options{Path: filepath.Join(dir, logName), BoltOptions: boltOptions()})
	if err != nil {
		return nil, fmt.Errorf("steward: open the log: %w", err)
	}
	return store, nil
}

func (s *Steward) start() error {
	logger := libraryLog(s.cfg.Log)
	snaps, err := raft.NewFileSnapshotStoreWithLogger(s.cfg.Dir, snapshotsKept, logger)
	if err != nil {
		return fmt.Errorf("steward: %w", err)
	}
	s.id.own = func() (progress, error) { return far(s.store, snaps) }
	go s.stream.run()
	s.trans = transport{raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: s.stream, MaxPool: poolMost, Timeout: rpcFor,
		Logger: logger}), s.id}
	if s.raft, err = raft.NewRaft(s.raftConfig(logger), (*machine)(s), s.store, s.store, snaps, s.trans); err != nil {
		return errors.Join(fmt.Errorf("steward: %w", err), s.trans.Close())
	}
	return nil
}

// far is how far a folder is: its term, and its last entry, in the log or in a snapshot.
func far(store *raftboltdb.BoltStore, snaps raft.SnapshotStore) (p progress, err error) {
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
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout, c.CommitTimeout = heartbeat, heartbeat, leaderFor, commitIn
	c.SnapshotInterval, c.SnapshotThreshold, c.TrailingLogs = snapshotEvery, snapshotAfter, trailing
	c.NotifyCh = s.leads
	return c
}

// address is where the others find this steward, in raft's configuration: what it is, with both addresses.
func (s *Steward) address() raft.ServerAddress {
	return raft.ServerAddress(strings.Join([]string{s.id.ID(), s.cfg.Advertise, s.cfg.AdvertiseAPI}, ","))
}

// parts are those of an address: id, address for stewards, API.
func parts(a raft.ServerAddress) (id, listen, api string) {
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
	work.Go(func() { s.rule(ctx) })
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
	s.endReign()
	return errors.Join(err, s.stream.Close(), s.store.Close())
}

// rule begins and ends reigns.
func (s *Steward) rule(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case leads := <-s.leads:
			s.endReign()
			if leads {
				s.beginReign(ctx)
			}
		}
	}
}

// beginReign has a leader begin. Its first entry tells its term, and that everything before it is in the table.
func (s *Steward) beginReign(ctx context.Context) {
	for ctx.Err() == nil && s.raft.State() == raft.Leader {
		res, err := s.apply(duty.Command{Op: duty.Reign})
		if err != nil {
			s.cfg.Log.Warn("no reign yet", "err", err)
			continue
		}
		if to := s.id.raise(); to > 0 {
			if _, err := s.apply(duty.Command{Op: duty.Raise, After: to}); err != nil {
				continue
			}
			if err := s.id.raised(); err != nil {
				s.cfg.Log.Error("epochs are raised once more at the next start", "err", err)
			}
		}
		s.mu.Lock()
		s.reign = &reign{Leases: duty.NewLeases(s.table, res.Term, time.Now()), over: make(chan struct{}),
			waiters: map[string][]waiting{}, dirty: map[string]bool{}, due: map[string]time.Time{}, watches: map[*watch]struct{}{}}
		s.mu.Unlock()
		s.cfg.Log.Info("leads", "term", res.Term)
		return
	}
}

func (s *Steward) endReign() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reign != nil {
		close(s.reign.over)
		s.reign = nil
		s.cfg.Log.Info("leads no more")
	}
}

// current is the reign, if it still is one; with mu held.
func (s *Steward) current() *reign {
	if s.reign != nil && s.raft.State() == raft.Leader && s.raft.CurrentTerm() == s.reign.Term {
		return s.reign
	}
	return nil
}

// apply has the stewards agree on a command.
func (s *Steward) apply(c duty.Command) (duty.Result, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return duty.Result{}, fmt.Errorf("steward: %w", err)
	}
	f := s.raft.Apply(data, applyFor)
	if err := f.Error(); err != nil {
		return duty.Result{}, fmt.Errorf("steward: agree on %s of %s: %w", c.Op, c.Duty, err)
	}
	return f.Response().(duty.Result), nil
}

// machine is the Steward as raft's state machine.
type machine Steward

func (m *machine) Apply(l *raft.Log) any {
	var c duty.Command
	if err := json.Unmarshal(l.Data, &c); err != nil {
		return duty.Result{Err: err}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Apply(c, l.Term)
}

func (m *machine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	data, err := m.table.Encode()
	return snapshot(data), err
}

func (m *machine) Restore(r io.ReadCloser) error {
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

// verifier asks whether this steward still leads, once for all that ask while a question is out.
type verifier struct {
	ask func() error

	mu      sync.Mutex
	next    *verdict
	running bool
}

type verdict struct {
	done chan struct{}
	err  error
}

// leads returns nil if this steward was the leader at a moment after the call began.
func (v *verifier) leads(ctx context.Context) error {
	v.mu.Lock()
	if v.next == nil {
		v.next = &verdict{done: make(chan struct{})}
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

func (v *verifier) run() {
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
		x.err = v.ask()
		close(x.done)
	}
}

// libraryLog has what the library says at the level that it deserves.
func libraryLog(l *slog.Logger) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: lines{l}, DisableTime: true})
}

type lines struct{ log *slog.Logger }

func (l lines) Write(p []byte) (int, error) {
	l.log.Info("raft", "says", strings.TrimSpace(string(p)))
	return len(p), nil
}

// host is an address's, without its port.
func host(addr string) string {
	h, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return h
}
