package main

import (
	"fmt"
	"time"
)

// kind: a partner leaves, and a while later its number is given to another partner, whose endpoint is listed under another kind. The relay
// must go on.
//
// With TROUBLE=0 the new partner is of the old one's kind.

func init() { cases["kind"] = caseKind }

func caseKind(r *rig) {
	kind := "short-lines"
	if r.trouble {
		kind = "elevators"
	}
	answer := func(c *call) string {
		time.Sleep(150 * time.Millisecond)
		return delivered(c)
	}
	leaves := r.startEndpoint("s-1", 7, "short-lines", "north-bldg", answer)
	comes := r.startEndpoint("s-2", 7, kind, "north-bldg", answer)
	stays := r.startEndpoint("s-3", 9, "elevators", "north-bldg", answer)
	known := []object{leaves.listing(), stays.listing()}
	a := r.startAgent(known)
	base := r.newRelay("n1", usual(), a, known, "")
	p := base.launch()
	n := 0
	submit := func(dest int) {
		n++
		r.submit(p.listen, message{id: fmt.Sprintf("9b1f03aa5c7e%04d", n), class: "car-status", customer: "aspen-pulse", dest: dest,
			expiresMS: 5000, body: fmt.Appendf(nil, "status %d", n)})
	}
	submit(7)
	submit(9)
	time.Sleep(2 * time.Second)
	a.change(leaves.listed("draining"))
	time.Sleep(2 * time.Second)
	a.change(leaves.listed("gone"))
	submit(9)
	time.Sleep(12 * time.Second)
	submit(9)
	time.Sleep(time.Second)
	a.change(comes.listing())
	time.Sleep(time.Second)
	if p.running() {
		submit(7)
		submit(9)
		time.Sleep(time.Second)
	}
	if !p.running() {
		r.breaks("the relay has crashed: %s; its log ends:\n%s", p.exitState, r.tail("n1"))
		// It starts again with the list that it last had.
		p = base.start(base.admin)
		time.Sleep(2 * time.Second)
		r.logf("started again with the list that it had: running %v", p.running())
	}
	p.kill()
}
