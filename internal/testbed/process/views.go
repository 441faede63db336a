package process

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"onyxroad.dev/onyxroad/internal/testbed/ledger"
	"onyxroad.dev/onyxroad/internal/testbed/network"
)

// ReadViews adds to the ledger the changes of each relay's view of its fleet, as its logs tell them. The processes must
// have exited.
func (f *Fleet) ReadViews() error {
	if !f.plan.Experiment.Fleet.Members {
		return nil
	}
	processes := map[int][]*ledger.Process{}
	for _, l := range f.ledger.Processes {
		processes[l.Relay] = append(processes[l.Relay], l)
	}
	for r := range f.plan.Relays {
		for n, proc := range processes[r] {
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
					f.ledger.Add(ledger.ViewChange{Relay: r, PID: proc.PID, At: f.ledger.Offset(line.Time), Present: line.Present,
						Agreement: line.Agreement, Joined: line.Came, Left: line.Gone})
				}
			}
		}
	}
	return nil
}

// MeasureTraffic records how many bytes each member sends to its fleet within d, by the member's own counter.
func (f *Fleet) MeasureTraffic(ctx context.Context, d time.Duration) {
	type byteCount struct {
		at    time.Duration
		bytes int64
	}
	read := func() map[int]byteCount {
		all := map[int]byteCount{}
		for r := range f.plan.Members() {
			if p := f.newest(r); p != nil {
				if n, err := f.sentBytes(ctx, p.admin); err == nil {
					all[r] = byteCount{f.ledger.Now(), n}
				}
			}
		}
		return all
	}
	before := read()
	if network.Sleep(ctx, d) != nil {
		return
	}
	for r, now := range read() {
		if then, ok := before[r]; ok && now.bytes >= then.bytes {
			f.ledger.Add(ledger.Traffic{Relay: r, From: then.at, To: now.at, Bytes: now.bytes - then.bytes})
		}
	}
}

// sentBytes reads the bytes that a relay has sent to its fleet from the telemetry at its admin address.
func (f *Fleet) sentBytes(ctx context.Context, admin string) (int64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/api/telemetry", nil)
	if err != nil {
		return 0, err
	}
	res, err := f.http.Do(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, 1<<20))
	if err != nil {
		return 0, err
	}
	_, rest, ok := strings.Cut(string(text), "fleet.bytes:")
	value, _, _ := strings.Cut(rest, "|")
	if !ok {
		return 0, fmt.Errorf("telemetry of %s has no fleet.bytes", admin)
	}
	return strconv.ParseInt(value, 10, 64)
}
