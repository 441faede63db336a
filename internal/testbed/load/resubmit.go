package load

import (
	"bufio"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"onyxroad.dev/onyxroad/internal/testbed/ledger"
	"onyxroad.dev/onyxroad/internal/testbed/network"
	"onyxroad.dev/onyxroad/internal/testbed/plan"
)

const (
	resubmitTimes = 3 // of one id at most
	resubmitAfter = 20 * time.Millisecond
	resubmitSpan  = 5 * time.Second // within which an id comes again
	resubmitWait  = 2 * time.Second // for the answer
	resubmitSalt  = 0x7265_7375
)

// resubmit has the id of a request come again now and then, as hostile clients do: on a connection of its own, with the time that
// its class has, and whatever became of the request.
func (l *Load) resubmit(h *ledger.HandIn, a *plan.Arrival) {
	rng := rand.New(rand.NewPCG(a.Draw, resubmitSalt+uint64(h.Try)))
	if rng.Float64() >= l.plan.Experiment.Load.Resubmitted {
		return
	}
	for range 1 + rng.IntN(resubmitTimes) {
		after := resubmitAfter + time.Duration(rng.Float64()*rng.Float64()*float64(resubmitSpan))
		l.work.Go(func() {
			if network.Sleep(l.ctx, after) == nil && l.alive(h.Relay) {
				l.handInAgain(h, a)
			}
		})
	}
}

func (l *Load) handInAgain(h *ledger.HandIn, a *plan.Arrival) {
	c, err := (&net.Dialer{Timeout: resubmitWait}).DialContext(l.ctx, "tcp4", l.addr(h.Relay))
	if err != nil {
		return
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(resubmitWait))
	fresh := *h
	fresh.Deadline = l.book.Now() + l.plan.Classes[a.Class].Deadline.D()
	r := &ledger.Resubmission{Relay: h.Relay, Trace: h.Trace, Sent: l.book.Now(), Deadline: fresh.Deadline, Answered: ledger.Never}
	l.book.Add(r)
	if _, err := c.Write(l.text(&fresh, a, "")); err != nil {
		return
	}
	if res, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
		l.book.Do(func() { r.Answered, r.Status = l.book.Now(), res.StatusCode })
	}
}
