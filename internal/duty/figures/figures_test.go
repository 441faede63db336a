package figures

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"onyxroad.dev/onyxroad/internal/membership"
)

func TestSumReportsHowManyAnswered(t *testing.T) {
	answers := func(text string, status int) membership.Process {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			w.Write([]byte(text))
		}))
		t.Cleanup(s.Close)
		return membership.Process{Admin: strings.TrimPrefix(s.URL, "http://")}
	}
	f := New(Config{Stewards: []string{"127.0.0.1:1"}, Name: "n1", Log: slog.New(slog.DiscardHandler)})
	text := f.sum(t.Context(), []membership.Process{
		answers("relay.sends.a:3|c\nrelay.current:1|g\nfleet.present:9|g\nspoilt", 200),
		answers("relay.sends.a:4|c\nrelay.current:2.5|g", 200),
		answers("relay.sends.a:100|c", 503),
		{Admin: "127.0.0.1:1"}, // unreachable
		{},                     // no admin address
	}, 17)
	want := "fleet.members:5|g\nfleet.heard:2|g\nfleet.silent:3|g\nfleet.epoch:17|g\nrelay.current:3.5|g\nrelay.sends.a:7|c"
	if text != want {
		t.Errorf("%s", text)
	}
	if _, held := f.Metrics(); held {
		t.Error("serves fleet figures without holding the duty")
	}
}
