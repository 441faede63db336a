// Package relay carries out on real sockets what package policy decides. It takes messages from clients, calls
// hosts, follows discovery's list, and records its obligations in a write-ahead log. It makes no delivery
// decisions itself.
//
// One goroutine, the event loop, owns the decision module and the log. Everything that happens
// reaches it as an event, so no send is based on older state than the loop has seen.
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
	maxBatchEvents = 512                    // per step
	gaugeInterval  = 200 * time.Millisecond // how often the gauges are updated between steps

	loggedRefusalRate  = 50 // refusals for lack of room that the log remembers, per second
	loggedRefusalBurst = 100

	// unknownAge stands in for the age of an event whose time is unknown.
	unknownAge = 24 * time.Hour

	// moduleClockStart keeps the module's clock away from 0, which means "never" to the module.
	moduleClockStart = time.Second

	// Phases of a planned shutdown, measured from SIGTERM. SIGKILL follows no sooner than 3.7 s later. New
	// connections keep arriving for up to 0.4 s.
	acceptGrace     = 500 * time.Millisecond
	answerGrace     = time.Second             // requests read by then are answered
	sendGrace       = 2200 * time.Millisecond // no new calls after this: they would be cut off without an outcome
	shutdownTimeout = 3300 * time.Millisecond
)

// Events of the loop, besides policy's own.
type (
	submission struct {
		m               *wal.Message
		client          *client     // whose request it is; nil if another process forwarded it
		left            atomic.Bool // the client has left
		answered        atomic.Bool // the client was there when its answer was about to be written
		unread          bool        // there was no room for its body: it can only be refused, or answered by its id
		msg             *message    // what the loop has made of m, or the known message with the same id
		forwardedAs     uint32      // its number on the link to the new process, once it is forwarded
		exclusionChange             // set in place of a message; only between processes during a hand-over
		reply           chan answer // buffered: sending never blocks
	}
	withdrawal   struct{ id uint32 }
	callFinished struct {
		c       *call
		results []result
	}
	attemptTimeout struct{ a *attempt }
	sendCheck      struct {
		call  *call
		reply chan bool
	}
	noticesConfirmed struct{ ids []uint32 } // the platform has accepted these messages' notices
	stopIntake       struct{}               // no more messages will arrive
	stopSending      struct{}               // from now on only outcomes are recorded
	wakeLoop         struct{}               // triggers a step
)

// message is a message that the relay has not finished with.
type message struct {
	*wal.Message
	sends       int  // as counted by the module
	outstanding int  // attempts without an outcome yet
	ended       bool // the module has finished with it

	counted      bool     // its outcome is counted, or must not be
	notified     bool     // its end was reported to the platform
	unlogged     bool     // accepted in this step, which may still refuse it
	seq          uint64   // sequence number of the log write that accepted it
	shared       bool     // another client was also told that it is accepted, so it cannot be withdrawn
	continuation *message // the message that replaced it when it was submitted again after its withdrawal

	// Only used with a backlog; see backlogQueue and window.
	destWindow  *destWindow // of its destination; nil: the module does not have the message
	unsentIndex int         // index among the unsent messages of destWindow; -1: sent
	move        transfer
	dropped     bool // in transit to or from the disk, and no longer owed
	refused     bool // its client was told of the refusal, so no notice is due
	confirmed   bool // in transit, and its notice was accepted

	connection uint64 // number of its client's connection, while it counts in Relay.connectionMemory; 0: none
	cost       int64  // what it counts there
}

// Relay accepts messages from clients and delivers them to the hosts that discovery lists.
type Relay struct {
	cfg          Config
	log          *slog.Logger
	hosts        *hostClient
	clients      *clients
	notices      *noticeSender
	agent        *agent
	events       chan any
	loopDone     chan struct{} // closed when the loop has ended
	drained      chan struct{} // closed when the relay is stopping and has nothing left to wait for
	metrics      *metrics
	serving      atomic.Bool // recovered and accepting clients
	hasList      atomic.Bool // a list of hosts is known
	shuttingDown atomic.Bool // SIGTERM received
	callWG       sync.WaitGroup
	exclusions   *exclusions
	budget       *budget
	guard        *invariant.Guard
	traced       bool // log every change of a message's state
	pid          int
	startupBegan time.Time // when the process could first have become ready
	configuredAt time.Time // when the known list was read
	fleet        fleet
	handedOver   chan struct{} // closed once the relay has handed over

	resubmitted resubmissions

	// Set before the loop starts.
	listener       *net.TCPListener // nil until Run listens, unless a predecessor passed it on
	predecessor    *handoverLink    // link to the process that handed over to this one; nil if there was none
	inheritedState handoverState    // state that the predecessor passed on
	stopAdmin      func()

	// Owned by the loop.
	callCtx             context.Context
	started             time.Time // the zero of the module's clock
	sender              *policy.Sender
	wal                 *wal.Log
	recovery            wal.Recovery // read from the log, until restore applies it
	rejected            []rejection  // in this step
	msgs                map[uint32]*message
	byTrace             map[string]*message
	routes              map[string]target
	knownDests          map[int]bool // destinations that a list has named
	withdrawn           []*message   // withdrawn messages that may have run, roughly by deadline
	held                int          // messages that the module has not finished with
	callsOut            int          // calls in progress
	lastID              uint32
	inFlight            map[*call]struct{}      // calls in progress
	connectionMemory    connectionMemory        // of messages that are held
	logLock             *os.File                // the log's lock file; nil while this process does not hold it
	successor           *handoverLink           // link to the process that this one has handed over to
	refusedForRoom      *recentIDs              // ids of requests that were refused for lack of room
	loggedRefusals      *rate.Limiter           // limits how many of them the log remembers
	predecessorAttempts map[attemptKey]*attempt // attempts in progress at the predecessor
	excluded            map[string]bool         // endpoints excluded by operators, as last reported to the module
	outOfService        outages                 // endpoints that must receive nothing new
	wakeAt              time.Time               // zero: no wake-up requested
	nextEvents          []policy.Event          // for the next step
	logFull             bool                    // the log refused new work last time
	backlog             *backlogQueue           // nil: no backlog is kept
	postponed           []any                   // events received while the loop waited for a job, for the next step

	pendingSteps    []pendingStep // waiting for the disk, oldest first
	withheld        []withheldAnswer
	syncDone        chan struct{} // capacity 1: more data has become durable
	logFailed       bool          // the disk has failed the log
	clockBehind     time.Duration // how far the wall clock is behind the log's latest time; 0 unless it was set back
	loadedMemories  memories      // saved by an earlier process, until they are applied
	memoriesSavedAt time.Time
	nextCountAt     time.Time   // avoided routes are not counted before this
	savingMemories  atomic.Bool // memories are being written

	saveFailed atomic.Bool // a failure to write memories has been logged

	stopping, noSends, drainSignalled bool
}

// New returns a relay that has read what an earlier process left in the log. While another process holds the log and
// does not hand it over, New waits until ctx ends.
func New(ctx context.Context, cfg Config, log *slog.Logger) (*Relay, error) {
	sender, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{
		cfg: cfg, log: log, hosts: newHostClient(cfg), agent: newAgent(cfg.Discovery),
		events: make(chan any, eventQueueSize), loopDone: make(chan struct{}), drained: make(chan struct{}),
		started: clock.Now().Add(-moduleClockStart), sender: sender, handedOver: make(chan struct{}),
		exclusions: newExclusions(log, cfg.StateDir), excluded: map[string]bool{},
		msgs: map[uint32]*message{}, byTrace: map[string]*message{}, routes: map[string]target{},
		knownDests: map[int]bool{}, metrics: newMetrics(cfg.Classes), stopAdmin: func() {},
		syncDone: make(chan struct{}, 1), guard: invariant.New(log), traced: log.Enabled(ctx, slog.LevelDebug), pid: os.Getpid(), startupBegan: clock.Now(),
		configuredAt: clock.Now(),
		resubmitted:  newResubmissions(), outOfService: outages{},
		connectionMemory: connectionMemory{}, inFlight: map[*call]struct{}{}, predecessorAttempts: map[attemptKey]*attempt{},
		refusedForRoom: newRecentIDs(), loggedRefusals: rate.NewLimiter(loggedRefusalRate, loggedRefusalBurst), budget: newBudget(cfg.Limits, cfg.Settings.Slots),
	}
	r.hosts.onWritten = func(c *call) {
		for _, a := range c.attempts {
			r.metrics.forClass(a.m.Class).sends.Add(1)
		}
	}
	r.clients = newClients(log, r.socketLimit(clientSocketShare), r.handleClient)
	r.clients.budget, r.clients.onUnwritten = r.budget, r.withdrawUnanswered
	r.clients.guard, r.hosts.guard = r.guard, r.guard
	r.divideMemory(func(*policy.MemoryNeeds) {})
	r.notices = newNoticeSender(log, r.agent, func(ids []uint32) { r.post(noticesConfirmed{ids}) })
	// Listen before the old process gives anything up, so that a failure leaves it in place.
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

// Run serves until ctx ends, then shuts down in order; see shutdownTimeout.
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
	if r.predecessor == nil && clock.Since(r.configuredAt) > freshKnownList {
		r.refreshKnownList(ctx)
	}
	r.restore() // before clients are told that the relay is ready
	if r.predecessor != nil {
		r.returnMemory() // of the state that was handed over
	}
	go r.loop(loopCtx)
	if r.predecessor != nil {
		go r.readPredecessor(r.predecessor)
	}
	peerCtx, stopPeers := context.WithCancel(loopCtx)
	defer stopPeers()
	go r.notices.run(peerCtx)
	list := watcher{
		log: r.log, agent: r.agent, timeout: watchTimeout, version: r.cfg.Known.Version,
		fleetSize: r.cfg.Settings.Senders, random: rand.Float64, sleep: sleep, now: clock.Now,
		// A list from the predecessor must be followed at once: the two processes together know no less than one.
		hasList: len(r.cfg.Known.Entries) > 0 && r.predecessor == nil,
		onList:  func(l List) { r.post(l) },
	}
	r.cfg.Known = List{} // the routes have it now
	go list.run(peerCtx)

	go r.clients.run(r.listener)
	r.serving.Store(true)
	r.guard.CheckStart(clock.Since(r.startupBegan))
	r.fleet.setState(membership.Serving)
	var fleetWG sync.WaitGroup
	fleetWG.Go(func() { r.joinFleet(peerCtx) })
	defer fleetWG.Wait()
	if r.cfg.Duties != nil {
		fleetWG.Go(func() { r.cfg.Duties.Run(peerCtx, r.fleet.presentMembers) })
	}
	r.log.Info("serving", "name", r.cfg.Name, "listen", r.listener.Addr().String())
	defer r.serveHandovers()()
	select {
	case <-ctx.Done():
		r.shutDown(r.listener)
	case <-r.handedOver:
		stopPeers()
		// The new process joins with a newer incarnation and takes the address once this one releases it.
		if err := r.fleet.leave(false); err != nil {
			r.log.Warn("fleet", "err", err)
		}
		r.drainAfterHandover(ctx, r.listener)
	}
	stopPeers()
	stopCalls()
	r.callWG.Wait() // their outcomes must reach the log
	stopLoop()
	<-r.loopDone
	r.hosts.close()
	r.saveMemoriesAtExit()
	err := r.closeLog()
	if r.logLock != nil {
		err = errors.Join(err, r.logLock.Close())
	}
	return err
}

// Reload applies the settings that may change at run time: discovery's address. All others need a restart.
func (r *Relay) Reload(cfg Config) {
	r.log.Info("configuration read again", "discovery", cfg.Discovery)
	r.agent.move(cfg.Discovery)
}

// shutDown is the planned shutdown. Idle connections close at once. A request that crosses the close is repeated by its
// client on a new connection, which is still accepted. Requests already read are answered, and running calls may finish.
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

// post hands an event to the loop. It returns false if the loop has ended.
func (r *Relay) post(e any) bool {
	select {
	case r.events <- e:
		return true
	case <-r.loopDone:
		return false
	}
}

func (r *Relay) now() time.Duration { return clock.Since(r.started) }

// restore gives the module the known list and the state that an earlier process left, in one step.
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
		// The list must come first: memories refer to its routes.
		r.execute(r.sender.Step(r.now(), evs), nil)
		r.loadRouteStates(r.inheritedState.Memories)
		r.inheritedState.Memories = nil
		evs = nil
	} else if len(r.loadedMemories.Memories) > 0 && len(r.routes) > 0 {
		r.execute(r.sender.Step(r.now(), evs), nil)
		r.restoreMemories()
		evs = nil
	}
	var ended []*message
	attemptsOut := map[uint32]*policy.OutstandingAttempt{}
	for _, o := range r.inheritedState.Out {
		if !o.Cut {
			attemptsOut[o.ID] = &o.OutstandingAttempt
		}
	}
	for _, w := range found.Messages {
		m := &message{Message: w, sends: w.Attempts}
		r.logTransition(m, stateNew, stateHeld, reasonRecovered, slog.Int("attempts", w.Attempts), slog.Int("may_run", len(w.MayRun)),
			slog.Int64("left_ms", clock.Until(w.Deadline).Milliseconds()))
		r.msgs[m.ID], r.byTrace[m.Trace] = m, m
		r.lastID = max(r.lastID, m.ID)
		out := attemptsOut[m.ID]
		if out != nil {
			m.outstanding++
		}
		if out != nil && (w.Withdrawn || w.Final != nil) {
			// The message is over, but its call occupies a slot until it ends.
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
			// The log may lack sends of this message, so a repeat could run it twice: end it.
			m.ended = true
			r.metrics.countEnd(m, wal.Final{})
			r.wal.SetFinal(w, wal.Final{})
			ended = append(ended, m)
		case r.backlog.admitRecovered(m):
			r.held++
			r.backlog.add(m)
			evs = append(evs, r.resumedEvent(m, out))
		}
	}
	if len(found.Messages) > 0 || found.Damaged {
		r.log.Info("recovered", "messages", len(found.Messages), "damaged", found.Damaged)
	}
	for _, o := range r.inheritedState.Out {
		if m := r.msgs[o.ID]; m != nil {
			c := &call{route: o.Route, zone: m.zoneOfAttempt(o.Attempt), sent: r.started.Add(o.Sent)}
			r.predecessorAttempts[attemptKey{o.ID, o.Attempt}] = &attempt{call: c, m: m, n: o.Attempt, settled: o.Cut}
		}
	}
	r.inheritedState = handoverState{}
	r.recordEnds(ended)
	r.execute(r.sender.Step(r.now(), evs), nil)
}

// resumedEvent tells the module about an earlier process's message, with times on the module's clock. out is the attempt
// that is still in progress, if any; whether it runs is not known yet.
func (r *Relay) resumedEvent(m *message, out *policy.OutstandingAttempt) policy.Event {
	e := r.acceptedEvent(m)
	e.Resumed = &policy.ResumedMessage{Attempts: m.Attempts, Outstanding: out}
	if out != nil {
		out.Zone = m.zoneOfAttempt(out.Attempt)
	}
	ran := slices.DeleteFunc(slices.Clone(m.MayRun), func(a wal.Attempt) bool { return out != nil && a.N == out.Attempt })
	if len(ran) > 0 {
		first := ran[0]
		e.Resumed.MayHaveRun, e.Resumed.FirstRunZone = true, first.Zone
		e.Resumed.FirstRunAgo = max(0, clock.Since(first.At))
	}
	if m.Doubt || len(ran) > 0 && r.clockBehind > 0 {
		e.Resumed.MayHaveRun, e.Resumed.FirstRunAgo = true, unknownAge // the time is unknown, so treat it as outside every window
	}
	return e
}

// zoneOfAttempt returns the zone to which the log has recorded an attempt. The list does not tell it: the endpoint may
// have left the list, or be listed elsewhere by now.
func (m *message) zoneOfAttempt(n int) int {
	i := slices.IndexFunc(m.MayRun, func(a wal.Attempt) bool { return a.N == n })
	if i < 0 {
		return policy.UnknownZone
	}
	return m.MayRun[i].Zone
}

func (r *Relay) acceptedEvent(m *message) policy.Event {
	return policy.Event{
		Kind: policy.Accepted, ID: m.ID, Key: m.Order, Class: m.Class, Customer: m.Customer, Destination: m.Dest,
		TimeLeft: clock.Until(m.Deadline),
	}
}

// loop is the goroutine that makes all decisions. A step handles the events since the last one, at most once per tick, so
// that messages that arrive together can share a call.
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
			r.maintainLog()
			continue
		case <-gauges.C:
			r.updateGauges() // a skipped endpoint may have become available
			r.chargeOwnMemory()
			r.backlog.publish()
			r.checkLimits()
			if r.successor == nil {
				r.maintainLog()
				r.saveMemories()
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

// drainEvents answers and records the events that arrived before the end, without making new decisions.
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

// exclusionEvents tells the module which endpoints operators have excluded or included since its last call.
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
