package policy

import "time"

// Routes that operators take out of use by hand.

// bar takes a route out, whatever the list says of it from here on, or puts it back. It counts as in doubt then: its
// endpoint is restarted meanwhile, as a rule, and returns cold.
func (s *Sender) bar(id string, out bool) {
	if out {
		s.barred[id] = true
	} else {
		delete(s.barred, id)
	}
	r := s.routes[id]
	if r == nil || r.barred == out {
		return
	}
	if r.barred = out; !out {
		r.okAt = 0 // what it answered before tells nothing
		s.doubt(r)
	}
	s.touch(r.gate.dest)
}

// open tells whether a route may be sent to as far as the list and operators say.
func (r *route) open() bool { return r.InService && !r.Gone && !r.barred }

// Avoided is how many listed routes take nothing for now, by hand or by choice.
func (s *Sender) Avoided(now time.Duration) (n int) {
	for _, d := range s.order {
		for _, g := range d.gates {
			for _, r := range g.routes {
				if r.barred || r.down || now < r.skipUntil {
					n++
				}
			}
		}
	}
	return n
}
