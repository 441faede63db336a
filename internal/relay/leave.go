package relay

import (
	"errors"
	"os"
	"slices"
	"time"

	"onyxroad.dev/onyxroad/internal/clock"
	"onyxroad.dev/onyxroad/internal/sockets"
	"onyxroad.dev/onyxroad/policy"
)

// A client that leaves before its answer submits its message again under another id, so what has not been sent by then is
// withdrawn. The leave is an event of its own: it may come before the request is written to the log, while it waits, or
// until its answer is written, and behind any number of bytes that nobody has read.

// clientLeft is the event that the client of a submission has left.
type clientLeft struct{ in *submission }

// hasLeft reports whether the submission's client has left.
func (in *submission) hasLeft() bool {
	if in.left.Load() {
		return true
	}
	if in.client != nil && sockets.PeerClosed(in.client.Conn) {
		in.markLeft()
	}
	return in.left.Load()
}

// markLeft records that the submission's client has left. No answer is owed to it.
func (in *submission) markLeft() {
	in.left.Store(true)
	if in.client != nil {
		in.client.unanswered.Store(false)
	}
}

// leftUnanswered reports whether the submission's client has left without an answer.
func (in *submission) leftUnanswered() bool {
	if in.answered.Load() {
		return false
	}
	left := in.left.Load() || in.client != nil && sockets.PeerClosed(in.client.Conn)
	return left && !in.answered.Load() // it may have been answered meanwhile, and have left after that
}

// attachSubmitters lets each call find the submissions of this step whose messages it carries.
func attachSubmitters(calls []*call, waiting []*submission) {
	for _, c := range calls {
		for _, a := range c.attempts {
			i := slices.IndexFunc(waiting, func(in *submission) bool { return in.msg == a.m })
			if i >= 0 && !a.m.shared {
				a.submitter = waiting[i]
			}
		}
	}
}

// submitterLeft reports whether the client of an attempt's message has left without an answer.
func (a *attempt) submitterLeft() bool { return a.submitter != nil && a.submitter.leftUnanswered() }

// reportLeaves posts the leaves for which a call was not made.
func (r *Relay) reportLeaves(c *call) {
	for _, a := range c.attempts {
		if a.submitterLeft() {
			r.post(clientLeft{a.submitter})
		}
	}
}

// watchForLeave calls onLeave once the client has closed or reset its connection, until endWatch. What the client sends
// meanwhile is kept as the beginning of its next request; what does not fit into the buffer is dropped.
func (c *client) watchForLeave(onLeave func()) {
	c.allow(maxLingerBytes)
	c.surplus = false
	watched := make(chan error, 1)
	c.watchResult = watched
	go func() {
		err := c.readAhead()
		watched <- err
		if isLeave(err) {
			onLeave()
		}
	}()
}

// readAhead reads until the connection fails or ends.
func (c *client) readAhead() error {
	for {
		if c.r.Buffered() == c.r.Size() {
			c.r.Discard(c.r.Buffered())
			c.surplus = true
		}
		if _, err := c.r.Peek(c.r.Buffered() + 1); err != nil {
			return err
		}
	}
}

// isLeave reports whether a read that ended with err shows that the peer has left.
func isLeave(err error) bool {
	return !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, errTooLarge)
}

// endWatch ends watchForLeave, and reports whether the client was still there at that time.
func (c *client) endWatch() (present bool, at time.Time) {
	c.SetReadDeadline(pastDeadline)
	err := <-c.watchResult
	at = clock.Now()
	return !isLeave(err) && !sockets.PeerClosed(c.Conn), at
}

// dropLeft answers the submissions whose clients have left, and returns the others. Nothing is written to the log for them.
func (r *Relay) dropLeft(ins []*submission) []*submission {
	present := ins[:0]
	for _, in := range ins {
		if in.hasLeft() {
			in.reply <- answer{}
			continue
		}
		present = append(present, in)
	}
	return present
}

// withdrawLeft withdraws a submission's message after its client has left. It does nothing if the message is not known
// yet, or is that of another submission.
func (r *Relay) withdrawLeft(evs []policy.Event, in *submission) []policy.Event {
	if in.msg == nil || in.msg.Message != in.m {
		return evs
	}
	return r.withdraw(evs, in.m.ID)
}
