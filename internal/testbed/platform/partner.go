// Package platform is everything that a relay meets besides its clients: destinations with their endpoints, discovery's
// agents, and the taker of final notices. It is written from the platform's protocol alone.
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
	rateBurst   = 0.3  // seconds of a plain rate that may come at once
	itemCost    = 0.15 // work of each further message in a call, in calls
	refuseAfter = 2 * time.Second
	quickError  = 3 * time.Millisecond
)

// partners are the destinations' state. A scope is what shares a limit, a pace and outages: a destination, or one of its
// endpoints where its kind has routes apart.
type partners struct {
	plan *plan.Plan
	book *ledger.Ledger

	mu        sync.Mutex
	rng       *rand.Rand
	offset    time.Duration // of the plan's times
	scopes    []*scope
	endpoints []*endpoint
	tail      plan.Fault // the running "tail" fault, if Size > 0
	tailClass int
}

type scope struct {
	number  int
	partner int
	kind    int
	full    float64 // limit in calls a second at full size; 0: none
	size    float64 // of the limit now; 1: as ever
	span    time.Duration
	tokens  float64 // of a plain rate
	at      time.Duration
	spanAt  time.Duration // begin of the running span
	count   float64
	reports []report
	outage  *ledger.Outage // the last one
	warmAt  time.Duration  // when it came back; Never: it was never away
	recent  []arrival      // since it came back, within the span of a fall
	fallen  bool
	members []int
}

type report struct {
	at          time.Duration
	left, limit float64
}

type arrival struct {
	at    time.Duration
	relay int
}

// endpoint is one endpoint's state.
type endpoint struct {
	scope  *scope
	coldAt time.Duration // when it came up cold; Never: it is warm from the start
	free   time.Duration // when the work that is queued will be done, at its capacity
	slow   float64       // times as long as usual
	fails  float64       // share of the calls that fail at once
	shut   bool
	hang   bool
	down   bool
}

func newPartners(p *plan.Plan, book *ledger.Ledger) *partners {
	s := &partners{plan: p, book: book, rng: rand.New(rand.NewPCG(p.Seed, 0x706172746e657273)), tailClass: -1}
	kinds := p.Experiment.Partners.Kinds
	for range p.Endpoints {
		s.endpoints = append(s.endpoints, &endpoint{coldAt: ledger.Never, slow: 1})
	}
	for i := range p.Partners {
		d := &p.Partners[i]
		k := kinds[d.Kind]
		add := func(members ...int) {
			sc := &scope{number: len(s.scopes), partner: i, kind: d.Kind, full: d.Limit, size: 1, warmAt: ledger.Never, members: members}
			sc.span = time.Duration(k.WindowSeconds * float64(time.Second))
			sc.tokens = math.Max(1, d.Limit*rateBurst)
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
		book.Add(ledger.LimitChange{Partner: i, Limit: d.Limit})
	}
	return s
}

// start tells the time from which the plan counts.
func (s *partners) start(offset time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.offset = offset
	for i, e := range s.plan.Endpoints {
		if e.Added > 0 {
			s.endpoints[i].coldAt = offset + e.Added // new machines begin cold
		}
	}
}

// verdict is what an endpoint makes of a call.
type verdict struct {
	status int
	wait   time.Duration // told with a refusal
	work   time.Duration // until the answer
	run    bool          // it runs, and was counted
	never  bool          // no answer is to come
	report string
	outage bool
}

// share is the part of its capacity that a scope's or an endpoint's machine has at a moment after it came back.
func (s *partners) share(d *plan.Partner, from, now time.Duration) float64 {
	if from == ledger.Never || now >= from+d.Warm {
		return 1
	}
	return d.Cold + (1-d.Cold)*math.Max(0, float64(now-from))/float64(d.Warm)
}

// capacity is what an endpoint does now, in calls a second.
func (s *partners) capacity(i int, now time.Duration) float64 {
	e := s.endpoints[i]
	d := &s.plan.Partners[e.scope.partner]
	share := math.Min(s.share(d, e.coldAt, now), s.share(d, e.scope.warmAt, now))
	return s.plan.Endpoints[i].Capacity * share / e.slow
}

// call decides on a call of so many messages from a relay that has reached an endpoint whole. work is what its messages
// take at a partner of usual pace; class is theirs.
func (s *partners) call(relay, i int, now time.Duration, work time.Duration, messages, class int) (v verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, at := s.endpoints[i], &s.plan.Endpoints[i]
	sc := e.scope
	d := &s.plan.Partners[sc.partner]
	s.push(sc, relay, now)
	defer func() {
		if sc.outage != nil && sc.outage.To == ledger.Never {
			v.outage = true
			if v.never || v.status != 200 {
				sc.outage.Witness[relay] = true
			}
		}
		v.report = s.report(sc, now)
	}()
	limited := s.takes(sc, now)
	switch {
	case e.hang:
		return verdict{never: true}
	case e.shut || sc.fallen:
		return verdict{status: 503, work: quickError, wait: s.waits(d)}
	case at.Drains > 0 && now > s.offset+at.Drains+refuseAfter:
		return verdict{status: 503, work: quickError}
	case e.fails > 0 && s.rng.Float64() < e.fails, s.rng.Float64() < d.Errors:
		return verdict{status: 500, work: quickError}
	case !limited:
		return verdict{status: 503, work: quickError, wait: s.waits(d)}
	}
	// The endpoint works at its capacity through a queue: a call begins once what was before it leaves room.
	rate := s.capacity(i, now)
	cost := time.Duration((1 + itemCost*float64(messages-1)) / rate * float64(time.Second))
	free := max(e.free, now)
	if wait := free - now; wait.Seconds() > math.Max(d.Depth, 1.5/rate) {
		return verdict{status: 503, work: quickError, wait: s.waits(d)}
	}
	wait := max(0, free-now-time.Duration(float64(time.Second)/rate)) // the call at work before it holds up nobody
	e.free = free + cost
	v.status, v.run = 200, true
	takes := float64(work) * (1 + itemCost*float64(messages-1)) / d.Speed * e.slow
	if s.tail.Size > 0 && class == s.tailClass && s.rng.Float64() < s.tail.Size {
		takes *= 20
	}
	v.work = wait + time.Duration(takes)
	return v
}

// waits is the wait that a destination tells with a refusal.
func (s *partners) waits(d *plan.Partner) time.Duration { return d.TellsWait }

// takes counts a call against its scope's limit and tells whether it lies within.
func (s *partners) takes(sc *scope, now time.Duration) bool {
	limit := sc.full * sc.size
	if limit <= 0 {
		return true
	}
	counts := s.plan.Experiment.Partners.Kinds[sc.kind].CountsRefused
	if sc.span > 0 {
		s.refill(sc, now)
		room := math.Max(1, math.Floor(limit*sc.span.Seconds()))
		if sc.count >= room {
			if counts {
				sc.count++
			}
			return false
		}
		sc.count++
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
	limit := sc.full * sc.size
	if sc.span > 0 {
		if now >= sc.spanAt+sc.span {
			sc.spanAt, sc.count = now-now%sc.span, 0
		}
		return
	}
	sc.tokens = math.Min(math.Max(1, limit*rateBurst), sc.tokens+limit*(now-sc.at).Seconds())
	sc.at = now
}

// left is the share of the limit that is left.
func (s *partners) left(sc *scope, now time.Duration) float64 {
	s.refill(sc, now)
	limit := sc.full * sc.size
	if sc.span > 0 {
		return math.Max(0, 1-sc.count/math.Max(1, limit*sc.span.Seconds()))
	}
	return sc.tokens / math.Max(1, limit*rateBurst)
}

// push counts what reaches a scope that is coming back, and has it fall over where that is too much. It is a budget:
// whatever arrives within a span has to stay under a multiple of what the scope can do then.
func (s *partners) push(sc *scope, relay int, now time.Duration) {
	if sc.warmAt == ledger.Never || sc.fallen || sc.outage == nil {
		return
	}
	x, d := s.plan.Experiment.Partners, &s.plan.Partners[sc.partner]
	if now > sc.warmAt+d.Warm {
		return
	}
	span := time.Duration(x.CollapseSeconds * float64(time.Second))
	sc.recent = append(sc.recent, arrival{now, relay})
	sc.recent = slices.DeleteFunc(sc.recent, func(a arrival) bool { return a.at < now-span })
	capacity := 0.0
	for _, e := range sc.members {
		if at := &s.plan.Endpoints[e]; at.Added <= now-s.offset && (at.Gone == 0 || at.Gone > now-s.offset) {
			capacity += s.capacity(e, now)
		}
	}
	budget := x.CollapseFactor * capacity * x.CollapseSeconds
	if float64(len(sc.recent)) <= withChance(budget) {
		return
	}
	sc.fallen = true
	s.book.Do(func() {
		o := sc.outage
		o.Fell, o.Pushed = now, len(sc.recent)
		for _, a := range sc.recent {
			if o.Witness[a.relay] {
				o.ByThose++
			}
		}
	})
}

// withChance is how many calls a budget of so many allows, by the site's terms: what is beyond it by chance breaks no rule.
func withChance(budget float64) float64 {
	const few = 30 // calls
	roots := 2.0
	if budget < few {
		roots = 3
	}
	return budget + roots*math.Sqrt(budget) + roots
}

// begin has a trouble strike endpoints; end is its counterpart.
func (s *partners) begin(f *plan.Fault, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch f.Kind {
	case "tail":
		s.tail, s.tailClass = *f, int(f.At/time.Millisecond)%len(s.plan.Classes)
		return
	case "limits":
		for _, p := range f.Partners {
			s.limit(p, f.Size, now)
		}
		return
	}
	struck := map[*scope]int{}
	for _, i := range f.Endpoints {
		e := s.endpoints[i]
		struck[e.scope]++
		switch f.Kind {
		case "slow":
			e.slow = f.Size
		case "errors":
			e.fails = f.Size
		case "shut":
			e.shut = true
		case "down":
			e.down = true
		case "hang":
			e.hang = true
		}
	}
	if f.Kind == "slow" || f.Kind == "errors" && f.Size < 0.5 {
		return
	}
	for _, sc := range s.scopes { // in their order
		if struck[sc] < len(sc.members) || sc.outage != nil && sc.outage.To == ledger.Never {
			continue
		}
		sc.outage = &ledger.Outage{Scope: sc.number, Partner: sc.partner, From: now, To: ledger.Never, Fell: ledger.Never,
			Witness: map[int]bool{}}
		s.book.Add(sc.outage)
	}
}

func (s *partners) end(f *plan.Fault, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch f.Kind {
	case "tail":
		s.tail, s.tailClass = plan.Fault{}, -1
		return
	case "limits":
		for _, p := range f.Partners {
			s.limit(p, 1, now)
		}
		return
	}
	for _, i := range f.Endpoints {
		e := s.endpoints[i]
		e.slow, e.fails, e.shut, e.down, e.hang = 1, 0, false, false, false
		if sc := e.scope; sc.outage != nil && sc.outage.To == ledger.Never {
			sc.outage.To, sc.warmAt, sc.recent = now, now, nil
		}
	}
}

// limit sets what part of its limit a destination takes.
func (s *partners) limit(partner int, size float64, now time.Duration) {
	for _, sc := range s.scopes {
		if sc.partner == partner {
			sc.size = size
			s.book.Add(ledger.LimitChange{Partner: partner, At: now, Limit: sc.full * size})
		}
	}
}
