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
	// recordMost is within how long a relay has put on disk what it has learned from an endpoint.
	recordMost = 20 * time.Millisecond
	// caughtUp is within how long a relay has put on disk what a failing disk did not take, once that is well.
	caughtUp = 250 * time.Millisecond
)

// endings are the moments from which on nothing may be sent for a request, by trace id.
type endings map[string][]ending

// ending is one such moment.
type ending struct {
	relay   int
	at      time.Duration
	what    string
	learned bool // from an endpoint: nobody was told of it yet
}

// endings collects how relays have ended requests: by an answer, to whoever handed the id in, by a notice, or as an endpoint told.
func (j *judge) endings() endings {
	all := endings{}
	add := func(trace string, e ending) { all[trace] = append(all[trace], e) }
	for _, h := range j.l.Submissions {
		if h.Answered != ledger.Never && h.Status >= http.StatusMultipleChoices {
			add(h.Trace, ending{relay: h.Relay, at: h.Answered, what: http.StatusText(h.Status)})
		}
	}
	for _, r := range j.l.Resubmissions {
		if r.Answered != ledger.Never && r.Status >= http.StatusMultipleChoices {
			add(r.Trace, ending{relay: r.Relay, at: r.Answered, what: http.StatusText(r.Status)})
		}
	}
	for trace, ns := range j.notices {
		add(trace, ending{relay: ns[0].Relay, at: ns[0].At, what: ns[0].Status})
	}
	for _, x := range j.l.LearnedEnds {
		add(x.Trace, ending{relay: x.Relay, at: x.At, what: "an endpoint told", learned: true})
	}
	return all
}

// ended checks that nothing is sent for a request that its relay has ended, by this process of it or a later one.
func (j *judge) ended() {
	for trace, ends := range j.endings() {
		for _, c := range j.calls[trace] {
			i := slices.IndexFunc(ends, func(e ending) bool {
				return e.relay == c.Relay && c.FirstByte > e.at+waitGrace && !j.forgotten(e, c.FirstByte) &&
					!j.neverTaken(trace, e.relay, e.at, c.FirstByte)
			})
			if i >= 0 {
				j.broken(SentEnded, c.FirstByte, c.Relay, "%s: sent, and ended at %v (%s)", trace, ends[i].at, ends[i].what)
				break
			}
		}
	}
}

// forgotten tells whether a relay may have lost an end by a moment: with its machine, or, where nobody was told of it, with a
// process that was killed before the disk had it.
func (j *judge) forgotten(e ending, by time.Duration) bool {
	if j.emptied(e.relay, e.at, by) {
		return true
	}
	lives := j.lives[e.relay]
	for i, x := range lives {
		killed := e.learned && x.End != ledger.Never && x.End >= e.at && x.End < by && i+1 < len(lives)
		if killed && (x.End < e.at+recordMost || j.diskFailed(e.relay, e.at, x.End)) {
			return true
		}
	}
	return false
}

// neverTaken tells whether a relay refused a request without taking it on, and could not put that down, since its files failed until
// its process ended: the next process took the id on anew, and did not find it on disk.
func (j *judge) neverTaken(trace string, relay int, at, by time.Duration) bool {
	if !j.diskFailed(relay, at, at) {
		return false
	}
	found := func(until time.Duration) bool {
		return slices.ContainsFunc(j.l.Recoveries, func(x ledger.Recovery) bool {
			return x.Relay == relay && x.Trace == trace && at < x.At && x.At <= until
		})
	}
	return slices.ContainsFunc(j.lives[relay], func(x *ledger.Process) bool {
		return x.End != ledger.Never && at < x.End && x.End < by && j.diskFailed(relay, x.End-caughtUp, x.End) &&
			slices.ContainsFunc(j.l.Resubmissions, func(r *ledger.Resubmission) bool {
				return r.Relay == relay && r.Trace == trace && x.End < r.Sent && r.Sent <= by && r.Status == http.StatusAccepted && !found(r.Sent)
			})
	})
}

// emptied tells whether a relay lost its machine, and with it all that it knew, between two moments.
func (j *judge) emptied(relay int, from, to time.Duration) bool {
	return slices.ContainsFunc(j.lives[relay], func(x *ledger.Process) bool { return x.EmptyState && from < x.Start && x.Start < to })
}

// diskFailed tells whether a relay's files failed at any time between two moments.
func (j *judge) diskFailed(relay int, from, to time.Duration) bool {
	for _, f := range j.plan.Faults {
		begin, end := j.offset+f.At, j.offset+f.At+f.For+slack
		if f.Kind == "torn-write" {
			end += plan.TornTail
		}
		disk := f.Kind == "files" || f.Kind == "torn-write" || strings.HasPrefix(f.Kind, "disk-")
		if disk && slices.Contains(f.Relays, relay) && begin <= to && from <= end {
			return true
		}
	}
	return false
}
