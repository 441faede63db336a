package relay

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"onyxroad.dev/onyxroad/internal/membership"
)

// standIn is a fleet that remembers what it was told.
type standIn struct {
	states []membership.State
	ended  string
}

func (s *standIn) View() membership.View {
	return membership.View{Version: 3, Agreement: membership.Split, Present: 2, MayServe: 5, Unreachable: 3,
		Members: []membership.Member{{Process: membership.Process{Name: "n3"}}}}
}

func (s *standIn) SetState(x membership.State) { s.states = append(s.states, x) }
func (s *standIn) NetworkBytes() int64         { return 17 }
func (s *standIn) Leave() error                { s.ended = "left"; return nil }
func (s *standIn) Close() error                { s.ended = "closed"; return nil }

func TestTheRelayTellsItsFleet(t *testing.T) {
	r := newTestRelay(t)
	admin := adminOf(t, r)
	if status, _ := ask(t, admin, http.MethodGet, "/api/members", ""); status != http.StatusNotFound {
		t.Errorf("without a fleet: %d", status)
	}
	member := &standIn{}
	tries := 0
	r.cfg.Join = func(membership.Config, func(membership.View)) (membership.Fleet, error) {
		if tries++; tries == 1 {
			return nil, errors.New("address already in use") // by a process that hands over
		}
		return member, nil
	}
	r.fleet.become(membership.Serving)
	r.joinFleet(t.Context())
	r.fleet.become(membership.Draining)
	if len(member.states) != 2 || member.states[0] != membership.Serving || member.states[1] != membership.Draining {
		t.Errorf("told %v", member.states)
	}
	status, body := ask(t, admin, http.MethodGet, "/api/members", "")
	var v membership.View
	if err := json.Unmarshal([]byte(body), &v); status != http.StatusOK || err != nil || v.MayServe != 5 || len(v.Members) != 1 {
		t.Errorf("%d, %s, %v", status, body, err)
	}
	if _, text := ask(t, admin, http.MethodGet, "/api/telemetry", ""); !strings.Contains(text, "fleet.careful:5|g") ||
		!strings.Contains(text, "fleet.agreed:0|g") || !strings.Contains(text, "fleet.bytes:17|c") {
		t.Errorf("figures %s", text)
	}
	if err := r.fleet.end(true); err != nil || member.ended != "left" {
		t.Errorf("%q, %v", member.ended, err)
	}
	// One that is joined when the relay has ended already is let go.
	late := &standIn{}
	r.cfg.Join = func(membership.Config, func(membership.View)) (membership.Fleet, error) { return late, nil }
	r.joinFleet(t.Context())
	if late.ended != "closed" {
		t.Errorf("joined late: %q", late.ended)
	}
	// And one that can't join does not hold up the end.
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	r.cfg.Join = func(membership.Config, func(membership.View)) (membership.Fleet, error) {
		return nil, errors.New("never")
	}
	r.joinFleet(ctx)
}
