package platform

import (
	"fmt"
	"math"
	"time"
)

// loadReport returns the load report of a scope's endpoints: the state of its limit, with noise, at the latest refresh that
// is at least the destination's report delay old.
func (s *partners) loadReport(sc *scope, now time.Duration) string {
	d := &s.plan.Partners[sc.partner]
	interval := max(d.Report, time.Millisecond)
	// Refreshes are due at fixed times. One that no call asked for in time is made up for with the present state.
	refreshedAt := now - now%interval
	if n := len(sc.reports); n == 0 || sc.reports[n-1].at < refreshedAt {
		r := report{at: refreshedAt}
		if sc.fullLimit > 0 {
			noise := func() float64 { return math.Max(0, 1+d.Noise*s.rng.NormFloat64()) }
			r.remaining, r.limit = math.Min(1, s.remainingShare(sc, now)*noise()), sc.fullLimit*sc.limitFactor*noise()
		}
		sc.reports = append(sc.reports, r)
	}
	for len(sc.reports) > 1 && sc.reports[1].at+d.Delay <= now {
		sc.reports = sc.reports[1:]
	}
	r := sc.reports[0]
	if r.at+d.Delay > now {
		return ""
	}
	return fmt.Sprintf("TEXT x0=%.3f, x1=%.3f", r.remaining, r.limit)
}

// startedMS returns the wall time at which an endpoint started, in milliseconds; 0 if it was there from the start of the run.
func (s *partners) startedMS(added time.Duration) int64 {
	if added == 0 {
		return 0
	}
	return s.ledger.StartTime().Add(s.offset + added).UnixMilli()
}
