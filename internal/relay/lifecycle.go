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

// messageState is where a message stands.
type messageState string

// The states.
const (
	stateNew       messageState = "new"
	stateHeld      messageState = "held"      // taken on, and to be sent
	stateOut       messageState = "out"       // a call is out
	stateEnded     messageState = "ended"     // decided, and its final answer is due
	stateTold      messageState = "told"      // its final answer went to the platform
	stateDelivered messageState = "delivered" // an endpoint has taken it
	stateGone      messageState = "gone"      // nothing more is owed
)

// stateReason is why a message changes its state.
type stateReason string

// The reasons, besides the outcomes of calls.
const (
	reasonAccepted    stateReason = "accepted"
	reasonRecovered   stateReason = "recovered"
	reasonNoRoom      stateReason = "no_room"
	reasonNoDest      stateReason = "no_such_destination"
	reasonLog         stateReason = "log_not_written"
	reasonResubmitted stateReason = "came_again"
	reasonSend        stateReason = "send"
	reasonRefused     stateReason = "refused"
	reasonFailed      stateReason = "failed"
	reasonWithdrawn   stateReason = "client_left"
	reasonConfirmed   stateReason = "confirmed"
	reasonNotice      stateReason = "notice"
)

// outcomeReasons are the reasons of calls' ends.
var outcomeReasons = map[policy.Outcome]stateReason{
	policy.OK: "ok", policy.Error: "error", policy.Full: "turned_away", policy.ConnectFailed: "connect_failed", policy.Reset: "reset",
	policy.Timeout: "timeout", policy.Cancelled: "cancelled", policy.Moot: "not_sent",
}

// endReason is why a message that is not delivered ends.
func endReason(f wal.Final) stateReason {
	if f.Deferred {
		return reasonRefused
	}
	return reasonFailed
}

// logTransition tells of a change of a message's state.
func (r *Relay) logTransition(m *message, from, to messageState, why stateReason, more ...slog.Attr) {
	if !r.traced {
		return
	}
	all := append([]slog.Attr{slog.String("trace", m.Trace), slog.String("from", string(from)), slog.String("to", string(to)),
		slog.String("reason", string(why)), slog.Int("pid", r.pid)}, more...)
	r.log.LogAttrs(context.Background(), slog.LevelDebug, "message", all...)
}
