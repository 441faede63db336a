package relayslope

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"onyxroad.dev/onyxroad/internal/sockets/reserve"
)

// retryAfter is the Retry-After of the endpoint that rejects everything: longer than any measurement, and shorter than the
// lifetime of the messages, because they would be refused otherwise.
const retryAfter = 2 * time.Hour

// entry is an entry of discovery's list.
type entry struct {
	ID     string  `json:"id"`
	Addr   string  `json:"addr,omitempty"`
	Zone   string  `json:"zone"`
	Kind   string  `json:"kind"`
	Cell   int     `json:"cell"`
	State  string  `json:"state"`
	Weight float64 `json:"weight"`
	// Started is the time of the endpoint's last start, which the relays here don't use.
	Started int64 `json:"started_ms"`
}

// list is discovery's list, or a change of it, as sent on the wire.
type list struct {
	Version int64 `json:"version"`
	Full    bool  `json:"full"`
	Servers []any `json:"servers"`
}

// stubPlatform is everything that the relay communicates with, except its clients: discovery's agent, an endpoint that accepts
// everything, and one that rejects everything. All routes lead to one of the two endpoints, which is possible because a relay
// identifies routes by their IDs.
type stubPlatform struct {
	servers  []*http.Server
	serving  sync.WaitGroup
	refusing *reserve.Address // refuses connections; nil if there is none

	agentAddr, healthyAddr, downAddr string // addresses

	answerFrom int64         // calls that must have arrived at the rejecting endpoint before it answers
	arrived    atomic.Int64  // calls that have arrived there
	answering  chan struct{} // closed once it answers

	load     atomic.Pointer[load] // the load whose deliveries are recorded; nil if none runs
	rejected atomic.Int64         // calls rejected with a Retry-After
	notices  atomic.Int64         // messages that ended with a notice

	mu         sync.Mutex
	version    int64
	published  []list // all changes so far; each watch sends those after its version
	changed    chan struct{}
	watchCount int
}

// newPlatform starts a platform whose list has the given version. The relay knows that list already. The rejecting endpoint
// answers once answerFrom calls have arrived.
func newPlatform(ctx context.Context, version, answerFrom int64) (*stubPlatform, error) {
	p := &stubPlatform{version: version, changed: make(chan struct{}), answerFrom: answerFrom, answering: make(chan struct{})}
	if answerFrom == 0 {
		close(p.answering)
	}
	agent := http.NewServeMux()
	agent.HandleFunc("GET /catalog/members", p.handleWatch)
	agent.HandleFunc("POST /v2/finals", p.handleNotices)
	var err error
	if p.agentAddr, err = p.serve(ctx, agent); err == nil {
		p.healthyAddr, err = p.serve(ctx, http.HandlerFunc(p.handleCall))
	}
	if err == nil {
		p.downAddr, err = p.serve(ctx, http.HandlerFunc(p.rejectCall))
	}
	if err != nil {
		return nil, errors.Join(err, p.close())
	}
	return p, nil
}

func (p *stubPlatform) serve(ctx context.Context, h http.Handler) (addr string, err error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("relayslope: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute, BaseContext: func(net.Listener) context.Context { return ctx }}
	p.servers = append(p.servers, s)
	p.serving.Go(func() { s.Serve(l) })
	return l.Addr().String(), nil
}

// refuseConnections replaces the rejecting endpoint by an address that refuses connections.
func (p *stubPlatform) refuseConnections() error {
	a, err := reserve.NewAddress()
	if err != nil {
		return fmt.Errorf("relayslope: %w", err)
	}
	p.refusing, p.downAddr = a, a.String()
	return nil
}

// close stops all servers and waits for them.
func (p *stubPlatform) close() (err error) {
	for _, s := range p.servers {
		err = errors.Join(err, s.Close())
	}
	p.serving.Wait()
	if p.refusing != nil {
		err = errors.Join(err, p.refusing.Close())
	}
	return err
}

// handleCall accepts a call and records its delivery.
func (p *stubPlatform) handleCall(w http.ResponseWriter, r *http.Request) {
	if l := p.load.Load(); l != nil {
		l.recordDelivery(r.Header.Get("X-Trace-Id"))
	}
	w.WriteHeader(http.StatusOK)
}

// rejectCall rejects a call with a Retry-After.
func (p *stubPlatform) rejectCall(w http.ResponseWriter, r *http.Request) {
	if p.arrived.Add(1) == p.answerFrom {
		close(p.answering)
	}
	select {
	case <-p.answering:
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Retry-After", strconv.Itoa(int(retryAfter.Seconds())))
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusTooManyRequests)
	p.rejected.Add(1)
}

func (p *stubPlatform) handleNotices(w http.ResponseWriter, r *http.Request) {
	for dec := json.NewDecoder(r.Body); ; {
		var n struct{ ID string }
		if dec.Decode(&n) != nil {
			break
		}
		p.notices.Add(1)
	}
	w.WriteHeader(http.StatusNoContent)
}

// handleWatch streams the changes after a version. It never sends the full list, because the relay was started with it.
func (p *stubPlatform) handleWatch(w http.ResponseWriter, r *http.Request) {
	known, err := strconv.ParseInt(r.FormValue("index"), 10, 64)
	if err != nil || r.FormValue("stream") != "1" {
		http.Error(w, "only streaming watches are supported", http.StatusNotFound)
		return
	}
	p.mu.Lock()
	p.watchCount++
	p.mu.Unlock()
	empty := time.NewTicker(2 * time.Second) // required by the discovery protocol
	defer empty.Stop()
	out := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	for {
		p.mu.Lock()
		changed := p.changed
		var news []list
		for _, l := range p.published {
			if l.Version > known {
				news = append(news, l)
			}
		}
		p.mu.Unlock()
		for _, l := range news {
			if enc.Encode(l) != nil {
				return
			}
			known = l.Version
		}
		if out.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-empty.C:
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
		}
	}
}

// publish changes the list. Each of the entries is an entry or, to send something unreadable, any other value.
func (p *stubPlatform) publish(entries ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	p.published = append(p.published, list{Version: p.version, Servers: entries})
	close(p.changed)
	p.changed = make(chan struct{})
}

// hasWatch reports whether a relay has started to watch the list.
func (p *stubPlatform) hasWatch() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.watchCount > 0
}
