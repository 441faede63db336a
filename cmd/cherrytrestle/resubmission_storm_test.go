package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

var (
	stormIDs  = flag.Int("storm.ids", 600, "number of unsafe requests whose ids are submitted repeatedly")
	stormSeed = flag.Uint64("storm.seed", 1, "random seed")
)

// maxRuns is how many calls of one id may have run.
const maxRuns = 1

// runLog records when calls of each id may have run.
type runLog struct {
	mu   sync.Mutex
	runs map[string][]time.Time
}

// answer fails now and then, and records every call that may have run.
func (l *runLog) answer(w http.ResponseWriter, _ *http.Request, ids []string) {
	switch draw := rand.IntN(20); {
	case draw < 2:
		w.WriteHeader(http.StatusServiceUnavailable) // never ran
		return
	case draw < 4:
		w.WriteHeader(http.StatusInternalServerError)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range ids {
		l.runs[id] = append(l.runs[id], time.Now())
	}
}

func TestAnUnsafeRequestWhoseIDComesAgainRunsOnce(t *testing.T) {
	log := &runLog{runs: map[string][]time.Time{}}
	p := newFakeAgent(t)
	var known []listEntry
	for i := range 8 {
		entry := newEntry(fmt.Sprint("s-", i), newHost(t, log.answer).addr(), "a", "platform", "ready")
		entry["cell"] = 100 + i
		known = append(known, entry)
	}
	r := newRelay(t, p, known, func(settings map[string]any) {
		settings["services"].([]map[string]any)[0]["semantics"] = "non_idempotent"
		settings["extra"].(map[string]any)["call_slots"] = 40
		settings["bounds"].(map[string]any)["open_cap"] = 2000
	})
	var done atomic.Int64
	work := make(chan int)
	var clients sync.WaitGroup
	for worker := range 32 {
		rng := rand.New(rand.NewPCG(*stormSeed, uint64(worker)))
		clients.Go(func() {
			for i := range work {
				for range 2 + rng.IntN(3) {
					r.submitWhileRestarting(fmt.Sprint("m", i), 100+i%8)
					time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
				}
				done.Add(1)
			}
		})
	}
	go func() {
		defer close(work)
		for i := range *stormIDs {
			work <- i
		}
	}()
	for _, quarter := range []int{1, 2, 3} {
		eventually(t, "the next quarter of the ids", func() bool { return done.Load() >= int64(quarter**stormIDs/4) })
		if quarter == 2 {
			must(t, r.terminate())
		} else {
			r.kill()
		}
		r.start(p)
	}
	clients.Wait()
	log.mu.Lock()
	defer log.mu.Unlock()
	repeated, afterNotice := 0, 0
	for id, at := range log.runs {
		if len(at) > maxRuns {
			repeated++
		}
		if f := p.notice(id); f != nil && at[len(at)-1].After(p.noticeTime(id).Add(50*time.Millisecond)) {
			afterNotice++
		}
	}
	t.Logf("%d ids, %d ran, %d more than once, %d after their notice", *stormIDs, len(log.runs), repeated, afterNotice)
	if repeated+afterNotice > 0 || len(log.runs) < *stormIDs/2 {
		t.Errorf("%d ids ran, %d of them more than once, %d after their notice", len(log.runs), repeated, afterNotice)
	}
}

// submitWhileRestarting submits a message; the relay may be down.
func (r *relayProcess) submitWhileRestarting(id string, destination int) {
	res, err := r.client.Do(r.request(id, 10*time.Second, func(q *http.Request) {
		q.Header.Set("Envelope", fmt.Sprintf("dest=%d", destination))
	}))
	if err == nil {
		res.Body.Close()
	}
}
