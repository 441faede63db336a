package relay

import (
	"context"
	"net"
	"time"

	"onyxroad.dev/onyxroad/internal/clock"
	"onyxroad.dev/onyxroad/policy"
)

// A process that has handed over forwards what still reaches it to its successor until it exits.

// releaseState drops the state that the successor owns now, to leave it the memory.
func (r *Relay) releaseState() {
	r.msgs, r.byTrace, r.routes = map[uint32]*message{}, map[string]*message{}, map[string]target{}
	r.knownDests, r.withdrawn, r.connectionMemory = map[int]bool{}, nil, connectionMemory{}
	r.sender = nil // makes no decision any more
	r.wal.ReleaseState()
	r.returnMemory()
}

// forwardStep replaces step in a process that has handed over: it forwards events to the new process.
func (r *Relay) forwardStep(batch []any) {
	for _, e := range batch {
		switch e := e.(type) {
		case *submission:
			switch {
			case e.m != nil && e.hasLeft():
				e.reply <- answer{}
				continue
			case e.unread: // the new process would take it for a request without a body
				e.reply <- handoverUnavailable
				continue
			}
			r.successor.forward(e)
		case withdrawal:
			r.successor.send(frame{Leave: e.id})
		case clientLeft:
			r.successor.forwardLeave(e.in)
		case *callFinished:
			r.callsOut--
			delete(r.inFlight, e.c)
			for i, a := range e.c.attempts {
				r.forwardOutcome(a, e.results[i], false)
			}
		case attemptTimeout:
			if !e.a.settled {
				r.forwardOutcome(e.a, result{outcome: policy.Timeout, took: clock.Since(e.a.sent)}, true)
			}
		case sendCheck:
			e.reply <- false // the attempt ends as policy.NotRun, and the new process decides anew
		case handoverRequest:
			e.link.Close()
		case stopIntake:
			r.stopping = true
		}
	}
	r.updateGauges()
	if r.stopping && !r.drainSignalled && r.callsOut == 0 {
		r.drainSignalled = true
		close(r.drained)
	}
}

// forwardOutcome reports an attempt's outcome to the new process. cut marks a time-out of an attempt whose call goes on.
func (r *Relay) forwardOutcome(a *attempt, res result, cut bool) {
	a.settled = a.settled || cut
	if a.timer != nil && !cut {
		a.timer.Stop()
	}
	if res.outcome == policy.OK && a.m.markCounted() {
		r.metrics.forClass(a.m.Class).answered.Add(1)
	}
	r.successor.send(frame{End: &forwardedOutcome{a.m.ID, a.n, cut, res.outcome, res.gone, res.wait, res.report, res.took}})
}

// readReplies delivers the new process's answers until the link closes. Requests that are then still unanswered are
// refused as unavailable.
func (r *Relay) readReplies(l *handoverLink) {
	for {
		var f frame
		if err := l.dec.Decode(&f); err != nil {
			break
		}
		if f.Reply != nil {
			l.resolve(*f.Reply)
		}
	}
	l.mu.Lock()
	l.closed = true
	unanswered := l.pending
	l.pending = map[uint32]*submission{}
	l.mu.Unlock()
	for _, in := range unanswered {
		in.reply <- handoverUnavailable
	}
}

// drainAfterHandover runs in a process that has handed over, until SIGTERM or for maxPredecessorDrain, whichever is
// shorter. Requests of its clients are forwarded, each answer closes its connection, and calls in flight run to
// completion. Closing the listener resets no connection: the new process holds the same socket.
func (r *Relay) drainAfterHandover(ctx context.Context, listener net.Listener) {
	r.serving.Store(false)
	listener.Close()
	r.clients.disableKeepAlive()
	r.hosts.close()
	select {
	case <-ctx.Done():
	case <-time.After(maxPredecessorDrain):
	}
	began := clock.Now()
	time.Sleep(acceptGrace)
	r.clients.close(began.Add(answerGrace))
	r.post(stopIntake{})
	select {
	case <-r.drained:
	case <-time.After(clock.Until(began.Add(shutdownTimeout))):
	}
}
