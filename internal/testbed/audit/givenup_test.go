package audit

import (
	"fmt"
	"testing"

	"onyxroad.dev/onyxroad/internal/testbed/ledger"
)

func TestAMessageThatWasTriedIsNotGivenUpUntried(t *testing.T) {
	for _, attempts := range []int{0, 1} {
		w := newWorld()
		w.killed(8 * sec / 2)
		for i := range fewUntried {
			id := fmt.Sprint("m", i)
			w.l.AddSubmission(&ledger.Submission{Message: safe, Trace: id, Sent: 3 * sec, Deadline: 30 * sec, Answered: 3 * sec, Status: 202})
			w.l.Add(ledger.Recovery{Trace: id, At: 8 * sec, Remaining: 22 * sec, Attempts: attempts})
			w.l.Add(ledger.Notice{Trace: id, Status: "deferred", At: 9 * sec})
		}
		if found := Count(Judge(w.p, w.l, 0, 60*sec))[GivenUp]; (found > 0) != (attempts == 0) {
			t.Errorf("%d attempts on record: broken %v times", attempts, found)
		}
	}
}
