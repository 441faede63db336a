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
	tickInterval     = time.Second
	batchDelayBase        = 50 * time.Millisecond
	batchDelayPerMember    = time.Millisecond // for each member: what a view costs grows with them
	digestFanout     = 2                // members that are told of the view each second
	rejoinMin    = 2 * time.Second
	rejoinMax      = 4 * time.Second
	aloneRejoinMin     = 250 * time.Millisecond
	aloneRejoinMax       = time.Second
	rejoinScaleFrom   = 12
	reconcileDelay     = time.Second // from a change of members until the rest is no gossip's any more
	reconcileMin = time.Second
	reconcileMax   = 2 * time.Second
	seedBackoffStep    = 5 * time.Second
	maxDialProbes     = 2 // members away whose addresses are looked at each second
	dialProbeTimeout      = time.Second
	leaveTimeout      = 500 * time.Millisecond
	maxMetaBytes      = 256 // bytes of what a process tells of itself
	maxNameBytes      = 64

	// The detector's pace. A member is looked at every probeInterval by somebody, and has suspicion from then on to say that it
	// is there, whatever the fleet's size: a pause of a second and a lost datagram or two remove nobody.
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 250 * time.Millisecond
	suspicionTimeout  = 3 * time.Second
	// What changes is passed on to so many others so often. At rest nothing is; where twenty members of a hundred end within
	// a second, sixty messages have to go, eight to a packet and each a dozen times.
	gossipFanout   = 4
	gossipInterval = 100 * time.Millisecond
	gossipToDead = 10 * time.Second
)

// Fleet is this process's part in the fleet.
type Fleet struct {
	cfg    membership.Config
	self   membership.Process
	list   *memberlist.Memberlist
	transport     *transport
	cancel context.CancelFunc
	loops   sync.WaitGroup
	viewChanged   chan struct{} // holds one: the view has changed

	mu      sync.Mutex // guards what follows
	tracker *membership.Tracker
	onView    func(membership.View) // nil: nobody
	rejected map[string]bool
}

// Join is membership.Join.
func Join(cfg membership.Config, told func(membership.View)) (membership.Fleet, error) {
	return JoinWith(nil)(cfg, told)
}

// TransportWrapper puts something between a member and its network.
type TransportWrapper func(cfg membership.Config, network memberlist.NodeAwareTransport) memberlist.NodeAwareTransport

// JoinWith is Join over another network, one that can be cut, say; nil: the usual one.
func JoinWith(over TransportWrapper) membership.Join {
	return func(cfg membership.Config, told func(membership.View)) (membership.Fleet, error) {
		f, err := start(cfg, over, told)
		if err != nil {
			return nil, err
		}
		return f, nil
	}
}

func start(cfg membership.Config, over TransportWrapper, told func(membership.View)) (*Fleet, error) {
	host, port, err := net.SplitHostPort(cfg.Bind)
	if err != nil {
		return nil, fmt.Errorf("membership: bind: %w", err)
	}
	portNumber, err := strconv.Atoi(port)
	if err != nil {
		return nil, fmt.Errorf("membership: bind: %w", err)
	}
	folder, incarnation, err := membership.BeginIncarnation(cfg.StateDir, time.Now())
	if err != nil {
		return nil, err
	}
	f := &Fleet{cfg: cfg, viewChanged: make(chan struct{}, 1), onView: told, rejected: map[string]bool{}}
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
	c.ProbeInterval, c.ProbeTimeout, c.SuspicionMult = probeInterval, probeTimeout, suspicionMultiplier(cfg.Size)
	c.SuspicionMaxTimeoutMult = 1 // more for a suspicion that nobody shares would be up to six times as long
	c.GossipNodes, c.GossipInterval, c.GossipToTheDeadTime = gossipFanout, gossipInterval, gossipToDead
	// A packet of gossip is small, and a compressor's tables cost more than all else that is done with it.
	c.EnableCompression = false
	c.DNSConfigPath = "/dev/null" // there is no DNS
	c.Logger = log.New(logAdapter{cfg.Log}, "", 0)
	c.LogOutput = nil
	c.Events, c.Delegate, c.Alive = events{f}, delegate{f}, admission{f}
	at, err := newTransport(host, portNumber, c.Logger)
	if err != nil {
		return nil, fmt.Errorf("membership: listen at %s: %w", cfg.Bind, err)
	}
	f.transport = at
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
	f.loops.Go(func() { f.tick(ctx) })
	f.loops.Go(func() { f.rejoin(ctx) })
	f.loops.Go(func() { f.publishViews(ctx) })
	f.loops.Go(func() { f.reconcile(ctx) })
	return f, nil
}

// suspicionMultiplier is what the library multiplies its pace and the logarithm of the fleet's size by for the time of a suspicion.
func suspicionMultiplier(size int) int {
	scale := max(1, math.Log10(float64(max(1, size))))
	return max(2, int(suspicionTimeout.Seconds()/(scale*probeInterval.Seconds())+0.5))
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

// NetworkBytes is what this process's part has sent, and taken on connections that it opened.
func (f *Fleet) NetworkBytes() int64 { return f.transport.bytes.Load() }

// SetState tells the others of this process's state.
func (f *Fleet) SetState(s membership.State) { f.setState(s, 0) }

// setState waits so long for the others to be told; 0: not at all, the next gossip tells them.
func (f *Fleet) setState(s membership.State, most time.Duration) error {
	f.mu.Lock()
	var changed bool
	f.self, changed = f.tracker.SetState(s, time.Now())
	f.mu.Unlock()
	if changed {
		f.notifyChanged()
	}
	return f.list.UpdateNode(most)
}

// Leave leaves in order, so that nobody has to find out, and ends this process's part.
func (f *Fleet) Leave() error {
	// The word first, by itself: the library's own word for an end takes the place of one that is still to go out, and does
	// not tell those that are notified of it whether it was in order.
	err := f.setState(membership.Left, leaveTimeout)
	return errors.Join(err, f.list.Leave(leaveTimeout), f.Close())
}

// Close ends this process's part without a word: a newer process of its name has taken its place, or others find out.
func (f *Fleet) Close() error {
	f.cancel()
	err := f.list.Shutdown()
	f.loops.Wait()
	if err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	return nil
}

// notifyChanged has the new view told.
func (f *Fleet) notifyChanged() {
	select {
	case f.viewChanged <- struct{}{}:
	default:
	}
}

// update takes an event to the tracker.
func (f *Fleet) update(event func(t *membership.Tracker, now time.Time) bool) {
	f.mu.Lock()
	changed := event(f.tracker, time.Now())
	f.mu.Unlock()
	if changed {
		f.notifyChanged()
	}
}

// BatchDelay is the time for which a member gathers changes of so many members before it tells a view.
func BatchDelay(present int) time.Duration { return batchDelayBase + time.Duration(present)*batchDelayPerMember }

// publishViews hands each new view on, and writes a line for it.
func (f *Fleet) publishViews(ctx context.Context) {
	var last membership.View
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.viewChanged:
		}
		select { // what comes together is one view
		case <-ctx.Done():
			return
		case <-time.After(BatchDelay(last.Present)):
		}
		v := f.View()
		if v.Version == last.Version {
			continue
		}
		came, gone := v.Changes(last)
		last = v
		f.cfg.Log.Info("view", "version", v.Version, "agreement", v.Agreement, "present", v.Present, "careful", v.MayServe,
			"unreachable", v.Unreachable, "differ", len(v.Disagreeing), "came", came, "gone", gone)
		if v.Superseded {
			f.cfg.Log.Warn("a newer process has this relay's name", "member", f.cfg.Name, "incarnation", f.self.Incarnation)
		}
		if f.onView != nil {
			f.onView(v)
		}
	}
}

// tick lets time pass, tells a few others of the view, and looks at members that are away.
func (f *Fleet) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		f.update(func(t *membership.Tracker, now time.Time) bool { return t.Tick(now) })
		msg, err := json.Marshal(digest{f.cfg.Name, f.View().Digest})
		if err != nil {
			panic(err) // plain fields only: cannot fail
		}
		nodes := f.list.Members()
		for range digestFanout {
			if n := nodes[rand.IntN(len(nodes))]; n.Name != nodeName(f.self) {
				f.list.SendBestEffort(n, msg)
			}
		}
		f.mu.Lock()
		away := f.tracker.Unreachable()
		f.mu.Unlock()
		rand.Shuffle(len(away), func(i, j int) { away[i], away[j] = away[j], away[i] })
		for _, p := range away[:min(len(away), maxDialProbes)] {
			f.loops.Go(func() { f.dialProbe(ctx, p) })
		}
	}
}

// dialProbe tells whether a machine says that the process at an address is gone.
func (f *Fleet) dialProbe(ctx context.Context, p membership.Process) {
	ctx, cancel := context.WithTimeout(ctx, dialProbeTimeout)
	defer cancel()
	c, err := dialer(f.cfg.Bind).DialContext(ctx, "tcp", p.Addr)
	if err == nil {
		c.Close()
	}
	f.update(func(t *membership.Tracker, now time.Time) bool {
		return t.RecordProbe(p.Name, errors.Is(err, syscall.ECONNREFUSED), now)
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
			wait = aloneRejoinMin + rand.N(aloneRejoinMax-aloneRejoinMin)
		} else {
			wait = (rejoinMin + rand.N(rejoinMax-rejoinMin)) * time.Duration(max(rejoinScaleFrom, v.Present)) / rejoinScaleFrom
		}
		if to := f.joinTarget(v); to != "" {
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
		case <-time.After(reconcileMin + rand.N(reconcileMax-reconcileMin)):
		}
		v := f.View()
		if len(v.Disagreeing) == 0 || time.Since(v.MembersChanged) < reconcileDelay {
			continue
		}
		name := v.Disagreeing[rand.IntN(len(v.Disagreeing))]
		if i := slices.IndexFunc(v.Members, func(m membership.Member) bool { return m.Name == name && m.Away == membership.Present }); i >= 0 {
			f.list.Join([]string{v.Members[i].Addr})
		}
	}
}

// joinTarget is an address to ask where members are joinTarget; empty if none are, or it was asked often enough.
func (f *Fleet) joinTarget(v membership.View) string {
	var away, seeds []string
	f.mu.Lock()
	for _, p := range f.tracker.Unreachable() {
		away = append(away, p.Addr)
	}
	f.mu.Unlock()
	for _, s := range f.cfg.Seeds {
		if s != f.cfg.Bind && s != f.cfg.Advertise {
			seeds = append(seeds, s)
		}
	}
	// Where some stay missing that nobody has seen, as after a start with few, seeds are asked ever more seldom.
	stood := max(1, int(time.Since(v.At)/seedBackoffStep))
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

// parseMeta reads what a node tells of itself.
func parseMeta(n *memberlist.Node) (p membership.Process, err error) {
	if len(n.Meta) > maxMetaBytes {
		return p, errors.New("too much")
	}
	if err := json.Unmarshal(n.Meta, &p); err != nil {
		return p, err
	}
	p.Addr = n.Address()
	if p.Name == "" || len(p.Name) > maxNameBytes || nodeName(p) != n.Name {
		return p, fmt.Errorf("%q says that it is %q", n.Name, nodeName(p))
	}
	return p, nil
}

// events takes the library's events.
type events struct{ f *Fleet }

func (e events) NotifyJoin(n *memberlist.Node) {
	if p, err := parseMeta(n); err == nil {
		e.f.update(func(t *membership.Tracker, now time.Time) bool { return t.ObserveAlive(p, now) })
	}
}

func (e events) NotifyUpdate(n *memberlist.Node) { e.NotifyJoin(n) }

func (e events) NotifyLeave(n *memberlist.Node) {
	if p, err := parseMeta(n); err == nil {
		e.f.update(func(t *membership.Tracker, now time.Time) bool {
			return t.ObserveLost(p, p.State == membership.Left, now)
		})
	}
}

// admission turns strangers away.
type admission struct{ f *Fleet }

func (a admission) NotifyAlive(n *memberlist.Node) error {
	p, err := parseMeta(n)
	if err == nil && !allowed(a.f.cfg.Allow, p.Name) {
		err = fmt.Errorf("%q is none of this fleet's", p.Name)
	}
	if err != nil {
		a.f.mu.Lock()
		first := len(a.f.rejected) < 100 && !a.f.rejected[n.Name]
		if first {
			a.f.rejected[n.Name] = true
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
	if err != nil || len(meta) > min(limit, maxMetaBytes) {
		return nil
	}
	return meta
}

func (d delegate) NotifyMsg(msg []byte) {
	var x digest
	if len(msg) <= maxMetaBytes && json.Unmarshal(msg, &x) == nil {
		d.f.update(func(t *membership.Tracker, now time.Time) bool { return t.RecordDigest(x.Name, x.Digest, now) })
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

// countingConn is a connection whose bytes count.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
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
	return countingConn{c, &t.bytes}, nil
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

// logAdapter has what the library says at the level that it deserves: nearly all of it is one packet's business.
type logAdapter struct{ log *slog.Logger }

func (l logAdapter) Write(p []byte) (int, error) {
	text := strings.TrimSpace(string(p))
	l.log.Debug("gossip", "says", text)
	return len(p), nil
}

var _ io.Writer = logAdapter{}
