package policy

import (
	"math"
	"slices"
	"time"
)

// What one process tells the next when it hands its work over. Both go by one clock, so that times need no change.

// Memory is what a Sender knows of a route, with what it knows of the route's gate. Guards against a successor that
// does not know of a told wait, an outage or a pace: the two are one sender to everybody else.
type Memory struct {
	Route string

	// The gate's.
	Wait       time.Duration `json:"Wait"`
	HalvedAt   time.Duration
	CreptAt    time.Duration `json:"CreptAt"`
	TokensAt   time.Duration
	ColdAt     time.Duration `json:"ColdAt"`
	ColdLeft   time.Duration `json:"ColdLeft"`
	GotAt      time.Duration `json:"GotAt"`
	Pace       float64
	Ceiling    float64
	Under      float64 `json:"Under"`
	Tokens     float64
	Credit     float64
	Limit      float64
	Got        float64 `json:"Got"`
	Guessed    bool
	GateStreak int             `json:"GateStreak"`
	Tights     int             `json:"Tights"`
	Sent       []time.Duration `json:"Sent"`

	// The route's.
	SkipUntil time.Duration
	SkipLen   time.Duration
	Back      time.Duration `json:"Back"`
	RefusedAt time.Duration
	OKAt      time.Duration
	OKSent    time.Duration
	Mean      time.Duration
	Dev       time.Duration
	Down      bool
	Cold      bool `json:"Cold"`
	Slight    bool `json:"Slight"`
	Run       int  `json:"Run"`
	Streak    int  `json:"Streak"`
	Refusals  int
	Recent    uint8  `json:"Recent"`
	Lot       uint64 `json:"Lot"`
}

// Out is an attempt that is out at a process which hands over. Attempts of one Call share it.
type Out struct {
	Call    uint32
	Attempt int
	Route   string
	Sent    time.Duration
	Cut     time.Duration `json:"Cut"` // it times out then
}

// Memories is what this Sender knows, route by route.
func (s *Sender) Memories() (ms []Memory) {
	for _, d := range s.order {
		for _, g := range d.gates {
			for _, r := range g.routes {
				ms = append(ms, Memory{
					r.Route, g.wait, g.halvedAt, g.creptAt, g.tokensAt, g.coldAt, g.coldLeft, g.gotAt, g.pace, g.ceiling, g.under,
					g.tokens, g.credit, g.limit, g.got, g.guessed, g.streak, g.tights, g.sent, r.skipUntil, r.skipLen, r.back,
					r.refusedAt, r.okAt, r.okSent, r.mean, r.dev, r.down, r.cold, r.slight, r.run, r.streak, r.refusals, r.recent, r.lot,
				})
			}
		}
	}
	return ms
}

// Remember takes on what another Sender knew of the routes that are listed here. It comes before any message.
func (s *Sender) Remember(ms []Memory) {
	s.handed = true
	for _, m := range ms {
		r := s.routes[m.Route]
		if r == nil {
			continue
		}
		g := r.gate
		g.wait, g.halvedAt, g.creptAt, g.tokensAt, g.coldAt = m.Wait, m.HalvedAt, m.CreptAt, m.TokensAt, m.ColdAt
		g.coldLeft, g.gotAt, g.pace, g.ceiling, g.under = m.ColdLeft, m.GotAt, m.Pace, m.Ceiling, m.Under
		g.tokens, g.credit, g.got, g.guessed, g.streak = m.Tokens, m.Credit, m.Got, m.Guessed, m.GateStreak
		g.tights, g.sent = m.Tights, m.Sent
		s.report(r, Report{Told: true, Limit: m.Limit})
		r.skipUntil, r.skipLen, r.back, r.refusedAt, r.okAt = m.SkipUntil, m.SkipLen, m.Back, m.RefusedAt, m.OKAt
		r.okSent, r.mean, r.dev, r.down, r.cold, r.slight = m.OKSent, m.Mean, m.Dev, m.Down, m.Cold, m.Slight
		r.run, r.streak, r.refusals, r.recent, r.lot = m.Run, m.Streak, m.Refusals, m.Recent, m.Lot
		s.sortRoutes(g.dest)
	}
}

// Recall takes on what a Sender knew that ended with its process, age ago, when its clock stood at then. A restart ends a
// told wait, and what is older than the longest skip is not known any more; what is younger fades by the rules by which it
// would have faded there. It comes before any message.
func (s *Sender) Recall(ms []Memory, then, age time.Duration) {
	if age < 0 || age > skipMost {
		return
	}
	shift := s.now - age - then
	for i := range ms {
		m := &ms[i]
		m.Wait, m.Sent = 0, slices.Clone(m.Sent)
		for k := range m.Sent {
			m.Sent[k] += shift
		}
		for _, t := range []*time.Duration{&m.HalvedAt, &m.CreptAt, &m.TokensAt, &m.ColdAt, &m.ColdLeft, &m.GotAt, &m.SkipUntil,
			&m.Back, &m.RefusedAt, &m.OKAt, &m.OKSent} {
			if *t > math.MinInt64/4 && *t != 0 { // 0 is never, and the least there is long ago
				*t += shift
			}
		}
	}
	s.Remember(ms)
}

// adopt books an attempt that is out at the process before: it has a slot, and its outcome is still to come.
func (s *Sender) adopt(m *message, o *Out) {
	c := s.adopted[o.Call]
	if c == nil {
		r := s.routes[o.Route]
		if r == nil { // off the list by now
			r = &route{Listing: Listing{Route: o.Route, Gone: true}, gate: &gate{dest: m.dest}}
		}
		c = &call{r: r, sent: o.Sent, expect: o.Sent + s.expect(r, lateDevs), cut: o.Cut}
		s.slots++
		r.gate.out++
		r.calls = append(r.calls, c)
		if s.adopted == nil {
			s.adopted = map[uint32]*call{}
		}
		s.adopted[o.Call] = c
	}
	c.left++
	m.out = append(m.out, attempt{o.Attempt, c})
}
