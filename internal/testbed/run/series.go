package run

import (
	"slices"
	"time"

	"onyxroad.dev/onyxroad/internal/testbed/audit"
	"onyxroad.dev/onyxroad/internal/testbed/ledger"
)

// Series is a run second by second, for its report.
type Series struct {
	Seconds  int              `json:"seconds"`
	Outcomes map[string][]int `json:"outcomes"` // by name, then by the second in which a message was first due
	P50      []float64        `json:"p50_ms"`   // of the delivered messages; 0 if there are none
	P99      []float64        `json:"p99_ms"`
	Partners []PartnerSeries  `json:"partners"`
	Alive    []int            `json:"alive"` // relays with a ready process
	Faults   []FaultSpan      `json:"faults"`
}

// PartnerSeries is the calls at one partner, with its limit.
type PartnerSeries struct {
	ID       int       `json:"id"`
	Kind     string    `json:"kind"`
	Taken    []int     `json:"taken"`
	Refused  []int     `json:"refused"`
	Failed   []int     `json:"failed"`
	Limit    []float64 `json:"limit"` // calls per second; 0: no limit
	Capacity float64   `json:"capacity"`
}

// FaultSpan is a fault on the timeline, in seconds.
type FaultSpan struct {
	Kind string  `json:"kind"`
	From float64 `json:"from"`
	To   float64 `json:"to"`
}

// series aggregates the run by second.
func (rn *runner) series(results []audit.MessageResult) *Series {
	n := int((rn.end-rn.offset)/time.Second) + 1
	s := &Series{Seconds: n, Outcomes: map[string][]int{}, P50: make([]float64, n), P99: make([]float64, n), Alive: make([]int, n)}
	for _, name := range audit.OutcomeNames {
		s.Outcomes[name] = make([]int, n)
	}
	latencies := make([][]float64, n)
	at := func(t time.Duration) int { return max(0, min(n-1, int(t/time.Second))) }
	for _, f := range results {
		i := at(f.At)
		s.Outcomes[audit.OutcomeNames[f.Outcome]][i]++
		if f.Outcome <= audit.TooLate {
			latencies[i] = append(latencies[i], f.Latency.Seconds()*1000)
		}
	}
	for i, t := range latencies {
		if slices.Sort(t); len(t) > 0 {
			s.P50[i], s.P99[i] = t[len(t)/2], t[len(t)*99/100]
		}
	}
	for i := range rn.plan.Partners {
		d := &rn.plan.Partners[i]
		p := PartnerSeries{ID: d.ID, Kind: rn.plan.Experiment.Partners.Kinds[d.Kind].Name, Taken: make([]int, n), Refused: make([]int, n),
			Failed: make([]int, n), Limit: make([]float64, n), Capacity: d.Capacity}
		for k := range p.Limit {
			for _, x := range rn.ledger.LimitChanges {
				if x.Partner == i && x.At <= rn.offset+time.Duration(k)*time.Second {
					p.Limit[k] = x.Limit
				}
			}
		}
		s.Partners = append(s.Partners, p)
	}
	for _, x := range rn.ledger.Calls {
		p, i := &s.Partners[rn.plan.Endpoints[x.Endpoint].Partner], at(x.FirstByte-rn.offset)
		switch x.Status {
		case 200:
			p.Taken[i]++
		case 429, 503:
			p.Refused[i]++
		default:
			p.Failed[i]++
		}
	}
	for k := range s.Alive {
		t := rn.offset + time.Duration(k)*time.Second
		up := map[int]bool{}
		for _, x := range rn.ledger.Processes {
			if x.Ready != ledger.Never && x.Ready <= t && (x.End == ledger.Never || x.End > t) {
				up[x.Relay] = true
			}
		}
		s.Alive[k] = len(up)
	}
	for _, f := range rn.plan.Faults {
		s.Faults = append(s.Faults, FaultSpan{f.Kind, f.At.Seconds(), (f.At + f.For).Seconds()})
	}
	return s
}
