package audit

import (
	"fmt"
	"testing"

	"onyxroad.dev/onyxroad/internal/testbed/ledger"
)

// TestGivenUpIgnoresAttemptedMessages guards against counting a message as given up without an attempt when the relay's log has
// attempts whose connections were refused, and which no endpoint has therefore seen.
func TestGivenUpIgnoresAttemptedMessages(t *testing.T) {
	for _, attempts := range []int{0, 1} {
		w := newFixture()
		w.killRelay(8 * second / 2)
		for i := range minUntried {
			id := fmt.Sprint("m", i)
			w.l.AddSubmission(&ledger.Submission{Message: safe, Trace: id, Sent: 3 * second, Deadline: 30 * second, Answered: 3 * second, Status: 202})
			w.l.Add(ledger.Recovery{Trace: id, At: 8 * second, Remaining: 22 * second, Attempts: attempts})
			w.l.Add(ledger.Notice{Trace: id, Status: "deferred", At: 9 * second})
		}
		if found := CountByRule(Check(w.p, w.l, 0, 60*second))[RuleGivenUp]; (found > 0) != (attempts == 0) {
			t.Errorf("%d logged attempts: %v violations", attempts, found)
		}
	}
}
