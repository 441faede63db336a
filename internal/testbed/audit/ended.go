package audit

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"onyxroad.dev/onyxroad/internal/testbed/ledger"
	"onyxroad.dev/onyxroad/internal/testbed/plan"
)

const (
	// recordDelay is within how long a relay has put on disk what it has learned from an endpoint.
	recordDelay = 20 * time.Millisecond
	// diskCatchUp is within how long a relay has put on disk what a failing disk did not take, once that is well.
	diskCatchUp = 250 * time.Millisecond
)

// endings are the moments from which on nothing may be sent for a request, by trace id.
type endings map[string][]ending

// ending is one such moment.
type ending struct {
	relay        int
	at           time.Duration
	cause        string
	fromEndpoint bool // from an endpoint: nobody was told of it yet
}

// collectEndings collects how relays have ended requests: by an answer, to whoever handed the id in, by a notice, or as an endpoint told.
func (a *auditor) collectEndings() endings {
	all := endings{}
	add := func(trace string, e ending) { all[trace] = append(all[trace], e) }
	for _, h := range a.ledger.HandIns {
		if h.Answered != ledger.Never && h.Status >= http.StatusMultipleChoices {
			add(h.Trace, ending{relay: h.Relay, at: h.Answered, cause: http.StatusText(h.Status)})
		}
	}
	for _, r := range a.ledger.Resubmissions {
		if r.Answered != ledger.Never && r.Status >= http.StatusMultipleChoices {
			add(r.Trace, ending{relay: r.Relay, at: r.Answered, cause: http.StatusText(r.Status)})
		}
	}
	for trace, ns := range a.notices {
		add(trace, ending{relay: ns[0].Relay, at: ns[0].At, cause: ns[0].Status})
	}
	for _, x := range a.ledger.Learned {
		add(x.Trace, ending{relay: x.Relay, at: x.At, cause: "an endpoint told", fromEndpoint: true})
	}
	return all
}

// checkEnded checks that nothing is sent for a request that its relay has checkEnded, by this process of it or a later one.
func (a *auditor) checkEnded() {
	for trace, ends := range a.collectEndings() {
		for _, c := range a.calls[trace] {
			i := slices.IndexFunc(ends, func(e ending) bool {
				return e.relay == c.Relay && c.FirstByte > e.at+waitGrace && !a.mayForget(e, c.FirstByte) &&
					!a.neverAccepted(trace, e.relay, e.at, c.FirstByte)
			})
			if i >= 0 {
				a.report(RuleEndedSent, c.FirstByte, c.Relay, "%s: sent, and ended at %v (%s)", trace, ends[i].at, ends[i].cause)
				break
			}
		}
	}
}

// mayForget tells whether a relay may have lost an end by a moment: with its machine, or, where nobody was told of it, with a
// process that was killed before the disk had it.
func (a *auditor) mayForget(e ending, by time.Duration) bool {
	if a.lostState(e.relay, e.at, by) {
		return true
	}
	lives := a.lives[e.relay]
	for i, x := range lives {
		killed := e.fromEndpoint && x.End != ledger.Never && x.End >= e.at && x.End < by && i+1 < len(lives)
		if killed && (x.End < e.at+recordDelay || a.diskFailed(e.relay, e.at, x.End)) {
			return true
		}
	}
	return false
}

// neverAccepted tells whether a relay refused a request without taking it on, and could not put that down, since its files failed until
// its process ended: the next process took the id on anew, and did not find it on disk.
func (a *auditor) neverAccepted(trace string, relay int, at, by time.Duration) bool {
	if !a.diskFailed(relay, at, at) {
		return false
	}
	found := func(until time.Duration) bool {
		return slices.ContainsFunc(a.ledger.Recovered, func(x ledger.Recovered) bool {
			return x.Relay == relay && x.Trace == trace && at < x.At && x.At <= until
		})
	}
	return slices.ContainsFunc(a.lives[relay], func(x *ledger.Life) bool {
		return x.End != ledger.Never && at < x.End && x.End < by && a.diskFailed(relay, x.End-diskCatchUp, x.End) &&
			slices.ContainsFunc(a.ledger.Resubmissions, func(r *ledger.Resubmission) bool {
				return r.Relay == relay && r.Trace == trace && x.End < r.Sent && r.Sent <= by && r.Status == http.StatusAccepted && !found(r.Sent)
			})
	})
}

// lostState tells whether a relay lost its machine, and with it all that it knew, between two moments.
func (a *auditor) lostState(relay int, from, to time.Duration) bool {
	return slices.ContainsFunc(a.lives[relay], func(x *ledger.Life) bool { return x.Emptied && from < x.Start && x.Start < to })
}

// diskFailed tells whether a relay's files failed at any time between two moments.
func (a *auditor) diskFailed(relay int, from, to time.Duration) bool {
	for _, f := range a.plan.Faults {
		begin, end := a.offset+f.At, a.offset+f.At+f.For+limitTolerance
		if f.Kind == "torn-write" {
			end += plan.TornWriteTail
		}
		disk := f.Kind == "files" || f.Kind == "torn-write" || strings.HasPrefix(f.Kind, "disk-")
		if disk && slices.Contains(f.Relays, relay) && begin <= to && from <= end {
			return true
		}
	}
	return false
}
