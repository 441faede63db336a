package policy

import (
	"container/heap"
	"errors"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// The state on which policy.go and the other files decide, and its maintenance. No decisions are made here.

// routeGroup is a set of routes that share a limit, a pace, Retry-After waits and outages: the routes of a destination,
// or a single route where the kind has separate routes.
type routeGroup struct {
	dest             *dest
	routes           []*route // sorted by rank
	suspects         int      // routes that are suspect
	separate         bool
	kind             int
	waitUntil        time.Duration // no send before this: a Retry-After wait
	pace             float64       // calls a second; 0: unlimited
	guessed          bool          // the pace is a guess until a delivery or a refusal
	ceiling          float64       // rate that was refused last
	ceilingLimit     float64       // the limit known at that time; 0: none
	halvedAt         time.Duration
	grownAt          time.Duration
	tokens           float64
	tokensAt         time.Duration
	recentSends      []time.Duration // calls of the last second
	credit           float64         // calls that suspect routes may take now, as of creditAt; one at most
	creditAt         time.Duration
	suspectRemovedAt time.Duration // when a suspect route last left the list; far in the past if none
	limit            float64       // reported, calls a second
	ownRate          float64       // mean rate of own deliveries a second, as of ownRateAt
	ownRateAt        time.Duration
	callsOut         int
	failStreak       int // failures in a row
	tableFullCount   int // failed connections that looked like a full connection table, since the last delivery
}

// route is one way to a destination, with its skip state.
type route struct {
	Listing
	group           *routeGroup
	tieBreak        uint64        // orders routes that are otherwise equal
	calls           []*call       // without an outcome, in order of sending
	skipUntil       time.Duration // messages skip the route before this
	skipLen         time.Duration // length of the last skip; 0 if there is none to prolong
	excluded        bool          // by an operator
	down            bool          // skipped, with no delivery since
	listed          bool          // among the routes of its group
	suspect         bool          // may be in an outage or recovering from one; changed by setSuspect
	weakEvidence    bool          // suspect on a single sign; one delivery clears it
	recoveringSince time.Duration // first delivery since the last failure while suspect; 0: none yet
	okStreak        int           // deliveries in a row since the route became suspect
	failStreak      int           // failures in a row
	recentFailures  uint8         // last 8 deliveries, errors and failed connections, a set bit for each failure
	recentLosses    uint8         // last 8 deliveries and lost calls, a set bit for each lost call
	refusals        int           // since the last other answer
	refusedAt       time.Duration // the first of these refusals
	okAt            time.Duration // last delivery
	okSent          time.Duration // when the latest call that was answered was sent
	mean, dev       time.Duration // answer times
}

// dest is a destination with its queue.
type dest struct {
	id             int
	groups         []*routeGroup
	queue          []*message // waiting messages, the next to go first
	next           *message   // next to go in this dispatch, over nextRoute
	nextRoute      *route
	opensAt        time.Duration // no message may go before this unless markReady is called
	held           int           // messages not yet forgotten
	activePos      int           // position in Sender.active, from 1; 0: not active
	heapPos        int           // position in Sender.waiting, from 1; 0: not in it
	routelessSince time.Duration // when its last route was removed
}

// call is a call without an outcome; messages of one destination may share it.
type call struct {
	route     *route
	zone      int  // of the route at the time of the send: the list may move or remove the route while the call is out
	pending   int  // messages without an outcome
	delivered bool // at least one message was delivered
	sent      time.Duration
	overdueAt time.Duration // the answer is overdue after this
	timeoutAt time.Duration // earliest timeout of its messages
	endsAt    time.Duration // earliest deadline of its messages
}

// attempt is one message's part in a call.
type attempt struct {
	n    int
	call *call
}

// message is a message held, or one that has ended while attempts are still out.
type message struct {
	id           uint32
	class        *Class
	dest         *dest
	keyQueue     *keyQueue // order of its key; nil if none
	aimBy        time.Duration
	deadline     time.Duration
	rank         time.Duration // position in the queue
	sends        int
	outstanding  []attempt
	firstRunAt   time.Duration // when the first attempt that may have run was sent
	mayHaveRun   bool          // an attempt may have run
	firstRunZone int
	timeouts     int
	failedRoute  *route // route of the last failed attempt
	ended        bool
	queued       bool
	resumed      bool // accepted by an earlier process
}

// keyQueue is the order of the messages of one key.
type keyQueue struct {
	key       string
	messages  []*message // in the order accepted; only the first may be sent
	restUntil time.Duration
	idle      bool // without messages, kept until its rest is over
}

// leakyBucket measures a customer's traffic against its share.
type leakyBucket struct {
	level float64
	at    time.Duration
}

// Sender makes the decisions of one relay. It is a deterministic state machine: equal events lead to equal actions.
type Sender struct {
	settings        Settings
	rng             *rand.Rand
	now             time.Duration
	routes          map[string]*route // looked up, never iterated
	dests           map[int]*dest     // looked up, never iterated
	order           []*dest           // by ID
	active          []*dest           // destinations with waiting messages
	waiting         destHeap          // active destinations by opensAt; during a dispatch, without those that it examines
	ready           []*dest           // scratch space of dispatch
	routeless       []*dest           // destinations without routes, until they are forgotten
	idleKeyQueues   []*keyQueue       // in the order in which they became idle
	msgs            map[uint32]*message
	keyQueues       map[string]*keyQueue
	leastLimit      map[int]float64          // by kind: the lowest limit reported
	excluded        map[string]bool          // by an operator, listed or not
	unlistedWaits   map[string]time.Duration // ends of the waits of separate routes that have left the list
	connScarceUntil map[int]time.Duration    // by kind: connections are scarce until then
	held            int
	slotsUsed       int
	callsStarted    uint32
	customerUse     []leakyBucket
	timers          timerHeap
	pruneTimersAt   int           // number of timers at which those of ended messages are removed
	wakeAt          time.Duration // earliest wake requested; 0: none
	wantWake        time.Duration
	actions         []Action
	inherited       bool             // has loaded the state of an earlier process
	adoptedCalls    map[uint32]*call // in this step, by the call numbers of the earlier process
}

// updateList applies a list of routes. A route that drains or is removed gets no new messages from then on.
func (s *Sender) updateList(entries []Listing, whole bool) {
	if s.settings.WatchRequired && whole && len(s.order) == 0 {
		s.emit(Action{Kind: Watch})
	}
	if whole {
		keep := make(map[string]bool, len(entries))
		for i := range entries {
			keep[entries[i].Route] = true
		}
		for _, d := range s.order {
			for _, g := range slices.Clone(d.groups) {
				for _, r := range slices.Clone(g.routes) {
					if !keep[r.Route] {
						s.removeRoute(r)
					}
				}
			}
		}
	}
	var changed []*dest
	for _, l := range entries {
		if !(l.Weight > 0) || math.IsInf(l.Weight, 0) {
			l.Weight = 0 // unknown
		}
		r := s.routes[l.Route]
		switch {
		case l.Gone:
			if r != nil {
				s.removeRoute(r)
			}
		case r == nil:
			s.addRoute(l)
			changed = append(changed, s.dests[l.Destination])
		default:
			if l.InService && !r.InService {
				r.okAt = 0 // treated as new: answers from before the drain no longer count
			}
			r.Listing = l
			changed = append(changed, r.group.dest)
		}
	}
	for i, d := range changed {
		if i == 0 || d != changed[i-1] {
			s.sortRoutes(d)
			s.markReady(d)
		}
	}
	s.removeRoutelessDests()
}

// removeRoutelessDests forgets destinations that have had no route for the length of a warm-up and hold no message.
func (s *Sender) removeRoutelessDests() {
	s.routeless = slices.DeleteFunc(s.routeless, func(d *dest) bool {
		if d.hasRoute() {
			d.routelessSince = 0
			return true
		}
		if d.held > 0 || s.now < d.routelessSince+s.settings.WarmWithin {
			return false
		}
		delete(s.dests, d.id)
		i := sort.Search(len(s.order), func(i int) bool { return s.order[i].id >= d.id })
		s.order = slices.Delete(s.order, i, i+1)
		return true
	})
}

// hasRoute reports whether the destination has a route.
func (d *dest) hasRoute() bool {
	return slices.ContainsFunc(d.groups, func(g *routeGroup) bool { return len(g.routes) > 0 })
}

// markReady has the next dispatch examine a destination.
func (s *Sender) markReady(d *dest) {
	d.opensAt = 0
	if d.heapPos > 0 {
		heap.Fix(&s.waiting, d.heapPos-1)
	}
}

// popOpened moves the waiting destinations that have opened to ready, in the order of Sender.active. The cost of a step
// thus depends on how many have opened, not on how many wait.
func (s *Sender) popOpened(ready []*dest) []*dest {
	from := len(ready)
	for len(s.waiting) > 0 && s.waiting[0].opensAt <= s.now {
		d := heap.Pop(&s.waiting).(*dest)
		d.next, d.opensAt = nil, 0
		ready = append(ready, d)
	}
	slices.SortFunc(ready[from:], func(a, b *dest) int { return a.activePos - b.activePos })
	return ready
}

// requeueReady puts back the destinations that a dispatch has examined and requests a wake for the next one to open.
func (s *Sender) requeueReady() {
	s.ready = s.popOpened(s.ready) // marked ready meanwhile: left to the next step
	if len(s.waiting) > 0 {
		s.requestWake(s.waiting[0].opensAt)
	}
	for _, d := range s.ready {
		if d.activePos == 0 {
			continue
		}
		if d.opensAt > s.now {
			s.requestWake(d.opensAt)
		}
		heap.Push(&s.waiting, d)
	}
}

// anySuspect reports whether a route of the group is suspect.
func (g *routeGroup) anySuspect() bool { return g.suspects > 0 }

// setSuspect records whether a route is suspect, for itself and for its group.
func (r *route) setSuspect(suspect bool) {
	if r.suspect == suspect {
		return
	}
	r.suspect = suspect
	if r.listed {
		r.group.countSuspect(suspect)
	}
}

// countSuspect counts one of the group's routes that has become suspect, or has ceased to be.
func (g *routeGroup) countSuspect(suspect bool) {
	if suspect {
		g.suspects++
	} else {
		g.suspects--
	}
}

// holdBack holds back all messages for a route's group during a Retry-After wait, not only the message that was told. 0:
// there is no wait.
func (s *Sender) holdBack(r *route, retryAfter time.Duration) {
	if retryAfter <= 0 {
		return
	}
	r.group.waitUntil = max(r.group.waitUntil, s.now+retryAfter)
	if r.Gone {
		s.keepUnlistedWait(r)
	}
}

// keepUnlistedWait keeps the wait of a route that has a group of its own and has left the list: the wait binds the
// endpoint, which may be listed again before the end of the wait.
func (s *Sender) keepUnlistedWait(r *route) {
	maps.DeleteFunc(s.unlistedWaits, func(_ string, until time.Duration) bool { return until <= s.now })
	if r.group.separate && r.group.waitUntil > s.now {
		s.unlistedWaits[r.Route] = r.group.waitUntil
	}
}

// removeRoute forgets a route. Calls that are still out keep a reference to it until their outcomes.
func (s *Sender) removeRoute(r *route) {
	r.Gone = true
	s.keepUnlistedWait(r)
	delete(s.routes, r.Route)
	g := r.group
	r.listed = false
	if r.suspect {
		g.suspectRemovedAt = s.now
		g.countSuspect(false)
	}
	g.routes = slices.DeleteFunc(g.routes, func(x *route) bool { return x == r })
	if g.separate {
		g.dest.groups = slices.DeleteFunc(g.dest.groups, func(x *routeGroup) bool { return x == g })
	}
	if d := g.dest; d.routelessSince == 0 && !d.hasRoute() {
		d.routelessSince = s.now
		s.routeless = append(s.routeless, d)
	}
}

func (s *Sender) addRoute(l Listing) {
	d := s.destination(l.Destination)
	r := &route{Listing: l, tieBreak: s.rng.Uint64(), excluded: s.excluded[l.Route]}
	s.routes[l.Route] = r
	separate := l.Kind >= 0 && l.Kind < len(s.settings.Kinds) && s.settings.Kinds[l.Kind].Separate
	if separate || len(d.groups) == 0 {
		d.groups = append(d.groups, &routeGroup{dest: d, separate: separate, kind: l.Kind, tokens: 1, tokensAt: s.now,
			suspectRemovedAt: math.MinInt64 / 2})
	}
	r.group = d.groups[len(d.groups)-1]
	r.group.routes, r.listed = append(r.group.routes, r), true
	r.group.waitUntil = max(r.group.waitUntil, s.unlistedWaits[r.Route])
}

func (s *Sender) destination(id int) *dest {
	d := s.dests[id]
	if d == nil {
		d = &dest{id: id}
		s.dests[id] = d
		i := sort.Search(len(s.order), func(i int) bool { return s.order[i].id > id })
		s.order = slices.Insert(s.order, i, d)
	}
	return d
}

// interval is the time between calls at a rate, an hour at most.
func interval(rate float64) time.Duration {
	if rate <= 0 {
		return time.Hour
	}
	return min(time.Hour, time.Duration(float64(time.Second)/rate))
}

func (s *Sender) enqueue(m *message) {
	d := m.dest
	i := sort.Search(len(d.queue), func(i int) bool { return ranksBefore(m, d.queue[i]) })
	d.queue = slices.Insert(d.queue, i, m)
	m.queued = true
	s.markReady(d)
	if d.activePos == 0 {
		s.active = append(s.active, d)
		d.activePos = len(s.active)
		heap.Push(&s.waiting, d)
	}
}

func (s *Sender) dequeue(m *message) {
	if !m.queued {
		return
	}
	m.queued = false
	d := m.dest
	i := slices.Index(d.queue, m)
	d.queue = slices.Delete(d.queue, i, i+1)
	if len(d.queue) == 0 {
		last := s.active[len(s.active)-1]
		s.active[d.activePos-1], last.activePos = last, d.activePos
		s.active, d.activePos = s.active[:len(s.active)-1], 0
		if d.heapPos > 0 {
			heap.Remove(&s.waiting, d.heapPos-1)
		}
	}
}

// endMessage ends a message without emitting a final answer.
func (s *Sender) endMessage(m *message) {
	if !m.ended {
		m.ended = true
		s.held--
		s.dequeue(m)
	}
	s.forgetEnded(m)
}

// forgetEnded forgets an ended message once its attempts have their outcomes, and makes the next message of its key
// eligible.
func (s *Sender) forgetEnded(m *message) {
	if !m.ended || len(m.outstanding) > 0 {
		return
	}
	delete(s.msgs, m.id)
	m.dest.held--
	if q := m.keyQueue; q != nil {
		m.keyQueue = nil
		q.messages = slices.DeleteFunc(q.messages, func(x *message) bool { return x == m })
		switch {
		case len(q.messages) > 0:
			s.markReady(q.messages[0].dest)
		case !q.idle:
			q.idle = true
			s.idleKeyQueues = append(s.idleKeyQueues, q)
		}
	}
}

// removeIdleKeyQueues forgets key queues that have no messages and whose rest is over.
func (s *Sender) removeIdleKeyQueues() {
	for len(s.idleKeyQueues) > 0 && s.idleKeyQueues[0].restUntil <= s.now {
		q := s.idleKeyQueues[0]
		s.idleKeyQueues = s.idleKeyQueues[1:]
		if q.idle = false; len(q.messages) == 0 {
			delete(s.keyQueues, q.key)
		}
	}
}

// destHeap is a heap of destinations by opensAt.
type destHeap []*dest

func (h destHeap) Len() int { return len(h) }

func (h destHeap) Less(i, j int) bool { return h[i].opensAt < h[j].opensAt }

func (h destHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapPos, h[j].heapPos = i+1, j+1
}

func (h *destHeap) Push(x any) {
	d := x.(*dest)
	*h = append(*h, d)
	d.heapPos = len(*h)
}

func (h *destHeap) Pop() any {
	old := *h
	d := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	d.heapPos = 0
	return d
}

// pruneTimers removes the timers of ended messages from time to time. Otherwise the timers of a delivered message would
// stay until its deadline, which may be hours away.
func (s *Sender) pruneTimers() {
	if len(s.timers) < max(s.pruneTimersAt, minTimersToPrune) {
		return
	}
	s.timers = slices.DeleteFunc(s.timers, func(e timer) bool { return e.message.ended })
	heap.Init(&s.timers)
	s.pruneTimersAt = 2 * len(s.timers)
}

// minTimersToPrune is the least number of timers for which pruning is worthwhile.
const minTimersToPrune = 1024

// timer is a time at which runTimers examines a message.
type timer struct {
	at      time.Duration
	message *message
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].message.id < h[j].message.id
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

func (h *timerHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func (s *Sender) emit(a Action) { s.actions = append(s.actions, a) }

// requestWake requests a wake at t unless an earlier one is requested.
func (s *Sender) requestWake(t time.Duration) {
	if t < math.MaxInt64 && (s.wantWake == 0 || t < s.wantWake) {
		s.wantWake = t
	}
}

// callsLastSecond is the number of calls of a route group in the last second.
func (s *Sender) callsLastSecond(g *routeGroup) float64 {
	i := 0
	for i < len(g.recentSends) && g.recentSends[i] <= s.now-time.Second {
		i++
	}
	g.recentSends = append(g.recentSends[:0], g.recentSends[i:]...)
	return float64(len(g.recentSends))
}

// ownDeliveryRate is the mean rate of own deliveries of a route group. While one of its routes is suspect, it does not
// decay.
func (s *Sender) ownDeliveryRate(g *routeGroup) float64 {
	if g.anySuspect() {
		return g.ownRate
	}
	return g.ownRate * math.Exp(-float64(s.now-g.ownRateAt)/float64(ownRateSpan))
}

// countDelivery adds a delivery to that rate, which does not fall while a route of the group is suspect.
func (s *Sender) countDelivery(g *routeGroup) {
	since := (s.now - g.ownRateAt).Seconds()
	if g.anySuspect() && g.ownRate > 0 {
		since = min(since, 1/g.ownRate)
	}
	g.ownRate, g.ownRateAt = g.ownRate*math.Exp(-since/ownRateSpan.Seconds())+1/ownRateSpan.Seconds(), s.now
}

// refillTokens adds the tokens that the pace of a group has earned, up to one plus a burst.
func (s *Sender) refillTokens(g *routeGroup, burst time.Duration) {
	g.tokens = math.Min(1+g.pace*burst.Seconds(), g.tokens+g.pace*(s.now-g.tokensAt).Seconds())
	g.tokensAt = s.now
}

// recordLimit records the limit that a destination has reported through a route.
func (s *Sender) recordLimit(r *route, rep Report) {
	if rep.Present && rep.Limit > 0 {
		r.group.limit = rep.Limit
		if least := s.leastLimit[r.Kind]; least == 0 || rep.Limit < least {
			s.leastLimit[r.Kind] = rep.Limit
		}
	}
}

// detachAttempt removes an attempt from its message and returns its call; nil if the attempt is unknown.
func (s *Sender) detachAttempt(m *message, n int) *call {
	if m == nil {
		return nil
	}
	for i, a := range m.outstanding {
		if a.n == n {
			m.outstanding = slices.Delete(m.outstanding, i, i+1)
			return a.call
		}
	}
	return nil
}

// joinKeyQueue appends a message to the queue of its key.
func (s *Sender) joinKeyQueue(m *message, key string) {
	q := s.keyQueues[key]
	if q == nil {
		q = &keyQueue{key: key}
		s.keyQueues[key] = q
	}
	q.messages = append(q.messages, m)
	m.keyQueue = q
}

// beginCall records a call that goes out, and what it uses of its group's slots, pace and recovery budget.
func (s *Sender) beginCall(c *call) {
	g := c.route.group
	s.slotsUsed++
	g.callsOut++
	c.route.calls = append(c.route.calls, c)
	s.callsLastSecond(g)
	g.recentSends = append(g.recentSends, s.now)
	if g.pace > 0 {
		g.tokens--
	}
	if c.route.suspect {
		g.credit--
	}
}

// endCall records a call whose last outcome has arrived.
func (s *Sender) endCall(c *call) {
	s.slotsUsed--
	c.route.group.callsOut--
	c.route.calls = slices.DeleteFunc(c.route.calls, func(x *call) bool { return x == c })
}

// Check returns an error if the settings are invalid.
func (settings *Settings) Check() error {
	if len(settings.Classes) == 0 {
		return errors.New("policy: settings contain no class")
	}
	if min(settings.Senders, settings.Slots, settings.MaxHeld, settings.MaxAttempts) < 0 {
		return errors.New("policy: settings contain a negative count")
	}
	shortest := min(settings.MaxRetryAfter, settings.WarmWithin, settings.OverloadWindow, settings.OrderPause)
	sum := settings.ColdShare + settings.OverloadFactor
	for _, c := range settings.Classes {
		shortest = min(shortest, c.Window, c.Aim, c.GiveUp)
		sum += c.Value
	}
	for _, c := range settings.Customers {
		sum += c.Quota
	}
	if shortest < 0 {
		return errors.New("policy: settings contain a negative duration")
	}
	if math.IsNaN(sum) || math.IsInf(sum, 0) {
		return errors.New("policy: settings contain a value that is not a finite number")
	}
	return nil
}
