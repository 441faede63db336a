package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// A fleet of senders plays in front of one route that fails calls, or refuses them, and comes back cold. The
// judge counts what reaches it from senders told of a failure or a refusal there during the outage, and holds
// each window since the return against the budget. The senders share nothing but the route.

// fleetCase is one such day.
type fleetCase struct {
	senders int
	limit   float64 // calls a second
	demand  float64 // messages, as a multiple of the limit
	fails   float64 // share of the calls that fail in the outage
	listed  bool    // the limit is listed; else no sender ever knows it
	reported    bool    // the limit is told in answers
	skew    int     // each tenth sender has so many times the traffic of the others; 0: half of them have most
}

func (c fleetCase) String() string {
	return fmt.Sprintf("%d senders, limit %v, demand %v, fails %v, listed %v, told %v",
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

// fleetSimulation is the route, the senders' messages and the books of the judge.
type fleetSimulation struct {
	testCase      fleetCase
	rng    *rand.Rand
	now    time.Duration
	fleet  []*Sender
	inbox  [][]Event
	due    map[time.Duration][]fleetEvent
	capacity   float64        // calls that the limit leaves
	informed   []bool         // by sender: of a failure or refusal in the outage
	calls []fleetCall    // since the return
	attempts  map[uint32]int // of each message
	served int            // in the whole day
}

type fleetEvent struct {
	sender int
	ev     Event
}

type fleetCall struct {
	at   time.Duration
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

// startAttempt plays one startAttempt at the route: its outcome comes a tick or two later.
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

// runFleet runs a day. Half of the senders carry most of the traffic, a third restart inside the outage.
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

// window tells the budget of the window that ends with push i, how many calls reached the route in it, and how many of these came
// from senders told.
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

// brokeFailback tells whether a window since the return broke failback: more calls than the budget of its length, two
// standard deviations of it allowed for chance, two thirds of them from senders told. Beside it stands the
// greatest share of the part of senders told that a window used.
func (w *fleetSimulation) brokeFailback() (broken bool, used float64) {
	for i := range w.calls {
		budget, all, told := w.window(i)
		broken = broken || all > budget+2*math.Sqrt(budget) && told >= all*2/3
		used = math.Max(used, told/(2.0/3*(budget+2*math.Sqrt(budget))))
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
					t.Errorf("%v, seed %d: pushed over, %.2f of the part of senders told used", c, seed, used)
				}
				if w.served == 0 {
					t.Errorf("%v, seed %d: nothing served", c, seed)
				}
			}
		}
	}
}

// budgetExcess tells by how many calls the worst window since the return passed its budget of N calls and what is chance, 2 roots of N
// and 2, whoever sent them; and the same of the calls of senders told.
func (w *fleetSimulation) budgetExcess() (total, informed float64) {
	total, informed = math.Inf(-1), math.Inf(-1)
	for i := range w.calls {
		n, a, b := w.window(i)
		total, informed = math.Max(total, a-n-2*math.Sqrt(n)-2), math.Max(informed, b-n-2*math.Sqrt(n)-2)
	}
	return total, informed
}

// Some tens of senders, some with many times the traffic of others, a third of them restarted in the outage.
func TestSkewedFleetsKeepTheRecoveryBudget(t *testing.T) {
	for _, senders := range []int{5, 20, 30} {
		for _, limit := range []float64{3, 10, 30} {
			for _, demand := range []float64{0.9, 2} {
				for _, know := range []fleetCase{{listed: true}, {reported: true}, {}} {
					for _, fails := range []float64{1, 0.8} {
						c := fleetCase{senders, limit, demand, fails, know.listed, know.reported, 10}
						for seed := range uint64(10) {
							w := runFleet(t, c, seed)
							if all, told := w.budgetExcess(); all > 0 {
								t.Errorf("%v, seed %d: %.1f calls over the budget, %.1f of senders told", c, seed, all, told)
							}
						}
					}
				}
			}
		}
	}
}

// worstExcess tells by how many calls the worst window since the return passed what the site's page allows: its budget of N calls,
// 2 roots of N and 2; 3 roots of N and 3 under 30 calls.
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

// The budget binds however few senders there are, and where none of them is told a limit: one that was restarted in the outage, and
// has much waiting, once poured all of it out after its first delivery.
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

// Plays in which a sender that is told no limit has nothing waiting when one delivery in the outage ends its doubt, and then more to
// send than the partner takes.
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
