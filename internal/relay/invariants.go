package relay

import (
	"slices"
	"time"

	"onyxroad.dev/onyxroad/internal/clock"
	"onyxroad.dev/onyxroad/internal/invariant"
	"onyxroad.dev/onyxroad/internal/wal"
	"onyxroad.dev/onyxroad/policy"
)

// This file reports to the guards of package invariant, and makes no decisions.

// checkSends reports a call that is about to be made.
func (r *Relay) checkSends(c *call) {
	now := clock.Now()
	for _, a := range c.attempts {
		_, completed := r.wal.Completed(a.m.Trace) // a separate message under the id of an ended one
		r.guard.CheckSend(invariant.Send{
			Trace: a.m.Trace, Endpoint: c.route, Recorded: a.isRecorded(), Ended: a.m.ended || completed, EndOfSends: r.noSends,
			Draining: r.outOfService.duration(c.route, now), Left: a.m.Deadline.Sub(now),
		})
		r.checkRepeat(a, now)
	}
}

// isRecorded reports whether the log has the attempt as one that may run.
func (a *attempt) isRecorded() bool {
	return slices.ContainsFunc(a.m.MayRun, func(x wal.Attempt) bool { return x.N == a.n })
}

// checkRepeat reports an attempt if an earlier one of the same message may have run.
func (r *Relay) checkRepeat(a *attempt, now time.Time) {
	first := slices.IndexFunc(a.m.MayRun, func(x wal.Attempt) bool { return x.N != a.n })
	if first < 0 || a.m.Class < 0 || a.m.Class >= len(r.cfg.Settings.Classes) {
		return
	}
	class, earlier := r.cfg.Settings.Classes[a.m.Class], a.m.MayRun[first]
	repeat := invariant.Repeat{Trace: a.m.Trace, Unsafe: class.Effect == policy.Unsafe, Age: now.Sub(earlier.At), FirstZone: earlier.Zone,
		ToZone: a.zone, FirstEndpoint: earlier.Host}
	if class.Effect == policy.Keyed {
		repeat.Window, repeat.OneZone = class.Window, !class.GroupAll
	}
	r.guard.CheckRepeat(repeat)
}

// outages maps the endpoints that must receive nothing new to the time since when.
type outages map[string]time.Time

// add records that an endpoint must receive nothing new from now on.
func (o outages) add(route string) {
	if _, ok := o[route]; !ok {
		o[route] = clock.Now()
	}
}

// duration is how long an endpoint has had to receive nothing new; 0 if it is in service.
func (o outages) duration(route string, now time.Time) time.Duration {
	if at, ok := o[route]; ok {
		return now.Sub(at)
	}
	return 0
}

// updateOutage updates one endpoint's entry from the list and from the operators' exclusions.
func (r *Relay) updateOutage(route string) {
	if t, listed := r.routes[route]; listed && t.InService && !r.excluded[route] {
		delete(r.outOfService, route)
		return
	}
	r.outOfService.add(route)
	if len(r.outOfService) <= maxSeenIDs {
		return
	}
	for old := range r.outOfService { // unlisted ones, nearly all of them long gone
		if _, listed := r.routes[old]; !listed {
			delete(r.outOfService, old)
		}
	}
}

// checkLimits reports the resources that the relay uses.
func (r *Relay) checkLimits() {
	sockets := float64(r.cfg.Limits.Sockets)
	r.guard.CheckBound("connections of clients", int64(r.clients.count()), int64(clientSocketShare*sockets))
	r.guard.CheckBound("connections to endpoints", int64(r.hosts.openCount()), int64(endpointSocketShare*sockets))
	r.guard.CheckBound("bytes of the log", r.wal.Size(), int64(r.cfg.Limits.DiskMB*1e6))
}

// count returns the number of connections.
func (cs *clients) count() int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return len(cs.conns)
}

// openCount returns the number of connections, idle or not.
func (p *pool) openCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
