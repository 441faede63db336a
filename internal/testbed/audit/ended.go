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
	// recordDelay is how long a relay may take to write to disk what it learned from an endpoint.
	recordDelay = 20 * time.Millisecond
	// diskCatchUp is how long a relay may take to write what a failing disk rejected, once the disk works again.
	diskCatchUp = 250 * time.Millisecond
)

// endings holds, by trace id, the times from which on nothing may be sent for a request.
type endings map[string][]ending

// ending is one way in which a request ended.
type ending struct {
	relay        int
	at           time.Duration
	cause        string
	fromEndpoint bool // learned from an endpoint and not yet reported to anybody
}

// collectEndings collects how relays ended requests: by an answer to a submission or resubmission, by a notice, or as an
// endpoint reported.
func (a *auditor) collectEndings() endings {
	all := endings{}
	add := func(trace string, e ending) { all[trace] = append(all[trace], e) }
	for _, h := range a.ledger.Submissions {
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
	for _, x := range a.ledger.LearnedEnds {
		add(x.Trace, ending{relay: x.Relay, at: x.At, cause: "reported by an endpoint", fromEndpoint: true})
	}
	return all
}

// checkEnded checks that neither the same nor a later process of a relay sends a request that the relay has ended.
func (a *auditor) checkEnded() {
	for trace, ends := range a.collectEndings() {
		for _, c := range a.calls[trace] {
			i := slices.IndexFunc(ends, func(e ending) bool {
				return e.relay == c.Relay && c.FirstByte > e.at+waitGrace && !a.mayForget(e, c.FirstByte) &&
					!a.neverAccepted(trace, e.relay, e.at, c.FirstByte)
			})
			if i >= 0 {
				a.report(RuleEndedSent, c.FirstByte, c.Relay, "%s: sent after it ended at %v (%s)", trace, ends[i].at, ends[i].cause)
				break
			}
		}
	}
}

// mayForget reports whether a relay may have lost an ending by a given time: with its machine or, if the ending was not yet
// reported to anybody, with a process that was killed before the ending was on disk.
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

// neverAccepted reports whether a relay refused a request and could not record the refusal, because its files failed until
// its process ended. The next process then found nothing on disk and accepted the id anew.
func (a *auditor) neverAccepted(trace string, relay int, at, by time.Duration) bool {
	if !a.diskFailed(relay, at, at) {
		return false
	}
	found := func(until time.Duration) bool {
		return slices.ContainsFunc(a.ledger.Recoveries, func(x ledger.Recovery) bool {
			return x.Relay == relay && x.Trace == trace && at < x.At && x.At <= until
		})
	}
	return slices.ContainsFunc(a.lives[relay], func(x *ledger.Process) bool {
		return x.End != ledger.Never && at < x.End && x.End < by && a.diskFailed(relay, x.End-diskCatchUp, x.End) &&
			slices.ContainsFunc(a.ledger.Resubmissions, func(r *ledger.Resubmission) bool {
				return r.Relay == relay && r.Trace == trace && x.End < r.Sent && r.Sent <= by && r.Status == http.StatusAccepted && !found(r.Sent)
			})
	})
}

// lostState reports whether a relay restarted with an empty folder between two times.
func (a *auditor) lostState(relay int, from, to time.Duration) bool {
	return slices.ContainsFunc(a.lives[relay], func(x *ledger.Process) bool { return x.EmptyState && from < x.Start && x.Start < to })
}

// diskFailed reports whether a fault made a relay's files fail at any time between two times.
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
