package policy

import "time"

// Routes that operators exclude from use.

// setExcluded excludes a route, whatever the list says about it from then on, or includes it again. An included route is
// suspect, since its endpoint has usually been restarted meanwhile and has reduced capacity at first.
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
		r.okAt = 0 // earlier answers no longer count
		s.markSuspect(r)
	}
	s.markReady(r.group.dest)
}

// usable reports whether the list and the operators allow sends to a route.
func (r *route) usable() bool { return r.InService && !r.Gone && !r.excluded }

// AvoidedRoutes returns how many listed routes get no messages for now because they are excluded or skipped.
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
