package policy

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// harness runs one Sender with a simulated clock.
type harness struct {
	t        *testing.T
	sender   *Sender
	now      time.Duration
	attempts map[uint32]int
}

func settings() Settings {
	return Settings{
		Classes: []Class{
			{Effect: Safe, Aim: 2 * time.Second, GiveUp: 60 * time.Second, Value: 1},
			{Effect: Keyed, Window: 10 * time.Second, Aim: 2 * time.Second, GiveUp: 60 * time.Second, Value: 1},
			{Effect: Unsafe, Ordered: true, Aim: 2 * time.Second, GiveUp: 60 * time.Second, Value: 1},
		},
		Kinds:   []Kind{{PerCall: 1}, {Separate: true, PerCall: 1}, {PerCall: 3}},
		Senders: 1, ColdShare: 0.2, WarmWithin: 10 * time.Second, OverloadFactor: 2,
		OverloadWindow: 2 * time.Second, OrderPause: 100 * ms,
	}
}

func newHarness(t *testing.T, set Settings, list ...Listing) *harness {
	t.Helper()
	s, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	d := &harness{t: t, sender: s, now: time.Minute, attempts: map[uint32]int{}}
	for i := range list {
		list[i].InService = true
	}
	d.step(Event{Kind: ListFull, List: list})
	return d
}

// step passes events to the Sender at the current time and returns its actions other than wakes.
func (d *harness) step(evs ...Event) []Action {
	var acts []Action
	for _, a := range d.sender.Step(d.now, evs) {
		if a.Kind != Wake {
			acts = append(acts, a)
		}
	}
	return acts
}

func (d *harness) accept(id uint32, class int) []Action {
	return d.step(Event{Kind: Accepted, ID: id, Class: class, TimeLeft: 60 * time.Second})
}

func (d *harness) finish(id uint32, route string, o Outcome, after, wait time.Duration) []Action {
	d.now += after
	n := d.attempts[id]
	d.attempts[id]++
	return d.step(Event{Kind: Finished, ID: id, Attempt: n, Route: route, Outcome: o, Took: after, RetryAfter: wait,
		MessageEnded: o == OK})
}

// wake advances the clock and wakes the Sender.
func (d *harness) wake(after time.Duration) []Action {
	d.now += after
	return d.step(Event{Kind: Woken})
}

// firstSend returns the route of the first Send among the actions; "" if there is none.
func firstSend(acts []Action) string {
	for _, a := range acts {
		if a.Kind == Send {
			return a.Route
		}
	}
	return ""
}

func has(acts []Action, k ActionKind) bool {
	return slices.ContainsFunc(acts, func(a Action) bool { return a.Kind == k })
}

func TestRouteOrder(t *testing.T) {
	set := settings()
	set.ZoneFees = []float64{0, 0.03}
	d := newHarness(t, set, Listing{Route: "a", Kind: 1, Zone: 1, Weight: 5}, Listing{Route: "c", Kind: 1, Weight: 5},
		Listing{Route: "b", Kind: 1, Weight: 5}, Listing{Route: "z", Kind: 1, Zone: 1, Weight: 9})
	var got []string
	got = append(got, firstSend(d.accept(1, 0)))
	for range 3 {
		got = append(got, firstSend(d.finish(1, got[len(got)-1], Full, 10*ms, 0)))
	}
	// Each refusal sets a pace without tokens for its group, so that the message moves on to the next.
	slices.Sort(got[1:3]) // equal routes are ordered at random
	if want := []string{"z", "b", "c", "a"}; !slices.Equal(got, want) {
		t.Errorf("order %v, want %v", got, want)
	}
}

// Guards against preferring the first of equal routes by name, in another zone, to one in the own zone.
func TestOwnZoneGoesFirstAmongEqualRoutes(t *testing.T) {
	for _, separate := range []int{0, 1} {
		set := settings()
		set.Zone = 1
		d := newHarness(t, set, Listing{Route: "a", Kind: separate}, Listing{Route: "b", Kind: separate, Zone: 1},
			Listing{Route: "c", Kind: separate, Zone: 1, Weight: -1})
		if got := firstSend(d.accept(1, 0)); got != "b" {
			t.Errorf("kind %d: message to %q, want the first of the own zone", separate, got)
		}
		d.step(Event{Kind: ListChanges, List: []Listing{{Route: "z", Kind: separate, Weight: 2, InService: true}}})
		if got := firstSend(d.accept(2, 0)); got != "z" {
			t.Errorf("kind %d: message to %q, want the one of more weight", separate, got)
		}
	}
}

// Guards against hundreds of senders that all load the first of several equal routes while the others idle.
func TestSendersSpreadOverEqualRoutes(t *testing.T) {
	first := map[string]int{}
	for seed := range uint64(60) {
		set := settings()
		set.Senders = 60
		s, err := New(set, seed)
		if err != nil {
			t.Fatal(err)
		}
		acts := s.Step(time.Minute, []Event{
			{Kind: ListFull, List: []Listing{{Route: "a", InService: true}, {Route: "b", InService: true},
				{Route: "c", InService: true}}},
			{Kind: Accepted, ID: 1, TimeLeft: 9 * time.Second}})
		first[firstSend(acts)]++
	}
	if first["a"] < 10 || first["b"] < 10 || first["c"] < 10 {
		t.Errorf("first choices of 60 senders: %v", first)
	}
}

func TestFailureRules(t *testing.T) {
	now := time.Minute
	for _, c := range []struct {
		rule string
		r    route
		o    sample
		skip bool
	}{
		{"outage", route{}, sample{outcome: Full, retryAfter: 5 * time.Second}, true},
		{"outage", route{refusals: outageRefusals, refusedAt: now - outageRefusalSpan}, sample{outcome: Full}, true},
		{"full", route{refusals: outageRefusals, refusedAt: now - outageRefusalSpan + 1},
			sample{outcome: Full, retryAfter: time.Second}, false},
		{"trial failed", route{down: true}, sample{outcome: Error}, true},
		{"table full", route{failStreak: 1}, sample{outcome: ConnectFailed, tableFull: true}, false},
		{"failed", route{failStreak: 1}, sample{outcome: ConnectFailed}, false},
		{"failures in a row", route{failStreak: 3, okAt: now - time.Second}, sample{outcome: ConnectFailed}, true},
		{"mostly failing", route{failStreak: 1, recentFailures: 0b10111010}, sample{outcome: Error}, true},
		{"failed", route{failStreak: 1, recentFailures: 0b1011010}, sample{outcome: Error}, false},
		{"failed", route{failStreak: 2}, sample{outcome: Timeout}, false},
	} {
		s := &Sender{now: now}
		r := &c.r
		i := slices.IndexFunc(failureRules, func(f failureRule) bool { return f.match(s, r, c.o) })
		if i < 0 || failureRules[i].name != c.rule || failureRules[i].skip != c.skip {
			t.Errorf("%+v, %+v: rule %d, want %q with skip %v", c.r, c.o, i, c.rule, c.skip)
		}
	}
}

func TestSkipExpires(t *testing.T) {
	d := newHarness(t, settings(), Listing{Route: "a", Kind: 1, Weight: 9}, Listing{Route: "b", Kind: 1, Weight: 5})
	for id := range uint32(3) {
		d.now += time.Second // so that the recovery budget allows a call
		if got := firstSend(d.accept(id, 0)); got != "a" {
			t.Fatalf("message %d to %q before the skip", id, got)
		}
		d.finish(id, "a", Error, 10*ms, 0)
		d.step(Event{Kind: Withdrawn, ID: id})
	}
	if got := firstSend(d.accept(10, 0)); got != "b" {
		t.Errorf("message to %q while a is skipped", got)
	}
	d.now += time.Duration(float64(firstSkip) * (1 + skipJitter))
	if got := firstSend(d.accept(11, 0)); got != "a" {
		t.Errorf("message to %q after the skip", got)
	}
	if got := firstSend(d.accept(12, 0)); got != "b" {
		t.Errorf("second message to %q during the trial", got)
	}
	if got := firstSend(d.accept(13, 2)); got != "b" {
		t.Errorf("unsafe message to %q during the trial", got)
	}
}

func TestPaceHalvesGrowsAndRestarts(t *testing.T) {
	d := newHarness(t, settings(), Listing{Route: "a", Kind: 1, Weight: 2})
	for id := range uint32(8) {
		d.accept(id, 0)
	}
	g := d.sender.routes["a"].group
	if g.pace != 0 {
		t.Fatalf("the pace starts at %v, want none", g.pace)
	}
	d.finish(0, "a", Full, 100*ms, 0)
	if g.pace != 4 {
		t.Errorf("pace %v after a refusal at 8 in the last second, want 4", g.pace)
	}
	d.finish(1, "a", Full, ms, 0)
	if g.pace != 4 {
		t.Errorf("pace %v after a refusal of the same burst, want 4", g.pace)
	}
	d.finish(2, "a", OK, ms, 0)
	if want := 4 * (1 + paceGrowth); g.pace != want {
		t.Errorf("pace %v after a delivery, want %v", g.pace, want)
	}
	for id := uint32(3); id < 6; id++ {
		d.finish(id, "a", Error, ms, 0)
	}
	r := d.sender.routes["a"]
	if !r.down {
		t.Fatal("three failures in a row did not skip the route")
	}
	d.sender.recordOutcome(r, sample{outcome: OK, sent: d.now}, ms)
	if want := paceAfterSkip * (1 + paceGrowth); r.down || g.pace != want {
		t.Errorf("pace %v at the end of a skip, want %v", g.pace, want)
	}
}

// Guards against repeated halving of rates of a few calls a second, which starves a group whose limit is known.
func TestPaceKeepsItsFloor(t *testing.T) {
	d := newHarness(t, settings(), Listing{Route: "a", Kind: 1, Weight: 20})
	r := d.sender.routes["a"]
	for range 5 {
		d.now += time.Second
		d.sender.now = d.now
		d.sender.halvePace(r, sample{outcome: Full, sent: d.now})
	}
	if want := 20 * minPaceShare; r.group.pace != want {
		t.Errorf("pace %v after five refusals, want %v", r.group.pace, want)
	}
}

// Guards against hundreds of refused senders that each go on at half a call a second, several times the limit in sum.
func TestRefusedSparseSendersStayWithinTheLimit(t *testing.T) {
	const limit, senders = 40, 300
	set := settings()
	set.Senders, set.NoWeights = senders, true
	sum := 0.0
	for range senders {
		d := newHarness(t, set, Listing{Route: "a", Kind: 1})
		d.accept(1, 0)
		d.now += 100 * ms
		d.step(Event{Kind: Finished, ID: 1, Route: "a", Outcome: Full, Report: Report{Present: true, Limit: limit}})
		sum += d.sender.routes["a"].group.pace
	}
	if sum > limit || sum < limit*minPaceShare {
		t.Errorf("paces add up to %.1f calls a second after a refusal each, under a limit of %d", sum, limit)
	}
}

// Guards against a sparse sender that, refused twice, stays far below its share of the limit for a long time.
func TestDeliveryRaisesSparsePaceToSenderShare(t *testing.T) {
	set := settings()
	set.Senders, set.NoWeights = 300, true
	d := newHarness(t, set, Listing{Route: "a", Kind: 1})
	r := d.sender.routes["a"]
	d.sender.now = d.now
	d.sender.recordLimit(r, Report{Present: true, Limit: 40})
	for range 2 {
		d.sender.now += time.Second
		d.sender.halvePace(r, sample{outcome: Full, sent: d.sender.now})
	}
	g := r.group
	if g.pace >= d.sender.senderShare(g) {
		t.Fatalf("pace %v after two refusals, its share is %v", g.pace, d.sender.senderShare(g))
	}
	for range 2 {
		d.sender.now += time.Second
		was := d.sender.senderShare(g)
		if d.sender.growPace(g); g.pace < was*(1+paceGrowth) {
			t.Errorf("pace %v after a delivery, want %v or more", g.pace, was*(1+paceGrowth))
		}
	}
}

// Guards against slow growth near a rate that was refused under a low limit, after a higher limit has been reported.
func TestPaceGrowsFasterUnderAHigherLimit(t *testing.T) {
	for _, c := range []struct{ limit, growth float64 }{{4, paceGrowthNearCeiling}, {16, paceGrowth}} {
		set := settings()
		set.NoWeights = true
		d := newHarness(t, set, Listing{Route: "a"})
		r := d.sender.routes["a"]
		d.sender.recordLimit(r, Report{Present: true, Limit: 4})
		for id := range uint32(8) {
			d.accept(id, 0)
		}
		d.finish(0, "a", Full, 100*ms, 0)
		g := r.group
		g.pace = g.ceiling
		d.sender.recordLimit(r, Report{Present: true, Limit: c.limit})
		d.finish(1, "a", OK, 100*ms, 0)
		if want := g.ceiling * (1 + c.growth); math.Abs(g.pace-want) > 1e-9 {
			t.Errorf("limit %v: pace %v after a delivery, want %v", c.limit, g.pace, want)
		}
	}
}

// Guards against such a pace staying below the floor of the higher limit.
func TestPaceRisesToTheFloorOfAHigherLimit(t *testing.T) {
	set := settings()
	set.NoWeights = true
	d := newHarness(t, set, Listing{Route: "a"})
	r := d.sender.routes["a"]
	d.sender.recordLimit(r, Report{Present: true, Limit: 1})
	d.accept(0, 0)
	d.finish(0, "a", Full, 100*ms, 0)
	d.sender.recordLimit(r, Report{Present: true, Limit: 40})
	d.sender.growPace(r.group)
	if least := 40 * minPaceShare; r.group.pace < least {
		t.Errorf("pace %v after a delivery, want %v or more", r.group.pace, least)
	}
}

func TestFinalAnswers(t *testing.T) {
	for _, c := range []struct {
		class   int
		outcome Outcome
		want    ActionKind
		early   bool
	}{
		{0, Timeout, Refuse, false}, // safe: the client may submit it again
		{1, Full, Refuse, false},    // keyed, never ran
		{1, Timeout, Fail, true},    // keyed, may have run: repeats are no longer dropped after 10 s
		{2, ConnectFailed, Refuse, false},
	} {
		d := newHarness(t, settings(), Listing{Route: "a"})
		d.accept(1, c.class)
		d.step(Event{Kind: ListChanges, List: []Listing{{Route: "a", Gone: true}}})
		d.finish(1, "a", c.outcome, time.Second, 0)
		if acts := d.wake(58900 * ms); has(acts, c.want) != c.early || !c.early && len(acts) != 0 {
			t.Errorf("%+v: %+v before the deadline", c, acts)
		}
		if c.early {
			continue
		}
		if acts := d.wake(90 * ms); len(acts) != 1 || acts[0].Kind != c.want {
			t.Errorf("%+v: %+v at the deadline", c, acts)
		}
	}
	d := newHarness(t, settings(), Listing{Route: "a"})
	d.accept(1, 2)
	if acts := d.finish(1, "a", Timeout, time.Second, 0); !has(acts, Fail) || has(acts, Send) {
		t.Errorf("an unsafe message that may have run: %+v", acts)
	}
}

func TestDrainedRouteTakesNothing(t *testing.T) {
	d := newHarness(t, settings(), Listing{Route: "a"})
	acts := d.step(Event{Kind: ListChanges, List: []Listing{{Route: "a"}}},
		Event{Kind: Accepted, ID: 1, TimeLeft: 9 * time.Second})
	if has(acts, Send) {
		t.Errorf("sent to a draining route: %+v", acts)
	}
}

func TestRetryAfterHoldsTheGroup(t *testing.T) {
	d := newHarness(t, settings(), Listing{Route: "a"}, Listing{Route: "b"})
	d.accept(1, 0)
	d.finish(1, "a", Full, 10*ms, 700*ms)
	if acts := d.accept(2, 0); has(acts, Send) {
		t.Errorf("sent during a wait: %+v", acts)
	}
	if acts := d.wake(699 * ms); has(acts, Send) {
		t.Errorf("sent during a wait: %+v", acts)
	}
	if acts := d.wake(2 * time.Second); !has(acts, Send) {
		t.Error("nothing sent after the wait")
	}
}

// Guards against losing the Retry-After of one message of a call whose other messages were delivered.
func TestRetryAfterOfAPartlyDeliveredCall(t *testing.T) {
	d := newHarness(t, settings(), Listing{Route: "a", Kind: 2})
	d.step(Event{Kind: Accepted, ID: 1, TimeLeft: 9 * time.Second}, Event{Kind: Accepted, ID: 2, TimeLeft: 9 * time.Second})
	d.step(Event{Kind: Finished, ID: 1, Route: "a", Outcome: OK, MessageEnded: true},
		Event{Kind: Finished, ID: 2, Route: "a", Outcome: Full, RetryAfter: time.Second})
	if got := d.sender.routes["a"].group.waitUntil; got != d.now+time.Second {
		t.Errorf("wait until %v, want %v", got, d.now+time.Second)
	}
}

func TestRecoverySpacesCalls(t *testing.T) {
	d := newHarness(t, settings(), Listing{Route: "a", Kind: 1, Weight: 5})
	r := d.sender.routes["a"]
	d.sender.now = d.now
	d.sender.markSuspect(r)
	r.group.credit = 0
	// 2/3 of the 2*0.36*5*2 calls that overload the route at the end of the window, less half a call, over the window
	// and the time after which credit lapses.
	rate := (informedShare*2*0.36*5*2 - 0.5) / (2 * (1 + creditLapseShare)) * (1 - ownTrafficShare)
	if got, want := d.sender.recoveryOpensAt(r), d.now+interval(rate); got != want {
		t.Errorf("next call at %v, want %v", got, want)
	}
	r.recoveringSince, d.sender.now = d.now, d.now+10*time.Second
	if got := d.sender.recoveryOpensAt(r); got != 0 || r.suspect {
		t.Errorf("after the warm-up: next call at %v", got)
	}
}

// Guards against credit that accrues during a Retry-After wait: all senders would call as the wait ends.
func TestRetryAfterAccruesNoCredit(t *testing.T) {
	set := settings()
	set.Senders = 400
	open := 0
	for seed := range uint64(400) {
		s, err := New(set, seed)
		if err != nil {
			t.Fatal(err)
		}
		s.Step(time.Minute, []Event{{Kind: ListFull, List: []Listing{{Route: "a", Weight: 400, InService: true}}}})
		r := s.routes["a"]
		r.group.waitUntil = s.now + 10*time.Second
		s.recordOutcome(r, sample{outcome: Full, retryAfter: 10 * time.Second, sent: s.now}, ms)
		s.recoveryOpensAt(r)
		if s.now = r.group.waitUntil; s.recoveryOpensAt(r) <= s.now {
			open++
		}
	}
	if open > 4 {
		t.Errorf("%d of 400 senders call at the end of the wait", open)
	}
}

// One of hundreds of senders may see a single failure of an outage. That makes the route suspect, and one delivery
// clears it.
func TestSparseSenderSuspectsOnOneFailure(t *testing.T) {
	for _, c := range []struct {
		senders int
		suspect bool
	}{{1, false}, {3, false}, {100, true}, {400, true}} {
		set := settings()
		set.Senders = c.senders
		d := newHarness(t, set, Listing{Route: "a", Weight: 4})
		r := d.sender.routes["a"]
		d.sender.now = d.now
		d.sender.recordOutcome(r, sample{outcome: Timeout, sent: d.now}, time.Second)
		if r.suspect != c.suspect {
			t.Errorf("%d senders: suspect %v after one failure", c.senders, r.suspect)
		}
		d.sender.recordOutcome(r, sample{outcome: OK, sent: d.now}, ms)
		if r.suspect {
			t.Errorf("%d senders: suspect after a delivery", c.senders)
		}
	}
}

// Guards against overloading an unavailable destination that has refused each of hundreds of senders twice.
func TestSparseSenderSuspectsOnTwoRefusals(t *testing.T) {
	for _, c := range []struct {
		senders   int
		gap, wait time.Duration
		suspect   bool
	}{
		{20, outageRefusalSpan, 0, true},
		{20, outageRefusalSpan - ms, 0, false},  // refusals of one burst
		{20, outageRefusalSpan, 500 * ms, true}, // unavailable destinations send Retry-After too
		{10, outageRefusalSpan, 0, true},        // its share is more than a call in an overload window: a warm-up follows
		{1, outageRefusalSpan, 0, false},
	} {
		set := settings()
		set.Senders = c.senders
		d := newHarness(t, set, Listing{Route: "a", Weight: 4})
		r := d.sender.routes["a"]
		d.sender.now = d.now
		d.sender.recordOutcome(r, sample{outcome: Full, sent: d.now, retryAfter: c.wait}, ms)
		d.sender.now += c.gap
		d.sender.recordOutcome(r, sample{outcome: Full, sent: d.sender.now, retryAfter: c.wait}, ms)
		if r.suspect != c.suspect {
			t.Errorf("%+v: suspect %v", c, r.suspect)
		}
	}
}

// Guards against hundreds of senders that each saw one refusal or one failed connection in an outage and overload the
// destination together as it returns. Most of them suspect the route; where each sender sees more of a route, none does.
func TestWeakEvidenceSuspectsByChance(t *testing.T) {
	for _, c := range []struct {
		senders     int
		outcome     Outcome
		alive       bool
		least, most int // suspect, of 200
	}{
		{400, Full, false, 100, 140},
		{400, ConnectFailed, false, 100, 140},
		{400, Full, true, 0, 0}, // it answered within the last seconds
		{3, Full, false, 0, 0},
		{20, Full, false, 0, 0}, // its share is more than a call in a warm-up
	} {
		set := settings()
		set.Senders = c.senders
		n := 0
		for seed := range uint64(200) {
			s, err := New(set, seed)
			if err != nil {
				t.Fatal(err)
			}
			s.Step(time.Minute, []Event{{Kind: ListFull, List: []Listing{{Route: "a", Weight: 4, InService: true}}}})
			r := s.routes["a"]
			s.connScarceUntil[0] = s.now + time.Minute
			if c.alive {
				s.recordDelivery(r, s.now, ms)
			}
			s.recordOutcome(r, sample{outcome: c.outcome, sent: s.now}, ms)
			if r.suspect {
				n++
			}
		}
		if n < c.least || n > c.most {
			t.Errorf("%+v: %d of 200 suspect", c, n)
		}
	}
}

// Guards against two attempts of half the time each that both end before the answer, for messages with little time.
func TestShortTimeLeftGoesToOneAttempt(t *testing.T) {
	d := newHarness(t, settings(), Listing{Route: "a"})
	for _, c := range []struct{ left, want time.Duration }{
		{1200 * ms, 1200*ms - deadlineMargin},
		{8 * time.Second, 1600 * ms}, // the time for an answer while none has been measured
	} {
		acts := d.step(Event{Kind: Accepted, ID: uint32(c.left), TimeLeft: c.left})
		if len(acts) != 1 || acts[0].Kind != Send || acts[0].TimeoutAt-d.now != c.want {
			t.Errorf("%v left: %+v, want one attempt with a timeout of %v", c.left, acts, c.want)
		}
	}
}

// Guards against messages that wait until their deadlines for destinations that open only later.
func TestUnreachableMessagesAreRefused(t *testing.T) {
	set := settings()
	set.Senders = 400
	d := newHarness(t, set, Listing{Route: "a", Weight: 4})
	r := d.sender.routes["a"]
	d.sender.now = d.now
	d.sender.markSuspect(r)
	r.group.credit = 0
	if acts := d.accept(1, 0); !has(acts, Refuse) {
		t.Errorf("opens in %v: %+v, want a refusal", d.sender.recoveryOpensAt(r)-d.now, acts)
	}
	if acts := d.accept(2, 2); has(acts, Refuse) != d.sender.mayRefuse(&message{class: &set.Classes[2]}) {
		t.Errorf("unsafe, nothing sent: %+v", acts)
	}
	r.group.credit = 1 - d.sender.recoveryRate(r) // opens in a second
	d.sender.markReady(r.group.dest)
	if acts := d.accept(3, 0); has(acts, Refuse) {
		t.Errorf("opens in a second: %+v, want it held", acts)
	}
}

// Guards against credit that hundreds of senders save up in a long outage and use together at its end.
func TestUnusedCreditLapses(t *testing.T) {
	set := settings()
	d := newHarness(t, set, Listing{Route: "a", Kind: 1, Weight: 4})
	r := d.sender.routes["a"]
	d.sender.now = d.now
	d.sender.markSuspect(r)
	r.group.credit = 0
	rate := d.sender.recoveryRate(r)
	open := 0
	const steps = 10000
	for range steps {
		d.sender.now += 10 * ms
		if d.sender.recoveryOpensAt(r) <= d.sender.now {
			open++
		}
	}
	want := rate * creditLapseShare * set.OverloadWindow.Seconds()
	if got := float64(open) / steps; math.Abs(got-want) > 0.1*want {
		t.Errorf("a call is allowed %.3f of the time, want %.3f", got, want)
	}
}

// Guards against a wake that comes slightly early and counts as still pending, so that its message gets no answer.
func TestEarlyWakeIsRequestedAgain(t *testing.T) {
	d := newHarness(t, settings())
	d.accept(1, 0)
	d.now += 1500 * ms
	at := d.now
	d.sender.requestWake(at + 500*time.Nanosecond)
	d.sender.wakeAt, d.sender.wantWake = d.sender.wantWake, 0
	acts := d.sender.Step(at, []Event{{Kind: Woken}})
	if !has(acts, Wake) {
		t.Errorf("no wake requested: %+v", acts)
	}
}

// Guards against idle connections of hundreds of senders that fill the connection tables of destinations.
func TestScarceConnectionsAreClosedAfterUse(t *testing.T) {
	for _, c := range []struct {
		senders int
		want    bool
	}{{fewSenders, false}, {100, true}} {
		set := settings()
		set.Senders = c.senders
		d := newHarness(t, set, Listing{Route: "a"}, Listing{Route: "b", Destination: 1})
		d.accept(1, 0)
		d.finish(1, "a", ConnectFailed, 10*ms, 0)
		d.step(Event{Kind: Accepted, ID: 2, Destination: 1, TimeLeft: 9 * time.Second})
		if got := has(d.finish(2, "b", OK, 10*ms, 0), CloseIdle); got != c.want {
			t.Errorf("%d senders: closed %v after a failed connection of the kind", c.senders, got)
		}
	}
}

// Guards against two failed connections at a full connection table that make a destination suspect for a warm-up.
func TestFullTableIsNoOutage(t *testing.T) {
	for _, c := range []struct {
		senders, fails int
		took           time.Duration
		suspect        bool
	}{
		{20, 2, 10 * ms, false},                // a full table
		{100, maxTableFull + 3, 10 * ms, true}, // an outage after all
		{100, 3, time.Second, true},            // not at once: no answer
		{3, 3, 10 * ms, true},                  // few senders do not fill a table
	} {
		set := settings()
		set.Senders = c.senders
		d := newHarness(t, set, Listing{Route: "a", Weight: 4}, Listing{Route: "b", Weight: 4})
		d.sender.now = d.now
		d.sender.connScarceUntil[0] = d.now + time.Minute
		for range c.fails {
			d.sender.recordOutcome(d.sender.routes["a"], sample{outcome: ConnectFailed, sent: d.now - c.took}, c.took)
		}
		if got := d.sender.routes["a"].suspect; got != c.suspect {
			t.Errorf("%+v: suspect %v", c, got)
		}
	}
}

// Guards against a pace that recovers thirty times slower at one call in several seconds than at ten a second.
func TestPaceRecoversWithTime(t *testing.T) {
	d := newHarness(t, settings(), Listing{Route: "a", Kind: 1})
	g := d.sender.routes["a"].group
	g.pace, g.halvedAt, g.tokensAt = 0.1, d.now, d.now
	d.sender.now = d.now + 4*time.Second
	d.sender.growPace(g)
	if want := 0.1 * math.Pow(1+paceGrowth, 4); math.Abs(g.pace-want) > 1e-9 {
		t.Errorf("pace %v after a success in 4 s, want %v", g.pace, want)
	}
}

// Guards against sending at full pace to a replacement that is listed during an outage.
func TestReplacementIsSuspect(t *testing.T) {
	d := newHarness(t, settings(), Listing{Route: "a"})
	for id := range uint32(3) {
		d.accept(id, 0)
		d.finish(id, "a", ConnectFailed, time.Second, 0)
		d.step(Event{Kind: Withdrawn, ID: id})
	}
	d.step(Event{Kind: ListChanges, List: []Listing{{Route: "a", Gone: true}, {Route: "n", InService: true}}})
	if d.sender.recoveryOpensAt(d.sender.routes["n"]) == 0 {
		t.Error("the replacement of a failing route is not under the recovery budget")
	}
}

func TestMessagesOfAKeyAreOrderedAndPaused(t *testing.T) {
	d := newHarness(t, settings(), Listing{Route: "a"})
	d.step(Event{Kind: Accepted, ID: 1, Key: "k", Class: 2, TimeLeft: 9 * time.Second},
		Event{Kind: Accepted, ID: 2, Key: "k", Class: 2, TimeLeft: 9 * time.Second})
	if acts := d.finish(1, "a", Timeout, time.Second, 0); has(acts, Send) {
		t.Errorf("sent while the key rests: %+v", acts)
	}
	if acts := d.wake(99 * ms); has(acts, Send) {
		t.Errorf("sent while the key rests: %+v", acts)
	}
	if acts := d.wake(ms); !has(acts, Send) {
		t.Error("the next message of the key was not sent after the rest")
	}
}

// Guards against skipping a route that has lost single calls: later calls were answered before these timed out.
func TestLostCallIsNoEvidence(t *testing.T) {
	d := newHarness(t, settings(), Listing{Route: "a"})
	r := d.sender.routes["a"]
	d.sender.now = d.now
	d.sender.recordOutcome(r, sample{outcome: OK, sent: d.now}, ms)
	for range 5 {
		d.sender.recordOutcome(r, sample{outcome: Timeout, sent: d.now - time.Second}, time.Second)
	}
	if r.down || r.suspect || r.failStreak != 0 {
		t.Errorf("down %v, suspect %v, %d failures in a row after lost calls", r.down, r.suspect, r.failStreak)
	}
}

// Guards against scattered resets that put a working route under the recovery budget.
func TestResetAtAWorkingRouteIsNoEvidence(t *testing.T) {
	d := newHarness(t, settings(), Listing{Route: "a"})
	r := d.sender.routes["a"]
	d.sender.now = d.now
	d.sender.recordOutcome(r, sample{outcome: OK, sent: d.now}, ms)
	d.sender.recordOutcome(r, sample{outcome: Reset, sent: d.now + 1}, ms)
	d.sender.recordOutcome(r, sample{outcome: Reset, sent: d.now + 1}, ms)
	if r.suspect {
		t.Error("suspect after two resets within 3 s of an answer")
	}
	d.sender.now += recentAnswerSpan
	for range 3 {
		d.sender.recordOutcome(r, sample{outcome: Reset, sent: d.now + 1}, ms)
	}
	if !r.down {
		t.Error("not skipped after three resets in a row and no answer for 3 s")
	}
}

// Guards against single timeouts that restart the warm-up of a route that goes on answering.
func TestTimeOutsBetweenAnswersKeepTheWarmUp(t *testing.T) {
	d := newHarness(t, settings(), Listing{Route: "a"})
	r := d.sender.routes["a"]
	d.sender.now = d.now
	d.sender.markSuspect(r)
	d.sender.recordOutcome(r, sample{outcome: OK, sent: d.now}, ms)
	since := r.recoveringSince
	for range 6 {
		d.sender.now += time.Second
		d.sender.recordOutcome(r, sample{outcome: Timeout, sent: d.sender.now - ms}, time.Second)
		d.sender.recordOutcome(r, sample{outcome: OK, sent: d.sender.now}, ms)
	}
	if since == 0 || r.recoveringSince != since || r.down {
		t.Errorf("recovering since %v, then %v, down %v", since, r.recoveringSince, r.down)
	}
	d.sender.now += time.Second
	for range 2 {
		d.sender.recordOutcome(r, sample{outcome: Timeout, sent: d.sender.now}, time.Second)
	}
	if r.recoveringSince != 0 {
		t.Error("two time-outs in a row did not restart the warm-up")
	}
}

// Guards against calls that end after milliseconds and keep a recovered route skipped.
func TestShortCallSkipsNothing(t *testing.T) {
	d := newHarness(t, settings(), Listing{Route: "a"})
	r := d.sender.routes["a"]
	d.sender.now = d.now
	for range 5 {
		d.sender.recordOutcome(r, sample{outcome: Timeout, sent: d.now, cutShort: true}, ms)
	}
	if r.down || !r.suspect {
		t.Errorf("down %v, suspect %v after short calls", r.down, r.suspect)
	}
}

// A call to a route whose last call failed carries one message. Otherwise up to ten messages share each failed trial.
func TestBatches(t *testing.T) {
	d := newHarness(t, settings(), Listing{Route: "a", Kind: 2})
	callsForThree := func(first uint32) int {
		var evs []Event
		for i := range uint32(3) {
			evs = append(evs, Event{Kind: Accepted, ID: first + i, TimeLeft: 9 * time.Second})
		}
		before := len(d.sender.routes["a"].calls)
		d.step(evs...)
		return len(d.sender.routes["a"].calls) - before
	}
	if n := callsForThree(1); n != 1 {
		t.Errorf("three messages in %d calls, want 1", n)
	}
	d.sender.routes["a"].failStreak = 1
	if n := callsForThree(4); n != 3 {
		t.Errorf("three messages in %d calls after a failure, want 3", n)
	}
}

func TestOverdueCallsKeepSlotsFree(t *testing.T) {
	set := settings()
	set.Slots = 8
	d := newHarness(t, set, Listing{Route: "a", Kind: 1})
	d.accept(1, 0)
	d.accept(2, 0)
	d.now += 5 * time.Second
	if acts := d.accept(3, 0); has(acts, Send) {
		t.Errorf("a third call to a silent route: %+v", acts)
	}
}

// Guards against hanging partners, and the endpoints that replace theirs, that together hold all slots.
func TestSilentRoutesHoldFewSlots(t *testing.T) {
	set := settings()
	set.Slots = 40
	d := newHarness(t, set, Listing{Route: "a", Kind: 1})
	for id := range uint32(maxUnansweredCalls) {
		if acts := d.accept(id, 0); !has(acts, Send) {
			t.Fatalf("message %d: %+v", id, acts)
		}
	}
	if acts := d.accept(10, 0); has(acts, Send) {
		t.Errorf("another call to a route that has not answered: %+v", acts)
	}
	if acts := d.finish(0, "a", OK, 10*ms, 0); !has(acts, Send) {
		t.Errorf("no further call to a route that has answered: %+v", acts)
	}
	d.finish(1, "a", OK, 10*ms, 0)
	if acts := d.accept(11, 0); !has(acts, Send) {
		t.Errorf("calls to a route that has answered are limited: %+v", acts)
	}
	d.now += 5 * time.Second
	if acts := d.accept(12, 0); has(acts, Send) {
		t.Errorf("another call while the oldest is overdue: %+v", acts)
	}
}

func TestLoadIsShedFromTheLongestQueue(t *testing.T) {
	set := settings()
	set.MaxHeld = 10
	d := newHarness(t, set)
	for id := range uint32(9) {
		d.accept(id, 0)
	}
	acts := d.step(Event{Kind: Accepted, ID: 20, Destination: 4, TimeLeft: 60 * time.Second})
	if len(acts) != 1 || acts[0].Kind != Refuse || acts[0].ID == 20 {
		t.Errorf("with MaxHeld almost reached: %+v", acts)
	}
}

func TestLateMessagesGoAfterThoseInTime(t *testing.T) {
	d := newHarness(t, settings())
	d.accept(1, 0)
	d.wake(3 * time.Second)
	d.accept(2, 0)
	acts := d.step(Event{Kind: ListChanges, List: []Listing{{Route: "a", InService: true}}})
	if len(acts) != 2 || acts[0].ID != 2 || acts[1].ID != 1 {
		t.Errorf("order of sends: %+v", acts)
	}
}

// A message past its aim does not delay messages that are still in time, for as long as it has time left.
func TestLateMessageWaitsForTheQueue(t *testing.T) {
	d := newHarness(t, settings())
	d.accept(1, 0)
	d.wake(3 * time.Second)
	d.wake(37 * time.Second)
	d.accept(2, 0)
	acts := d.step(Event{Kind: ListChanges, List: []Listing{{Route: "a", InService: true}}})
	if len(acts) != 2 || acts[0].ID != 2 || acts[1].ID != 1 {
		t.Errorf("order of sends: %+v", acts)
	}
}

func TestNewRejectsInvalidSettings(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"no class":       func(s *Settings) { s.Classes = nil },
		"negative slots": func(s *Settings) { s.Slots = -1 },
		"negative aim":   func(s *Settings) { s.Classes[0].Aim = -1 },
		"negative pause": func(s *Settings) { s.OrderPause = -1 },
		"no number":      func(s *Settings) { s.ColdShare = math.NaN() },
		"endless value":  func(s *Settings) { s.Classes[0].Value = math.Inf(1) },
	} {
		set := settings()
		change(&set)
		if _, err := New(set, 1); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// A message of an unknown class is treated by the strictest rules; a weight that is not a number is ignored.
func TestUnknownClassAndWeight(t *testing.T) {
	for _, class := range []int{-1, 99} {
		d := newHarness(t, settings(), Listing{Route: "a", Weight: math.NaN()}, Listing{Route: "b", Kind: 77})
		if got := firstSend(d.accept(1, class)); got == "" {
			t.Fatalf("class %d: not sent", class)
		}
		if acts := d.finish(1, "a", Timeout, time.Second, 0); !has(acts, Fail) || has(acts, Send) {
			t.Errorf("class %d: %+v after a time-out", class, acts)
		}
	}
}

func TestIntervalIsBounded(t *testing.T) {
	if interval(0) != time.Hour || interval(1e-9) != time.Hour || interval(math.Inf(1)) != 0 || interval(4) != 250*ms {
		t.Errorf("intervals %v %v %v", interval(0), interval(1e-9), interval(4))
	}
}

// Guards against key queues whose rest outlasts their last message, and destinations without routes, that are kept
// forever.
func TestStateOfRemovedRoutesIsReleased(t *testing.T) {
	set := settings()
	set.Slots, set.MaxHeld = 50, 100
	d := newHarness(t, set)
	for i := range 300 {
		id, name := uint32(i), fmt.Sprint("r", i)
		d.step(Event{Kind: ListChanges, List: []Listing{{Route: name, Destination: i, InService: true}}})
		d.step(Event{Kind: Accepted, ID: id, Key: name, Class: 2, Destination: i, TimeLeft: 9 * time.Second})
		d.finish(id, name, Timeout, time.Second, 0)
		d.step(Event{Kind: ListChanges, List: []Listing{{Route: name, Destination: i, Gone: true}}})
	}
	d.now += time.Minute
	d.step(Event{Kind: Woken}, Event{Kind: ListChanges})
	s := d.sender
	if n := len(s.keyQueues) + len(s.dests) + len(s.order) + len(s.routes) + len(s.msgs) + len(s.active) +
		len(s.routeless); n != 0 {
		t.Errorf("kept: %d key queues, %d destinations (%d in order), %d routes, %d messages, %d active, %d without routes",
			len(s.keyQueues), len(s.dests), len(s.order), len(s.routes), len(s.msgs), len(s.active), len(s.routeless))
	}
}

// Guards against a dispatch that examines all destinations, including those that nothing has changed.
func TestOnlyReadyDestinationsAreExamined(t *testing.T) {
	d := newHarness(t, settings(), Listing{Route: "a"}, Listing{Route: "b", Destination: 1})
	d.accept(1, 0)
	d.finish(1, "a", Full, ms, 5*time.Second)
	if len(d.sender.active) != 1 || d.sender.active[0].opensAt <= d.now {
		t.Fatalf("active %d, want the one destination that waits, blocked", len(d.sender.active))
	}
	opens := d.sender.active[0].opensAt
	d.step(Event{Kind: Accepted, ID: 2, Destination: 1, TimeLeft: 9 * time.Second})
	if len(d.sender.active) != 1 || d.sender.active[0].opensAt != opens {
		t.Error("a message for another destination had the blocked one examined again")
	}
}
