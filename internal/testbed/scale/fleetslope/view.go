package fleetslope

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"runtime"
	"time"

	"onyxroad.dev/onyxroad/internal/membership"
	"onyxroad.dev/onyxroad/internal/membership/gossip"
	"onyxroad.dev/onyxroad/internal/testbed/scale"
)

const (
	viewChangeCount = 20
	// The events that a tracker receives for one change. In the slopes of members the views settled within 5 s; a view counts as
	// agreed on 3 s after its last change; and each second a member receives about two digests of other members' views.
	ticksPerChange = 8
	digestsPerTick = 2
)

// memberView measures the view tracker alone, for fleets that are too large for one machine. It is driven by the events that
// were measured in smaller fleets.
func memberView() scale.Slope {
	return scale.Slope{
		Name: "member-view",
		About: "the tracker of views alone, by the events that members of smaller fleets have of one member's end and of its return: " +
			"one of the library's, eight ticks and sixteen digests",
		Variable: "members", Sizes: []int{700, 1400, 2800, 5600, 11000}, Small: []int{50, 100, 200, 400, 800}, Seeds: []uint64{1, 2, 3},
		Figures: []scale.Figure{
			{Name: "change_cpu_us", Unit: "us", About: "processor time of one change, until it is agreed on"},
			{Name: "heap_bytes", Unit: "bytes", About: "of the tracker with its view, after a collection"},
			{Name: "gathered_ms", Unit: "ms", About: "for which changes are gathered before a view is told: a setting, not measured"},
		},
		Cost:    func(size int) scale.Cost { return scale.Cost{Memory: 64<<20 + int64(size)*(8<<10)} },
		Measure: measureView,
	}
}

func measureView(ctx context.Context, size int, seed uint64, _ scale.Env) (map[string]float64, error) {
	rng := rand.New(rand.NewPCG(seed, uint64(size)))
	process := func(i int, incarnation uint64) membership.Process {
		name := fmt.Sprintf("relay-%05d", i)
		return membership.Process{Name: name, Building: fmt.Sprintf("zone-%d", i%buildings), Addr: memberAddr(i),
			Admin: memberAddr(i), Incarnation: 1_700_000_000_000 + incarnation, Folder: fmt.Sprintf("FOLDER%06d", i),
			Version: "0123456789ab", State: membership.Serving}
	}
	before, err := ownMemoryUsage()
	if err != nil {
		return nil, err
	}
	now := time.Now() // the tracker's simulated clock
	t := membership.NewTracker(process(0, 1), size, now)
	for i := 1; i < size; i++ {
		t.ObserveAlive(process(i, 1), now)
	}
	last := t.View()
	after, err := ownMemoryUsage()
	if err != nil {
		return nil, err
	}
	log := slog.New(slog.DiscardHandler)
	// awaitAgreed advances the clock until a change is agreed on, and logs the new view, as a member does.
	awaitAgreed := func() {
		for range ticksPerChange {
			now = now.Add(time.Second)
			for range digestsPerTick {
				t.RecordDigest(fmt.Sprintf("relay-%05d", 1+rng.IntN(size-1)), t.View().Digest, now)
			}
			t.Tick(now)
			if v := t.View(); v.Version != last.Version {
				came, gone := v.Changes(last)
				log.Info("view", "came", came, "gone", gone)
				last = v
			}
		}
	}
	began := ownCPUTime()
	for range viewChangeCount / 2 {
		i := 1 + rng.IntN(size-1)
		t.ObserveLost(process(i, 1), false, now)
		awaitAgreed()
		t.ObserveAlive(process(i, 1), now)
		awaitAgreed()
		if err := ctx.Err(); err != nil {
			return nil, err
		}
	}
	spent := ownCPUTime() - began
	if v := t.View(); v.Present != size || v.Agreement != membership.Agreed {
		return nil, fmt.Errorf("fleetslope: the tracker ends with %d of %d members, agreement %s", v.Present, size, v.Agreement)
	}
	runtime.KeepAlive(t)
	return map[string]float64{"change_cpu_us": float64(spent.Microseconds()) / viewChangeCount, "heap_bytes": after.heap - before.heap,
		"gathered_ms": millis(gossip.BatchDelay(size))}, nil
}
