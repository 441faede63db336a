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

// MaxRelays and MaxEndpoints are the limits of the address scheme.
const (
	MaxRelays    = 1000
	MaxEndpoints = 180
)

// Ports are the ports of a run, counted from a base that no other run on the machine uses. Every party has its own loopback
// addresses. An endpoint has a different address for each relay, so that it can tell the relays apart.
type Ports struct {
	base        int
	reservation net.Listener
}

// Offsets from the base port.
const (
	portRelay = iota + 1
	portAdmin
	portAgent
	portGossip
	portEndpoints = 16
)

// ReservePorts reserves a free range of ports. Concurrent runs on a machine never share one.
func ReservePorts() (*Ports, error) {
	var last error
	for base := 10000; base < 31000; base += 300 { // below the range of ephemeral ports
		l, err := net.Listen("tcp4", fmt.Sprintf("127.255.255.254:%d", base))
		if err == nil {
			return &Ports{base, l}, nil
		}
		last = err
	}
	return nil, fmt.Errorf("platform: no free ports: %w", last)
}

// Base returns the base port. The ports from 1 to 15 above it belong to the run, too.
func (p *Ports) Base() int { return p.base }

// Release gives up the reservation.
func (p *Ports) Release() { p.reservation.Close() }

func relayIP(r int, last byte) net.IP { return net.IPv4(127, byte(16+r/250), byte(1+r%250), last) }

func hostPort(ip net.IP, port int) string { return fmt.Sprintf("%v:%d", ip, port) }

// Relay returns the address at which relay r serves clients.
func (p *Ports) Relay(r int) string { return hostPort(relayIP(r, 1), p.base+portRelay) }

// Gossip returns the address at which relay r listens for gossip.
func (p *Ports) Gossip(r int) string { return hostPort(relayIP(r, 1), p.base+portGossip) }

// GossipForwarder returns the address of the forwarder through which other relays reach the gossip of relay r, so that
// faults can be injected between them.
func (p *Ports) GossipForwarder(r int) string { return hostPort(relayIP(r, 3), p.base+portGossip) }

// Admin returns the admin address of a relay's process. Successive processes have different ones.
func (p *Ports) Admin(r, process int) string {
	return hostPort(relayIP(r, byte(10+process%200)), p.base+portAdmin)
}

// Agent returns the address of a relay's discovery agent after so many moves.
func (p *Ports) Agent(r, moves int) string {
	return hostPort(relayIP(r, byte(2+moves%2)), p.base+portAgent)
}

func endpointIP(e, r int) net.IP { return net.IPv4(127, byte(64+e), byte(r/250), byte(1+r%250)) }

// relayOfAddr returns the relay to which an address of an endpoint was given.
func relayOfAddr(a net.Addr) int {
	ip := a.(*net.TCPAddr).IP.To4()
	return int(ip[2])*250 + int(ip[3]) - 1
}

// Platform is the emulated platform of one run.
type Platform struct {
	plan     *plan.Plan
	ledger   *ledger.Ledger
	ports    *Ports
	partners *partners
	agents   []*agent
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu            sync.Mutex
	activeFaults  []*plan.Fault
	endpointPaths map[relayEndpoint]*network.Path
	gossipPaths   map[relayLink]*network.Path // between relays, for gossip
	forwarders    []*network.Forwarder
	blackholes    map[relayEndpoint]*network.Blackhole
	servers       []*server
	inFlight      []int // unanswered calls, by relay
	attempts      map[string]int
	finished      map[string]bool // traces of messages that were delivered or ended by a notice

	// OnNotice, if not nil, is called with each notice, so that clients can submit a deferred message again; set before Run.
	OnNotice func(ledger.Notice)
}

type relayEndpoint struct{ relay, endpoint int }

// relayLink is a direction between two relays.
type relayLink struct{ from, to int }

// New starts the platform. It takes its time from the ledger.
func New(p *plan.Plan, led *ledger.Ledger, ports *Ports) (*Platform, error) {
	if len(p.Relays) > MaxRelays || len(p.Endpoints) > MaxEndpoints {
		return nil, fmt.Errorf("platform: %d relays and %d endpoints are more than %d and %d", len(p.Relays), len(p.Endpoints),
			MaxRelays, MaxEndpoints)
	}
	ctx, cancel := context.WithCancel(context.Background())
	x := &Platform{
		plan: p, ledger: led, ports: ports, partners: newPartners(p, led), ctx: ctx, cancel: cancel,
		endpointPaths: map[relayEndpoint]*network.Path{}, gossipPaths: map[relayLink]*network.Path{},
		blackholes: map[relayEndpoint]*network.Blackhole{}, inFlight: make([]int, len(p.Relays)),
		attempts: map[string]int{}, finished: map[string]bool{},
	}
	for i := range p.Endpoints {
		s := &server{platform: x, index: i, conns: map[net.Conn]struct{}{}}
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

// Run starts adding and removing endpoints as planned, until Close. The times of the plan count from offset.
func (x *Platform) Run(offset time.Duration) {
	x.partners.setOffset(offset)
	for i, e := range x.plan.Endpoints {
		s := x.servers[i]
		schedule := func(t time.Duration, f func()) {
			if t > 0 {
				x.wg.Go(func() {
					if network.Sleep(x.ctx, offset+t-x.ledger.Now()) == nil {
						f()
					}
				})
			}
		}
		schedule(e.Added, func() { s.open() })
		schedule(e.EndsAt(), s.close)
	}
	for _, a := range x.agents {
		x.wg.Go(func() { a.followPlan(offset) })
	}
}

// Close stops all endpoints, agents and forwarders and waits for their goroutines.
func (x *Platform) Close() {
	x.cancel()
	for _, s := range x.servers {
		s.close()
	}
	for _, a := range x.agents {
		a.close()
	}
	x.mu.Lock()
	for _, h := range x.blackholes {
		h.Close()
	}
	x.blackholes = map[relayEndpoint]*network.Blackhole{}
	x.mu.Unlock()
	for _, f := range x.forwarders {
		f.Close()
	}
	x.forwarders = nil
	x.wg.Wait()
}

// BeginFault starts a fault of partners, the network or discovery. It returns false if f is none of these.
func (x *Platform) BeginFault(f *plan.Fault) (bool, error) {
	switch f.Kind {
	case "slow", "tail", "errors", "shut", "hang", "hang-gone", "limits":
		x.partners.beginFault(f, x.ledger.Now())
	case "down":
		x.partners.beginFault(f, x.ledger.Now())
		for _, e := range f.Endpoints {
			x.servers[e].close()
		}
	case "cut", "one-way", "loss", "delay", "reset", "answers", "silent", "surplus":
		x.mu.Lock()
		x.activeFaults = append(x.activeFaults, f)
		x.mu.Unlock()
		x.updateAgentSurplus()
		return true, x.updatePaths(f)
	case "quiet", "late-news":
		for _, a := range x.agents {
			a.setFault(f.Kind, f.Size)
		}
	case "release", "burst", "hostile", "leave":
		// These are part of the plan itself.
	default:
		return false, nil
	}
	return true, nil
}

// EndFault ends a fault that BeginFault has started.
func (x *Platform) EndFault(f *plan.Fault) error {
	switch f.Kind {
	case "slow", "tail", "errors", "shut", "hang", "hang-gone", "limits":
		x.partners.endFault(f, x.ledger.Now())
	case "down":
		x.partners.endFault(f, x.ledger.Now())
		var errs []error
		for _, e := range f.Endpoints {
			errs = append(errs, x.servers[e].open())
		}
		return errors.Join(errs...)
	case "cut", "one-way", "loss", "delay", "reset", "answers", "silent", "surplus":
		x.mu.Lock()
		for i := range x.activeFaults {
			if x.activeFaults[i] == f {
				x.activeFaults = append(x.activeFaults[:i], x.activeFaults[i+1:]...)
				break
			}
		}
		x.mu.Unlock()
		x.updateAgentSurplus()
		return x.updatePaths(f)
	case "quiet", "late-news":
		for _, a := range x.agents {
			a.setFault("", 0)
		}
	}
	return nil
}

// updatePaths sets the conditions of the paths of the relays of f, and of all links, to the combined effect of the active
// faults.
func (x *Platform) updatePaths(f *plan.Fault) error {
	for _, r := range f.Relays {
		for e := range x.plan.Endpoints {
			if err := x.updateEndpointPath(relayEndpoint{r, e}); err != nil {
				return err
			}
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for to, p := range x.gossipPaths {
		c := x.gossipConditions(to)
		for d := range c {
			p.Update(network.Direction(d), func(old *network.Conditions) { *old = c[d] })
		}
	}
	return nil
}

func (x *Platform) updateEndpointPath(to relayEndpoint) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := x.endpointConditions(to)
	if p := x.endpointPaths[to]; p != nil {
		for d, now := range c {
			p.Update(network.Direction(d), func(old *network.Conditions) { *old = now })
		}
	}
	cut := c[network.Outbound].Cut || c[network.Inbound].Cut
	switch h := x.blackholes[to]; {
	case cut && h == nil:
		h, err := network.NewBlackhole(endpointIP(to.endpoint, to.relay), x.ports.base+portEndpoints+to.endpoint)
		if err != nil {
			return err
		}
		x.blackholes[to] = h
	case !cut && h != nil:
		h.Close()
		delete(x.blackholes, to)
	}
	return nil
}

// endpointConditions returns the conditions of a path under all active faults. The caller holds mu.
func (x *Platform) endpointConditions(to relayEndpoint) (c [2]network.Conditions) {
	r, e := &x.plan.Relays[to.relay], &x.plan.Endpoints[to.endpoint]
	base := network.Conditions{Delay: x.plan.Delays[r.Building][e.Building], Jitter: x.plan.Jitter}
	c[network.Outbound], c[network.Inbound] = base, base
	for _, f := range x.activeFaults {
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
		crossBuilding := e.Building != r.Building
		switch f.Kind {
		case "cut":
			c[network.Outbound].Cut, c[network.Inbound].Cut = c[network.Outbound].Cut || crossBuilding,
				c[network.Inbound].Cut || crossBuilding
		case "one-way":
			c[network.Outbound].Cut = c[network.Outbound].Cut || crossBuilding
		case "reset":
			c[network.Outbound].Reset = max(c[network.Outbound].Reset, f.Size)
		case "answers":
			c[network.Inbound].Reset = max(c[network.Inbound].Reset, f.Size)
		case "silent":
			c[network.Inbound].Silent = max(c[network.Inbound].Silent, f.Size)
		case "surplus":
			c[network.Inbound].Surplus = max(c[network.Inbound].Surplus, f.Size)
		}
	}
	return c
}

// ForwardGossip puts forwarders in front of every relay's gossip address, so that the traffic between two relays goes over
// a path of its own.
func (x *Platform) ForwardGossip() error {
	for r := range x.plan.Relays {
		pathFor := func(from netip.AddrPort) *network.Path {
			ip := from.Addr().Unmap().As4()
			sender := (int(ip[1])-16)*250 + int(ip[2]) - 1
			if sender < 0 || sender >= len(x.plan.Relays) {
				return nil
			}
			return x.gossipPath(relayLink{sender, r})
		}
		tcp := &network.Forwarder{Target: x.ports.Gossip(r), PathFor: pathFor}
		udp := &network.Forwarder{Target: x.ports.Gossip(r), PathFor: pathFor}
		if err := tcp.ForwardTCP(x.ports.GossipForwarder(r)); err != nil {
			return err
		}
		x.forwarders = append(x.forwarders, tcp)
		if err := udp.ForwardUDP(x.ports.GossipForwarder(r)); err != nil {
			return err
		}
		x.forwarders = append(x.forwarders, udp)
	}
	return nil
}

// gossipPath returns the path from one relay to another.
func (x *Platform) gossipPath(to relayLink) *network.Path {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.gossipPaths[to]
	if p == nil {
		c := x.gossipConditions(to)
		p = network.NewPath(c[network.Outbound], x.plan.Seed+uint64(to.from)<<32+uint64(to.to))
		p.Update(network.Inbound, func(old *network.Conditions) { *old = c[network.Inbound] })
		x.gossipPaths[to] = p
	}
	return p
}

// gossipConditions returns the conditions between two relays under all active faults. The caller holds mu.
func (x *Platform) gossipConditions(to relayLink) (c [2]network.Conditions) {
	base := network.Conditions{Delay: x.plan.Delays[x.plan.Relays[to.from].Building][x.plan.Relays[to.to].Building], Jitter: x.plan.Jitter}
	c[network.Outbound], c[network.Inbound] = base, base
	for _, f := range x.activeFaults {
		fromAffected, toAffected := slices.Contains(f.Relays, to.from), slices.Contains(f.Relays, to.to)
		switch f.Kind {
		case "cut":
			c[network.Outbound].Cut, c[network.Inbound].Cut = c[network.Outbound].Cut || fromAffected != toAffected,
				c[network.Inbound].Cut || fromAffected != toAffected
		case "one-way": // what the affected relays send to others does not arrive
			c[network.Outbound].Cut = c[network.Outbound].Cut || fromAffected && !toAffected
			c[network.Inbound].Cut = c[network.Inbound].Cut || toAffected && !fromAffected
		case "loss":
			if fromAffected || toAffected {
				c[network.Outbound].Loss, c[network.Inbound].Loss = max(c[network.Outbound].Loss, f.Size),
					max(c[network.Inbound].Loss, f.Size)
			}
		}
	}
	return c
}

// endpointPath returns the path from a relay to an endpoint.
func (x *Platform) endpointPath(to relayEndpoint) *network.Path {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.endpointPaths[to]
	if p == nil {
		c := x.endpointConditions(to)
		p = network.NewPath(c[network.Outbound], x.plan.Seed+uint64(to.relay)<<16+uint64(to.endpoint))
		p.Update(network.Inbound, func(old *network.Conditions) { *old = c[network.Inbound] })
		x.endpointPaths[to] = p
	}
	return p
}
