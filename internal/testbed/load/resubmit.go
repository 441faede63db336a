package load

import (
	"bufio"
	"cmp"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"onyxroad.dev/onyxroad/internal/testbed/ledger"
	"onyxroad.dev/onyxroad/internal/testbed/network"
	"onyxroad.dev/onyxroad/internal/testbed/plan"
)

const (
	maxResubmissions = 3 // of one id
	minResubmitDelay = 20 * time.Millisecond
	resubmitWindow   = 5 * time.Second // within which an id is submitted again, unless the experiment says otherwise
	resubmitTimeout  = 2 * time.Second // for the connection and the answer
	resubmitSeed     = 0x7265_7375
)

// resubmit submits the id of a request again at random, as hostile clients do: on a new connection, with the full deadline
// of its class, and regardless of the request's result.
func (l *Load) resubmit(sub *ledger.Submission, a *plan.Arrival) {
	rng := rand.New(rand.NewPCG(a.Draw, resubmitSeed+uint64(sub.Try)))
	if rng.Float64() >= l.plan.Experiment.Load.Resubmitted {
		return
	}
	window := cmp.Or(l.plan.Experiment.Load.ResubmitWindow.D(), resubmitWindow)
	for range 1 + rng.IntN(maxResubmissions) {
		after := minResubmitDelay + time.Duration(rng.Float64()*rng.Float64()*float64(window))
		l.wg.Go(func() {
			if network.Sleep(l.ctx, after) == nil && l.alive(sub.Relay) {
				l.resubmitOnce(sub, a)
			}
		})
	}
}

func (l *Load) resubmitOnce(sub *ledger.Submission, a *plan.Arrival) {
	c, err := (&net.Dialer{Timeout: resubmitTimeout}).DialContext(l.ctx, "tcp4", l.addr(sub.Relay))
	if err != nil {
		return
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(resubmitTimeout))
	resubmitted := *sub
	resubmitted.Deadline = l.ledger.Now() + l.plan.Classes[a.Class].Deadline.D()
	r := &ledger.Resubmission{Relay: sub.Relay, Trace: sub.Trace, Sent: l.ledger.Now(), Deadline: resubmitted.Deadline, Answered: ledger.Never}
	l.ledger.Add(r)
	if _, err := c.Write(l.requestText(&resubmitted, a, "")); err != nil {
		return
	}
	if res, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
		l.ledger.Update(func() { r.Answered, r.Status = l.ledger.Now(), res.StatusCode })
	}
}
