package relay

import (
	"slices"
	"time"

	"onyxroad.dev/onyxroad/internal/clock"
	"onyxroad.dev/onyxroad/internal/invariant"
	"onyxroad.dev/onyxroad/internal/wal"
	"onyxroad.dev/onyxroad/policy"
)

// What the guards of package invariant are told. Nothing here decides anything.

// checkSends tells the guard of a call that is about to leave.
func (r *Relay) checkSends(c *call) {
	now := clock.Now()
	for _, a := range c.attempts {
		_, completed := r.wal.Completed(a.m.Trace) // a message of its own under the id of one that has ended
		r.guard.Sending(invariant.Send{
			Trace: a.m.Trace, Endpoint: c.route, Recorded: a.isRecorded(), Ended: a.m.ended || completed, EndOfSends: r.noSends,
			Draining: r.outOfService.duration(c.route, now), Left: a.m.Deadline.Sub(now),
		})
		r.checkRepeat(a, now)
	}
}

// isRecorded tells whether the log has an attempt as one that may run.
func (a *attempt) isRecorded() bool {
	return slices.ContainsFunc(a.m.MayRun, func(x wal.Attempt) bool { return x.N == a.n })
}

// checkRepeat tells the guard of an attempt of a message of which an earlier one may have run.
func (r *Relay) checkRepeat(a *attempt, now time.Time) {
	first := slices.IndexFunc(a.m.MayRun, func(x wal.Attempt) bool { return x.N != a.n })
	if first < 0 || a.m.Class < 0 || a.m.Class >= len(r.cfg.Settings.Classes) {
		return
	}
	class, earlier := r.cfg.Settings.Classes[a.m.Class], a.m.MayRun[first]
	repeat := invariant.Repeat{Trace: a.m.Trace, Unsafe: class.Effect == policy.Unsafe, Age: now.Sub(earlier.At), Zone: earlier.Zone,
		To: a.zone, Earliest: earlier.Host}
	if class.Effect == policy.Keyed {
		repeat.Window, repeat.OneZone = class.Window, !class.GroupAll
	}
	r.guard.Repeating(repeat)
}

// outages are the endpoints that may get nothing new, with the moment since when.
type outages map[string]time.Time

// add notes that an endpoint may get nothing new from now on.
func (o outages) add(route string) {
	if _, ok := o[route]; !ok {
		o[route] = clock.Now()
	}
}

// duration is for how long an endpoint may have got nothing new; 0 if it may.
func (o outages) duration(route string, now time.Time) time.Duration {
	if at, ok := o[route]; ok {
		return now.Sub(at)
	}
	return 0
}

// updateOutage brings one endpoint up to date with the list and with what operators have taken out.
func (r *Relay) updateOutage(route string) {
	if t, listed := r.routes[route]; listed && t.InService && !r.excluded[route] {
		delete(r.outOfService, route)
		return
	}
	r.outOfService.add(route)
	if len(r.outOfService) <= maxSeenIDs {
		return
	}
	for old := range r.outOfService { // long gone, as good as all of them
		if _, listed := r.routes[old]; !listed {
			delete(r.outOfService, old)
		}
	}
}

// checkLimits tells the guard of what the relay holds.
func (r *Relay) checkLimits() {
	sockets := r.cfg.Limits.Sockets
	r.guard.Bound("connections of clients", int64(r.clients.count()), int64(sockets*9/20))
	r.guard.Bound("connections to endpoints", int64(r.hosts.openCount()), int64(sockets*3/8))
	r.guard.Bound("bytes of the log", r.wal.Size(), int64(r.cfg.Limits.DiskMB*1e6))
}

// count is how many connections there are.
func (s *clients) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// openCount is how many connections there are, idle or not.
func (p *pool) openCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
