package process

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"onyxroad.dev/onyxroad/internal/testbed/ledger"
)

// Views reads from the relays' logs what each has seen of its fleet. The processes have ended.
func (f *Fleet) Views() error {
	if !f.plan.Experiment.Fleet.Members {
		return nil
	}
	lives := map[int][]*ledger.Life{}
	for _, l := range f.book.Lives {
		lives[l.Relay] = append(lives[l.Relay], l)
	}
	for r := range f.plan.Relays {
		for n, life := range lives[r] {
			data, err := os.ReadFile(filepath.Join(f.dir, f.plan.Relays[r].Name, fmt.Sprintf("log.%d", n)))
			if err != nil {
				return fmt.Errorf("process: %w", err)
			}
			for in := bufio.NewScanner(bytes.NewReader(data)); in.Scan(); {
				var line struct {
					Time       time.Time
					Msg        string
					Present    int
					Agreement  string
					Came, Gone []string
				}
				if json.Unmarshal(in.Bytes(), &line) == nil && line.Msg == "view" {
					f.book.Add(ledger.ViewChange{Relay: r, PID: life.PID, At: f.book.At(line.Time), Present: line.Present,
						Agreement: line.Agreement, Came: line.Came, Gone: line.Gone})
				}
			}
		}
	}
	return nil
}
