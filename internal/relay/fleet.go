package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"onyxroad.dev/onyxroad/internal/membership"
)

// joinRetryDelay is the pause between attempts to join. Joining fails while a process that hands over still has the
// address.
const joinRetryDelay = 250 * time.Millisecond

// fleet is the relay's membership in its fleet. Message delivery never waits for it.
type fleet struct {
	mu     sync.Mutex
	member membership.Fleet // nil: not joined
	state  membership.State
	left   bool
}

// joinFleet joins the fleet. It retries until that succeeds or the relay ends.
func (r *Relay) joinFleet(ctx context.Context) {
	if r.cfg.Join == nil {
		return
	}
	for logged := false; ; {
		m, err := r.cfg.Join(r.cfg.Membership, nil)
		if err == nil {
			r.fleet.setMember(m)
			return
		}
		if !logged {
			r.log.Warn("cannot join the fleet yet", "err", err)
			logged = true
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(joinRetryDelay):
		}
	}
}

func (f *fleet) setMember(m membership.Fleet) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.left {
		m.Close()
		return
	}
	f.member = m
	m.SetState(f.state)
}

// setState announces a state to the fleet, now or once it is joined.
func (f *fleet) setState(s membership.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state = s; f.member != nil {
		f.member.SetState(s)
	}
}

// leave ends the membership: with an announcement, or silently if a newer process takes this one's place.
func (f *fleet) leave(inOrder bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.member
	f.member, f.left = nil, true
	switch {
	case m == nil:
		return nil
	case inOrder:
		return m.Leave()
	}
	return m.Close()
}

// view returns the known view of the fleet; false if it is not joined.
func (f *fleet) view() (v membership.View, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.member == nil {
		return v, false
	}
	return f.member.View(), true
}

// Duties are the fleet's duties that a relay may hold. No message depends on them.
type Duties interface {
	// Run claims duties and does their work while they are held, until ctx ends. members returns the members present.
	Run(ctx context.Context, members func() []membership.Process)
	// Metrics returns the fleet's metrics in the format of /api/telemetry if this process holds the duty of aggregating
	// them. Otherwise text says who may hold it.
	Metrics() (text string, held bool)
}

// handleFleet answers GET /api/fleet.
func (r *Relay) handleFleet() answer {
	if r.cfg.Duties == nil {
		return answer{status: http.StatusNotFound, text: "no duties"}
	}
	text, held := r.cfg.Duties.Metrics()
	if !held {
		return answer{status: http.StatusMisdirectedRequest, text: text}
	}
	return answer{status: http.StatusOK, text: text}
}

// presentMembers returns the processes that are present; none if the fleet is not joined.
func (f *fleet) presentMembers() (all []membership.Process) {
	v, _ := f.view()
	for _, m := range v.Members {
		if m.Away == membership.Present {
			all = append(all, m.Process)
		}
	}
	return all
}

// handleMembers answers GET /api/members.
func (r *Relay) handleMembers() answer {
	v, ok := r.fleet.view()
	if !ok {
		return answer{status: http.StatusNotFound, text: "not in a fleet"}
	}
	text, err := json.Marshal(v)
	if err != nil {
		return answer{status: http.StatusInternalServerError, text: err.Error()}
	}
	return answer{status: http.StatusOK, text: string(text)}
}

// metricsText formats the fleet's metrics for /api/telemetry.
func (f *fleet) metricsText() string {
	v, ok := f.view()
	if !ok {
		return ""
	}
	var b strings.Builder
	agreed := 0
	if v.Agreement == membership.Agreed {
		agreed = 1
	}
	for _, x := range []struct {
		name  string
		value int
	}{{"present", v.Present}, {"careful", v.MayServe}, {"unreachable", v.Unreachable}, {"agreed", agreed}, {"differ", len(v.Disagreeing)},
		{"view_version", int(v.Version)}} {
		fmt.Fprintf(&b, "\nfleet.%s:%d|g", x.name, x.value)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.member != nil {
		fmt.Fprintf(&b, "\nfleet.bytes:%d|c", f.member.NetworkBytes())
	}
	return b.String()
}
