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

// fakeFleet records what it is told.
type fakeFleet struct {
	states []membership.State
	ended  string
}

func (f *fakeFleet) View() membership.View {
	return membership.View{Version: 3, Agreement: membership.Split, Present: 2, MayServe: 5, Unreachable: 3,
		Members: []membership.Member{{Process: membership.Process{Name: "n3"}}}}
}

func (f *fakeFleet) SetState(x membership.State) { f.states = append(f.states, x) }
func (f *fakeFleet) NetworkBytes() int64         { return 17 }
func (f *fakeFleet) Leave() error                { f.ended = "left"; return nil }
func (f *fakeFleet) Close() error                { f.ended = "closed"; return nil }

func TestRelayAnnouncesStateToFleet(t *testing.T) {
	r := newTestRelay(t)
	admin := serveTestAdmin(t, r)
	if status, _ := adminCall(t, admin, http.MethodGet, "/api/members", ""); status != http.StatusNotFound {
		t.Errorf("without a fleet: %d", status)
	}
	member := &fakeFleet{}
	tries := 0
	r.cfg.Join = func(membership.Config, func(membership.View)) (membership.Fleet, error) {
		if tries++; tries == 1 {
			return nil, errors.New("address already in use") // by a process that hands over
		}
		return member, nil
	}
	r.fleet.setState(membership.Serving)
	r.joinFleet(t.Context())
	r.fleet.setState(membership.Draining)
	if len(member.states) != 2 || member.states[0] != membership.Serving || member.states[1] != membership.Draining {
		t.Errorf("announced %v", member.states)
	}
	status, body := adminCall(t, admin, http.MethodGet, "/api/members", "")
	var v membership.View
	if err := json.Unmarshal([]byte(body), &v); status != http.StatusOK || err != nil || v.MayServe != 5 || len(v.Members) != 1 {
		t.Errorf("%d, %s, %v", status, body, err)
	}
	if _, text := adminCall(t, admin, http.MethodGet, "/api/telemetry", ""); !strings.Contains(text, "fleet.careful:5|g") ||
		!strings.Contains(text, "fleet.agreed:0|g") || !strings.Contains(text, "fleet.bytes:17|c") {
		t.Errorf("metrics %s", text)
	}
	if err := r.fleet.leave(true); err != nil || member.ended != "left" {
		t.Errorf("%q, %v", member.ended, err)
	}
	// A fleet that is joined after the relay has left is closed again.
	late := &fakeFleet{}
	r.cfg.Join = func(membership.Config, func(membership.View)) (membership.Fleet, error) { return late, nil }
	r.joinFleet(t.Context())
	if late.ended != "closed" {
		t.Errorf("joined late: %q", late.ended)
	}
	// A relay that cannot join must still be able to end.
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	r.cfg.Join = func(membership.Config, func(membership.View)) (membership.Fleet, error) {
		return nil, errors.New("never")
	}
	r.joinFleet(ctx)
}
