package relay

import (
	"fmt"
	"log/slog"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// cause is why a client's connection was closed, or its request not taken, without the loop's decision.
type cause int

// The causes, in the order of causeNames.
const (
	causeNoRoom        cause = iota // no memory for a large request
	causeEvictedSilent              // closed for a new connection: nothing had arrived
	causeEvictedSlow                // closed for a new connection: its request arrived slowly
	causeEvictedIdle                // closed for a new connection: it was idle
	causeTimeout                    // its request was not whole in time
	causeTooLarge                   // its head or body was too large
	causeInvalid                    // its request was invalid
	causeLeft                       // the client left before its answer
	causeCount
)

var causeNames = [causeCount]string{"no_room", "evicted_silent", "evicted_slow", "evicted_idle", "timeout", "too_large", "invalid", "left"}

// evictionCauses are the causes of a connection that is closed for another, by its phase.
var evictionCauses = map[phase]cause{
	phaseSilent: causeEvictedSilent, phaseReading: causeEvictedSlow, phaseLingering: causeEvictedSlow, phaseIdle: causeEvictedIdle,
}

// causes counts refused requests and closed connections by their cause. It is safe for concurrent use.
type causes struct {
	log      *slog.Logger
	counts   [causeCount]atomic.Int64
	logLimit rate.Sometimes
}

func newCauses(log *slog.Logger) *causes {
	return &causes{log: log, logLimit: rate.Sometimes{First: 1, Interval: time.Second}}
}

// count counts a cause, and logs the ones for lack of room, at most once a second.
func (cs *causes) count(c cause) {
	total := cs.counts[c].Add(1)
	if c <= causeEvictedSlow {
		cs.logLimit.Do(func() { cs.log.Warn("no room for all clients", "cause", causeNames[c], "total", total) })
	}
}

// String formats the counters for /api/telemetry.
func (cs *causes) String() string {
	var text strings.Builder
	for c, name := range causeNames {
		fmt.Fprintf(&text, "\nrelay.client_closes.%s:%d|c", name, cs.counts[c].Load())
	}
	return text.String()
}
