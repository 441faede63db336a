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

// Traffic measures what the members send from now on for a time, by their own count.
func (f *Fleet) Traffic(ctx context.Context, d time.Duration) {
	type count struct {
		at    time.Duration
		bytes int64
	}
	read := func() map[int]count {
		all := map[int]count{}
		for r := range f.plan.Members() {
			if p := f.last(r); p != nil {
				if n, err := f.bytes(ctx, p.admin); err == nil {
					all[r] = count{f.book.Now(), n}
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
			f.book.Add(ledger.Traffic{Relay: r, From: then.at, To: now.at, Bytes: now.bytes - then.bytes})
		}
	}
}

// bytes asks a relay at its second address.
func (f *Fleet) bytes(ctx context.Context, admin string) (int64, error) {
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
		return 0, fmt.Errorf("%s tells no bytes", admin)
	}
	return strconv.ParseInt(value, 10, 64)
}
