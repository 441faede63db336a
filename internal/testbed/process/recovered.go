package process

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"onyxroad.dev/onyxroad/internal/testbed/ledger"
)

// lifecycleLine is a line of a relay's log about a state change of a message.
type lifecycleLine struct {
	Time     time.Time
	Trace    string
	From, To string
	LeftMS   *int64 `json:"left_ms"`
	Attempts int
}

// ReadRecoveries reads from the relays' logs which messages restarts recovered and which ends relays learned of from
// endpoints, and adds them to the ledger.
func (f *Fleet) ReadRecoveries() error {
	for r, relay := range f.plan.Relays {
		logs, err := filepath.Glob(filepath.Join(f.dir, relay.Name, "log.*"))
		if err != nil {
			return fmt.Errorf("process: find logs: %w", err)
		}
		for _, path := range logs {
			if err := f.readLog(r, path); err != nil {
				return fmt.Errorf("process: read recovered messages from %s: %w", path, err)
			}
		}
	}
	return nil
}

func (f *Fleet) readLog(r int, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		text := lines.Text()
		if !strings.Contains(text, `"reason":"recovered"`) && !strings.Contains(text, `"from":"out"`) {
			continue
		}
		var line lifecycleLine
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.From == "out" && (line.To == "delivered" || line.To == "gone") {
			f.ledger.Add(ledger.LearnedEnd{Relay: r, Trace: line.Trace, At: f.ledger.Offset(line.Time)})
			continue
		}
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil || line.LeftMS == nil {
			continue // truncated by a kill, or written by an older version
		}
		f.ledger.Add(ledger.Recovery{Relay: r, Trace: line.Trace, At: f.ledger.Offset(line.Time),
			Remaining: time.Duration(*line.LeftMS) * time.Millisecond, Attempts: line.Attempts})
	}
	return lines.Err()
}
