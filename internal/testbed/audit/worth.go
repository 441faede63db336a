package audit

import (
	"math"
	"slices"
	"time"

	"onyxroad.dev/onyxroad/internal/testbed/ledger"
	"onyxroad.dev/onyxroad/internal/testbed/plan"
)

// The weights of service, and points of it that are taken off.
const (
	weightWhole, weightWindow, weightClass, weightCustomer = 0.4, 0.3, 0.2, 0.1
	priceHandshake, priceWaste, priceLate, priceProbe      = 0.06, 0.05, 0.02, 0.01
	priceCross                                             = 0.01
	window                                                 = 10 * time.Second
	overShare                                              = 0.1  // worth of traffic beyond a customer's share
	quotaShare                                             = 0.85 // of the full load, that the shares divide
	rareClass                                              = 0.05 // a class with less of the messages is not judged by itself
)

// Outcome is how a message ended for its client.
type Outcome int

// The outcomes.
const (
	InTime Outcome = iota
	TooLate
	Refused
	Failed
	Unanswered
)

// Outcomes are their names.
var Outcomes = []string{"in time", "late", "refused", "failed", "no answer"}

// Fate is what became of a message.
type Fate struct {
	At      time.Duration // when it was first due, from the first arrival
	Class   int
	Partner int
	Outcome Outcome
	Took    time.Duration // to the delivery
	Asked   float64       // worth
	Got     float64
}

// Fates are those of the plan's messages, in their order.
func Fates(p *plan.Plan, l *ledger.Ledger, offset time.Duration) []Fate {
	tries := make([][]*ledger.Submission, len(p.Arrivals))
	for _, h := range l.Submissions {
		tries[h.Message] = append(tries[h.Message], h)
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
	level := make([]float64, len(p.Experiment.Load.Customers))
	at := make([]time.Duration, len(level))
	fates := make([]Fate, len(p.Arrivals))
	for i, a := range p.Arrivals {
		c := &p.Classes[a.Class]
		f := Fate{At: a.At, Class: a.Class, Partner: a.Partner, Outcome: Unanswered, Asked: c.Worth}
		// A bucket of two seconds of its share tells what lies beyond.
		quota := p.Experiment.Load.Customers[a.Customer].Share * p.FullRate * quotaShare
		level[a.Customer] = math.Max(0, level[a.Customer]-quota*(a.At-at[a.Customer]).Seconds()) + 1
		if at[a.Customer] = a.At; level[a.Customer] > 1+2*quota {
			level[a.Customer]--
			f.Asked *= overShare
		}
		first := ledger.Never
		for _, h := range tries[i] {
			if h.Answered == ledger.Never {
				continue
			}
			switch {
			case h.Status < 300:
				if t := delivered(calls[h.Trace], h.Trace); t != ledger.Never {
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
			f.Took = first - offset - a.At
			switch aim, end := c.Aim.D(), c.Deadline.D(); {
			case f.Took <= aim:
				f.Outcome, f.Got = InTime, f.Asked
			case f.Took <= end+slack:
				late := math.Min(1, float64(f.Took-aim)/float64(max(1, end-aim)))
				f.Outcome, f.Got = TooLate, f.Asked*(1-(1-c.Late)*late)
			default:
				f.Outcome = TooLate
			}
		}
		fates[i] = f
	}
	return fates
}

// share is what was served of what was asked for; 1 where nothing was.
type share struct{ asked, got float64 }

func (s *share) add(f Fate) { s.asked, s.got = s.asked+f.Asked, s.got+f.Got }

func (s share) value() float64 {
	if s.asked == 0 {
		return 1
	}
	return s.got / s.asked
}

// Figures are the run's figures besides the broken rules, by the names that bounds use.
func Figures(p *plan.Plan, l *ledger.Ledger, fates []Fate, offset time.Duration) map[string]float64 {
	var whole, late share
	classes, customers := make([]share, len(p.Classes)), make([]share, len(p.Experiment.Load.Customers))
	seconds := make([]share, int(p.Length/time.Second)+1)
	outcomes := make([]float64, len(Outcomes))
	var took []float64
	counts := make([]int, len(p.Classes))
	for i, f := range fates {
		whole.add(f)
		classes[f.Class].add(f)
		counts[f.Class]++
		seconds[min(len(seconds)-1, int(f.At/time.Second))].add(f)
		customer := f
		if customer.Asked < p.Classes[f.Class].Worth {
			customer = Fate{} // beyond its share
		}
		customers[p.Arrivals[i].Customer].add(customer)
		outcomes[f.Outcome]++
		if f.Outcome <= TooLate {
			took = append(took, f.Took.Seconds()*1000)
		}
		if f.Outcome != InTime && f.Got < f.Asked {
			late.asked += f.Asked
		}
	}
	slices.Sort(took)
	n := math.Max(1, float64(len(fates)))
	fig := map[string]float64{"served": whole.value(), "messages": float64(len(fates)), "p50_ms": quantile(took, 0.5),
		"p99_ms": quantile(took, 0.99)}
	for i, name := range []string{"in_time", "late", "refused", "failed", "unanswered"} {
		fig[name] = outcomes[i] / n
	}
	fig["served_worst_10s"] = worst(seconds)
	fig["served_worst_class"], fig["served_worst_customer"] = 1, 1
	for i, c := range classes {
		fig["served_"+p.Classes[i].Name] = c.value()
		if float64(counts[i]) >= rareClass*n {
			fig["served_worst_class"] = math.Min(fig["served_worst_class"], c.value())
		}
	}
	for _, c := range customers {
		fig["served_worst_customer"] = math.Min(fig["served_worst_customer"], c.value())
	}
	fig["back_s"] = back(p, seconds)
	fig["starts"] = float64(len(l.Processes))
	work(p, l, n, fig)
	fig["goal"] = weightWhole*fig["served"] + weightWindow*fig["served_worst_10s"] + weightClass*fig["served_worst_class"] +
		weightCustomer*fig["served_worst_customer"] - priceHandshake*fig["handshakes"] - priceWaste*fig["wasted"] -
		priceLate*late.asked/math.Max(1, whole.asked) - priceProbe*fig["probes"] - priceCross*fig["crossed"]
	held(p, l, offset, fig)
	return fig
}

// worst is the least share served in any ten seconds in a row.
func worst(seconds []share) float64 {
	span := int(window / time.Second)
	least := 1.0
	for i := 0; i+min(span, len(seconds)) <= len(seconds); i++ {
		var s share
		for _, x := range seconds[i:min(len(seconds), i+span)] {
			s.asked, s.got = s.asked+x.asked, s.got+x.got
		}
		least = math.Min(least, s.value())
	}
	return least
}

// back is how long after the first relays are killed service is back: seconds until two in a row serve 95% of what the
// eight before the kill did. -1 if none are killed, the rest of the run if it never is.
func back(p *plan.Plan, seconds []share) float64 {
	for _, f := range p.Faults {
		if f.Kind != "kill" {
			continue
		}
		at := int(f.At / time.Second)
		var before share
		for _, s := range seconds[max(0, at-8):at] {
			before.asked, before.got = before.asked+s.asked, before.got+s.got
		}
		for i := at + 1; i+1 < len(seconds); i++ {
			two := share{seconds[i].asked + seconds[i+1].asked, seconds[i].got + seconds[i+1].got}
			if two.value() >= 0.95*before.value() {
				return float64(i) - f.At.Seconds()
			}
		}
		return (p.Length - f.At).Seconds()
	}
	return -1
}

// work adds what the fleet's calls cost, each by message.
func work(p *plan.Plan, l *ledger.Ledger, n float64, fig map[string]float64) {
	var calls, fresh, probes, crossed, refused, lost, all, down float64
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
		all += c.Latency.Seconds()
		if c.Ran && c.Status != 200 {
			lost += c.Latency.Seconds()
		}
	}
	fig["calls"], fig["handshakes"], fig["probes"], fig["crossed"] = calls/n, fresh/n, probes/n, crossed/n
	fig["calls_refused"], fig["calls_to_down"] = refused/n, down
	fig["wasted"] = lost / math.Max(all, 1e-9)
}

// held adds what the processes held, and how long their starts took.
func held(p *plan.Plan, l *ledger.Ledger, offset time.Duration, fig map[string]float64) {
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
	// Memory that grows: from the third quarter to the last, in the mean over the processes that lived through both.
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
