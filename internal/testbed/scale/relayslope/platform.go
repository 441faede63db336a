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

	"golang.org/x/sys/unix"
)

// The hollow platform: discovery's agent, one endpoint that answers all it is called with, and one that takes nothing. All
// routes lead to one of the two, since a relay tells routes apart by their names.

// toldWait is how long the endpoint that takes nothing has a relay wait: longer than any measurement takes, and shorter
// than the messages' time, which would have them refused.
const toldWait = 2 * time.Hour

// entry is one entry of discovery's list.
type entry struct {
	ID     string  `json:"id"`
	Addr   string  `json:"addr,omitempty"`
	Zone   string  `json:"zone"`
	Kind   string  `json:"kind"`
	Cell   int     `json:"cell"`
	State  string  `json:"state"`
	Weight float64 `json:"weight"`
	// Started is the endpoint's last start, which no relay here goes by.
	Started int64 `json:"started_ms"`
}

// list is the wire's form of discovery's list.
type list struct {
	Version int64 `json:"version"`
	Full    bool  `json:"full"`
	Servers []any `json:"servers"`
}

// platform is all that a relay speaks with, but for its clients.
type platform struct {
	servers []*http.Server
	serving sync.WaitGroup
	shut    int // a socket that is bound and never listens

	agent, healthy, none string // addresses

	load    atomic.Pointer[load] // that is told of what is delivered; nil: none runs
	turned  atomic.Int64         // calls that were turned away
	notices atomic.Int64         // messages that were ended by a notice

	mu      sync.Mutex
	version int64
	told    []list // changes that watches are yet to tell, as their version goes
	changed chan struct{}
	watches int
}

// newPlatform serves a platform whose list has a version; its relay knows that list already.
func newPlatform(ctx context.Context, version int64) (*platform, error) {
	p := &platform{version: version, changed: make(chan struct{}), shut: -1}
	agent := http.NewServeMux()
	agent.HandleFunc("GET /catalog/members", p.watch)
	agent.HandleFunc("POST /v2/finals", p.finals)
	var err error
	if p.agent, err = p.serve(ctx, agent); err == nil {
		p.healthy, err = p.serve(ctx, http.HandlerFunc(p.take))
	}
	if err == nil {
		p.none, err = p.serve(ctx, http.HandlerFunc(p.turnAway))
	}
	if err != nil {
		return nil, errors.Join(err, p.close())
	}
	return p, nil
}

func (p *platform) serve(ctx context.Context, h http.Handler) (addr string, err error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("relayslope: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute, BaseContext: func(net.Listener) context.Context { return ctx }}
	p.servers = append(p.servers, s)
	p.serving.Go(func() { s.Serve(l) })
	return l.Addr().String(), nil
}

// refuse has the endpoint that takes nothing refuse connections: its address is bound, and nobody listens there.
func (p *platform) refuse() error {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return fmt.Errorf("relayslope: %w", err)
	}
	p.shut = fd
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return fmt.Errorf("relayslope: %w", err)
	}
	at, err := unix.Getsockname(fd)
	if err != nil {
		return fmt.Errorf("relayslope: %w", err)
	}
	p.none = net.JoinHostPort("127.0.0.1", strconv.Itoa(at.(*unix.SockaddrInet4).Port))
	return nil
}

// close ends all that is served, and waits for it.
func (p *platform) close() (err error) {
	for _, s := range p.servers {
		err = errors.Join(err, s.Close())
	}
	p.serving.Wait()
	if p.shut >= 0 {
		err = errors.Join(err, unix.Close(p.shut))
	}
	return err
}

// take answers a call.
func (p *platform) take(w http.ResponseWriter, r *http.Request) {
	if l := p.load.Load(); l != nil {
		l.delivered(r.Header.Get("X-Trace-Id"))
	}
	w.WriteHeader(http.StatusOK)
}

// turnAway answers a call of a destination that takes none.
func (p *platform) turnAway(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Retry-After", strconv.Itoa(int(toldWait.Seconds())))
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusTooManyRequests)
	p.turned.Add(1)
}

func (p *platform) finals(w http.ResponseWriter, r *http.Request) {
	for dec := json.NewDecoder(r.Body); ; {
		var n struct{ ID string }
		if dec.Decode(&n) != nil {
			break
		}
		p.notices.Add(1)
	}
	w.WriteHeader(http.StatusNoContent)
}

// watch tells what has changed since a version. A relay here is never told the whole list: it was started with it.
func (p *platform) watch(w http.ResponseWriter, r *http.Request) {
	known, err := strconv.ParseInt(r.FormValue("index"), 10, 64)
	if err != nil || r.FormValue("stream") != "1" {
		http.Error(w, "the hollow platform has watches alone", http.StatusNotFound)
		return
	}
	p.mu.Lock()
	p.watches++
	p.mu.Unlock()
	empty := time.NewTicker(2 * time.Second) // as the protocol has it
	defer empty.Stop()
	out := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	for {
		p.mu.Lock()
		changed := p.changed
		var news []list
		for _, l := range p.told {
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

// change has the list change: entries are an entry or, to be unreadable, anything else.
func (p *platform) change(entries ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	p.told = append(p.told, list{Version: p.version, Servers: entries})
	close(p.changed)
	p.changed = make(chan struct{})
}

// watched tells whether a relay follows the list.
func (p *platform) watched() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.watches > 0
}
