package relay

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"onyxroad.dev/onyxroad/policy"
)

// lockedBuffer is a log's output, which other goroutines write as well.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// The lines of one trace id show a message's whole life: each state change starts where the previous one ended.
func TestLogShowsMessageLifecycle(t *testing.T) {
	var out lockedBuffer
	r := newTestRelay(t)
	r.log, r.traced = slog.New(slog.NewJSONHandler(&out, &slog.HandlerOptions{Level: slog.LevelDebug})), true
	for _, id := range []string{"other", "m1"} {
		stepSubmissions(r, newSubmission(id, 7, 5*time.Second))
	}
	m := r.byTrace["m1"]
	stepUntil(t, r, "its first call ends", func() bool { return m.outstanding == 0 })
	r.execute([]policy.Action{{Kind: policy.Fail, ID: m.ID}}, nil)
	r.step([]any{noticesConfirmed{[]uint32{m.ID}}})
	var reasons []string
	last := string(stateNew)
	out.mu.Lock()
	defer out.mu.Unlock()
	for line := range strings.Lines(out.text.String()) {
		if !strings.Contains(line, `"trace":"m1"`) {
			continue
		}
		var change struct{ From, To, Reason string }
		if err := json.Unmarshal([]byte(line), &change); err != nil {
			t.Fatal(err)
		}
		if change.From != last {
			t.Errorf("from %s, after %s: %s", change.From, last, line)
		}
		last = change.To
		reasons = append(reasons, change.Reason)
	}
	const first, end = "accepted send connect_failed ", " failed notice confirmed"
	if got := strings.Join(reasons, " "); !strings.HasPrefix(got, first) || !strings.HasSuffix(got, end) {
		t.Errorf("its reasons: %s", got)
	}
}

func TestLogShowsResubmissionOutcome(t *testing.T) {
	var out lockedBuffer
	traced := func(r *Relay) *Relay {
		r.log, r.traced = slog.New(slog.NewJSONHandler(&out, &slog.HandlerOptions{Level: slog.LevelDebug})), true
		r.knownDests[unlistedDest] = true
		return r
	}
	r := traced(newTestRelay(t))
	submit := func(left time.Duration) { stepSubmissions(r, newSubmission("m1", unlistedDest, left)) }
	submit(-time.Second) // refused
	submit(time.Second)
	r = traced(restartRelay(t, r))
	submit(time.Second)
	var again []string
	for line := range strings.Lines(out.text.String()) {
		var change struct {
			Trace, Reason string
			EndedAs       string `json:"ended_as"`
			Status, PID   int
		}
		if err := json.Unmarshal([]byte(line), &change); err != nil {
			t.Fatal(err)
		}
		if change.Reason == string(reasonResubmitted) {
			again = append(again, fmt.Sprint(change.Trace, change.EndedAs, change.Status, change.PID == os.Getpid()))
		}
	}
	if want := "m1refused503 true"; len(again) != 2 || again[0] != want || again[1] != want {
		t.Errorf("logged %q", again)
	}
}
