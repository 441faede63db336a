package invariant

import (
	"log/slog"
	"strings"
	"testing"
	"time"
)

// Each check must report a broken rule under its name, and must not report values at the very limit.
func TestEachInvariantIsViolatedByWhatBreaksIt(t *testing.T) {
	sound := Send{Recorded: true, Left: time.Second}
	send := func(change func(*Send)) func(*Guard) {
		s := sound
		change(&s)
		return func(g *Guard) { g.CheckSend(s) }
	}
	for name, breaks := range map[Name]func(*Guard){
		SendLate:        send(func(s *Send) { s.Left = -time.Second }),
		SendAfterEnd:    send(func(s *Send) { s.EndOfSends = true }),
		SendDraining:    send(func(s *Send) { s.Draining = time.Second }),
		SendUnrecorded:  send(func(s *Send) { s.Recorded = false }),
		SendEnded:       send(func(s *Send) { s.Ended = true }),
		RepeatUnsafe:    func(g *Guard) { g.CheckRepeat(Repeat{Unsafe: true}) },
		RepeatLate:      func(g *Guard) { g.CheckRepeat(Repeat{Window: time.Second, Age: 2 * time.Second}) },
		RepeatElsewhere: func(g *Guard) { g.CheckRepeat(Repeat{OneZone: true, ToZone: 1}) },
		EndTwice:        func(g *Guard) { g.CheckEnd("t", true, true, 0) },
		EndUnrecorded:   func(g *Guard) { g.CheckEnd("t", false, false, time.Second) },
		CloseUnread:     func(g *Guard) { g.CheckClose("p", false, 7) },
		StartLate:       func(g *Guard) { g.CheckStart(ReadyWithin + 1) },
		BoundPassed:     func(g *Guard) { g.CheckBound("connections", 3, 2) },
	} {
		g := New(slog.New(slog.DiscardHandler))
		var told []string
		g.OnViolation(func(text string) { told = append(told, text) })
		breaks(g)
		breaks(g)
		if len(told) != 2 || !strings.Contains(told[0], string(name)) {
			t.Errorf("%s: violations %q", name, told)
		}
		if want := "\nrelay.violations." + string(name) + ":2|c"; g.Metrics() != want {
			t.Errorf("%s: metrics %q", name, g.Metrics())
		}
	}
	g := New(slog.New(slog.DiscardHandler))
	g.OnViolation(func(text string) { t.Errorf("violation at the limit: %s", text) })
	g.CheckSend(Send{Recorded: true, Draining: DrainGrace + Tolerance, Left: -Tolerance})
	g.CheckRepeat(Repeat{Window: time.Second, Age: time.Second + Tolerance, OneZone: true})
	g.CheckEnd("t", false, true, time.Second)
	g.CheckEnd("t", false, false, Tolerance)
	g.CheckClose("p", false, 0)
	g.CheckStart(ReadyWithin)
	g.CheckBound("connections", 2, 2)
	if g.Metrics() != "" {
		t.Errorf("metrics %q", g.Metrics())
	}
}
