package duties

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// validHistory returns a history with a change of holder, in which an effect of the first holder arrives late and is refused.
func validHistory() History {
	return History{
		Claims: []Claim{{"a", "d", 3, 0, 10 * ms}, {"b", "d", 5, 5 * ms, 100 * ms}},
		Effects: []Effect{
			{"a", "d", 0, 3, 20 * ms, 21 * ms, 22 * ms, true},
			{"b", "d", 0, 5, 110 * ms, 111 * ms, 112 * ms, true},
			{"a", "d", 0, 3, 60 * ms, 120 * ms, 121 * ms, false},
			{"a", "d", 1, 3, 70 * ms, 130 * ms, 131 * ms, true}, // this receiver has accepted nothing newer
		},
	}
}

func TestAuditAcceptsValidHistory(t *testing.T) {
	h := validHistory()
	if v := h.Audit(); !v.Linearizable || v.Unknown || v.StaleAccepted+v.LeaseOverlaps+v.ReusedEpochs != 0 {
		t.Errorf("%+v", v)
	}
}

func TestAuditFindsEachViolation(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*History)
		found  func(AuditResult) bool
	}{
		"a stale effect is accepted": {func(h *History) { h.Effects[2].Accepted = true },
			func(v AuditResult) bool { return !v.Linearizable && v.StaleAccepted == 1 }},
		"a valid effect is refused": {func(h *History) { h.Effects[1].Accepted = false }, func(v AuditResult) bool { return !v.Linearizable }},
		"an epoch goes back":        {func(h *History) { h.Claims[1].Epoch, h.Claims[1].Requested = 2, 50*ms }, func(v AuditResult) bool { return !v.Linearizable }},
		"an effect of no grant":     {func(h *History) { h.Effects[1].Epoch = 9 }, func(v AuditResult) bool { return !v.Linearizable }},
		"an epoch has two holders":  {func(h *History) { h.Claims[1].Epoch = 3 }, func(v AuditResult) bool { return v.ReusedEpochs == 1 }},
		"two holders at one time":   {func(h *History) { h.Effects[2].Sent = 115 * ms }, func(v AuditResult) bool { return v.LeaseOverlaps == 1 }},
	} {
		h := validHistory()
		c.change(&h)
		if v := h.Audit(); !c.found(v) {
			t.Errorf("%s: %+v", name, v)
		}
	}
}

func TestQuantile(t *testing.T) {
	v := []float64{4, 1, 3, 2}
	if quantile(v, 0.5) != 2 || quantile(v, 0.99) != 4 || quantile(nil, 0.5) != -1 {
		t.Error(quantile(v, 0.5), quantile(v, 0.99), quantile(nil, 0.5))
	}
}
