package relay

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"onyxroad.dev/onyxroad/internal/clock"
	"onyxroad.dev/onyxroad/internal/duty"
	"onyxroad.dev/onyxroad/internal/wal"
)

// maxAdminConns limits the connections to the admin API. Silent ones are closed first, as for clients.
const maxAdminConns = 24

const maxAdminBody = 4 << 10 // bytes of an operator's call

const (
	// maxCountTime is the longest count of avoided routes that may run in every step. After a slower count, the next
	// one is delayed by countBackoff times its duration, so that the gauge is late and not the loop.
	maxCountTime = 100 * time.Microsecond
	countBackoff = 100
)

// metrics are shown to operators. The loop and the goroutines of calls write them, and the admin API reads them without
// waiting for either.
type metrics struct {
	names                    []string
	classes                  []classMetrics
	current, size, unhealthy atomic.Int64
	backlog                  atomic.Pointer[string] // nil: no backlog is kept
}

// classMetrics count a class's messages, each once at its first final outcome, and its sends.
type classMetrics struct{ answered, deferred, errored, sends atomic.Int64 }

func newMetrics(classes []string) *metrics {
	return &metrics{names: classes, classes: make([]classMetrics, len(classes))}
}

// forClass returns the metrics of a class. Those of a class that no longer exists are discarded.
func (ms *metrics) forClass(class int) *classMetrics {
	if class < 0 || class >= len(ms.classes) {
		return &classMetrics{}
	}
	return &ms.classes[class]
}

// markCounted reports whether this is m's first final outcome, the only one that is counted.
func (m *message) markCounted() bool {
	was := m.counted
	m.counted = true
	return !was
}

// countEnd counts a message that is refused or has failed.
func (ms *metrics) countEnd(m *message, final wal.Final) {
	switch c := ms.forClass(m.Class); {
	case !m.markCounted():
	case final.Deferred:
		c.deferred.Add(1)
	default:
		c.errored.Add(1)
	}
}

// countRejected counts a message of a class that is rejected with an answer.
func (ms *metrics) countRejected(class int, a answer) {
	if a.status == http.StatusServiceUnavailable {
		ms.forClass(class).deferred.Add(1)
		return
	}
	ms.forClass(class).errored.Add(1)
}

func (ms *metrics) String() string {
	var b strings.Builder
	for i, name := range ms.names {
		c := &ms.classes[i]
		fmt.Fprintf(&b, "relay.answered.%s:%d|c\n", name, c.answered.Load())
		fmt.Fprintf(&b, "relay.deferred.%s:%d|c\n", name, c.deferred.Load())
		fmt.Fprintf(&b, "relay.errored.%s:%d|c\n", name, c.errored.Load())
		fmt.Fprintf(&b, "relay.sends.%s:%d|c\n", name, c.sends.Load())
	}
	fmt.Fprintf(&b, "relay.current:%d|g\n", ms.current.Load())
	fmt.Fprintf(&b, "relay.cluster_size:%d|g\n", ms.size.Load())
	fmt.Fprintf(&b, "relay.cluster_unhealthy:%d|g", ms.unhealthy.Load())
	if text := ms.backlog.Load(); text != nil {
		b.WriteString(*text)
	}
	return b.String()
}

// ready reports whether this process serves clients.
func (r *Relay) ready() bool { return r.serving.Load() && r.hasList.Load() && !r.shuttingDown.Load() }

// serveAdmin serves the admin API until the returned function is called. Each connection carries one request.
func (r *Relay) serveAdmin(l net.Listener) (end func()) {
	conns := newClients(r.log, maxAdminConns, r.handleAdmin)
	conns.noKeepAlive = true
	go conns.run(l)
	return func() { l.Close(); conns.close(clock.Now()) }
}

// updateGauges updates the gauges.
func (r *Relay) updateGauges() {
	if r.sender == nil {
		r.metrics.current.Store(0) // the successor has the messages, and all other figures stay
		return
	}
	r.metrics.current.Store(int64(r.held + r.backlog.count()))
	r.metrics.size.Store(int64(len(r.routes)))
	r.updateCompletionMetrics()
	if now := clock.Now(); !now.Before(r.nextCountAt) {
		r.metrics.unhealthy.Store(int64(r.sender.AvoidedRoutes(r.now())))
		if took := clock.Since(now); took > maxCountTime {
			r.nextCountAt = now.Add(countBackoff * took)
		}
	}
}

// handleAdmin answers a request to the admin API.
func (r *Relay) handleAdmin(_ *client, req *http.Request) answer {
	switch path := req.URL.Path; path {
	case "/api/ready", "/api/telemetry", "/api/members", "/api/fleet":
		if req.Method != http.MethodGet {
			return answer{status: http.StatusMethodNotAllowed, text: "GET only"}
		}
		if path == "/api/telemetry" {
			return answer{status: http.StatusOK, text: r.metrics.String() + r.budget.String() + r.clients.causes.String() + r.resubmitted.String() + r.fleet.metricsText() + r.guard.Metrics()}
		}
		if path == "/api/members" {
			return r.handleMembers()
		}
		if path == "/api/fleet" {
			return r.handleFleet()
		}
		if !r.ready() {
			return answer{status: http.StatusServiceUnavailable, text: "not serving"}
		}
		return answer{status: http.StatusOK, text: "serving"}
	case "/api/exclude", "/api/include":
		if req.Method != http.MethodPost {
			return answer{status: http.StatusMethodNotAllowed, text: "POST only"}
		}
		body, err := readBody(req, maxAdminBody, func(int) error { return nil })
		if errors.Is(err, errTooLarge) {
			return answer{status: http.StatusRequestEntityTooLarge, text: "body over 4 KiB"}
		} else if err != nil {
			return badRequest("unreadable request")
		}
		var change exclusionChange
		if err := json.Unmarshal(body, &change); err != nil || change.Host == "" || len(change.Host) > maxIDBytes {
			return badRequest(`the body is not {"host":"ID"}`)
		}
		if change.Duty != "" && (duty.CheckName(change.Duty) != nil || change.Epoch == 0) || change.Duty == "" && change.Epoch != 0 {
			return badRequest("an order in the name of a duty has its name and an epoch")
		}
		change.Out = path == "/api/exclude"
		return r.exclusions.set(change)
	}
	return answer{status: http.StatusNotFound, text: "no such call"}
}
