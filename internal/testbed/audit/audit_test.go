package audit

import (
	"testing"
	"time"

	"onyxroad.dev/onyxroad/internal/testbed/experiment"
	"onyxroad.dev/onyxroad/internal/testbed/ledger"
	"onyxroad.dev/onyxroad/internal/testbed/plan"
)

const (
	safe = iota
	keyed
	unsafe
)

const sec = time.Second

// world is a run that kept every rule: two relays, one partner with three endpoints of which two stand in one building,
// and a message of each class.
type world struct {
	p *plan.Plan
	l *ledger.Ledger
}

func newWorld() *world {
	x := experiment.Default()
	p := &plan.Plan{Experiment: x, Length: 60 * sec, FullRate: 10, Buildings: x.Fleet.Buildings,
		Relays:    []plan.Relay{{Name: "r1"}, {Name: "r2", Building: 1}},
		Partners:  []plan.Partner{{ID: 4, Endpoints: []int{0, 1, 2}}, {ID: 9}},
		Endpoints: []plan.Endpoint{{ID: "a"}, {ID: "b", Building: 1}, {ID: "c", Building: 1}},
	}
	for _, c := range x.Load.Classes {
		p.Classes = append(p.Classes, plan.Class{Class: c})
	}
	w := &world{p, ledger.New()}
	for class := range p.Classes {
		p.Arrivals = append(p.Arrivals, plan.Arrival{At: sec, Class: class})
		w.l.AddSubmission(&ledger.Submission{Message: class, Trace: trace(class), Due: sec, Sent: sec, Deadline: sec + p.Classes[class].Deadline.D(),
			Answered: sec + 1e6, Status: 202})
		w.l.Add(&ledger.Call{Endpoint: 1, Traces: []string{trace(class)}, FirstByte: 2 * sec, LastByte: 2 * sec, Written: 2*sec + 2e8,
			Status: 200, MayHaveRun: true, Ran: true})
	}
	for r := range 2 {
		w.l.Add(&ledger.Process{Relay: r, Start: 0, Ready: 1e8, StopSignaled: ledger.Never, End: ledger.Never})
	}
	return w
}

func trace(class int) string { return []string{"status", "order", "payment"}[class] }

func (w *world) call(class int) *ledger.Call { return w.l.Calls[class] }

// again adds a further call of a message.
func (w *world) again(class, endpoint int, at time.Duration) *ledger.Call {
	c := &ledger.Call{Endpoint: endpoint, Traces: []string{trace(class)}, FirstByte: at, LastByte: at, Written: at + 1e8, Status: 200, MayHaveRun: true}
	w.l.Add(c)
	return c
}

// killed has the first relay be killed, and start again.
func (w *world) killed(at time.Duration) {
	w.l.Processes[0].StopSignaled, w.l.Processes[0].End = at, at
	w.l.Add(&ledger.Process{Relay: 0, Start: 8 * sec, Ready: 8 * sec, StopSignaled: ledger.Never, End: ledger.Never})
}

// refusedOnAFailingDisk has the first relay refuse a message while its files fail for a time, be killed 2 s later, and send the
// message when its id comes again.
func (w *world) refusedOnAFailingDisk(failing time.Duration) {
	w.unanswered(safe)
	w.l.Submissions[safe].Status, w.l.Submissions[safe].Answered = 500, 2500*time.Millisecond
	w.p.Faults = []plan.Fault{{Kind: "files", At: 2 * sec, For: failing, Relays: []int{0}}}
	w.killed(4500 * time.Millisecond)
	w.l.Add(&ledger.Resubmission{Trace: "status", Sent: 8900 * time.Millisecond, Deadline: 20 * sec, Answered: 8900 * time.Millisecond, Status: 202})
	w.again(safe, 1, 9*sec)
}

// unanswered has a call end with nothing that tells whether it ran.
func (w *world) unanswered(class int) {
	c := w.call(class)
	c.Status, c.Written = 0, ledger.Never
}

func TestRules(t *testing.T) {
	for name, c := range map[string]struct {
		change func(w *world)
		rule   string // "": none is broken
	}{
		"all kept":    {func(*world) {}, ""},
		"never ended": {func(w *world) { w.unanswered(unsafe) }, Lost},
		"ended by a notice": {func(w *world) {
			w.unanswered(unsafe)
			w.l.Add(ledger.Notice{Trace: "payment", Status: "undeliverable", At: 5 * sec})
		}, ""},
		"late notice": {func(w *world) {
			w.unanswered(safe)
			w.l.Add(ledger.Notice{Trace: "status", Status: "deferred", At: 6*sec + 400e6})
		}, Late},
		"notice within the slack": {func(w *world) {
			w.unanswered(safe)
			w.l.Add(ledger.Notice{Trace: "status", Status: "deferred", At: 6*sec + 340e6})
		}, ""},
		"late, but its relay was away": {func(w *world) {
			w.unanswered(safe)
			w.l.Processes[0].StopSignaled, w.l.Processes[0].End = 5*sec, 5*sec
			w.l.Add(&ledger.Process{Relay: 0, Start: 8 * sec, Ready: 8 * sec, StopSignaled: ledger.Never, End: ledger.Never})
			w.l.Add(ledger.Notice{Trace: "status", Status: "deferred", At: 9 * sec})
		}, ""},
		"still late after that": {func(w *world) {
			w.unanswered(safe)
			w.l.Processes[0].StopSignaled, w.l.Processes[0].End = 5*sec, 5*sec
			w.l.Add(&ledger.Process{Relay: 0, Start: 8 * sec, Ready: 8 * sec, StopSignaled: ledger.Never, End: ledger.Never})
			w.l.Add(ledger.Notice{Trace: "status", Status: "deferred", At: 9*sec + 600e6})
		}, Late},
		"lost with its machine": {func(w *world) {
			w.unanswered(unsafe)
			w.l.Processes[0].StopSignaled, w.l.Processes[0].End = 5*sec, 5*sec
			w.l.Add(&ledger.Process{Relay: 0, Start: 8 * sec, Ready: 8 * sec, EmptyState: true, StopSignaled: ledger.Never, End: ledger.Never})
		}, ""},
		"lost by a restart": {func(w *world) {
			w.unanswered(unsafe)
			w.l.Processes[0].StopSignaled, w.l.Processes[0].End = 5*sec, 5*sec
			w.l.Add(&ledger.Process{Relay: 0, Start: 8 * sec, Ready: 8 * sec, StopSignaled: ledger.Never, End: ledger.Never})
		}, Lost},
		"a connection without an answer": {func(w *world) {
			h := w.l.Submissions[safe]
			h.ConnBroken, h.Answered, h.Status = true, ledger.Never, 0
		}, Lost},
		"that one by SIGKILL": {func(w *world) {
			h := w.l.Submissions[safe]
			h.ConnBroken, h.Answered, h.Status = true, ledger.Never, 0
			w.l.Processes[0].StopSignaled, w.l.Processes[0].End = sec+1e6, sec+2e6
		}, ""},
		"two ends": {func(w *world) {
			w.unanswered(safe)
			w.l.Add(ledger.Notice{Trace: "status", Status: "deferred", At: 3 * sec})
			w.l.Add(ledger.Notice{Trace: "status", Status: "undeliverable", At: 4 * sec})
		}, Second},
		"one end told twice": {func(w *world) {
			w.unanswered(safe)
			w.l.Add(ledger.Notice{Trace: "status", Status: "deferred", At: 3 * sec})
			w.l.Add(ledger.Notice{Trace: "status", Status: "deferred", At: 4 * sec})
		}, ""},
		"sent after its end": {func(w *world) {
			w.unanswered(safe)
			w.l.Add(ledger.Notice{Trace: "status", Status: "deferred", At: 3 * sec})
			w.again(safe, 1, 3*sec+200e6)
		}, Second},
		"sent after a 500": {func(w *world) {
			w.unanswered(safe)
			w.l.Submissions[safe].Status, w.l.Submissions[safe].Answered = 500, 2500*time.Millisecond
			w.again(safe, 1, 3*sec)
		}, SentEnded},
		"sent after its id was denied": {func(w *world) {
			w.l.Add(&ledger.Resubmission{Trace: "status", Answered: 3 * sec, Status: 400})
			w.again(safe, 1, 4*sec)
		}, SentEnded},
		"sent after its id was taken": {func(w *world) {
			w.l.Add(&ledger.Resubmission{Trace: "status", Answered: 3 * sec, Status: 202})
			w.again(safe, 1, 4*sec)
		}, ""},
		"sent after it was delivered": {func(w *world) {
			w.l.Add(ledger.LearnedEnd{Trace: "status", At: 2300 * time.Millisecond})
			w.again(safe, 1, 4*sec)
		}, SentEnded},
		"sent by the next process after it was delivered": {func(w *world) {
			w.l.Add(ledger.LearnedEnd{Trace: "status", At: 2300 * time.Millisecond})
			w.killed(sec * 3)
			w.again(safe, 1, 9*sec)
		}, SentEnded},
		"delivered right before a kill": {func(w *world) {
			w.l.Add(ledger.LearnedEnd{Trace: "status", At: 2300 * time.Millisecond})
			w.killed(2310 * time.Millisecond)
			w.again(safe, 1, 9*sec)
		}, ""},
		"delivered while the disk failed": {func(w *world) {
			w.l.Add(ledger.LearnedEnd{Trace: "status", At: 2300 * time.Millisecond})
			w.p.Faults = []plan.Fault{{Kind: "files", At: 2 * sec, For: 2 * sec, Relays: []int{0}}}
			w.killed(3 * sec)
			w.again(safe, 1, 9*sec)
		}, ""},
		"refused, and sent by the next process": {func(w *world) {
			w.unanswered(safe)
			w.l.Submissions[safe].Status, w.l.Submissions[safe].Answered = 500, 2500*time.Millisecond
			w.killed(2501 * time.Millisecond)
			w.again(safe, 1, 9*sec)
		}, SentEnded},
		"refused while the disk failed to the end, and taken on anew": {func(w *world) { w.refusedOnAFailingDisk(3 * sec) }, ""},
		"the same, but the disk was well before the end":              {func(w *world) { w.refusedOnAFailingDisk(sec) }, SentEnded},
		"the same, but the next process found it": {func(w *world) {
			w.refusedOnAFailingDisk(3 * sec)
			w.l.Add(ledger.Recovery{Trace: "status", At: 8500 * time.Millisecond, Remaining: w.l.Submissions[safe].Deadline - 8500*time.Millisecond})
		}, SentEnded},
		"the same, and a third process found what the second took on": {func(w *world) {
			w.refusedOnAFailingDisk(3 * sec)
			w.l.Add(ledger.Recovery{Trace: "status", At: 8950 * time.Millisecond, Remaining: 20*sec - 8950*time.Millisecond})
		}, ""},
		"the same, but nobody handed it in again": {func(w *world) {
			w.refusedOnAFailingDisk(3 * sec)
			w.l.Resubmissions = nil
		}, SentEnded},
		"refused, and sent by an emptied machine": {func(w *world) {
			w.unanswered(safe)
			w.l.Submissions[safe].Status, w.l.Submissions[safe].Answered = 503, 2500*time.Millisecond
			w.killed(3 * sec)
			w.l.Processes[len(w.l.Processes)-1].EmptyState = true
			w.again(safe, 1, 9*sec)
		}, ""},
		"a restart that takes a message to have more time": {func(w *world) {
			w.l.Add(ledger.Recovery{Trace: "status", At: 3 * sec, Remaining: 5 * sec}) // of 3 s
		}, Moved},
		"a restart that goes by an id's second time": {func(w *world) {
			w.l.Add(&ledger.Resubmission{Trace: "status", Sent: 2 * sec, Deadline: 8 * sec, Answered: 2 * sec, Status: 202})
			w.l.Add(ledger.Recovery{Trace: "status", At: 3 * sec, Remaining: 5 * sec})
		}, ""},
		"a restart that goes by neither time": {func(w *world) {
			w.l.Add(&ledger.Resubmission{Trace: "status", Sent: 2 * sec, Deadline: 20 * sec, Answered: 2 * sec, Status: 202})
			w.l.Add(ledger.Recovery{Trace: "status", At: 3 * sec, Remaining: 5 * sec})
		}, Moved},
		"a payment twice": {func(w *world) { w.unanswered(unsafe); w.again(unsafe, 1, 4*sec) }, Duplicate},
		"a payment twice, by the next process": {func(w *world) {
			w.unanswered(unsafe)
			w.killed(3 * sec)
			w.again(unsafe, 1, 9*sec)
		}, Duplicate},
		"a payment whose id came to an emptied machine": {func(w *world) {
			w.unanswered(unsafe)
			w.killed(3 * sec)
			w.l.Processes[len(w.l.Processes)-1].EmptyState = true
			w.again(unsafe, 1, 9*sec)
		}, ""},
		"a payment after a refusal": {func(w *world) {
			c := w.call(unsafe)
			c.Status, c.MayHaveRun = 503, false
			w.again(unsafe, 1, 4*sec)
		}, ""},
		"a payment before the refusal came": {func(w *world) {
			c := w.call(unsafe)
			c.Status, c.MayHaveRun, c.Written = 503, false, 5*sec
			w.again(unsafe, 1, 4*sec)
		}, Duplicate},
		"a status twice":                   {func(w *world) { w.unanswered(safe); w.again(safe, 0, 4*sec) }, ""},
		"an order twice in its building":   {func(w *world) { w.unanswered(keyed); w.again(keyed, 2, 9*sec) }, ""},
		"an order twice after its window":  {func(w *world) { w.unanswered(keyed); w.again(keyed, 2, 9*sec+600e6) }, Duplicate},
		"an order in another building":     {func(w *world) { w.unanswered(keyed); w.again(keyed, 0, 4*sec) }, Duplicate},
		"a call 600 ms after a drain":      {func(w *world) { w.drain(2*sec - 600e6) }, Drain},
		"a call 540 ms after a drain":      {func(w *world) { w.drain(2*sec - 540e6) }, ""},
		"a drain told to one that slept":   {func(w *world) { w.drain(sec); w.l.Processes[0].Pauses = []ledger.Pause{{From: sec / 2, To: 1800e6}} }, ""},
		"a call in a told wait":            {func(w *world) { w.wait(sec+850e6, 500*time.Millisecond) }, Wait},
		"a call as the wait is told":       {func(w *world) { w.wait(sec+950e6, 500*time.Millisecond) }, ""},
		"a call once the wait is over":     {func(w *world) { w.wait(sec, sec) }, ""},
		"a wait that a restart ended":      {func(w *world) { w.wait(sec, 5*sec); w.l.Processes[0].Start = sec + 500e6 }, ""},
		"pushed over by those who saw it":  {func(w *world) { w.fell(20, 30) }, Cold},
		"pushed over by those who did not": {func(w *world) { w.fell(19, 30) }, ""},
		"an unknown message":               {func(w *world) { w.l.Add(ledger.UnexplainedCall{Reason: "x"}) }, Wrong},
		"a peer kept":                      {func(w *world) { w.l.Add(ledger.HostilePeer{At: sec, Rejected: 4*sec + 100e6}) }, Hostile},
		"a peer never ended":               {func(w *world) { w.l.Add(ledger.HostilePeer{At: sec, Rejected: ledger.Never, Status: 202}) }, Hostile},
		"a peer closed in time":            {func(w *world) { w.l.Add(ledger.HostilePeer{At: sec, Rejected: 3 * sec}) }, ""},
		"a crash":                          {func(w *world) { w.l.Processes[1].End = 9 * sec }, Crash},
		"an end that was asked for":        {func(w *world) { w.l.Processes[1].StopSignaled, w.l.Processes[1].End = 8*sec, 9*sec }, ""},
		"an old process after a hand-over": {func(w *world) {
			w.l.Processes[1].End = 9 * sec
			w.l.Add(&ledger.Process{Relay: 1, Replacement: true, Start: 8 * sec, Ready: 8 * sec, StopSignaled: ledger.Never, End: ledger.Never})
		}, ""},
		"too much memory": {func(w *world) { w.l.Add(ledger.Sample{At: sec, MemoryMB: 95, DiskMB: 2}) }, Limit},
		"too much of two": {func(w *world) {
			w.l.Add(ledger.Sample{At: sec, PID: 1, Sockets: 300})
			w.l.Add(ledger.Sample{At: sec + 1e6, PID: 2, Sockets: 300})
		}, Limit},
		"too much on disk": {func(w *world) { w.l.Add(ledger.Sample{At: sec, DiskMB: 3.1}) }, Limit},
	} {
		w := newWorld()
		c.change(w)
		found := Judge(w.p, w.l, 0, 100*sec)
		switch {
		case c.rule == "" && len(found) > 0:
			t.Errorf("%s: %+v", name, found)
		case c.rule != "" && (len(found) == 0 || found[0].Rule != c.rule):
			t.Errorf("%s: %+v, want %s", name, found, c.rule)
		}
	}
}

func (w *world) drain(at time.Duration) {
	w.l.Add(ledger.ListChange{Relay: 0, Endpoint: 1, State: "draining", At: at})
}

// wait has the partner tell a wait before the calls that come at 2 s.
func (w *world) wait(at, d time.Duration) {
	w.l.Add(&ledger.Call{Endpoint: 0, Traces: []string{"status"}, FirstByte: at, LastByte: at, Written: at, Status: 429, RetryAfter: d})
}

func (w *world) fell(byThose, pushed int) {
	w.l.Add(&ledger.Outage{From: sec, To: 4 * sec, Collapsed: 5 * sec, CollapseCalls: pushed, WitnessCalls: byThose, Witnesses: map[int]bool{0: true}})
}

func TestWorth(t *testing.T) {
	w := newWorld()
	// The status is in time, the order 15 s late of the 26 s that it has, the payment never delivered.
	w.call(keyed).Written = sec + 15*sec
	w.unanswered(unsafe)
	w.l.Add(ledger.Notice{Trace: "payment", Status: "undeliverable", At: 5 * sec})
	fates := Fates(w.p, w.l, 0)
	for i, want := range []Outcome{InTime, TooLate, Failed} {
		if fates[i].Outcome != want {
			t.Errorf("message %d %s, want %s", i, Outcomes[fates[i].Outcome], Outcomes[want])
		}
	}
	// 2 of worth fall by half over the 26 s from aim to deadline, of which 13 have passed.
	if got := fates[1].Got; got < 1.499 || got > 1.501 {
		t.Errorf("the order earned %v, want 1.5", got)
	}
	fig := Figures(w.p, w.l, fates, 0)
	if got, want := fig["served"], 2.5/8; got < want-1e-9 || got > want+1e-9 {
		t.Errorf("served %v, want %v", got, want)
	}
	if fig["served_worst_class"] != 0 || fig["failed"] != 1.0/3 {
		t.Errorf("worst class %v, failed %v", fig["served_worst_class"], fig["failed"])
	}
}
