// Package relay carries out on real sockets what package policy decides: it takes messages from clients, calls
// hosts, follows discovery's list, and keeps what it owes in a write-ahead log. It decides nothing itself.
//
// One goroutine, the loop, owns the decision module and the log. Everything that happens comes to it as an
// event, so that no send leaves on a decision older than what the loop has learned.
package relay

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"onyxroad.dev/onyxroad/internal/clock"
	"onyxroad.dev/onyxroad/internal/invariant"
	"onyxroad.dev/onyxroad/internal/membership"
	"onyxroad.dev/onyxroad/internal/wal"
	"onyxroad.dev/onyxroad/policy"
)

const (
	eventQueueSize = 1024
	maxBatchEvents = 512                    // events in a step
	gaugeInterval  = 200 * time.Millisecond // between steps the gauges are brought up to date so often

	// unknownAge is for what happened at a time that is not known.
	unknownAge = 24 * time.Hour

	// moduleClockStart keeps the module's clock away from 0, which it takes for never.
	moduleClockStart = time.Second

	// The parts of a planned end, from SIGTERM, after which SIGKILL comes no sooner than 3.7 s. New connections
	// go on coming for up to 0.4 s.
	acceptGrace     = 500 * time.Millisecond
	answerGrace     = time.Second             // requests that were read by then have their answers
	sendGrace       = 2200 * time.Millisecond // no new calls after this: they would be cut off with no outcome
	shutdownTimeout = 3300 * time.Millisecond
)

// The events of the loop, besides policy's own.
type (
	submission struct {
		m               *wal.Message
		msg             *message    // what it was taken for
		exclusionChange             // instead of a message; passed on only
		reply           chan answer // takes one without waiting
	}
	withdrawal   struct{ id uint32 }
	callFinished struct {
		c       *call
		results []result
	}
	attemptTimeout struct{ a *attempt }
	sendCheck      struct {
		route string
		ids   []uint32
		reply chan bool
	}
	noticesConfirmed struct{ ids []uint32 } // their notices were taken
	stopIntake       struct{}               // no more messages come
	stopSending      struct{}               // from here on only outcomes are noted
	wakeLoop         struct{}               // asks for a step
)

// message is a message that the relay has not done with.
type message struct {
	*wal.Message
	sends       int  // as the module counts them
	outstanding int  // attempts without an outcome
	ended       bool // the module has done with it

	counted      bool     // its outcome is counted, or need not be
	notified     bool     // its end was told to the platform
	unlogged     bool     // taken on in this step, which may yet refuse it
	seq          uint64   // the write in the log that took it on
	shared       bool     // others were told that it is taken on, too: it cannot be withdrawn
	continuation *message // withdrawn and handed in once more: what it goes on as

	// Where a backlog is kept; see overflow and window.
	cell        *cell // nil: the module does not have it
	unsentIndex int   // among those of the cell that were never sent; -1: sent
	move        move
	dropped     bool // on its way, and owed no more
	refused     bool // its client was told so, without a notice
	confirmed   bool // on its way, and its notice was taken
}

// Relay is one relay.
type Relay struct {
	cfg          Config
	log          *slog.Logger
	hosts        *hosts
	clients      *clients
	finals       *finals
	agent        *agent
	events       chan any
	loopDone     chan struct{} // closed when the loop has ended
	drained      chan struct{} // closed when the relay is stopping and nothing is left to wait for
	metrics      *metrics
	serving      atomic.Bool // it has recovered and lets clients in
	hasList      atomic.Bool // it holds a list
	shuttingDown atomic.Bool // SIGTERM came
	callWG       sync.WaitGroup
	exclusions   *exclusions
	guard        *invariant.Guard
	traced       bool // changes of messages' states are logged
	pid          int
	startupBegan time.Time // since when the process could have been ready
	fleet        fleet
	handedOver   chan struct{} // closed when the relay has handed over

	resubmitted resubmissions

	// Set before the loop begins.
	listener       *net.TCPListener // nil until it is there
	predecessor    *link            // to the process that handed over to this one; nil if none did
	inheritedState estate           // what that one told
	memoryLimit    int64            // the limit of all processes
	stopAdmin      func()

	// Owned by the loop.
	callCtx             context.Context
	started             time.Time
	sender              *policy.Sender
	wal                 *wal.Log
	recovery            wal.Recovery // until it is taken up
	rejected            []rejection  // in this step
	msgs                map[uint32]*message
	byTrace             map[string]*message
	routes              map[string]target
	knownDests          map[int]bool // destinations that the list has named
	withdrawn           []*message   // withdrawn, may have run; by deadline, more or less
	held                int          // messages that the module has not done with
	callsOut            int          // calls
	lastID              uint32
	inFlight            map[*call]struct{}  // calls out
	logLock             *os.File            // the log's; nil without it
	successor           *link               // to the process that this one has handed over to
	predecessorAttempts map[outKey]*attempt // out at the process before
	excluded            map[string]bool     // endpoints out by hand, as the module has heard
	outOfService        outages             // endpoints that may get nothing new
	wakeAt              time.Time           // zero: none asked for
	nextEvents          []policy.Event      // for the next step
	logFull             bool                // the log took no new work last
	backlog             *overflow           // nil: no backlog is kept
	postponed           []any               // came while the loop waited for a job, for the next step

	promises        []promise // wait for the disk, oldest first
	withheld        []withheldAnswer
	syncDone        chan struct{} // holds one: the disk has something more
	logFailed       bool          // the disk has failed the log
	clockBehind     time.Duration // the wall clock, to what the log has seen; 0 unless it was set back
	recalled        memories      // of a process before, until taken up
	memoriesSavedAt time.Time
	nextCountAt     time.Time   // the routes that are avoided are counted no sooner
	savingMemories  atomic.Bool // memories are being written

	saveFailed atomic.Bool

	stopping, noSends, drainSignalled bool
}

// target is what the relay keeps of a listed host.
type target struct {
	policy.Listing
	addr string
}

// New returns a relay that has read what an earlier process left in the log. While another process has the log and does
// not hand it over, New waits, until ctx ends.
func New(ctx context.Context, cfg Config, log *slog.Logger) (*Relay, error) {
	sender, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{
		cfg: cfg, log: log, hosts: newHosts(cfg), agent: newAgent(cfg.Discovery),
		events: make(chan any, eventQueueSize), loopDone: make(chan struct{}), drained: make(chan struct{}),
		started: clock.Now().Add(-moduleClockStart), sender: sender, handedOver: make(chan struct{}),
		exclusions: newExclusions(log, cfg.StateDir), excluded: map[string]bool{},
		msgs: map[uint32]*message{}, byTrace: map[string]*message{}, routes: map[string]target{},
		knownDests: map[int]bool{}, metrics: newMetrics(cfg.Classes), stopAdmin: func() {},
		syncDone: make(chan struct{}, 1), guard: invariant.New(log), traced: log.Enabled(ctx, slog.LevelDebug), pid: os.Getpid(), startupBegan: clock.Now(),
		resubmitted: resubmissions{logLimit: rate.Sometimes{First: 1, Interval: time.Second}}, outOfService: outages{},
		inFlight: map[*call]struct{}{}, predecessorAttempts: map[outKey]*attempt{}, memoryLimit: debug.SetMemoryLimit(-1),
	}
	r.hosts.sent = func(c *call) {
		for _, a := range c.attempts {
			r.metrics.forClass(a.m.Class).sends.Add(1)
		}
	}
	// Clients hold a third of the descriptors with their requests; more is for those that are slow to leave.
	r.clients = newClients(log, cfg.Limits.Sockets*9/20, r.handleClient)
	r.clients.guard, r.hosts.guard = r.guard, r.guard
	r.finals = newFinals(log, r.agent, func(ids []uint32) { r.post(noticesConfirmed{ids}) })
	// Before the old process gives anything away: what can fail has failed by then.
	if cfg.Admin != "" {
		l, err := listen(ctx, log, "operators", cfg.Admin)
		if err != nil {
			return nil, err
		}
		r.stopAdmin = r.serveAdmin(l)
	}
	if err := r.acquireLog(ctx); err != nil {
		r.stopAdmin()
		return nil, err
	}
	return r, nil
}

// Run serves until ctx ends, and then ends in order: see endBy.
func (r *Relay) Run(ctx context.Context) error {
	defer r.stopAdmin()
	if r.listener == nil {
		l, err := listen(ctx, r.log, "clients", r.cfg.Listen)
		if err != nil {
			return errors.Join(err, r.wal.Close())
		}
		r.listener = l
	}
	loopCtx, stopLoop := context.WithCancel(context.Background())
	defer stopLoop()
	callCtx, stopCalls := context.WithCancel(context.Background())
	defer stopCalls()
	r.callCtx = callCtx
	r.restore() // before clients are told that the relay is ready
	go r.loop(loopCtx)
	if r.predecessor != nil {
		go r.heed(r.predecessor)
	}
	peerCtx, stopPeers := context.WithCancel(loopCtx)
	defer stopPeers()
	go r.finals.run(peerCtx)
	list := watcher{
		log: r.log, agent: r.agent, silence: watchSilence, version: r.cfg.Known.Version,
		fleet: r.cfg.Settings.Senders, random: rand.Float64, sleep: sleep, now: clock.Now,
		// A list that the process before handed over has to be followed at once: together the two know no less.
		held: len(r.cfg.Known.Entries) > 0 && r.predecessor == nil,
		told: func(l List) { r.post(l) },
	}
	go list.run(peerCtx)

	go r.clients.run(r.listener)
	r.serving.Store(true)
	r.guard.Ready(clock.Since(r.startupBegan))
	r.fleet.setState(membership.Serving)
	var fleetWG sync.WaitGroup
	fleetWG.Go(func() { r.joinFleet(peerCtx) })
	defer fleetWG.Wait()
	if r.cfg.Duties != nil {
		fleetWG.Go(func() { r.cfg.Duties.Run(peerCtx, r.fleet.presentMembers) })
	}
	r.log.Info("serving", "name", r.cfg.Name, "listen", r.listener.Addr().String())
	defer r.heirs()()
	select {
	case <-ctx.Done():
		r.shutDown(r.listener)
	case <-r.handedOver:
		stopPeers()
		// The new process has a newer incarnation, and the address, once this one lets it go.
		if err := r.fleet.leave(false); err != nil {
			r.log.Warn("fleet", "err", err)
		}
		r.stepAside(ctx, r.listener)
	}
	stopPeers()
	stopCalls()
	r.callWG.Wait() // their outcomes reach the log
	stopLoop()
	<-r.loopDone
	r.hosts.close()
	r.putDownLast()
	err := r.endLog()
	if r.logLock != nil {
		err = errors.Join(err, r.logLock.Close())
	}
	return err
}

// Reload takes on what may change while the relay runs: discovery's address. All else takes a restart.
func (r *Relay) Reload(cfg Config) {
	r.log.Info("configuration read again", "discovery", cfg.Discovery)
	r.agent.move(cfg.Discovery)
}

// shutDown is the planned end. Connections that are idle close at once, and a request that crosses that comes
// once more on a new connection, which is still taken; what was read is answered, and running calls may finish.
func (r *Relay) shutDown(listener net.Listener) {
	began := clock.Now()
	by := func(d time.Duration) <-chan time.Time { return time.After(clock.Until(began.Add(d))) }
	r.shuttingDown.Store(true)
	r.fleet.setState(membership.Draining)
	leftFleet := make(chan struct{})
	go func() {
		defer close(leftFleet)
		if err := r.fleet.leave(true); err != nil {
			r.log.Warn("fleet", "err", err)
		}
	}()
	defer func() { <-leftFleet }()
	r.clients.drain()
	<-by(acceptGrace)
	listener.Close()
	r.clients.close(began.Add(answerGrace))
	r.post(stopIntake{})
	select {
	case <-r.drained:
		return
	case <-by(sendGrace):
	}
	r.post(stopSending{})
	select {
	case <-r.drained:
	case <-by(shutdownTimeout):
	}
}

// post hands an event to the loop; false if that has ended.
func (r *Relay) post(e any) bool {
	select {
	case r.events <- e:
		return true
	case <-r.loopDone:
		return false
	}
}

func (r *Relay) now() time.Duration { return clock.Since(r.started) }

// restore hands the module the known list and what an earlier process left, in one step.
func (r *Relay) restore() {
	found := r.recovery
	r.recovery = wal.Recovery{}
	var evs []policy.Event
	if len(r.cfg.Known.Entries) > 0 {
		known := r.cfg.Known
		known.Full = true
		evs = append(evs, r.applyList(known))
	}
	evs = r.exclusionEvents(evs)
	if r.predecessor != nil {
		// The list first: what is remembered needs it.
		r.carryOut(r.sender.Step(r.now(), evs), nil)
		r.sender.Remember(r.inheritedState.Memories)
		evs = nil
	} else if len(r.recalled.Memories) > 0 && len(r.routes) > 0 {
		r.carryOut(r.sender.Step(r.now(), evs), nil)
		r.recall()
		evs = nil
	}
	var ended []*message
	outs := map[uint32]*policy.Out{}
	for _, o := range r.inheritedState.Out {
		if !o.Cut {
			outs[o.ID] = &o.Out
		}
	}
	for _, w := range found.Messages {
		m := &message{Message: w, sends: w.Attempts}
		r.logTransition(m, stateNew, stateHeld, reasonRecovered, slog.Int("attempts", w.Attempts), slog.Int("may_run", len(w.MayRun)),
			slog.Int64("left_ms", clock.Until(w.Deadline).Milliseconds()))
		r.msgs[m.ID], r.byTrace[m.Trace] = m, m
		r.lastID = max(r.lastID, m.ID)
		out := outs[m.ID]
		if out != nil {
			m.outstanding++
		}
		if out != nil && (w.Withdrawn || w.Final != nil) {
			// Over, but its call has a slot until it ends.
			evs = append(evs, r.resumedEvent(m, out), policy.Event{Kind: policy.Withdrawn, ID: m.ID})
		}
		switch {
		case w.Withdrawn:
			m.ended, m.counted = true, true
			r.withdrawn = append(r.withdrawn, m)
		case w.Final != nil:
			m.ended, m.counted = true, true
			r.notify(m, true)
		case found.Damaged:
			// What it has sent may be missing from the log: nothing can be promised.
			m.ended = true
			r.metrics.countEnd(m, wal.Final{})
			r.wal.Decide(w, wal.Final{})
			ended = append(ended, m)
		case r.backlog.keeps(m):
			r.held++
			r.backlog.enter(m)
			evs = append(evs, r.resumedEvent(m, out))
		}
	}
	if len(found.Messages) > 0 || found.Damaged {
		r.log.Info("recovered", "messages", len(found.Messages), "damaged", found.Damaged)
	}
	for _, o := range r.inheritedState.Out {
		if m := r.msgs[o.ID]; m != nil {
			c := &call{route: o.Route, zone: r.routes[o.Route].Zone, sent: r.started.Add(o.Sent)}
			r.predecessorAttempts[outKey{o.ID, o.Attempt}] = &attempt{call: c, m: m, n: o.Attempt, over: o.Cut}
		}
	}
	r.inheritedState = estate{}
	r.tellEnds(ended)
	r.carryOut(r.sender.Step(r.now(), evs), nil)
}

// resumedEvent tells the module of a message of an earlier process, in the module's own time. out is the attempt that is
// out there, if any: whether that runs is yet to be told.
func (r *Relay) resumedEvent(m *message, out *policy.Out) policy.Event {
	e := r.takenEvent(m)
	e.Resumed = &policy.Resumed{Attempts: m.Attempts, Out: out}
	ran := slices.DeleteFunc(slices.Clone(m.MayRun), func(a wal.Attempt) bool { return out != nil && a.N == out.Attempt })
	if len(ran) > 0 {
		first := ran[0]
		e.Resumed.Ran, e.Resumed.RanZone = true, first.Zone
		e.Resumed.RanAgo = max(0, clock.Since(first.At))
	}
	if m.Doubt || len(ran) > 0 && r.clockBehind > 0 {
		e.Resumed.Ran, e.Resumed.RanAgo = true, unknownAge // when is not known: no window holds
	}
	return e
}

func (r *Relay) takenEvent(m *message) policy.Event {
	return policy.Event{
		Kind: policy.Taken, ID: m.ID, Key: m.Order, Class: m.Class, Customer: m.Customer, Destination: m.Dest,
		Left: clock.Until(m.Deadline),
	}
}

// loop is the one goroutine that decides. A step takes what has come in since the last one, no more often than
// the settings' tick: what comes together can then travel together.
func (r *Relay) loop(ctx context.Context) {
	defer close(r.loopDone)
	timer := time.NewTimer(0)
	defer timer.Stop()
	gauges := time.NewTicker(gaugeInterval)
	defer gauges.Stop()
	var batch []any
	var last time.Time
	for {
		batch = batch[:0]
		select {
		case <-ctx.Done():
			r.drainEvents()
			return
		case e := <-r.events:
			batch = append(batch, e)
		case <-timer.C:
		case <-r.exclusions.changed:
		case <-r.syncDone:
			r.tend()
			continue
		case <-gauges.C:
			r.updateGauges() // a skip may have run out
			r.backlog.tell()
			r.checkLimits()
			if r.successor == nil {
				r.tend()
				r.putDown()
				r.exclusions.retrySave()
				r.backlog.maintain()
			}
			continue
		}
		if rest := r.cfg.Tick - clock.Since(last); rest > 0 {
			time.Sleep(rest)
		}
	more:
		for len(batch) < maxBatchEvents {
			select {
			case e := <-r.events:
				batch = append(batch, e)
			default:
				break more
			}
		}
		last = clock.Now()
		r.step(batch)
		clear(batch)
		if kept := r.postponed; len(kept) > 0 {
			r.postponed = nil
			r.step(kept)
		}
		if !r.wakeAt.IsZero() {
			timer.Reset(clock.Until(r.wakeAt))
		}
	}
}

// drainEvents answers and notes what came before the end, without deciding anything more.
func (r *Relay) drainEvents() {
	r.noSends = true
	for {
		select {
		case e := <-r.events:
			r.step([]any{e})
		default:
			return
		}
	}
}

// applyList takes a applyList of hosts, or changes to it. An entry that cannot be read is passed over; if it names a host
// that is known, that host stays as it was.
func (r *Relay) applyList(l List) policy.Event {
	e := policy.Event{Kind: policy.ListChanges}
	if l.Full {
		e.Kind = policy.ListWhole
	}
	routes := map[string]target{}
	var removed []string
	for _, raw := range l.Entries {
		entry, addr, err := r.cfg.listing(raw)
		if err != nil {
			r.log.Warn("unreadable entry of the list", "entry", string(raw), "err", err)
			if known, ok := r.routes[entry.Route]; ok {
				routes[entry.Route] = known
				e.List = append(e.List, known.Listing)
			}
			continue
		}
		e.List = append(e.List, entry)
		if entry.Gone {
			delete(r.routes, entry.Route)
			r.hosts.closeIdle(entry.Route)
		} else {
			if known, ok := r.routes[entry.Route]; ok && known.addr != addr {
				r.hosts.closeIdle(entry.Route)
			}
			routes[entry.Route] = target{entry, addr}
			r.knownDests[entry.Destination] = true
		}
	}
	if l.Full {
		for id := range r.routes {
			if _, ok := routes[id]; !ok {
				removed = append(removed, id)
				r.hosts.closeIdle(id)
			}
		}
		r.routes = routes
	} else {
		for id, t := range routes {
			r.routes[id] = t
		}
	}
	ids := make([]string, 0, len(e.List))
	for _, entry := range e.List {
		ids = append(ids, entry.Route)
	}
	for _, id := range slices.Concat(ids, removed) {
		r.updateOutage(id)
	}
	r.exclusions.noteListed(ids, func(id string) bool { _, ok := r.routes[id]; return ok })
	if len(r.routes) > 0 {
		r.hasList.Store(true)
	}
	return e
}

// exclusionEvents tells the module which endpoints were taken out by hand or put back since it last heard.
func (r *Relay) exclusionEvents(evs []policy.Event) []policy.Event {
	current := r.exclusions.current()
	for _, id := range slices.Sorted(maps.Keys(current)) {
		if !r.excluded[id] {
			evs = append(evs, policy.Event{Kind: policy.Excluded, Route: id})
			r.hosts.closeIdle(id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(r.excluded)) {
		if !current[id] {
			evs = append(evs, policy.Event{Kind: policy.Included, Route: id})
		}
	}
	previous := r.excluded
	if r.excluded = current; !maps.Equal(current, previous) {
		for _, set := range []map[string]bool{previous, current} {
			for id := range set {
				r.updateOutage(id)
			}
		}
	}
	return evs
}
