// Package platform emulates everything that a relay talks to besides its clients: destinations with their endpoints,
// discovery agents, and the receiver of final notices. It is written from the platform's protocol alone.
package platform

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"onyxroad.dev/onyxroad/internal/testbed/ledger"
	"onyxroad.dev/onyxroad/internal/testbed/plan"
)

const (
	burstSeconds     = 0.3             // seconds of a rate limit that may be used in one burst
	extraMessageCost = 0.15            // cost of each further message in a call, relative to the first
	drainGrace       = 2 * time.Second // a draining endpoint refuses calls after this
	errorLatency     = 3 * time.Millisecond
)

// partners is the state of all destinations. A scope is what shares a limit, a warm-up and outages: a destination, or one
// of its endpoints where its kind has separate routes.
type partners struct {
	plan   *plan.Plan
	ledger *ledger.Ledger

	mu        sync.Mutex
	rng       *rand.Rand
	offset    time.Duration // of the plan's times in the run
	scopes    []*scope
	endpoints []*endpoint
	tail      plan.Fault // the running "tail" fault, if Size > 0
	tailClass int
}

type scope struct {
	id          int
	partner     int
	kind        int
	fullLimit   float64 // configured limit in calls a second; 0: none
	limitFactor float64 // current share of fullLimit; 1: unchanged
	window      time.Duration
	tokens      float64 // token bucket of a rate limit without a window
	refilledAt  time.Duration
	windowStart time.Duration // start of the current window
	windowCalls float64
	reports     []report
	outage      *ledger.Outage // the latest one
	recoveredAt time.Duration  // end of the latest outage that has ended; Never: none has
	recentCalls []arrival      // since recoveredAt, within the last FallSeconds
	collapsed   bool
	endpoints   []int
}

type report struct {
	at               time.Duration
	remaining, limit float64
}

type arrival struct {
	at    time.Duration
	relay int
}

// endpoint is the state of one endpoint.
type endpoint struct {
	scope       *scope
	coldSince   time.Duration // when it started cold; Never: warm from the start of the run
	busyUntil   time.Duration // when the queued work will be done, at its capacity
	slowdown    float64       // factor on the time of each call
	failureRate float64       // share of calls that fail immediately
	refusing    bool
	hanging     bool
	down        bool
}

func newPartners(p *plan.Plan, led *ledger.Ledger) *partners {
	s := &partners{plan: p, ledger: led, rng: rand.New(rand.NewPCG(p.Seed, 0x706172746e657273)), tailClass: -1}
	kinds := p.Experiment.Partners.Kinds
	for range p.Endpoints {
		s.endpoints = append(s.endpoints, &endpoint{coldSince: ledger.Never, slowdown: 1})
	}
	for i := range p.Partners {
		d := &p.Partners[i]
		k := kinds[d.Kind]
		add := func(members ...int) {
			sc := &scope{id: len(s.scopes), partner: i, kind: d.Kind, fullLimit: d.Limit, limitFactor: 1, recoveredAt: ledger.Never,
				endpoints: members}
			sc.window = time.Duration(k.WindowSeconds * float64(time.Second))
			sc.tokens = math.Max(1, d.Limit*burstSeconds)
			s.scopes = append(s.scopes, sc)
			for _, e := range members {
				s.endpoints[e].scope = sc
			}
		}
		if k.SeparateRoutes {
			for _, e := range d.Endpoints {
				add(e)
			}
		} else {
			add(d.Endpoints...)
		}
		led.Add(ledger.LimitChange{Partner: i, Limit: d.Limit})
	}
	return s
}

// setOffset sets the time from which the times of the plan count.
func (s *partners) setOffset(offset time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.offset = offset
	for i, e := range s.plan.Endpoints {
		if e.Added > 0 {
			s.endpoints[i].coldSince = offset + e.Added // new endpoints start cold
		}
	}
}

// outcome is how an endpoint answers a call.
type outcome struct {
	status     int
	retryAfter time.Duration // sent with a refusal
	latency    time.Duration // time until the answer
	ran        bool          // the call was executed
	noAnswer   bool          // no answer will come
	report     string
	inOutage   bool
}

// warmShare returns the share of its capacity that a scope or an endpoint has at now when its warm-up began at from. The
// share rises linearly from Cold to 1.
func (s *partners) warmShare(d *plan.Partner, from, now time.Duration) float64 {
	if from == ledger.Never || now >= from+d.Warm {
		return 1
	}
	return d.Cold + (1-d.Cold)*math.Max(0, float64(now-from))/float64(d.Warm)
}

// capacity returns the current capacity of endpoint i in calls a second.
func (s *partners) capacity(i int, now time.Duration) float64 {
	e := s.endpoints[i]
	d := &s.plan.Partners[e.scope.partner]
	share := math.Min(s.warmShare(d, e.coldSince, now), s.warmShare(d, e.scope.recoveredAt, now))
	return s.plan.Endpoints[i].Capacity * share / e.slowdown
}

// decide determines the outcome of a call with so many messages that has arrived whole from relay at endpoint i. work is the
// time for one message at a destination of usual speed; class is the class of the messages.
func (s *partners) decide(relay, i int, now time.Duration, work time.Duration, messages, class int) (v outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, planned := s.endpoints[i], &s.plan.Endpoints[i]
	sc := e.scope
	d := &s.plan.Partners[sc.partner]
	s.recordArrival(sc, relay, now)
	defer func() {
		if sc.outage != nil && sc.outage.To == ledger.Never {
			v.inOutage = true
			if v.noAnswer || v.status != 200 {
				sc.outage.Witnesses[relay] = true
			}
		}
		v.report = s.loadReport(sc, now)
	}()
	admitted := s.admit(sc, now)
	switch {
	case e.hanging:
		return outcome{noAnswer: true}
	case e.refusing || sc.collapsed:
		return outcome{status: 503, latency: errorLatency, retryAfter: s.retryAfter(d)}
	case planned.Drains > 0 && now > s.offset+planned.Drains+drainGrace:
		return outcome{status: 503, latency: errorLatency}
	case e.failureRate > 0 && s.rng.Float64() < e.failureRate, s.rng.Float64() < d.Errors:
		return outcome{status: 500, latency: errorLatency}
	case !admitted:
		return outcome{status: 503, latency: errorLatency, retryAfter: s.retryAfter(d)}
	}
	// The endpoint works through a queue at its capacity: a call starts when the calls before it are done.
	rate := s.capacity(i, now)
	cost := time.Duration((1 + extraMessageCost*float64(messages-1)) / rate * float64(time.Second))
	start := max(e.busyUntil, now)
	if wait := start - now; wait.Seconds() > math.Max(d.Depth, 1.5/rate) {
		return outcome{status: 503, latency: errorLatency, retryAfter: s.retryAfter(d)}
	}
	wait := max(0, start-now-time.Duration(float64(time.Second)/rate)) // one call in progress delays nobody
	e.busyUntil = start + cost
	v.status, v.ran = 200, true
	serviceTime := float64(work) * (1 + extraMessageCost*float64(messages-1)) / d.Speed * e.slowdown
	if s.tail.Size > 0 && class == s.tailClass && s.rng.Float64() < s.tail.Size {
		serviceTime *= 20
	}
	v.latency = wait + time.Duration(serviceTime)
	return v
}

// retryAfter returns the wait that a destination sends with a refusal.
func (s *partners) retryAfter(d *plan.Partner) time.Duration { return d.TellsWait }

// admit counts a call against the limit of its scope and reports whether it is within the limit.
func (s *partners) admit(sc *scope, now time.Duration) bool {
	limit := sc.fullLimit * sc.limitFactor
	if limit <= 0 {
		return true
	}
	countsRefused := s.plan.Experiment.Partners.Kinds[sc.kind].CountsRefused
	if sc.window > 0 {
		s.refill(sc, now)
		maxCalls := math.Max(1, math.Floor(limit*sc.window.Seconds()))
		if sc.windowCalls >= maxCalls {
			if countsRefused {
				sc.windowCalls++
			}
			return false
		}
		sc.windowCalls++
		return true
	}
	s.refill(sc, now)
	if sc.tokens < 1 {
		return false
	}
	sc.tokens--
	return true
}

func (s *partners) refill(sc *scope, now time.Duration) {
	limit := sc.fullLimit * sc.limitFactor
	if sc.window > 0 {
		if now >= sc.windowStart+sc.window {
			sc.windowStart, sc.windowCalls = now-now%sc.window, 0
		}
		return
	}
	sc.tokens = math.Min(math.Max(1, limit*burstSeconds), sc.tokens+limit*(now-sc.refilledAt).Seconds())
	sc.refilledAt = now
}

// remainingShare returns the unused share of the limit.
func (s *partners) remainingShare(sc *scope, now time.Duration) float64 {
	s.refill(sc, now)
	limit := sc.fullLimit * sc.limitFactor
	if sc.window > 0 {
		return math.Max(0, 1-sc.windowCalls/math.Max(1, limit*sc.window.Seconds()))
	}
	return sc.tokens / math.Max(1, limit*burstSeconds)
}

// recordArrival counts the calls that reach a scope while it warms up after an outage, and lets the scope collapse if they
// exceed its budget: the calls within FallSeconds must stay below FallFactor times what the scope can do in that time.
func (s *partners) recordArrival(sc *scope, relay int, now time.Duration) {
	if sc.recoveredAt == ledger.Never || sc.collapsed || sc.outage == nil {
		return
	}
	exp, d := s.plan.Experiment.Partners, &s.plan.Partners[sc.partner]
	if now > sc.recoveredAt+d.Warm {
		return
	}
	window := time.Duration(exp.CollapseSeconds * float64(time.Second))
	sc.recentCalls = append(sc.recentCalls, arrival{now, relay})
	sc.recentCalls = slices.DeleteFunc(sc.recentCalls, func(a arrival) bool { return a.at < now-window })
	capacity := 0.0
	for _, e := range sc.endpoints {
		if at := &s.plan.Endpoints[e]; at.Added <= now-s.offset && (at.EndsAt() == 0 || at.EndsAt() > now-s.offset) {
			capacity += s.capacity(e, now)
		}
	}
	budget := exp.CollapseFactor * capacity * exp.CollapseSeconds
	if float64(len(sc.recentCalls)) <= maxCallsForBudget(budget) {
		return
	}
	sc.collapsed = true
	s.ledger.Update(func() {
		o := sc.outage
		o.Collapsed, o.CollapseCalls = now, len(sc.recentCalls)
		for _, a := range sc.recentCalls {
			if o.Witnesses[a.relay] {
				o.WitnessCalls++
			}
		}
	})
}

// maxCallsForBudget returns how many calls a budget allows. The terms of the site grant a margin, so that calls beyond the
// budget by mere chance break no rule.
func maxCallsForBudget(budget float64) float64 {
	const smallBudget = 30 // calls
	deviations := 2.0
	if budget < smallBudget {
		deviations = 3
	}
	return budget + deviations*math.Sqrt(budget) + deviations
}

// beginFault starts a fault of endpoints or destinations; endFault ends it.
func (s *partners) beginFault(f *plan.Fault, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch f.Kind {
	case "tail":
		s.tail, s.tailClass = *f, int(f.At/time.Millisecond)%len(s.plan.Classes)
		return
	case "limits":
		for _, p := range f.Partners {
			s.setLimitFactor(p, f.Size, now)
		}
		return
	}
	affected := map[*scope]int{}
	for _, i := range f.Endpoints {
		e := s.endpoints[i]
		affected[e.scope]++
		switch f.Kind {
		case "slow":
			e.slowdown = f.Size
		case "errors":
			e.failureRate = f.Size
		case "shut":
			e.refusing = true
		case "down":
			e.down = true
		case "hang", "hang-gone":
			e.hanging = true
		}
	}
	if f.Kind == "slow" || f.Kind == "errors" && f.Size < 0.5 {
		return
	}
	for _, sc := range s.scopes { // in a fixed order, unlike the map's
		if affected[sc] < len(sc.endpoints) || sc.outage != nil && sc.outage.To == ledger.Never {
			continue
		}
		sc.outage = &ledger.Outage{Scope: sc.id, Partner: sc.partner, From: now, To: ledger.Never, Collapsed: ledger.Never,
			Witnesses: map[int]bool{}}
		s.ledger.Add(sc.outage)
	}
}

func (s *partners) endFault(f *plan.Fault, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch f.Kind {
	case "tail":
		s.tail, s.tailClass = plan.Fault{}, -1
		return
	case "limits":
		for _, p := range f.Partners {
			s.setLimitFactor(p, 1, now)
		}
		return
	}
	for _, i := range f.Endpoints {
		e := s.endpoints[i]
		e.slowdown, e.failureRate, e.refusing, e.down, e.hanging = 1, 0, false, false, false
		if sc := e.scope; sc.outage != nil && sc.outage.To == ledger.Never {
			sc.outage.To, sc.recoveredAt, sc.recentCalls = now, now, nil
		}
	}
}

// setLimitFactor sets the limit of a destination to a share of its configured one.
func (s *partners) setLimitFactor(partner int, factor float64, now time.Duration) {
	for _, sc := range s.scopes {
		if sc.partner == partner {
			sc.limitFactor = factor
			s.ledger.Add(ledger.LimitChange{Partner: partner, At: now, Limit: sc.fullLimit * factor})
		}
	}
}
