package platform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"onyxroad.dev/onyxroad/internal/testbed/ledger"
	"onyxroad.dev/onyxroad/internal/testbed/network"
	"onyxroad.dev/onyxroad/internal/testbed/plan"
)

// MostRelays and MostEndpoints are how many the scheme of addresses has room for.
const (
	MostRelays    = 1000
	MostEndpoints = 180
)

// Ports are a run's ports, from a base that nobody else on the machine has. Every party has loopback addresses of its own;
// an endpoint has another at each relay, which tells them apart.
type Ports struct {
	base  int
	guard net.Listener
}

// The ports over the base.
const (
	portRelay = iota + 1
	portAdmin
	portAgent
	portGossip
	portEndpoints = 16
)

// TakePorts finds free ones. Two runs on a machine never have the same.
func TakePorts() (*Ports, error) {
	var last error
	for base := 10000; base < 31000; base += 300 { // under the ports that connections are given
		l, err := net.Listen("tcp4", fmt.Sprintf("127.255.255.254:%d", base))
		if err == nil {
			return &Ports{base, l}, nil
		}
		last = err
	}
	return nil, fmt.Errorf("platform: no free ports: %w", last)
}

// Base is what the ports count from: those from 1 to 15 over it are a run's own.
func (p *Ports) Base() int { return p.base }

// Release gives them back.
func (p *Ports) Release() { p.guard.Close() }

func relayIP(r int, last byte) net.IP { return net.IPv4(127, byte(16+r/250), byte(1+r%250), last) }

func join(ip net.IP, port int) string { return fmt.Sprintf("%v:%d", ip, port) }

// Relay is where clients find a relay.
func (p *Ports) Relay(r int) string { return join(relayIP(r, 1), p.base+portRelay) }

// Gossip is where a relay finds others of its fleet, and they it.
func (p *Ports) Gossip(r int) string { return join(relayIP(r, 1), p.base+portGossip) }

// Outside is where the others find a relay's gossip: a forwarder, on whose paths faults lie.
func (p *Ports) Outside(r int) string { return join(relayIP(r, 3), p.base+portGossip) }

// Admin is the second address of a relay's process, which is another for each that is started.
func (p *Ports) Admin(r, process int) string {
	return join(relayIP(r, byte(10+process%200)), p.base+portAdmin)
}

// Agent is where a relay finds discovery, which may move.
func (p *Ports) Agent(r, moves int) string {
	return join(relayIP(r, byte(2+moves%2)), p.base+portAgent)
}

func endpointIP(e, r int) net.IP { return net.IPv4(127, byte(64+e), byte(r/250), byte(1+r%250)) }

// caller is the relay that knows an endpoint by an address.
func caller(a net.Addr) int {
	ip := a.(*net.TCPAddr).IP.To4()
	return int(ip[2])*250 + int(ip[3]) - 1
}

// Platform is the emulated platform of one run.
type Platform struct {
	plan     *plan.Plan
	book     *ledger.Ledger
	ports    *Ports
	partners *partners
	agents   []*agent
	ctx      context.Context
	cancel   context.CancelFunc
	work     sync.WaitGroup

	mu      sync.Mutex
	running []*plan.Fault
	paths   map[pair]*network.Path
	links   map[link]*network.Path // between relays
	forward []*network.Forwarder
	holes   map[pair]*network.Hole
	servers []*server
	slots   []int // calls out, by relay
	sends   map[string]int
	over    map[string]bool // traces that are delivered or ended

	// Ended is told of each notice, for the clients whose messages are handed back; set before Run.
	Ended func(ledger.Notice)
}

type pair struct{ relay, endpoint int }

// link is the way from one relay to another.
type link struct{ from, to int }

// New starts the platform. Its time is the ledger's.
func New(p *plan.Plan, book *ledger.Ledger, ports *Ports) (*Platform, error) {
	if len(p.Relays) > MostRelays || len(p.Endpoints) > MostEndpoints {
		return nil, fmt.Errorf("platform: %d relays and %d endpoints are more than %d and %d", len(p.Relays), len(p.Endpoints),
			MostRelays, MostEndpoints)
	}
	ctx, cancel := context.WithCancel(context.Background())
	x := &Platform{
		plan: p, book: book, ports: ports, partners: newPartners(p, book), ctx: ctx, cancel: cancel,
		paths: map[pair]*network.Path{}, links: map[link]*network.Path{}, holes: map[pair]*network.Hole{}, slots: make([]int, len(p.Relays)),
		sends: map[string]int{}, over: map[string]bool{},
	}
	for i := range p.Endpoints {
		s := &server{x: x, index: i, conns: map[net.Conn]struct{}{}}
		x.servers = append(x.servers, s)
		if p.Endpoints[i].Added == 0 {
			if err := s.open(); err != nil {
				x.Close()
				return nil, err
			}
		}
	}
	for r := range p.Relays {
		a, err := newAgent(x, r)
		if err != nil {
			x.Close()
			return nil, err
		}
		x.agents = append(x.agents, a)
	}
	return x, nil
}

// Run has endpoints come and go as planned, until ctx ends. offset is when the first message was due, from which the plan
// counts.
func (x *Platform) Run(offset time.Duration) {
	x.partners.start(offset)
	for i, e := range x.plan.Endpoints {
		s := x.servers[i]
		at := func(t time.Duration, f func()) {
			if t > 0 {
				x.work.Go(func() {
					if network.Sleep(x.ctx, offset+t-x.book.Now()) == nil {
						f()
					}
				})
			}
		}
		at(e.Added, func() { s.open() })
		at(e.Gone, s.close)
	}
	for _, a := range x.agents {
		x.work.Go(func() { a.follow(offset) })
	}
}

// Close ends everything.
func (x *Platform) Close() {
	x.cancel()
	for _, s := range x.servers {
		s.close()
	}
	for _, a := range x.agents {
		a.close()
	}
	x.mu.Lock()
	for _, h := range x.holes {
		h.Close()
	}
	x.holes = map[pair]*network.Hole{}
	x.mu.Unlock()
	for _, f := range x.forward {
		f.Close()
	}
	x.forward = nil
	x.work.Wait()
}

// Begin has a trouble of partners, the network or discovery begin; false if it is none of them.
func (x *Platform) Begin(f *plan.Fault) (bool, error) {
	switch f.Kind {
	case "slow", "tail", "errors", "shut", "hang", "limits":
		x.partners.begin(f, x.book.Now())
	case "down":
		x.partners.begin(f, x.book.Now())
		for _, e := range f.Endpoints {
			x.servers[e].close()
		}
	case "cut", "one-way", "loss", "delay", "reset", "answers", "silent":
		x.mu.Lock()
		x.running = append(x.running, f)
		x.mu.Unlock()
		return true, x.settle(f)
	case "quiet", "late-news":
		for _, a := range x.agents {
			a.trouble(f.Kind, f.Size)
		}
	case "release", "burst", "hostile", "leave":
		// Their parts are in the plan itself.
	default:
		return false, nil
	}
	return true, nil
}

// End has it end.
func (x *Platform) End(f *plan.Fault) error {
	switch f.Kind {
	case "slow", "tail", "errors", "shut", "hang", "limits":
		x.partners.end(f, x.book.Now())
	case "down":
		x.partners.end(f, x.book.Now())
		var errs []error
		for _, e := range f.Endpoints {
			errs = append(errs, x.servers[e].open())
		}
		return errors.Join(errs...)
	case "cut", "one-way", "loss", "delay", "reset", "answers", "silent":
		x.mu.Lock()
		for i := range x.running {
			if x.running[i] == f {
				x.running = append(x.running[:i], x.running[i+1:]...)
				break
			}
		}
		x.mu.Unlock()
		return x.settle(f)
	case "quiet", "late-news":
		for _, a := range x.agents {
			a.trouble("", 0)
		}
	}
	return nil
}

// settle brings the paths of a fault's relays to what all running faults make of them.
func (x *Platform) settle(f *plan.Fault) error {
	for _, r := range f.Relays {
		for e := range x.plan.Endpoints {
			if err := x.settlePair(pair{r, e}); err != nil {
				return err
			}
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for to, p := range x.links {
		c := x.between(to)
		for d := range c {
			p.Change(network.Direction(d), func(old *network.Conditions) { *old = c[d] })
		}
	}
	return nil
}

func (x *Platform) settlePair(to pair) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := x.conditions(to)
	if p := x.paths[to]; p != nil {
		for d, now := range c {
			p.Change(network.Direction(d), func(old *network.Conditions) { *old = now })
		}
	}
	cut := c[network.Out].Cut || c[network.Back].Cut
	switch h := x.holes[to]; {
	case cut && h == nil:
		h, err := network.NewHole(endpointIP(to.endpoint, to.relay), x.ports.base+portEndpoints+to.endpoint)
		if err != nil {
			return err
		}
		x.holes[to] = h
	case !cut && h != nil:
		h.Close()
		delete(x.holes, to)
	}
	return nil
}

// conditions are what the running faults make of a path; with mu held.
func (x *Platform) conditions(to pair) (c [2]network.Conditions) {
	r, e := &x.plan.Relays[to.relay], &x.plan.Endpoints[to.endpoint]
	base := network.Conditions{Delay: x.plan.Delays[r.Building][e.Building], Jitter: x.plan.Jitter}
	c[network.Out], c[network.Back] = base, base
	for _, f := range x.running {
		if !slices.Contains(f.Relays, to.relay) {
			continue
		}
		for d := range c {
			switch f.Kind {
			case "loss":
				c[d].Loss = max(c[d].Loss, f.Size)
			case "delay":
				c[d].Delay = time.Duration(float64(c[d].Delay) * max(1, f.Size))
			}
		}
		apart := e.Building != r.Building
		switch f.Kind {
		case "cut":
			c[network.Out].Cut, c[network.Back].Cut = c[network.Out].Cut || apart, c[network.Back].Cut || apart
		case "one-way":
			c[network.Out].Cut = c[network.Out].Cut || apart
		case "reset":
			c[network.Out].Reset = max(c[network.Out].Reset, f.Size)
		case "answers":
			c[network.Back].Reset = max(c[network.Back].Reset, f.Size)
		case "silent":
			c[network.Back].Silent = max(c[network.Back].Silent, f.Size)
		}
	}
	return c
}

// OpenGossip puts a forwarder before every relay's gossip, so that what goes between two relays goes by a path of theirs.
func (x *Platform) OpenGossip() error {
	for r := range x.plan.Relays {
		choose := func(from netip.AddrPort) *network.Path {
			ip := from.Addr().Unmap().As4()
			at := (int(ip[1])-16)*250 + int(ip[2]) - 1
			if at < 0 || at >= len(x.plan.Relays) {
				return nil
			}
			return x.link(link{at, r})
		}
		tcp := &network.Forwarder{Target: x.ports.Gossip(r), Choose: choose}
		udp := &network.Forwarder{Target: x.ports.Gossip(r), Choose: choose}
		if err := tcp.ForwardTCP(x.ports.Outside(r)); err != nil {
			return err
		}
		x.forward = append(x.forward, tcp)
		if err := udp.ForwardUDP(x.ports.Outside(r)); err != nil {
			return err
		}
		x.forward = append(x.forward, udp)
	}
	return nil
}

// link is the path from one relay to another.
func (x *Platform) link(to link) *network.Path {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.links[to]
	if p == nil {
		c := x.between(to)
		p = network.NewPath(c[network.Out], x.plan.Seed+uint64(to.from)<<32+uint64(to.to))
		p.Change(network.Back, func(old *network.Conditions) { *old = c[network.Back] })
		x.links[to] = p
	}
	return p
}

// between are the conditions that the running faults make between two relays; with mu held.
func (x *Platform) between(to link) (c [2]network.Conditions) {
	base := network.Conditions{Delay: x.plan.Delays[x.plan.Relays[to.from].Building][x.plan.Relays[to.to].Building], Jitter: x.plan.Jitter}
	c[network.Out], c[network.Back] = base, base
	for _, f := range x.running {
		from, into := slices.Contains(f.Relays, to.from), slices.Contains(f.Relays, to.to)
		switch f.Kind {
		case "cut":
			c[network.Out].Cut, c[network.Back].Cut = c[network.Out].Cut || from != into, c[network.Back].Cut || from != into
		case "one-way": // what those struck send elsewhere does not arrive
			c[network.Out].Cut = c[network.Out].Cut || from && !into
			c[network.Back].Cut = c[network.Back].Cut || into && !from
		case "loss":
			if from || into {
				c[network.Out].Loss, c[network.Back].Loss = max(c[network.Out].Loss, f.Size), max(c[network.Back].Loss, f.Size)
			}
		}
	}
	return c
}

// path is the path from a relay to an endpoint.
func (x *Platform) path(to pair) *network.Path {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.paths[to]
	if p == nil {
		c := x.conditions(to)
		p = network.NewPath(c[network.Out], x.plan.Seed+uint64(to.relay)<<16+uint64(to.endpoint))
		p.Change(network.Back, func(old *network.Conditions) { *old = c[network.Back] })
		x.paths[to] = p
	}
	return p
}
