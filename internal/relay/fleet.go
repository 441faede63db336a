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

// joinPause is the time between two attempts to join: while a process that hands over still has the address, say.
const joinPause = 250 * time.Millisecond

// fleet is the relay's part in its fleet. No message waits for it, whatever becomes of it.
type fleet struct {
	mu     sync.Mutex
	member membership.Fleet // nil: not joined
	state  membership.State
	ended  bool
}

// joinFleet joins the fleet, and tries again until that works or the relay ends.
func (r *Relay) joinFleet(ctx context.Context) {
	if r.cfg.Join == nil {
		return
	}
	for told := false; ; {
		m, err := r.cfg.Join(r.cfg.Membership, nil)
		if err == nil {
			r.fleet.joined(m)
			return
		}
		if !told {
			r.log.Warn("not in the fleet yet", "err", err)
			told = true
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(joinPause):
		}
	}
}

func (f *fleet) joined(m membership.Fleet) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended {
		m.Close()
		return
	}
	f.member = m
	m.SetState(f.state)
}

// become tells the fleet of a state, now or once it is joined.
func (f *fleet) become(s membership.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state = s; f.member != nil {
		f.member.SetState(s)
	}
}

// end ends the relay's part: in order, or without a word where a newer process takes its place.
func (f *fleet) end(inOrder bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.member
	f.member, f.ended = nil, true
	switch {
	case m == nil:
		return nil
	case inOrder:
		return m.Leave()
	}
	return m.Close()
}

// view is the fleet as it is known; false without one.
func (f *fleet) view() (v membership.View, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.member == nil {
		return v, false
	}
	return f.member.View(), true
}

// Duties is what a relay may hold of the fleet's duties. Nothing of a message's way depends on it.
type Duties interface {
	// Run claims duties and works on those that are held, until ctx ends. members tells who is present.
	Run(ctx context.Context, members func() []membership.Process)
	// Figures are the fleet's, in the second address's form, where this process holds them; else who does, perhaps.
	Figures() (text string, held bool)
}

// fleetFigures answers GET /api/fleet.
func (r *Relay) fleetFigures() answer {
	if r.cfg.Duties == nil {
		return answer{status: http.StatusNotFound, text: "no duties"}
	}
	text, held := r.cfg.Duties.Figures()
	if !held {
		return answer{status: http.StatusMisdirectedRequest, text: text}
	}
	return answer{status: http.StatusOK, text: text}
}

// members are the processes that are present; none without a fleet.
func (f *fleet) members() (all []membership.Process) {
	v, _ := f.view()
	for _, m := range v.Members {
		if m.Away == membership.Present {
			all = append(all, m.Process)
		}
	}
	return all
}

// members answers GET /api/members.
func (r *Relay) members() answer {
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

// figures are the fleet's, in the second address's form.
func (f *fleet) figures() string {
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
