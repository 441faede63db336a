// Package gossip is a relay's part in its fleet, on a library for gossip and failure detection: it turns the library's
// events into a membership.Tracker's, and keeps asking for whoever is missing.
package gossip

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/memberlist"

	"onyxroad.dev/onyxroad/internal/membership"
)

const (
	tickEvery     = time.Second
	gather        = 50 * time.Millisecond
	gatherMore    = time.Millisecond // for each member: what a view costs grows with them
	digestsTo     = 2                // members that are told of the view each second
	rejoinFrom    = 2 * time.Second
	rejoinTo      = 4 * time.Second
	aloneFrom     = 250 * time.Millisecond
	aloneTo       = time.Second
	rejoinShare   = 12
	gossipFor     = time.Second // from a change of members until the rest is no gossip's any more
	reconcileFrom = time.Second
	reconcileTo   = 2 * time.Second
	seedsEvery    = 5 * time.Second
	looksMost     = 2 // members away whose addresses are looked at each second
	probeFor      = time.Second
	leaveFor      = 500 * time.Millisecond
	metaMost      = 256 // bytes of what a process tells of itself
	nameMost      = 64

	// The detector's pace. A member is looked at every probeEvery by somebody, and has suspicion from then on to say that it
	// is there, whatever the fleet's size: a pause of a second and a lost datagram or two remove nobody.
	probeEvery = 500 * time.Millisecond
	probeWait  = 250 * time.Millisecond
	suspicion  = 3 * time.Second
	// What changes is passed on to so many others so often. At rest nothing is; where twenty members of a hundred end within
	// a second, sixty messages have to go, eight to a packet and each a dozen times.
	gossipTo   = 4
	gossipWait = 100 * time.Millisecond
	deadGossip = 10 * time.Second
)

// Fleet is this process's part in the fleet.
type Fleet struct {
	cfg    membership.Config
	self   membership.Process
	list   *memberlist.Memberlist
	at     *transport
	cancel context.CancelFunc
	work   sync.WaitGroup
	wake   chan struct{} // holds one: the view has changed

	mu      sync.Mutex // guards what follows
	tracker *membership.Tracker
	told    func(membership.View) // nil: nobody
	refused map[string]bool
}

// Join is membership.Join.
func Join(cfg membership.Config, told func(membership.View)) (membership.Fleet, error) {
	return JoinOver(nil)(cfg, told)
}

// Over puts something between a member and its network.
type Over func(cfg membership.Config, network memberlist.NodeAwareTransport) memberlist.NodeAwareTransport

// JoinOver is Join over another network, one that can be cut, say; nil: the usual one.
func JoinOver(over Over) membership.Join {
	return func(cfg membership.Config, told func(membership.View)) (membership.Fleet, error) {
		f, err := start(cfg, over, told)
		if err != nil {
			return nil, err
		}
		return f, nil
	}
}

func start(cfg membership.Config, over Over, told func(membership.View)) (*Fleet, error) {
	host, port, err := net.SplitHostPort(cfg.Bind)
	if err != nil {
		return nil, fmt.Errorf("membership: bind: %w", err)
	}
	portNumber, err := strconv.Atoi(port)
	if err != nil {
		return nil, fmt.Errorf("membership: bind: %w", err)
	}
	folder, incarnation, err := membership.Identify(cfg.StateDir, time.Now())
	if err != nil {
		return nil, err
	}
	f := &Fleet{cfg: cfg, wake: make(chan struct{}, 1), told: told, refused: map[string]bool{}}
	f.self = membership.Process{Name: cfg.Name, Building: cfg.Building, Incarnation: incarnation, Folder: folder, Version: cfg.Version, Admin: cfg.Admin,
		State: membership.Starting}

	c := memberlist.DefaultLANConfig()
	c.Name, c.Label = nodeName(f.self), cfg.Fleet
	c.BindAddr, c.BindPort, c.AdvertisePort = host, portNumber, portNumber
	if cfg.Advertise != "" {
		ahost, aport, err := net.SplitHostPort(cfg.Advertise)
		if err != nil {
			return nil, fmt.Errorf("membership: advertise: %w", err)
		}
		if c.AdvertisePort, err = strconv.Atoi(aport); err != nil {
			return nil, fmt.Errorf("membership: advertise: %w", err)
		}
		c.AdvertiseAddr = ahost
	}
	c.ProbeInterval, c.ProbeTimeout, c.SuspicionMult = probeEvery, probeWait, multiple(cfg.Size)
	c.SuspicionMaxTimeoutMult = 1 // more for a suspicion that nobody shares would be up to six times as long
	c.GossipNodes, c.GossipInterval, c.GossipToTheDeadTime = gossipTo, gossipWait, deadGossip
	// A packet of gossip is small, and a compressor's tables cost more than all else that is done with it.
	c.EnableCompression = false
	c.DNSConfigPath = "/dev/null" // there is no DNS
	c.Logger = log.New(libraryLog{cfg.Log}, "", 0)
	c.LogOutput = nil
	c.Events, c.Delegate, c.Alive = events{f}, delegate{f}, alive{f}
	at, err := newTransport(host, portNumber, c.Logger)
	if err != nil {
		return nil, fmt.Errorf("membership: listen at %s: %w", cfg.Bind, err)
	}
	f.at = at
	if c.Transport = at; portNumber == 0 {
		c.BindPort = at.GetAutoBindPort()
		c.AdvertisePort = c.BindPort
	}
	if over != nil {
		c.Transport = over(cfg, at)
	}
	f.self.Addr = cmp.Or(cfg.Advertise, net.JoinHostPort(host, strconv.Itoa(c.BindPort)))
	f.tracker = membership.NewTracker(f.self, cfg.Size, time.Now())
	if f.list, err = memberlist.Create(c); err != nil {
		return nil, errors.Join(fmt.Errorf("membership: %w", err), c.Transport.Shutdown())
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.work.Go(func() { f.tick(ctx) })
	f.work.Go(func() { f.rejoin(ctx) })
	f.work.Go(func() { f.tell(ctx) })
	f.work.Go(func() { f.reconcile(ctx) })
	return f, nil
}

// multiple is what the library multiplies its pace and the logarithm of the fleet's size by for the time of a suspicion.
func multiple(size int) int {
	scale := max(1, math.Log10(float64(max(1, size))))
	return max(2, int(suspicion.Seconds()/(scale*probeEvery.Seconds())+0.5))
}

// nodeName is the library's name for a process: each has its own, so that the library never sees two under one.
func nodeName(p membership.Process) string {
	return fmt.Sprintf("%s/%x/%s", p.Name, p.Incarnation, p.Folder)
}

// View is the current view.
func (f *Fleet) View() membership.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.View()
}

// Bytes is what this process's part has sent, and taken on connections that it opened.
func (f *Fleet) Bytes() int64 { return f.at.bytes.Load() }

// Become tells the others of this process's state.
func (f *Fleet) Become(s membership.State) { f.become(s, 0) }

// become waits so long for the others to be told; 0: not at all, the next gossip tells them.
func (f *Fleet) become(s membership.State, most time.Duration) error {
	f.mu.Lock()
	var changed bool
	f.self, changed = f.tracker.Become(s, time.Now())
	f.mu.Unlock()
	if changed {
		f.changed()
	}
	return f.list.UpdateNode(most)
}

// Leave leaves in order, so that nobody has to find out, and ends this process's part.
func (f *Fleet) Leave() error {
	// The word first, by itself: the library's own word for an end takes the place of one that is still to go out, and does
	// not tell those that are notified of it whether it was in order.
	err := f.become(membership.Left, leaveFor)
	return errors.Join(err, f.list.Leave(leaveFor), f.Close())
}

// Close ends this process's part without a word: a newer process of its name has taken its place, or others find out.
func (f *Fleet) Close() error {
	f.cancel()
	err := f.list.Shutdown()
	f.work.Wait()
	if err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	return nil
}

// changed has the new view told.
func (f *Fleet) changed() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// on takes an event to the tracker.
func (f *Fleet) on(event func(t *membership.Tracker, now time.Time) bool) {
	f.mu.Lock()
	changed := event(f.tracker, time.Now())
	f.mu.Unlock()
	if changed {
		f.changed()
	}
}

// GatherFor is the time for which a member gathers changes of so many members before it tells a view.
func GatherFor(present int) time.Duration { return gather + time.Duration(present)*gatherMore }

// tell hands each new view on, and writes a line for it.
func (f *Fleet) tell(ctx context.Context) {
	var last membership.View
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
		}
		select { // what comes together is one view
		case <-ctx.Done():
			return
		case <-time.After(GatherFor(last.Present)):
		}
		v := f.View()
		if v.Version == last.Version {
			continue
		}
		came, gone := v.Changes(last)
		last = v
		f.cfg.Log.Info("view", "version", v.Version, "agreement", v.Agreement, "present", v.Present, "careful", v.Careful,
			"unreachable", v.Other, "differ", len(v.Differ), "came", came, "gone", gone)
		if v.Replaced {
			f.cfg.Log.Warn("a newer process has this relay's name", "member", f.cfg.Name, "incarnation", f.self.Incarnation)
		}
		if f.told != nil {
			f.told(v)
		}
	}
}

// tick lets time pass, tells a few others of the view, and looks at members that are away.
func (f *Fleet) tick(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		f.on(func(t *membership.Tracker, now time.Time) bool { return t.Tick(now) })
		msg, err := json.Marshal(digest{f.cfg.Name, f.View().Digest})
		if err != nil {
			panic(err) // plain fields only: cannot fail
		}
		nodes := f.list.Members()
		for range digestsTo {
			if n := nodes[rand.IntN(len(nodes))]; n.Name != nodeName(f.self) {
				f.list.SendBestEffort(n, msg)
			}
		}
		f.mu.Lock()
		away := f.tracker.Away()
		f.mu.Unlock()
		rand.Shuffle(len(away), func(i, j int) { away[i], away[j] = away[j], away[i] })
		for _, p := range away[:min(len(away), looksMost)] {
			f.work.Go(func() { f.look(ctx, p) })
		}
	}
}

// look tells whether a machine says that the process at an address is gone.
func (f *Fleet) look(ctx context.Context, p membership.Process) {
	ctx, cancel := context.WithTimeout(ctx, probeFor)
	defer cancel()
	c, err := dialer(f.cfg.Bind).DialContext(ctx, "tcp", p.Addr)
	if err == nil {
		c.Close()
	}
	f.on(func(t *membership.Tracker, now time.Time) bool {
		return t.Probed(p.Name, errors.Is(err, syscall.ECONNREFUSED), now)
	})
}

// rejoin asks a seed, or a member that is away, for as long as the fleet is small or split. A join exchanges all that both sides
// know, some milliseconds of work for 300 members: over the whole fleet there are as many of them a second as in one of
// rejoinShare members, whatever its size. In a split that is enough, since one that gets across tells both sides.
func (f *Fleet) rejoin(ctx context.Context) {
	for wait := time.Duration(0); ; {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		v := f.View()
		if v.Present == 1 {
			wait = aloneFrom + rand.N(aloneTo-aloneFrom)
		} else {
			wait = (rejoinFrom + rand.N(rejoinTo-rejoinFrom)) * time.Duration(max(rejoinShare, v.Present)) / rejoinShare
		}
		if to := f.missing(v); to != "" {
			f.list.Join([]string{to}) // whoever does not answer is tried again
		}
	}
}

// reconcile exchanges all that is known with a member that sees another view, once gossip has had its time: what many members
// tell at once, as when all of a fleet start, is dropped before it has reached everybody.
func (f *Fleet) reconcile(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(reconcileFrom + rand.N(reconcileTo-reconcileFrom)):
		}
		v := f.View()
		if len(v.Differ) == 0 || time.Since(v.Moved) < gossipFor {
			continue
		}
		name := v.Differ[rand.IntN(len(v.Differ))]
		if i := slices.IndexFunc(v.Members, func(m membership.Member) bool { return m.Name == name && m.Away == membership.Present }); i >= 0 {
			f.list.Join([]string{v.Members[i].Addr})
		}
	}
}

// missing is an address to ask where members are missing; empty if none are, or it was asked often enough.
func (f *Fleet) missing(v membership.View) string {
	var away, seeds []string
	f.mu.Lock()
	for _, p := range f.tracker.Away() {
		away = append(away, p.Addr)
	}
	f.mu.Unlock()
	for _, s := range f.cfg.Seeds {
		if s != f.cfg.Bind && s != f.cfg.Advertise {
			seeds = append(seeds, s)
		}
	}
	// Where some stay missing that nobody has seen, as after a start with few, seeds are asked ever more seldom.
	stood := max(1, int(time.Since(v.At)/seedsEvery))
	switch {
	case len(seeds) > 0 && (v.Present == 1 || v.Present < f.cfg.Size && rand.IntN(2*stood) == 0):
		return seeds[rand.IntN(len(seeds))]
	case len(away) > 0:
		return away[rand.IntN(len(away))]
	}
	return ""
}

// digest is what members tell each other of their views.
type digest struct {
	Name   string `json:"n"`
	Digest uint64 `json:"d"`
}

// process reads what a node tells of itself.
func process(n *memberlist.Node) (p membership.Process, err error) {
	if len(n.Meta) > metaMost {
		return p, errors.New("too much")
	}
	if err := json.Unmarshal(n.Meta, &p); err != nil {
		return p, err
	}
	p.Addr = n.Address()
	if p.Name == "" || len(p.Name) > nameMost || nodeName(p) != n.Name {
		return p, fmt.Errorf("%q says that it is %q", n.Name, nodeName(p))
	}
	return p, nil
}

// events takes the library's events.
type events struct{ f *Fleet }

func (e events) NotifyJoin(n *memberlist.Node) {
	if p, err := process(n); err == nil {
		e.f.on(func(t *membership.Tracker, now time.Time) bool { return t.Heard(p, now) })
	}
}

func (e events) NotifyUpdate(n *memberlist.Node) { e.NotifyJoin(n) }

func (e events) NotifyLeave(n *memberlist.Node) {
	if p, err := process(n); err == nil {
		e.f.on(func(t *membership.Tracker, now time.Time) bool {
			return t.Lost(p, p.State == membership.Left, now)
		})
	}
}

// alive turns strangers away.
type alive struct{ f *Fleet }

func (a alive) NotifyAlive(n *memberlist.Node) error {
	p, err := process(n)
	if err == nil && !allowed(a.f.cfg.Allow, p.Name) {
		err = fmt.Errorf("%q is none of this fleet's", p.Name)
	}
	if err != nil {
		a.f.mu.Lock()
		first := len(a.f.refused) < 100 && !a.f.refused[n.Name]
		if first {
			a.f.refused[n.Name] = true
		}
		a.f.mu.Unlock()
		if first {
			a.f.cfg.Log.Warn("turned away", "addr", n.Address(), "err", err)
		}
	}
	return err
}

// allowed tells whether a name is on a list.
func allowed(list []string, name string) bool {
	return len(list) == 0 || slices.ContainsFunc(list, func(a string) bool {
		prefix, any := strings.CutSuffix(a, "*")
		return a == name || any && strings.HasPrefix(name, prefix)
	})
}

// delegate is what this process tells, and what is told to it.
type delegate struct{ f *Fleet }

func (d delegate) NodeMeta(limit int) []byte {
	d.f.mu.Lock()
	defer d.f.mu.Unlock()
	meta, err := json.Marshal(d.f.self)
	if err != nil || len(meta) > min(limit, metaMost) {
		return nil
	}
	return meta
}

func (d delegate) NotifyMsg(msg []byte) {
	var x digest
	if len(msg) <= metaMost && json.Unmarshal(msg, &x) == nil {
		d.f.on(func(t *membership.Tracker, now time.Time) bool { return t.Told(x.Name, x.Digest, now) })
	}
}

func (delegate) GetBroadcasts(int, int) [][]byte     { return nil }
func (delegate) LocalState(bool) []byte              { return nil }
func (delegate) MergeRemoteState(buf []byte, _ bool) {}

// transport is the library's, whose connections come from the address that it listens at. It counts what this process sends, and
// what comes back on connections that it opened.
type transport struct {
	*memberlist.NetTransport
	bind  string
	bytes atomic.Int64
}

// counted is a connection whose bytes count.
type counted struct {
	net.Conn
	bytes *atomic.Int64
}

func (c counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (t *transport) WriteTo(p []byte, addr string) (time.Time, error) {
	t.bytes.Add(int64(len(p)))
	return t.NetTransport.WriteTo(p, addr)
}

func (t *transport) WriteToAddress(p []byte, a memberlist.Address) (time.Time, error) {
	t.bytes.Add(int64(len(p)))
	return t.NetTransport.WriteToAddress(p, a)
}

func newTransport(host string, port int, l *log.Logger) (*transport, error) {
	t, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: port, Logger: l})
	if err != nil {
		return nil, err
	}
	return &transport{NetTransport: t, bind: net.JoinHostPort(host, strconv.Itoa(port))}, nil
}

func (t *transport) DialTimeout(addr string, d time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	c, err := dialer(t.bind).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return counted{c, &t.bytes}, nil
}

func (t *transport) DialAddressTimeout(a memberlist.Address, d time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, d)
}

// dialer opens connections from the address that bind names.
func dialer(bind string) *net.Dialer {
	d := &net.Dialer{}
	if host, _, err := net.SplitHostPort(bind); err == nil {
		if ip := net.ParseIP(host); ip != nil && !ip.IsUnspecified() {
			d.LocalAddr = &net.TCPAddr{IP: ip}
		}
	}
	return d
}

// libraryLog has what the library says at the level that it deserves: nearly all of it is one packet's business.
type libraryLog struct{ log *slog.Logger }

func (l libraryLog) Write(p []byte) (int, error) {
	text := strings.TrimSpace(string(p))
	l.log.Debug("gossip", "says", text)
	return len(p), nil
}

var _ io.Writer = libraryLog{}
