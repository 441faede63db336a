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

// adminMost bounds the connections of operators' callers. Mute ones make way first, as clients' do.
const adminMost = 24

const (
	// countMost is how long every step may look at all routes. Where it takes longer, a share of the time goes to it: the figure
	// is late then, and the loop is not.
	countMost  = 100 * time.Microsecond
	countShare = 100
)

// figures are what operators read. The loop and the calls write them, the second address reads them: no reader waits
// for either.
type figures struct {
	names                    []string
	classes                  []classFigures
	current, size, unhealthy atomic.Int64
	backlog                  atomic.Pointer[string] // nil: none is kept
}

// classFigures count the messages of a class, each once, at its first final outcome, and its sends.
type classFigures struct{ answered, deferred, errored, sends atomic.Int64 }

func newFigures(classes []string) *figures {
	return &figures{names: classes, classes: make([]classFigures, len(classes))}
}

// of are the figures of a class; those of a class that is no more go nowhere.
func (f *figures) of(class int) *classFigures {
	if class < 0 || class >= len(f.classes) {
		return &classFigures{}
	}
	return &f.classes[class]
}

// first tells whether m has its first final outcome with this, which alone is counted.
func (m *message) first() bool {
	was := m.told
	m.told = true
	return !was
}

// ended counts a message that is refused or has failed.
func (f *figures) ended(m *message, final wal.Final) {
	switch c := f.of(m.Class); {
	case !m.first():
	case final.Deferred:
		c.deferred.Add(1)
	default:
		c.errored.Add(1)
	}
}

// turned counts a message of a class that is turned away with an answer.
func (f *figures) turned(class int, a answer) {
	if a.status == http.StatusServiceUnavailable {
		f.of(class).deferred.Add(1)
		return
	}
	f.of(class).errored.Add(1)
}

func (f *figures) String() string {
	var b strings.Builder
	for i, name := range f.names {
		c := &f.classes[i]
		fmt.Fprintf(&b, "relay.answered.%s:%d|c\n", name, c.answered.Load())
		fmt.Fprintf(&b, "relay.deferred.%s:%d|c\n", name, c.deferred.Load())
		fmt.Fprintf(&b, "relay.errored.%s:%d|c\n", name, c.errored.Load())
		fmt.Fprintf(&b, "relay.sends.%s:%d|c\n", name, c.sends.Load())
	}
	fmt.Fprintf(&b, "relay.current:%d|g\n", f.current.Load())
	fmt.Fprintf(&b, "relay.cluster_size:%d|g\n", f.size.Load())
	fmt.Fprintf(&b, "relay.cluster_unhealthy:%d|g", f.unhealthy.Load())
	if text := f.backlog.Load(); text != nil {
		b.WriteString(*text)
	}
	return b.String()
}

// ready tells whether this process serves clients.
func (r *Relay) ready() bool { return r.serving.Load() && r.listed.Load() && !r.ending.Load() }

// serveAdmin lets operators' callers in until the returned function is called. Each connection has one call.
func (r *Relay) serveAdmin(l net.Listener) (end func()) {
	table := newClients(r.log, adminMost, r.admin)
	table.ending = true
	go table.run(l)
	return func() { l.Close(); table.close(clock.Now()) }
}

// publish brings the gauges up to date.
func (r *Relay) publish() {
	r.figures.current.Store(int64(r.held + r.owed.count()))
	r.figures.size.Store(int64(len(r.routes)))
	remembered, evicted := r.wal.Remembered()
	r.resubmitted.remembered.Store(int64(remembered))
	r.resubmitted.evicted.Store(evicted)
	if now := clock.Now(); !now.Before(r.countAt) {
		r.figures.unhealthy.Store(int64(r.sender.Avoided(r.now())))
		if took := clock.Since(now); took > countMost {
			r.countAt = now.Add(countShare * took)
		}
	}
}

// admin answers a call at the second address.
func (r *Relay) admin(_ *client, req *http.Request) answer {
	switch path := req.URL.Path; path {
	case "/api/ready", "/api/telemetry", "/api/members", "/api/fleet":
		if req.Method != http.MethodGet {
			return answer{status: http.StatusMethodNotAllowed, text: "GET only"}
		}
		if path == "/api/telemetry" {
			return answer{status: http.StatusOK, text: r.figures.String() + r.resubmitted.String() + r.fleet.figures() + r.guard.Figures()}
		}
		if path == "/api/members" {
			return r.members()
		}
		if path == "/api/fleet" {
			return r.fleetFigures()
		}
		if !r.ready() {
			return answer{status: http.StatusServiceUnavailable, text: "not serving"}
		}
		return answer{status: http.StatusOK, text: "serving"}
	case "/api/exclude", "/api/include":
		if req.Method != http.MethodPost {
			return answer{status: http.StatusMethodNotAllowed, text: "POST only"}
		}
		body, err := readBody(req)
		if errors.Is(err, errTooMuch) {
			return answer{status: http.StatusRequestEntityTooLarge, text: "body over 64 KiB"}
		} else if err != nil {
			return unreadable(err)
		}
		var call order
		if err := json.Unmarshal(body, &call); err != nil || call.Host == "" || len(call.Host) > idMost {
			return bad(`the body is not {"host":"ID"}`)
		}
		if call.Duty != "" && (duty.CheckName(call.Duty) != nil || call.Epoch == 0) || call.Duty == "" && call.Epoch != 0 {
			return bad("an order in the name of a duty has its name and an epoch")
		}
		call.Out = path == "/api/exclude"
		return r.byHand.set(call)
	}
	return answer{status: http.StatusNotFound, text: "no such call"}
}
