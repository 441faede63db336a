package relay

import (
	"context"
	"log/slog"
	"time"

	"onyxroad.dev/onyxroad/internal/wal"
	"onyxroad.dev/onyxroad/policy"
)

// Every change of a message's state is logged as one line at level debug, so a search for its trace id shows the
// message's whole life, across processes. With the level off, a line costs one comparison.

// messageState is the state of a message.
type messageState string

// The states, as they are logged.
const (
	stateNew       messageState = "new"
	stateHeld      messageState = "held"      // accepted, and to be sent
	stateOut       messageState = "out"       // a call is in progress
	stateEnded     messageState = "ended"     // decided, and its final notice is due
	stateTold      messageState = "told"      // its final notice was queued for the platform
	stateDelivered messageState = "delivered" // accepted by an endpoint
	stateGone      messageState = "gone"      // nothing more is owed
)

// stateReason is why a message changes its state.
type stateReason string

// The reasons, besides the outcomes of calls.
const (
	reasonAccepted    stateReason = "accepted"
	reasonRecovered   stateReason = "recovered"
	reasonNoRoom      stateReason = "no_room"
	reasonNoMemory    stateReason = "no_memory"
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

// outcomeReasons maps a call's outcome to the reason that is logged.
var outcomeReasons = map[policy.Outcome]stateReason{
	policy.OK: "ok", policy.Error: "error", policy.Full: "turned_away", policy.ConnectFailed: "connect_failed", policy.Reset: "reset",
	policy.Timeout: "timeout", policy.Cancelled: "cancelled", policy.NotRun: "not_sent",
}

// endReason is the reason for the end of an undelivered message.
func endReason(f wal.Final) stateReason {
	if f.Deferred {
		return reasonRefused
	}
	return reasonFailed
}

// logTransition logs a change of a message's state.
func (r *Relay) logTransition(m *message, from, to messageState, reason stateReason, more ...slog.Attr) {
	if !r.traced {
		return
	}
	all := append([]slog.Attr{slog.String("trace", m.Trace), slog.String("from", string(from)), slog.String("to", string(to)),
		slog.String("reason", string(reason)), slog.Int("pid", r.pid)}, more...)
	r.log.LogAttrs(context.Background(), slog.LevelDebug, "message", all...)
}

// logAnswer logs the answer to a submission whose client was there at a time.
func (r *Relay) logAnswer(m *wal.Message, a answer, present time.Time) {
	if r.traced {
		r.log.LogAttrs(context.Background(), slog.LevelDebug, "answer", slog.String("trace", m.Trace), slog.Int("status", a.status),
			slog.Time("client_present", present), slog.Int("pid", r.pid))
	}
}
