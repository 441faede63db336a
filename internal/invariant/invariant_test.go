package invariant

import (
	"log/slog"
	"strings"
	"testing"
	"time"
)

// Each invariant is violated by what breaks it, and by nothing that just keeps it.
func TestEachInvariantIsViolatedByWhatBreaksIt(t *testing.T) {
	sound := Send{Recorded: true, Left: time.Second}
	send := func(change func(*Send)) func(*Guard) {
		s := sound
		change(&s)
		return func(g *Guard) { g.Sending(s) }
	}
	for name, breaks := range map[Name]func(*Guard){
		SendLate:       send(func(s *Send) { s.Left = -time.Second }),
		SendAfterEnd:   send(func(s *Send) { s.EndOfSends = true }),
		SendDraining:   send(func(s *Send) { s.Draining = time.Second }),
		SendUnrecorded: send(func(s *Send) { s.Recorded = false }),
		SendEnded:      send(func(s *Send) { s.Ended = true }),
		RepeatUnsafe:   func(g *Guard) { g.Repeating(Repeat{Unsafe: true}) },
		RepeatLate:     func(g *Guard) { g.Repeating(Repeat{Window: time.Second, Age: 2 * time.Second}) },
		RepeatElse:     func(g *Guard) { g.Repeating(Repeat{OneZone: true, To: 1}) },
		EndTwice:       func(g *Guard) { g.Ending("t", true, true, 0) },
		EndUnrecorded:  func(g *Guard) { g.Ending("t", false, false, time.Second) },
		CloseUnread:    func(g *Guard) { g.Closing("p", false, 7) },
		StartLate:      func(g *Guard) { g.Ready(ReadyWithin + 1) },
		BoundPassed:    func(g *Guard) { g.Bound("connections", 3, 2) },
	} {
		g := New(slog.New(slog.DiscardHandler))
		var told []string
		g.OnViolation(func(text string) { told = append(told, text) })
		breaks(g)
		breaks(g)
		if len(told) != 2 || !strings.Contains(told[0], string(name)) {
			t.Errorf("%s: told %q", name, told)
		}
		if want := "\nrelay.violations." + string(name) + ":2|c"; g.Figures() != want {
			t.Errorf("%s: figures %q", name, g.Figures())
		}
	}
	g := New(slog.New(slog.DiscardHandler))
	g.OnViolation(func(text string) { t.Errorf("just kept, and: %s", text) })
	g.Sending(Send{Recorded: true, Draining: DrainGrace + Slack, Left: -Slack})
	g.Repeating(Repeat{Window: time.Second, Age: time.Second + Slack, OneZone: true})
	g.Ending("t", false, true, time.Second)
	g.Ending("t", false, false, Slack)
	g.Closing("p", false, 0)
	g.Ready(ReadyWithin)
	g.Bound("connections", 2, 2)
	if g.Figures() != "" {
		t.Errorf("figures %q", g.Figures())
	}
}
