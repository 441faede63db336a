package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// The fleet tests simulate several senders with one route that fails or refuses calls for a while and then returns with
// reduced capacity. They count the calls in each window since its return and check them against the budget, and single
// out calls from senders that saw a failure or a refusal in the outage. The senders share nothing but the route.

// fleetCase describes one such run.
type fleetCase struct {
	senders  int
	limit    float64 // calls a second
	demand   float64 // messages, as a multiple of the limit
	fails    float64 // share of the calls that fail in the outage
	listed   bool    // the limit is listed as a weight; if it is neither listed nor reported, no sender knows it
	reported bool    // answers report the limit
	skew     int     // every tenth sender has this many times the traffic of the others; 0: half of them have most of it
}

func (c fleetCase) String() string {
	return fmt.Sprintf("%d senders, limit %v, demand %v, fails %v, listed %v, reported %v",
		c.senders, c.limit, c.demand, c.fails, c.listed, c.reported)
}

const (
	fleetTick    = 10 * time.Millisecond
	fleetReturn  = time.Minute + 35*time.Second
	fleetFailing = time.Minute + 20*time.Second
	fleetEnd     = fleetReturn + 8*time.Second
)

func fleetSettings(c fleetCase) Settings {
	return Settings{
		Classes: []Class{{Effect: Safe, Aim: 4 * time.Second, GiveUp: 28 * time.Second, Value: 1}},
		Kinds:   []Kind{{Separate: true, PerCall: 1}}, Senders: c.senders, Slots: 8, NoWeights: !c.listed,
		ColdShare: 0.25, WarmWithin: 14 * time.Second, OverloadFactor: 1.5, OverloadWindow: 3 * time.Second,
	}
}

// fleetSimulation holds the route, the messages of the senders and the counts of the checker.
type fleetSimulation struct {
	testCase fleetCase
	rng      *rand.Rand
	now      time.Duration
	fleet    []*Sender
	inbox    [][]Event
	due      map[time.Duration][]fleetEvent
	capacity float64        // calls that the limit allows now
	informed []bool         // by sender: saw a failure or refusal in the outage
	calls    []fleetCall    // since the end of the outage
	attempts map[uint32]int // by message
	served   int            // in the whole run
}

type fleetEvent struct {
	sender int
	ev     Event
}

type fleetCall struct {
	at       time.Duration
	informed bool
}

func (w *fleetSimulation) start(i int, seed uint64) error {
	s, err := New(fleetSettings(w.testCase), seed)
	if err != nil {
		return err
	}
	w.fleet[i] = s
	w.inbox[i] = []Event{{Kind: ListFull, List: []Listing{{Route: "a", Weight: w.testCase.limit, InService: true}}}}
	return nil
}

// startAttempt runs one call at the route and schedules its outcome two ticks later.
func (w *fleetSimulation) startAttempt(i int, a Action) {
	failing := w.now >= fleetFailing && w.now < fleetReturn
	if w.now >= fleetReturn {
		w.calls = append(w.calls, fleetCall{w.now, w.informed[i]})
	}
	e := Event{Kind: Finished, ID: a.ID, Attempt: w.attempts[a.ID], Route: "a", Took: 2 * fleetTick}
	w.attempts[a.ID]++
	switch {
	case w.capacity < 1:
		e.Outcome = Full
	default:
		w.capacity--
		if failing && w.rng.Float64() < w.testCase.fails {
			e.Outcome = Error
		}
	}
	if w.testCase.reported {
		e.Report = Report{Present: true, Limit: w.testCase.limit}
	}
	if e.MessageEnded = e.Outcome == OK; e.MessageEnded {
		w.served++
	} else if failing {
		w.informed[i] = true
	}
	w.schedule(i, 2*fleetTick, e)
}

func (w *fleetSimulation) schedule(i int, after time.Duration, e Event) {
	at := (w.now + after + fleetTick - 1) / fleetTick * fleetTick
	w.due[at] = append(w.due[at], fleetEvent{i, e})
}

// runFleet runs one case. Unless it sets a skew, half of the senders have most of the traffic. A third of the senders
// restart during the outage.
func runFleet(t *testing.T, c fleetCase, seed uint64) *fleetSimulation {
	t.Helper()
	w := &fleetSimulation{testCase: c, rng: rand.New(rand.NewPCG(seed, 3)), now: time.Minute, fleet: make([]*Sender, c.senders),
		inbox: make([][]Event, c.senders), due: map[time.Duration][]fleetEvent{}, informed: make([]bool, c.senders),
		attempts: map[uint32]int{}}
	restarts := fleetFailing + 7*time.Second
	for i := range w.fleet {
		if err := w.start(i, w.rng.Uint64()); err != nil {
			t.Fatal(err)
		}
	}
	id := uint32(0)
	for ; w.now < fleetEnd; w.now += fleetTick {
		w.capacity = math.Min(1+0.5*c.limit, w.capacity+c.limit*fleetTick.Seconds())
		if w.now == restarts {
			for i := 0; i < c.senders; i += 3 {
				if err := w.start(i, w.rng.Uint64()); err != nil {
					t.Fatal(err)
				}
			}
		}
		for n := c.limit * c.demand * fleetTick.Seconds(); n > w.rng.Float64(); n-- {
			i := w.rng.IntN(c.senders)
			if c.skew > 0 {
				for i%10 != 0 && w.rng.IntN(c.skew) > 0 {
					i = w.rng.IntN(c.senders)
				}
			} else if w.rng.IntN(2) == 0 {
				i = w.rng.IntN((c.senders + 1) / 2)
			}
			id++
			w.schedule(i, 0, Event{Kind: Accepted, ID: id, TimeLeft: 28 * time.Second})
		}
		for _, e := range w.due[w.now] {
			w.inbox[e.sender] = append(w.inbox[e.sender], e.ev)
		}
		delete(w.due, w.now)
		for i, evs := range w.inbox {
			if len(evs) == 0 {
				continue
			}
			w.inbox[i] = nil
			for _, a := range w.fleet[i].Step(w.now, evs) {
				switch a.Kind {
				case Send:
					w.startAttempt(i, a)
				case Wake:
					w.schedule(i, max(a.Delay, fleetTick), Event{Kind: Woken})
				}
			}
		}
	}
	return w
}

// window returns the budget of the window that ends with call i, how many calls reached the route in it, and how many of
// these came from senders that saw a failure.
func (w *fleetSimulation) window(i int) (budget, total, informed float64) {
	set, last := fleetSettings(w.testCase), w.calls[i]
	share := set.ColdShare + (1-set.ColdShare)*float64(last.at-fleetReturn)/float64(set.WarmWithin)
	for _, p := range w.calls[:i+1] {
		if p.at > last.at-set.OverloadWindow {
			total++
			if p.informed {
				informed++
			}
		}
	}
	return set.OverloadFactor * share * w.testCase.limit * set.OverloadWindow.Seconds(), total, informed
}

// brokeFailback reports whether a window since the end of the outage violated the failback rule: more calls than its
// budget plus two standard deviations for chance, two thirds of them from senders that saw a failure. It also returns the
// greatest share of the allowance of such senders that a window used.
func (w *fleetSimulation) brokeFailback() (broken bool, used float64) {
	for i := range w.calls {
		budget, all, informed := w.window(i)
		broken = broken || all > budget+2*math.Sqrt(budget) && informed >= all*2/3
		used = math.Max(used, informed/(2.0/3*(budget+2*math.Sqrt(budget))))
	}
	return broken, used
}

func TestFleetKeepsTheRecoveryBudget(t *testing.T) {
	for _, senders := range []int{3, 80, 400, 700} {
		for _, c := range []fleetCase{
			{senders, 30, 0.9, 1, true, false, 0},
			{senders, 30, 0.9, 1, false, true, 0},
			{senders, 30, 0.9, 1, false, false, 0},
			{senders, 30, 2, 1, true, false, 0},
			{senders, 30, 2, 1, false, true, 0},
			{senders, 30, 0.9, 0.8, false, true, 0},
			{senders, 30, 2, 0.8, false, true, 0},
			{senders, 3, 0.9, 1, false, true, 0},
			{senders, 3, 2, 0.8, true, false, 0},
			{senders, 3, 2, 1, false, false, 0},
		} {
			for seed := range uint64(3) {
				w := runFleet(t, c, seed)
				broken, used := w.brokeFailback()
				if broken {
					t.Errorf("%v, seed %d: overloaded; senders that saw failures used %.2f of their allowance", c, seed, used)
				}
				if w.served == 0 {
					t.Errorf("%v, seed %d: nothing served", c, seed)
				}
			}
		}
	}
}

// budgetExcess returns by how many calls the worst window since the end of the outage exceeded its budget of N calls plus
// an allowance for chance of 2 sqrt(N) + 2: for all calls, and for those of senders that saw a failure.
func (w *fleetSimulation) budgetExcess() (total, informed float64) {
	total, informed = math.Inf(-1), math.Inf(-1)
	for i := range w.calls {
		n, a, b := w.window(i)
		total, informed = math.Max(total, a-n-2*math.Sqrt(n)-2), math.Max(informed, b-n-2*math.Sqrt(n)-2)
	}
	return total, informed
}

// Up to 30 senders, of which some have many times the traffic of others and a third restart during the outage.
func TestSkewedFleetsKeepTheRecoveryBudget(t *testing.T) {
	for _, senders := range []int{5, 20, 30} {
		for _, limit := range []float64{3, 10, 30} {
			for _, demand := range []float64{0.9, 2} {
				for _, limitKnown := range []fleetCase{{listed: true}, {reported: true}, {}} {
					for _, fails := range []float64{1, 0.8} {
						c := fleetCase{senders, limit, demand, fails, limitKnown.listed, limitKnown.reported, 10}
						for seed := range uint64(10) {
							w := runFleet(t, c, seed)
							if all, informed := w.budgetExcess(); all > 0 {
								t.Errorf("%v, seed %d: %.1f calls over the budget, %.1f from senders that saw failures",
									c, seed, all, informed)
							}
						}
					}
				}
			}
		}
	}
}

// worstExcess returns by how many calls the worst window since the end of the outage exceeded what the platform's rules
// allow: its budget of N calls plus 2 sqrt(N) + 2, or 3 sqrt(N) + 3 for less than 30 calls.
func (w *fleetSimulation) worstExcess() (worst float64) {
	const few = 30 // calls
	worst = math.Inf(-1)
	for i := range w.calls {
		n, all, _ := w.window(i)
		k := 2.0
		if n < few {
			k = 3
		}
		worst = math.Max(worst, all-n-k*math.Sqrt(n)-k)
	}
	return worst
}

// The budget also holds with few senders that know no limit. Guards against a sender that restarts during the outage with
// many messages waiting and sends all of them after its first delivery.
func TestFewSendersKeepTheRecoveryBudget(t *testing.T) {
	for _, senders := range []int{1, 2, 3, 4, 6, 9} {
		for _, limit := range []float64{3, 10, 30, 60} {
			for _, fails := range []float64{1, 0.8} {
				c := fleetCase{senders, limit, 2, fails, false, false, 10}
				for seed := range uint64(24) {
					if excess := runFleet(t, c, 1000+seed).worstExcess(); excess > 0 {
						t.Errorf("%v, seed %d: %.1f calls over the budget", c, seed, excess)
					}
				}
			}
		}
	}
}

// Runs in which a sender that knows no limit has no messages waiting when one delivery in the outage clears the suspicion
// of its route, and then gets more messages than the partner takes.
func TestFewSendersWithNothingWaitingKeepTheRecoveryBudget(t *testing.T) {
	for _, x := range []struct {
		senders int
		limit   float64
		seed    uint64
	}{{4, 10, 5012}, {6, 30, 5091}, {6, 60, 5008}, {6, 60, 5020}} {
		c := fleetCase{x.senders, x.limit, 2, 0.8, false, false, 10}
		if excess := runFleet(t, c, x.seed).worstExcess(); excess > 0 {
			t.Errorf("%v, seed %d: %.1f calls over the budget", c, x.seed, excess)
		}
	}
}
