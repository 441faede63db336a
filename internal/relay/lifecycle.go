package relay

import (
	"context"
	"log/slog"

	"onyxroad.dev/onyxroad/internal/wal"
	"onyxroad.dev/onyxroad/policy"
)

// A message's life, one line for each change of its state, at level debug: grep for its trace id gives it whole, over
// processes. With the level off a
// line costs one comparison.

// state is where a message stands.
type state string

// The states.
const (
	stateNew       state = "new"
	stateHeld      state = "held"      // taken on, and to be sent
	stateOut       state = "out"       // a call is out
	stateEnded     state = "ended"     // decided, and its final answer is due
	stateTold      state = "told"      // its final answer went to the platform
	stateDelivered state = "delivered" // an endpoint has taken it
	stateGone      state = "gone"      // nothing more is owed
)

// reason is why a message changes its state.
type reason string

// The reasons, besides the outcomes of calls.
const (
	reasonAccepted    reason = "accepted"
	reasonRecovered   reason = "recovered"
	reasonNoRoom      reason = "no_room"
	reasonNoDest      reason = "no_such_destination"
	reasonLog         reason = "log_not_written"
	reasonResubmitted reason = "came_again"
	reasonSend        reason = "send"
	reasonRefused     reason = "refused"
	reasonFailed      reason = "failed"
	reasonWithdrawn   reason = "client_left"
	reasonConfirmed   reason = "confirmed"
	reasonNotice      reason = "notice"
)

// outcomeReasons are the reasons of calls' ends.
var outcomeReasons = map[policy.Outcome]reason{
	policy.OK: "ok", policy.Error: "error", policy.Full: "turned_away", policy.ConnectFailed: "connect_failed", policy.Reset: "reset",
	policy.Timeout: "timeout", policy.Cancelled: "cancelled", policy.Moot: "not_sent",
}

// endReason is why a message that is not delivered ends.
func endReason(f wal.Final) reason {
	if f.Deferred {
		return reasonRefused
	}
	return reasonFailed
}

// changed tells of a change of a message's state.
func (r *Relay) changed(m *message, from, to state, why reason, more ...slog.Attr) {
	if !r.traced {
		return
	}
	all := append([]slog.Attr{slog.String("trace", m.Trace), slog.String("from", string(from)), slog.String("to", string(to)),
		slog.String("reason", string(why)), slog.Int("pid", r.pid)}, more...)
	r.log.LogAttrs(context.Background(), slog.LevelDebug, "message", all...)
}
