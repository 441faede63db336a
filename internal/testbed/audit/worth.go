package audit

import (
	"math"
	"slices"
	"time"

	"onyxroad.dev/onyxroad/internal/testbed/ledger"
	"onyxroad.dev/onyxroad/internal/testbed/plan"
)

// Weights of the served shares in the goal figure, and the penalties that are subtracted from it.
const (
	weightTotal, weightWindow, weightClass, weightCustomer    = 0.4, 0.3, 0.2, 0.1
	penaltyHandshake, penaltyWaste, penaltyLate, penaltyProbe = 0.06, 0.05, 0.02, 0.01
	penaltyCross                                              = 0.01
	worstWindow                                               = 10 * time.Second
	overShareWorth                                            = 0.1  // factor on the worth of traffic beyond a customer's share
	quotaShare                                                = 0.85 // part of the full load that the customers' shares divide
	minClassShare                                             = 0.05 // a class with a smaller share of the messages does not count as the worst class
)

// Outcome is how a message ended for its client.
type Outcome int

// The possible outcomes.
const (
	InTime Outcome = iota
	TooLate
	Refused
	Failed
	Unanswered
)

// OutcomeNames holds the names of the outcomes, by value.
var OutcomeNames = []string{"in time", "late", "refused", "failed", "no answer"}

// MessageResult is the result of one message.
type MessageResult struct {
	At      time.Duration // when it was first due, from the start of the load
	Class   int
	Partner int
	Outcome Outcome
	Latency time.Duration // until the delivery
	Worth   float64       // what it earns when delivered in time
	Earned  float64
}

// MessageResults returns the results of the plan's messages, in their order.
func MessageResults(p *plan.Plan, l *ledger.Ledger, offset time.Duration) []MessageResult {
	attempts := make([][]*ledger.Submission, len(p.Arrivals))
	for _, h := range l.Submissions {
		attempts[h.Message] = append(attempts[h.Message], h)
	}
	calls := map[string][]*ledger.Call{}
	for _, c := range l.Calls {
		for _, t := range c.Traces {
			calls[t] = append(calls[t], c)
		}
	}
	notices := map[string]string{}
	for _, n := range l.Notices {
		if notices[n.Trace] == "" {
			notices[n.Trace] = n.Status
		}
	}
	queued := make([]float64, len(p.Experiment.Load.Customers))
	at := make([]time.Duration, len(queued))
	results := make([]MessageResult, len(p.Arrivals))
	for i, a := range p.Arrivals {
		c := &p.Classes[a.Class]
		f := MessageResult{At: a.At, Class: a.Class, Partner: a.Partner, Outcome: Unanswered, Worth: c.Worth}
		// A token bucket that holds two seconds of the customer's share decides which messages exceed it.
		quota := p.Experiment.Load.Customers[a.Customer].Share * p.FullRate * quotaShare
		queued[a.Customer] = math.Max(0, queued[a.Customer]-quota*(a.At-at[a.Customer]).Seconds()) + 1
		if at[a.Customer] = a.At; queued[a.Customer] > 1+2*quota {
			queued[a.Customer]--
			f.Worth *= overShareWorth
		}
		first := ledger.Never
		for _, h := range attempts[i] {
			if h.Answered == ledger.Never {
				continue
			}
			switch {
			case h.Status < 300:
				if t := deliveredAt(calls[h.Trace], h.Trace); t != ledger.Never {
					if t = max(t, h.Answered); first == ledger.Never || t < first {
						first = t
					}
				} else {
					f.Outcome = map[string]Outcome{"deferred": Refused, "undeliverable": Failed, "": Unanswered}[notices[h.Trace]]
				}
			case h.Status == 429 || h.Status == 503:
				f.Outcome = Refused
			default:
				f.Outcome = Failed
			}
		}
		if first != ledger.Never {
			f.Latency = first - offset - a.At
			switch aim, end := c.Aim.D(), c.Deadline.D(); {
			case f.Latency <= aim:
				f.Outcome, f.Earned = InTime, f.Worth
			case f.Latency <= end+limitTolerance:
				late := math.Min(1, float64(f.Latency-aim)/float64(max(1, end-aim)))
				f.Outcome, f.Earned = TooLate, f.Worth*(1-(1-c.LateWorth)*late)
			default:
				f.Outcome = TooLate
			}
		}
		results[i] = f
	}
	return results
}

// worthShare is the worth earned out of the worth possible. Its ratio is 1 if nothing was possible.
type worthShare struct{ possible, earned float64 }

func (s *worthShare) add(f MessageResult) {
	s.possible, s.earned = s.possible+f.Worth, s.earned+f.Earned
}

func (s worthShare) ratio() float64 {
	if s.possible == 0 {
		return 1
	}
	return s.earned / s.possible
}

// Figures returns the run's figures, except those on violated rules, by the names that bounds use.
func Figures(p *plan.Plan, l *ledger.Ledger, results []MessageResult, offset time.Duration) map[string]float64 {
	var total, lateWorth worthShare
	classes, customers := make([]worthShare, len(p.Classes)), make([]worthShare, len(p.Experiment.Load.Customers))
	seconds := make([]worthShare, int(p.Length/time.Second)+1)
	outcomes := make([]float64, len(OutcomeNames))
	var latencies []float64
	counts := make([]int, len(p.Classes))
	for i, f := range results {
		total.add(f)
		classes[f.Class].add(f)
		counts[f.Class]++
		seconds[min(len(seconds)-1, int(f.At/time.Second))].add(f)
		customer := f
		if customer.Worth < p.Classes[f.Class].Worth {
			customer = MessageResult{} // beyond the customer's share
		}
		customers[p.Arrivals[i].Customer].add(customer)
		outcomes[f.Outcome]++
		if f.Outcome <= TooLate {
			latencies = append(latencies, f.Latency.Seconds()*1000)
		}
		if f.Outcome != InTime && f.Earned < f.Worth {
			lateWorth.possible += f.Worth
		}
	}
	slices.Sort(latencies)
	n := math.Max(1, float64(len(results)))
	fig := map[string]float64{"served": total.ratio(), "messages": float64(len(results)), "p50_ms": quantile(latencies, 0.5),
		"p99_ms": quantile(latencies, 0.99)}
	for i, name := range []string{"in_time", "late", "refused", "failed", "unanswered"} {
		fig[name] = outcomes[i] / n
	}
	fig["served_worst_10s"] = worstShare(seconds)
	fig["served_worst_class"], fig["served_worst_customer"] = 1, 1
	for i, c := range classes {
		fig["served_"+p.Classes[i].Name] = c.ratio()
		if float64(counts[i]) >= minClassShare*n {
			fig["served_worst_class"] = math.Min(fig["served_worst_class"], c.ratio())
		}
	}
	for _, c := range customers {
		fig["served_worst_customer"] = math.Min(fig["served_worst_customer"], c.ratio())
	}
	fig["back_s"] = recoverySeconds(p, seconds)
	fig["starts"] = float64(len(l.Processes))
	addCallFigures(p, l, n, fig)
	fig["goal"] = weightTotal*fig["served"] + weightWindow*fig["served_worst_10s"] + weightClass*fig["served_worst_class"] +
		weightCustomer*fig["served_worst_customer"] - penaltyHandshake*fig["handshakes"] - penaltyWaste*fig["wasted"] -
		penaltyLate*lateWorth.possible/math.Max(1, total.possible) - penaltyProbe*fig["probes"] - penaltyCross*fig["crossed"]
	addResourceFigures(p, l, offset, fig)
	return fig
}

// worstShare returns the lowest share served in any ten consecutive seconds.
func worstShare(seconds []worthShare) float64 {
	span := int(worstWindow / time.Second)
	lowest := 1.0
	for i := 0; i+min(span, len(seconds)) <= len(seconds); i++ {
		var s worthShare
		for _, x := range seconds[i:min(len(seconds), i+span)] {
			s.possible, s.earned = s.possible+x.possible, s.earned+x.earned
		}
		lowest = math.Min(lowest, s.ratio())
	}
	return lowest
}

// recoverySeconds returns the seconds from the first kill until service has recovered: until two consecutive seconds serve
// 95% of what the eight seconds before the kill did. It is -1 without a kill, and the rest of the run without a recovery.
func recoverySeconds(p *plan.Plan, seconds []worthShare) float64 {
	for _, f := range p.Faults {
		if f.Kind != "kill" {
			continue
		}
		at := int(f.At / time.Second)
		var before worthShare
		for _, s := range seconds[max(0, at-8):at] {
			before.possible, before.earned = before.possible+s.possible, before.earned+s.earned
		}
		for i := at + 1; i+1 < len(seconds); i++ {
			pair := worthShare{seconds[i].possible + seconds[i+1].possible, seconds[i].earned + seconds[i+1].earned}
			if pair.ratio() >= 0.95*before.ratio() {
				return float64(i) - f.At.Seconds()
			}
		}
		return (p.Length - f.At).Seconds()
	}
	return -1
}

// addCallFigures adds the figures on the fleet's calls, per message.
func addCallFigures(p *plan.Plan, l *ledger.Ledger, n float64, fig map[string]float64) {
	var calls, fresh, probes, crossed, refused, wasted, work, down float64
	for _, c := range l.Calls {
		if c.FirstOnConn {
			fresh++
		}
		if c.Probe {
			probes++
			continue
		}
		calls++
		if p.Endpoints[c.Endpoint].Building != p.Relays[c.Relay].Building {
			crossed++
		}
		if c.Status == 503 || c.Status == 429 {
			refused++
		}
		if c.InOutage {
			down++
		}
		work += c.Latency.Seconds()
		if c.Ran && c.Status != 200 {
			wasted += c.Latency.Seconds()
		}
	}
	fig["calls"], fig["handshakes"], fig["probes"], fig["crossed"] = calls/n, fresh/n, probes/n, crossed/n
	fig["calls_refused"], fig["calls_to_down"] = refused/n, down
	fig["wasted"] = wasted / math.Max(work, 1e-9)
}

// addResourceFigures adds the resources that the processes used, and how long they took to start.
func addResourceFigures(p *plan.Plan, l *ledger.Ledger, offset time.Duration, fig map[string]float64) {
	half := map[int][2][]float64{}
	cpu := map[int]time.Duration{}
	for _, s := range l.Samples {
		fig["memory_mb"] = math.Max(fig["memory_mb"], s.MemoryMB)
		fig["sockets"] = math.Max(fig["sockets"], float64(s.Sockets))
		fig["disk_mb"] = math.Max(fig["disk_mb"], s.DiskMB)
		cpu[s.PID] = max(cpu[s.PID], s.CPU)
		at := s.At - offset
		h := half[s.PID]
		switch {
		case at > p.Length/2 && at <= p.Length*3/4:
			h[0] = append(h[0], s.MemoryMB)
		case at > p.Length*3/4 && at <= p.Length:
			h[1] = append(h[1], s.MemoryMB)
		}
		half[s.PID] = h
	}
	// Memory growth from the third quarter to the last, averaged over the processes that ran in both.
	var growth []float64
	for _, h := range half {
		if len(h[0]) > 2 && len(h[1]) > 2 {
			slices.Sort(h[0])
			slices.Sort(h[1])
			growth = append(growth, quantile(h[1], 0.5)-quantile(h[0], 0.5))
		}
	}
	sum := 0.0
	for _, g := range growth {
		sum += g / float64(len(growth))
	}
	fig["memory_growth_mb"] = sum
	total := time.Duration(0)
	for _, c := range cpu {
		total += c
	}
	fig["cpu_ms_per_message"] = total.Seconds() * 1000 / math.Max(1, fig["messages"])
	var ready []float64
	for _, x := range l.Processes {
		if x.Ready != ledger.Never {
			ready = append(ready, (x.Ready-x.Start).Seconds()*1000)
		}
	}
	slices.Sort(ready)
	fig["ready_p99_ms"] = quantile(ready, 0.99)
}
