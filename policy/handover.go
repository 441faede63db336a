package policy

import (
	"iter"
	"math"
	"slices"
	"time"
)

// State that one process passes to the next in a hand-over. Both use the same clock, so that times need no conversion.

// RouteState is what a Sender knows of a route and of the route's group. Without it, a successor would not know of a
// Retry-After wait, an outage or a pace, although destinations see the two processes as one sender.
type RouteState struct {
	Route string

	// State of the route group.
	WaitUntil        time.Duration   `json:"Wait,omitzero"`
	HalvedAt         time.Duration   `json:",omitzero"`
	GrownAt          time.Duration   `json:"CreptAt,omitzero"`
	TokensAt         time.Duration   `json:",omitzero"`
	CreditAt         time.Duration   `json:"ColdAt,omitzero"`
	SuspectRemovedAt time.Duration   `json:"ColdLeft,omitzero"`
	OwnRateAt        time.Duration   `json:"GotAt,omitzero"`
	Pace             float64         `json:",omitzero"`
	Ceiling          float64         `json:",omitzero"`
	CeilingLimit     float64         `json:"Under,omitzero"`
	Tokens           float64         `json:",omitzero"`
	Credit           float64         `json:",omitzero"`
	Limit            float64         `json:",omitzero"`
	OwnRate          float64         `json:"Got,omitzero"`
	Guessed          bool            `json:",omitzero"`
	GroupFailStreak  int             `json:"GateStreak,omitzero"`
	TableFullCount   int             `json:"Tights,omitzero"`
	RecentSends      []time.Duration `json:"Sent,omitzero"`

	// State of the route.
	SkipUntil       time.Duration `json:",omitzero"`
	SkipLen         time.Duration `json:",omitzero"`
	RecoveringSince time.Duration `json:"Back,omitzero"`
	RefusedAt       time.Duration `json:",omitzero"`
	OKAt            time.Duration `json:",omitzero"`
	OKSent          time.Duration `json:",omitzero"`
	Mean            time.Duration `json:",omitzero"`
	Dev             time.Duration `json:",omitzero"`
	Down            bool          `json:",omitzero"`
	Suspect         bool          `json:"Cold,omitzero"`
	WeakEvidence    bool          `json:"Slight,omitzero"`
	OKStreak        int           `json:"Run,omitzero"`
	FailStreak      int           `json:"Streak,omitzero"`
	Refusals        int           `json:",omitzero"`
	RecentFailures  uint8         `json:"Recent,omitzero"`
	TieBreak        uint64        `json:"Lot"`
}

// OutstandingAttempt is an attempt without an outcome at a process that hands over. Attempts with the same Call share a
// call.
type OutstandingAttempt struct {
	Call      uint32
	Attempt   int
	Route     string
	Zone      int `json:"-"` // to which it was sent: as recorded at the send, not as listed now; UnknownZone if not recorded
	Sent      time.Duration
	TimeoutAt time.Duration // when it times out; 0 from a process of an earlier version
}

// UnknownZone is the zone of an attempt of which no zone was recorded. No route is in it.
const UnknownZone = -1

// RouteStates returns what a Sender knows of its routes.
func (s *Sender) RouteStates() []RouteState {
	return slices.AppendSeq(make([]RouteState, 0, len(s.routes)), s.EachRouteState())
}

// EachRouteState yields what a Sender knows of its routes, one by one.
func (s *Sender) EachRouteState() iter.Seq[RouteState] {
	return func(yield func(RouteState) bool) {
		for _, d := range s.order {
			for _, g := range d.groups {
				for _, r := range g.routes {
					if !yield(r.state()) {
						return
					}
				}
			}
		}
	}
}

// state is what the Sender knows of a route and its group.
func (r *route) state() RouteState {
	g := r.group
	return RouteState{
		r.Route, g.waitUntil, g.halvedAt, g.grownAt, g.tokensAt, g.creditAt, g.suspectRemovedAt, g.ownRateAt, g.pace,
		g.ceiling, g.ceilingLimit, g.tokens, g.credit, g.limit, g.ownRate, g.guessed, g.failStreak, g.tableFullCount,
		g.recentSends, r.skipUntil, r.skipLen, r.recoveringSince, r.refusedAt, r.okAt, r.okSent, r.mean, r.dev, r.down,
		r.suspect, r.weakEvidence, r.okStreak, r.failStreak, r.refusals, r.recentFailures, r.tieBreak,
	}
}

// LoadRouteStates adopts what another Sender knew of the routes that are listed here. It must precede any message.
func (s *Sender) LoadRouteStates(states []RouteState) { s.LoadEachRouteState(slices.Values(states)) }

// LoadEachRouteState is LoadRouteStates for states that come one by one.
func (s *Sender) LoadEachRouteState(states iter.Seq[RouteState]) {
	s.inherited = true
	changed := map[*dest]bool{}
	for m := range states {
		r := s.routes[m.Route]
		if r == nil {
			continue
		}
		g := r.group
		g.waitUntil, g.halvedAt, g.grownAt, g.tokensAt, g.creditAt = m.WaitUntil, m.HalvedAt, m.GrownAt, m.TokensAt, m.CreditAt
		g.suspectRemovedAt, g.ownRateAt, g.pace, g.ceiling, g.ceilingLimit =
			m.SuspectRemovedAt, m.OwnRateAt, m.Pace, m.Ceiling, m.CeilingLimit
		g.tokens, g.credit, g.ownRate, g.guessed, g.failStreak = m.Tokens, m.Credit, m.OwnRate, m.Guessed, m.GroupFailStreak
		g.tableFullCount, g.recentSends = m.TableFullCount, m.RecentSends
		s.recordLimit(r, Report{Present: true, Limit: m.Limit})
		r.skipUntil, r.skipLen, r.recoveringSince, r.refusedAt, r.okAt =
			m.SkipUntil, m.SkipLen, m.RecoveringSince, m.RefusedAt, m.OKAt
		r.okSent, r.mean, r.dev, r.down, r.weakEvidence = m.OKSent, m.Mean, m.Dev, m.Down, m.WeakEvidence
		r.setSuspect(m.Suspect)
		r.okStreak, r.failStreak, r.refusals, r.recentFailures, r.tieBreak =
			m.OKStreak, m.FailStreak, m.Refusals, m.RecentFailures, m.TieBreak
		changed[g.dest] = true
	}
	for d := range changed {
		s.sortRoutes(d)
	}
}

// RestoreRouteStates adopts the state that a Sender of an ended process exported age ago, when its clock read exportedAt.
// A restart ends Retry-After waits, and state older than the longest skip is dropped. Younger state decays by the same
// rules as it would have in that process. It must precede any message.
func (s *Sender) RestoreRouteStates(states []RouteState, exportedAt, age time.Duration) {
	if age < 0 || age > maxSkip {
		return
	}
	shift := s.now - age - exportedAt
	for i := range states {
		m := &states[i]
		m.WaitUntil, m.RecentSends = 0, slices.Clone(m.RecentSends)
		for k := range m.RecentSends {
			m.RecentSends[k] += shift
		}
		for _, t := range []*time.Duration{&m.HalvedAt, &m.GrownAt, &m.TokensAt, &m.CreditAt, &m.SuspectRemovedAt,
			&m.OwnRateAt, &m.SkipUntil, &m.RecoveringSince, &m.RefusedAt, &m.OKAt, &m.OKSent} {
			if *t > math.MinInt64/4 && *t != 0 { // 0 means never, and the lowest value long ago
				*t += shift
			}
		}
	}
	s.LoadRouteStates(states)
}

// adoptAttempt records an attempt that is out at the previous process. It uses a slot, and its outcome is still to come.
func (s *Sender) adoptAttempt(m *message, outstanding *OutstandingAttempt) {
	c := s.adoptedCalls[outstanding.Call]
	if c == nil {
		r := s.routes[outstanding.Route]
		if r == nil || r.Destination != m.dest.id { // no longer listed, or since listed for another destination
			r = unlistedRoute(outstanding, m.dest)
		}
		c = &call{
			route: r, zone: outstanding.Zone, sent: outstanding.Sent, overdueAt: outstanding.Sent + s.maxAnswerTime(r, overdueDevs),
			timeoutAt: outstanding.TimeoutAt,
		}
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

// unlistedRoute returns a route for a call that is out at an endpoint which the list does not name. It belongs to the
// group that the routes of the destination share, if they do, so that a Retry-After wait in its answer binds them too.
func unlistedRoute(outstanding *OutstandingAttempt, d *dest) *route {
	r := &route{
		Listing: Listing{Route: outstanding.Route, Destination: d.id, Kind: unknownKind, Zone: outstanding.Zone, Gone: true},
		group:   &routeGroup{dest: d, kind: unknownKind, separate: true},
	}
	for _, g := range d.groups {
		r.Kind = g.kind // all endpoints of a destination are of one kind
		if !g.separate {
			r.group = g
		}
	}
	return r
}

// unknownKind is the kind of a destination of which no endpoint is listed.
const unknownKind = -1
