package policy

import (
	"math"
	"slices"
	"time"
)

// What one process tells the next when it hands its work over. Both go by one clock, so that times need no change.

// RouteState is what a Sender knows of a route, with what it knows of the route's gate. Guards against a successor that
// does not know of a told wait, an outage or a pace: the two are one sender to everybody else.
type RouteState struct {
	Route string

	// The gate's.
	WaitUntil       time.Duration `json:"Wait"`
	HalvedAt   time.Duration
	GrownAt    time.Duration `json:"CreptAt"`
	TokensAt   time.Duration
	CreditAt     time.Duration `json:"ColdAt"`
	SuspectRemovedAt   time.Duration `json:"ColdLeft"`
	OwnRateAt      time.Duration `json:"GotAt"`
	Pace       float64
	Ceiling    float64
	CeilingLimit      float64 `json:"Under"`
	Tokens     float64
	Credit     float64
	Limit      float64
	OwnRate        float64 `json:"Got"`
	Guessed    bool
	GroupFailStreak int             `json:"GateStreak"`
	TableFullCount     int             `json:"Tights"`
	RecentSends       []time.Duration `json:"Sent"`

	// The route's.
	SkipUntil time.Duration
	SkipLen   time.Duration
	RecoveringSince      time.Duration `json:"Back"`
	RefusedAt time.Duration
	OKAt      time.Duration
	OKSent    time.Duration
	Mean      time.Duration
	Dev       time.Duration
	Down      bool
	Suspect      bool `json:"Cold"`
	WeakEvidence    bool `json:"Slight"`
	OKStreak       int  `json:"Run"`
	FailStreak    int  `json:"Streak"`
	Refusals  int
	RecentFailures    uint8  `json:"Recent"`
	TieBreak       uint64 `json:"Lot"`
}

// OutstandingAttempt is an attempt that is out at a process which hands over. Attempts of one Call share it.
type OutstandingAttempt struct {
	Call    uint32
	Attempt int
	Route   string
	Sent    time.Duration
	TimeoutAt     time.Duration `json:"Cut"` // it times out then
}

// RouteStates is what this Sender knows, route by route.
func (s *Sender) RouteStates() (ms []RouteState) {
	for _, d := range s.order {
		for _, g := range d.groups {
			for _, r := range g.routes {
				ms = append(ms, RouteState{
					r.Route, g.waitUntil, g.halvedAt, g.grownAt, g.tokensAt, g.creditAt, g.suspectRemovedAt, g.ownRateAt, g.pace, g.ceiling, g.ceilingLimit,
					g.tokens, g.credit, g.limit, g.ownRate, g.guessed, g.failStreak, g.tableFullCount, g.recentSends, r.skipUntil, r.skipLen, r.recoveringSince,
					r.refusedAt, r.okAt, r.okSent, r.mean, r.dev, r.down, r.suspect, r.weakEvidence, r.okStreak, r.failStreak, r.refusals, r.recentFailures, r.tieBreak,
				})
			}
		}
	}
	return ms
}

// LoadRouteStates takes on what another Sender knew of the routes that are listed here. It comes before any message.
func (s *Sender) LoadRouteStates(ms []RouteState) {
	s.inherited = true
	for _, m := range ms {
		r := s.routes[m.Route]
		if r == nil {
			continue
		}
		g := r.group
		g.waitUntil, g.halvedAt, g.grownAt, g.tokensAt, g.creditAt = m.WaitUntil, m.HalvedAt, m.GrownAt, m.TokensAt, m.CreditAt
		g.suspectRemovedAt, g.ownRateAt, g.pace, g.ceiling, g.ceilingLimit = m.SuspectRemovedAt, m.OwnRateAt, m.Pace, m.Ceiling, m.CeilingLimit
		g.tokens, g.credit, g.ownRate, g.guessed, g.failStreak = m.Tokens, m.Credit, m.OwnRate, m.Guessed, m.GroupFailStreak
		g.tableFullCount, g.recentSends = m.TableFullCount, m.RecentSends
		s.recordLimit(r, Report{Present: true, Limit: m.Limit})
		r.skipUntil, r.skipLen, r.recoveringSince, r.refusedAt, r.okAt = m.SkipUntil, m.SkipLen, m.RecoveringSince, m.RefusedAt, m.OKAt
		r.okSent, r.mean, r.dev, r.down, r.suspect, r.weakEvidence = m.OKSent, m.Mean, m.Dev, m.Down, m.Suspect, m.WeakEvidence
		r.okStreak, r.failStreak, r.refusals, r.recentFailures, r.tieBreak = m.OKStreak, m.FailStreak, m.Refusals, m.RecentFailures, m.TieBreak
		s.sortRoutes(g.dest)
	}
}

// RestoreRouteStates takes on what a Sender knew that ended with its process, age ago, when its clock stood at then. A restart ends a
// told wait, and what is older than the longest skip is not known any more; what is younger fades by the rules by which it
// would have faded there. It comes before any message.
func (s *Sender) RestoreRouteStates(ms []RouteState, exportedAt, age time.Duration) {
	if age < 0 || age > maxSkip {
		return
	}
	shift := s.now - age - exportedAt
	for i := range ms {
		m := &ms[i]
		m.WaitUntil, m.RecentSends = 0, slices.Clone(m.RecentSends)
		for k := range m.RecentSends {
			m.RecentSends[k] += shift
		}
		for _, t := range []*time.Duration{&m.HalvedAt, &m.GrownAt, &m.TokensAt, &m.CreditAt, &m.SuspectRemovedAt, &m.OwnRateAt, &m.SkipUntil,
			&m.RecoveringSince, &m.RefusedAt, &m.OKAt, &m.OKSent} {
			if *t > math.MinInt64/4 && *t != 0 { // 0 is never, and the least there is long ago
				*t += shift
			}
		}
	}
	s.LoadRouteStates(ms)
}

// adoptAttempt books an attempt that is out at the process before: it has a slot, and its outcome is still to come.
func (s *Sender) adoptAttempt(m *message, outstanding *OutstandingAttempt) {
	c := s.adoptedCalls[outstanding.Call]
	if c == nil {
		r := s.routes[outstanding.Route]
		if r == nil { // off the list by now
			r = &route{Listing: Listing{Route: outstanding.Route, Gone: true}, group: &routeGroup{dest: m.dest}}
		}
		c = &call{route: r, sent: outstanding.Sent, overdueAt: outstanding.Sent + s.maxAnswerTime(r, overdueDevs), timeoutAt: outstanding.TimeoutAt}
		s.slotsUsed++
		r.group.callsOut++
		r.calls = append(r.calls, c)
		if s.adoptedCalls == nil {
			s.adoptedCalls = map[uint32]*call{}
		}
		s.adoptedCalls[outstanding.Call] = c
	}
	c.pending++
	m.outstanding = append(m.outstanding, attempt{outstanding.Attempt, c})
}
