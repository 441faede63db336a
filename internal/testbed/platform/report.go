package platform

import (
	"fmt"
	"math"
	"time"
)

// loadReport is what an endpoint tells of its scope's limit: as it stood at the last refresh that has been on its way for the
// destination's delay, and a little off.
func (s *partners) loadReport(sc *scope, now time.Duration) string {
	d := &s.plan.Partners[sc.partner]
	interval := max(d.Report, time.Millisecond)
	// Refreshes come at fixed moments; what nobody asked for at the time is made up for with the state of now.
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

// startedMS is the wall time at which a listed endpoint started, in milliseconds; 0: long ago.
func (s *partners) startedMS(added time.Duration) int64 {
	if added == 0 {
		return 0
	}
	return s.ledger.StartTime().Add(s.offset + added).UnixMilli()
}
