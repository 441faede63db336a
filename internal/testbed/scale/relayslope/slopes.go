// Package relayslope measures how the cost of a relay and of its log grows with the destinations listed, the messages held and
// the messages that arrive. A real relay, with decision module, network side and log, runs in a process of its own, so that its
// use of resources is separate from the testbed's. Around it is a stub platform on loopback: an agent with a list, an endpoint
// that answers at once, and one that rejects everything. Not covered: slow partners, faults, other relays, the fleet.
package relayslope

import (
	"context"
	"time"

	"onyxroad.dev/onyxroad/internal/testbed/scale"
)

const (
	steadyRate     = 200.0 // messages a second during the measurement of a step
	steadyDuration = 3 * time.Second
	idleDuration   = time.Second
	eventsDuration = 4 * time.Second
	changeCount    = 150
	changeInterval = 10 * time.Millisecond
	// refusalWarmup is how long a destination has to refuse connections until the pauses between attempts have reached their
	// longest: 2 s to 10 s.
	refusalWarmup = 30 * time.Second
	// refusalDuration is one and a half times the longest pause between attempts. Attempts come in waves, because all destinations
	// started at the same time.
	refusalDuration = 15 * time.Second
	// heldPerDown is how many messages are held for each destination that is down: 61 billion messages over 11,000 relays and
	// 104,000 such destinations.
	heldPerDown  = 55
	healthyCount = 20 // destinations that accept everything, besides those that accept nothing
)

// Estimates of memory use in bytes, of the relay and of the testbed's process together.
const (
	relayBytes  = 96 << 20
	listedBytes = 24 << 10 // a listed destination with two routes
	heldBytes   = 8 << 10  // a held message
	eventBytes  = 64 << 10 // an event a second
	loggedBytes = 8 << 10  // a message in a log without a relay
)

// Slopes returns the slopes of the relay and of the log.
func Slopes() []scale.Slope {
	return []scale.Slope{
		listedSlope(), heldSlope("relay-held-few", 20), heldSlope("relay-held-many", 2000), eventsSlope(), logSlope("log-single", false), logSlope("log-segments", true),
		refusingSlope(), owedSlope(),
	}
}

// Figures that several slopes share.
var (
	heapBytes     = scale.Figure{Name: "heap_bytes", Unit: "bytes", About: "the relay's heap after a collection"}
	residentBytes = scale.Figure{Name: "resident_bytes", Unit: "bytes", About: "the relay's resident memory under the steady load, garbage and all"}
	stepCPU       = scale.Figure{Name: "step_cpu_us", Unit: "us", About: "processor time of the loop's thread for each message of a steady 200 a second " +
		"that is taken in and delivered: two steps or three of module, relay and log, and what is done between them"}
	eventCPU  = scale.Figure{Name: "event_cpu_us", Unit: "us", About: "processor time of the whole relay for each message that is taken in and delivered"}
	idleCores = scale.Figure{Name: "idle_cores", Unit: "cores", About: "processor time of the whole relay in a second without load"}
	startCPU  = scale.Figure{Name: "start_cpu_ms", Unit: "ms", About: "processor time from the process's beginning until clients are let in"}
	startMS   = scale.Figure{Name: "start_ms", Unit: "ms", About: "time from the process's beginning until clients are let in"}
)

// seeds repeat the measurements that depend on chance: on ports, on a relay's random choices, on other work of the machine.
var seeds = []uint64{1, 2, 3}

func listedSlope() scale.Slope {
	return scale.Slope{
		Name: "relay-listed", Variable: "destinations listed",
		About: "a real relay in a process of its own that is started with a list, two routes to a destination, and holds nothing",
		Sizes: []int{500, 1000, 2000, 4000, 8000, 16000}, Small: []int{50, 100, 200, 400, 800}, Seeds: seeds,
		Figures: []scale.Figure{heapBytes, residentBytes, startCPU, startMS,
			{Name: "change_cpu_us", Unit: "us", About: "processor time of the whole relay for a change of one entry of the list, above what it uses idle"},
			stepCPU, eventCPU, idleCores,
			{Name: "list_bytes", Unit: "bytes", About: "what the whole list weighs as discovery tells it"}},
		Cost: func(n int) scale.Cost { return scale.Cost{Memory: relayBytes + int64(n)*listedBytes, Processes: 1} },
		Measure: func(ctx context.Context, n int, seed uint64, env scale.Env) (map[string]float64, error) {
			return measureRelay(ctx, Spec{Healthy: n}, seed, env)
		},
	}
}

func heldSlope(name string, destinations int) scale.Slope {
	return scale.Slope{
		Name: name, Variable: "messages held",
		About: "a real relay in a process of its own, started on a log of messages that it holds untried, for destinations that told it to wait for hours",
		Sizes: []int{2000, 4000, 8000, 16000, 32000, 64000}, Small: []int{200, 400, 800, 1600, 3200}, Seeds: seeds,
		Figures: []scale.Figure{heapBytes, residentBytes, stepCPU, eventCPU, idleCores, startCPU, startMS},
		Cost: func(n int) scale.Cost {
			return scale.Cost{Memory: relayBytes + int64(destinations)*listedBytes + int64(n)*heldBytes, Processes: 1}
		},
		Measure: func(ctx context.Context, n int, seed uint64, env scale.Env) (map[string]float64, error) {
			return measureRelay(ctx, Spec{Healthy: healthyCount, Down: destinations, Held: n}, seed, env)
		},
	}
}

func eventsSlope() scale.Slope {
	return scale.Slope{
		Name: "relay-events", Variable: "events a second",
		About: "a real relay in a process of its own that takes messages in and delivers each at once, 20 destinations listed",
		Sizes: []int{50, 100, 200, 400, 800, 1600}, Small: []int{20, 40, 80, 160, 320}, Seeds: seeds,
		Figures: []scale.Figure{
			{Name: "cores", Unit: "cores", About: "processor time of the whole relay in a second"},
			eventCPU, stepCPU,
			{Name: "p99_ms", Unit: "ms", About: "99th percentile of the time from a hand-in to the call at the endpoint, on the clock"},
			residentBytes},
		Cost: func(n int) scale.Cost { return scale.Cost{Memory: relayBytes + int64(n)*eventBytes, Processes: 1} },
		Measure: func(ctx context.Context, n int, seed uint64, env scale.Env) (map[string]float64, error) {
			return measureEvents(ctx, float64(n), seed, env)
		},
	}
}

// refusingSlope measures a relay some of whose destinations refuse connections, with as many messages held for each as at the
// target. Destinations that are down are retried, which has a cost even if no message arrives.
func refusingSlope() scale.Slope {
	return scale.Slope{
		Name: "relay-down", Variable: "destinations down",
		About: "a real relay in a process of its own, with 55 messages held for each of the destinations that refuse connections, " +
			"half a minute after its start and on: every pause between two tries is as long as it gets",
		Sizes: []int{100, 200, 400, 800, 1600}, Small: []int{5, 10, 20, 40, 80}, Seeds: seeds,
		Figures: []scale.Figure{
			{Name: "cores", Unit: "cores", About: "processor time of the whole relay in a second without load"},
			{Name: "loop_cores", Unit: "cores", About: "of that, the thread's of the relay's loop: module, relay and log"},
			residentBytes,
			{Name: "p99_ms", Unit: "ms", About: "99th percentile, on the clock, of the time from a hand-in to the call at an endpoint that answers, " +
				"200 messages a second"}},
		Cost: func(n int) scale.Cost {
			return scale.Cost{Memory: relayBytes + int64(n)*(listedBytes+heldPerDown*heldBytes), Processes: 1}
		},
		Measure: func(ctx context.Context, n int, seed uint64, env scale.Env) (map[string]float64, error) {
			return measureRefusing(ctx, Spec{Healthy: healthyCount, Down: n, Held: heldPerDown * n, Refused: true}, seed, env)
		},
	}
}

// measureRefusing measures the cost of destinations that refuse connections.
func measureRefusing(ctx context.Context, s Spec, seed uint64, env scale.Env) (x map[string]float64, err error) {
	h, err := s.start(ctx, seed, env)
	if err != nil {
		return nil, err
	}
	defer func() { err = closeRelay(err, h) }()
	if err := h.pinLoop(ctx); err != nil {
		return nil, err
	}
	if err := sleep(ctx, refusalWarmup); err != nil {
		return nil, err
	}
	quiet, err := h.measureUsage(func() error { return sleep(ctx, refusalDuration) })
	if err != nil {
		return nil, err
	}
	l, _, err := h.deliverLoad(ctx, steadyRate, steadyDuration)
	if err != nil {
		return nil, err
	}
	end, err := h.query(queryUsage)
	if err != nil {
		return nil, err
	}
	return map[string]float64{
		"cores": quiet.cpu.Seconds() / quiet.wall.Seconds(), "loop_cores": quiet.loop.Seconds() / quiet.wall.Seconds(),
		"p99_ms": l.p99(), "resident_bytes": float64(end.Resident),
	}, h.awaitHeld(ctx)
}

func logSlope(name string, segments bool) scale.Slope {
	about := "a log in one file, opened by a process of its own"
	if segments {
		about = "a log in segments, opened by a process of its own"
	}
	return scale.Slope{
		Name: name, Variable: "messages held", About: about,
		Sizes: []int{5000, 10000, 20000, 40000, 80000, 160000}, Small: []int{200, 400, 800, 1600, 3200}, Seeds: seeds,
		Figures: []scale.Figure{
			{Name: "heap_bytes", Unit: "bytes", About: "heap that the open log takes, with all that it holds, after a collection"},
			{Name: "disk_bytes", Unit: "bytes", About: "what its files take of the disk once it is open"},
			{Name: "open_cpu_ms", Unit: "ms", About: "processor time of opening it"},
			{Name: "open_ms", Unit: "ms", About: "time of opening it"},
			{Name: "compact_bytes", Unit: "bytes", About: "what a compaction writes"}},
		Cost: func(n int) scale.Cost { return scale.Cost{Memory: relayBytes + int64(n)*loggedBytes, Processes: 1} },
		Measure: func(ctx context.Context, n int, _ uint64, env scale.Env) (map[string]float64, error) {
			return measureLog(ctx, n, env, segments)
		},
	}
}

// measureRelay measures start, idle load, changes of the list, steady load and memory of a relay.
func measureRelay(ctx context.Context, s Spec, seed uint64, env scale.Env) (x map[string]float64, err error) {
	h, err := s.start(ctx, seed, env)
	if err != nil {
		return nil, err
	}
	defer func() { err = closeRelay(err, h) }()
	if err := h.pinLoop(ctx); err != nil {
		return nil, err
	}
	quiet, err := h.measureUsage(func() error { return sleep(ctx, idleDuration) })
	if err != nil {
		return nil, err
	}
	x = map[string]float64{
		"start_cpu_ms": millis(h.initial.CPU), "start_ms": millis(h.initial.Wall),
		"idle_cores": quiet.cpu.Seconds() / quiet.wall.Seconds(), "list_bytes": float64(h.listBytes()),
	}
	if s.Held == 0 {
		u, err := h.measureChanges(ctx, changeCount, changeInterval)
		if err != nil {
			return nil, err
		}
		x["change_cpu_us"] = max(0, micros(u.cpu)-x["idle_cores"]*micros(u.wall)) / (changeCount + 1)
	}
	if err := h.measureLoad(ctx, x, steadyRate, steadyDuration); err != nil {
		return nil, err
	}
	end, err := h.query(queryHeap)
	x["resident_bytes"], x["heap_bytes"] = float64(end.Resident), float64(end.Heap)
	if err != nil {
		return nil, err
	}
	return x, h.awaitHeld(ctx)
}

// measureLoad measures the relay under a steady load and adds the figures to x.
func (h *harness) measureLoad(ctx context.Context, x map[string]float64, rate float64, d time.Duration) error {
	if _, _, err := h.deliverLoad(ctx, rate, d/3); err != nil { // warm-up: connections and heap reach their steady state
		return err
	}
	l, u, err := h.deliverLoad(ctx, rate, d)
	if err != nil {
		return err
	}
	n := float64(len(l.startTimes))
	x["step_cpu_us"], x["event_cpu_us"] = micros(u.loop)/n, micros(u.cpu)/n
	x["cores"], x["p99_ms"] = u.cpu.Seconds()/u.wall.Seconds(), l.p99()
	return nil
}

func measureEvents(ctx context.Context, rate float64, seed uint64, env scale.Env) (x map[string]float64, err error) {
	h, err := Spec{Healthy: healthyCount}.start(ctx, seed, env)
	if err != nil {
		return nil, err
	}
	defer func() { err = closeRelay(err, h) }()
	if err := h.pinLoop(ctx); err != nil {
		return nil, err
	}
	x = map[string]float64{}
	if err := h.measureLoad(ctx, x, rate, eventsDuration); err != nil {
		return nil, err
	}
	end, err := h.query(queryUsage)
	x["resident_bytes"] = float64(end.Resident)
	return x, err
}

// closeRelay shuts the harness down. It returns err, or the error of the shutdown if err is nil.
func closeRelay(err error, h *harness) error {
	if e := h.shutdown(); err == nil {
		err = e
	}
	return err
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
