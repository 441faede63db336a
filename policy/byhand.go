package policy

import "time"

// Routes that operators take out of use by hand.

// setExcluded takes a route out, whatever the list says of it from here on, or puts it back. It counts as in doubt then: its
// endpoint is restarted meanwhile, as a rule, and returns cold.
func (s *Sender) setExcluded(route string, excluded bool) {
	if excluded {
		s.excluded[route] = true
	} else {
		delete(s.excluded, route)
	}
	r := s.routes[route]
	if r == nil || r.excluded == excluded {
		return
	}
	if r.excluded = excluded; !excluded {
		r.okAt = 0 // what it answered before tells nothing
		s.markSuspect(r)
	}
	s.markReady(r.group.dest)
}

// usable tells whether a route may be sent to as far as the list and operators say.
func (r *route) usable() bool { return r.InService && !r.Gone && !r.excluded }

// AvoidedRoutes is how many listed routes take nothing for now, by hand or by choice.
func (s *Sender) AvoidedRoutes(now time.Duration) (n int) {
	for _, d := range s.order {
		for _, g := range d.groups {
			for _, r := range g.routes {
				if r.excluded || r.down || now < r.skipUntil {
					n++
				}
			}
		}
	}
	return n
}
