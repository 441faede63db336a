// Package gossip implements membership.Join on a library for gossip and failure detection: it feeds the library's events
// to a membership.Tracker, and keeps contacting members that are missing.
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
	tickInterval        = time.Second
	batchDelayBase      = 50 * time.Millisecond
	batchDelayPerMember = time.Millisecond // a view costs more to process in a larger fleet
	digestFanout        = 2                // members that receive the view's digest each second
	rejoinMin           = 2 * time.Second
	rejoinMax           = 4 * time.Second
	aloneRejoinMin      = 250 * time.Millisecond
	aloneRejoinMax      = time.Second
	rejoinScaleFrom     = 12          // fleet size from which the rejoin interval grows
	reconcileDelay      = time.Second // after a change of members, during which gossip may still converge
	reconcileMin        = time.Second
	reconcileMax        = 2 * time.Second
	seedBackoffStep     = 5 * time.Second
	maxDialProbes       = 2 // away members whose addresses are probed each second
	dialProbeTimeout    = time.Second
	leaveTimeout        = 500 * time.Millisecond
	maxMetaBytes        = 256 // size of the metadata that a process announces, and of a digest message
	maxNameBytes        = 64

	// Failure detection. Each member is probed every probeInterval and then has suspicionTimeout to refute the
	// suspicion, whatever the size of the fleet: a pause of one second, or one or two lost datagrams, removes no member.
	probeInterval    = 500 * time.Millisecond
	probeTimeout     = 250 * time.Millisecond
	suspicionTimeout = 3 * time.Second
	// Changes are gossiped to gossipFanout members every gossipInterval; without changes nothing is sent. If twenty
	// members of a hundred end within a second, sixty messages are sent, eight to a packet and each a dozen times.
	gossipFanout   = 4
	gossipInterval = 100 * time.Millisecond
	// Changes are still gossiped to a dead member for this long, so that it can refute its death.
	gossipToDead = 10 * time.Second
)

// Fleet implements membership.Fleet.
type Fleet struct {
	cfg         membership.Config
	self        membership.Process
	list        *memberlist.Memberlist
	transport   *transport
	cancel      context.CancelFunc
	loops       sync.WaitGroup
	viewChanged chan struct{} // signal of capacity 1

	mu       sync.Mutex // guards the fields below
	tracker  *membership.Tracker
	onView   func(membership.View) // may be nil
	rejected map[string]bool
}

// Join implements membership.Join.
func Join(cfg membership.Config, onView func(membership.View)) (membership.Fleet, error) {
	return JoinWith(nil)(cfg, onView)
}

// TransportWrapper wraps the network transport of a member, for example to simulate a partition.
type TransportWrapper func(cfg membership.Config, network memberlist.NodeAwareTransport) memberlist.NodeAwareTransport

// JoinWith returns a Join whose transport is wrapped by wrap; nil: the plain transport.
func JoinWith(wrap TransportWrapper) membership.Join {
	return func(cfg membership.Config, onView func(membership.View)) (membership.Fleet, error) {
		f, err := start(cfg, wrap, onView)
		if err != nil {
			return nil, err
		}
		return f, nil
	}
}

func start(cfg membership.Config, wrap TransportWrapper, onView func(membership.View)) (*Fleet, error) {
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
	f := &Fleet{cfg: cfg, viewChanged: make(chan struct{}, 1), onView: onView, rejected: map[string]bool{}}
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
	c.SuspicionMaxTimeoutMult = 1 // the default of 6 would extend a suspicion that no other member confirms up to sixfold
	c.GossipNodes, c.GossipInterval, c.GossipToTheDeadTime = gossipFanout, gossipInterval, gossipToDead
	// Gossip packets are small; setting up the compressor costs more than all other work on a packet.
	c.EnableCompression = false
	c.DNSConfigPath = "/dev/null" // no DNS lookups
	c.Logger = log.New(logAdapter{cfg.Log}, "", 0)
	c.LogOutput = nil
	c.Events, c.Delegate, c.Alive = events{f}, delegate{f}, admission{f}
	transport, err := newTransport(host, portNumber, c.Logger)
	if err != nil {
		return nil, fmt.Errorf("membership: listen at %s: %w", cfg.Bind, err)
	}
	f.transport = transport
	if c.Transport = transport; portNumber == 0 {
		c.BindPort = transport.GetAutoBindPort()
		c.AdvertisePort = c.BindPort
	}
	if wrap != nil {
		c.Transport = wrap(cfg, transport)
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

// suspicionMultiplier returns the library's SuspicionMult for suspicionTimeout. The library multiplies it by its probe
// interval and the logarithm of the fleet's size.
func suspicionMultiplier(size int) int {
	scale := max(1, math.Log10(float64(max(1, size))))
	return max(2, int(suspicionTimeout.Seconds()/(scale*probeInterval.Seconds())+0.5))
}

// nodeName is the name of a process within the library. It is unique per process, so that the library never sees two
// nodes with one name.
func nodeName(p membership.Process) string {
	return fmt.Sprintf("%s/%x/%s", p.Name, p.Incarnation, p.Folder)
}

// View returns the current view.
func (f *Fleet) View() membership.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.View()
}

// NetworkBytes returns the bytes that this process has sent, and received on connections that it opened.
func (f *Fleet) NetworkBytes() int64 { return f.transport.bytes.Load() }

// SetState announces this process's state to the other members.
func (f *Fleet) SetState(s membership.State) { f.setState(s, 0) }

// setState waits at most timeout for the announcement to be sent; 0: does not wait, the next gossip carries it.
func (f *Fleet) setState(s membership.State, timeout time.Duration) error {
	f.mu.Lock()
	var changed bool
	f.self, changed = f.tracker.SetState(s, time.Now())
	f.mu.Unlock()
	if changed {
		f.notifyChanged()
	}
	return f.list.UpdateNode(timeout)
}

// Leave announces that this process leaves and ends its membership.
func (f *Fleet) Leave() error {
	// Announce Left first and separately: the library's own leave message replaces pending updates and does not tell
	// the receivers whether the process left in order.
	err := f.setState(membership.Left, leaveTimeout)
	return errors.Join(err, f.list.Leave(leaveTimeout), f.Close())
}

// Close ends the membership without an announcement: a newer process with this name has taken over, or the failure
// detector of the others notices.
func (f *Fleet) Close() error {
	f.cancel()
	err := f.list.Shutdown()
	f.loops.Wait()
	if err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	return nil
}

// notifyChanged wakes publishViews.
func (f *Fleet) notifyChanged() {
	select {
	case f.viewChanged <- struct{}{}:
	default:
	}
}

// update applies an event to the tracker.
func (f *Fleet) update(event func(t *membership.Tracker, now time.Time) bool) {
	f.mu.Lock()
	changed := event(f.tracker, time.Now())
	f.mu.Unlock()
	if changed {
		f.notifyChanged()
	}
}

// BatchDelay is how long a member collects changes before it publishes a view.
func BatchDelay(present int) time.Duration {
	return batchDelayBase + time.Duration(present)*batchDelayPerMember
}

// publishViews logs each new view and passes it to onView.
func (f *Fleet) publishViews(ctx context.Context) {
	var last membership.View
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.viewChanged:
		}
		select { // collect changes that come together into one view
		case <-ctx.Done():
			return
		case <-time.After(BatchDelay(last.Present)):
		}
		v := f.View()
		if v.Version == last.Version {
			continue
		}
		joined, left := v.Changes(last)
		last = v
		f.cfg.Log.Info("view", "version", v.Version, "agreement", v.Agreement, "present", v.Present, "careful", v.MayServe,
			"unreachable", v.Unreachable, "differ", len(v.Disagreeing), "came", joined, "gone", left)
		if v.Superseded {
			f.cfg.Log.Warn("a newer process has this relay's name", "member", f.cfg.Name, "incarnation", f.self.Incarnation)
		}
		if f.onView != nil {
			f.onView(v)
		}
	}
}

// tick advances time, sends the view's digest to a few members, and probes away members.
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
			panic(err) // cannot fail: plain fields only
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

// dialProbe checks whether the machine of an away member refuses connections to it.
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

// rejoin contacts a seed or an away member as long as members are missing. A join exchanges the full state of both
// sides, some milliseconds of work for 300 members: the interval grows with the fleet, so that a fleet of any size makes
// as many joins a second as one of rejoinScaleFrom members. This is enough to heal a split, since one join across it
// informs both sides.
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
			f.list.Join([]string{to}) // failed joins are retried
		}
	}
}

// reconcile exchanges the full state with a member whose view differs, once gossip has had time to converge: when many
// members announce something at once, for example if a whole fleet starts, the library drops updates before they have
// reached every member.
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

// joinTarget returns an address to contact if members are missing, or "" if none are or it is not time to ask again.
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
	// If members stay missing that have never been seen, for example in a fleet started with fewer members, seeds are
	// contacted less and less often.
	steps := max(1, int(time.Since(v.At)/seedBackoffStep))
	switch {
	case len(seeds) > 0 && (v.Present == 1 || v.Present < f.cfg.Size && rand.IntN(2*steps) == 0):
		return seeds[rand.IntN(len(seeds))]
	case len(away) > 0:
		return away[rand.IntN(len(away))]
	}
	return ""
}

// digest is the message that announces the digest of a member's view.
type digest struct {
	Name   string `json:"n"`
	Digest uint64 `json:"d"`
}

// parseMeta decodes and checks the metadata of a node.
func parseMeta(n *memberlist.Node) (p membership.Process, err error) {
	if len(n.Meta) > maxMetaBytes {
		return p, fmt.Errorf("metadata of %d bytes, limit %d", len(n.Meta), maxMetaBytes)
	}
	if err := json.Unmarshal(n.Meta, &p); err != nil {
		return p, err
	}
	p.Addr = n.Address()
	if p.Name == "" || len(p.Name) > maxNameBytes || nodeName(p) != n.Name {
		return p, fmt.Errorf("node %q announces itself as %q", n.Name, nodeName(p))
	}
	return p, nil
}

// events handles the library's membership events.
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

// admission rejects processes that may not be members.
type admission struct{ f *Fleet }

func (a admission) NotifyAlive(n *memberlist.Node) error {
	p, err := parseMeta(n)
	if err == nil && !allowed(a.f.cfg.Allow, p.Name) {
		err = fmt.Errorf("%q is not an allowed member", p.Name)
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

// allowed reports whether a name matches a list of allowed names.
func allowed(list []string, name string) bool {
	return len(list) == 0 || slices.ContainsFunc(list, func(a string) bool {
		prefix, any := strings.CutSuffix(a, "*")
		return a == name || any && strings.HasPrefix(name, prefix)
	})
}

// delegate provides this process's metadata and receives messages of other members.
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

// transport is the library's transport with connections that originate from the listen address. It counts the bytes that
// this process sends, and receives on connections that it opened.
type transport struct {
	*memberlist.NetTransport
	bind  string
	bytes atomic.Int64
}

// countingConn counts the bytes of a connection.
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

// dialer returns a dialer whose connections originate from the host of bind.
func dialer(bind string) *net.Dialer {
	d := &net.Dialer{}
	if host, _, err := net.SplitHostPort(bind); err == nil {
		if ip := net.ParseIP(host); ip != nil && !ip.IsUnspecified() {
			d.LocalAddr = &net.TCPAddr{IP: ip}
		}
	}
	return d
}

// logAdapter writes the library's log at debug level: nearly all of it concerns single packets.
type logAdapter struct{ log *slog.Logger }

func (l logAdapter) Write(p []byte) (int, error) {
	text := strings.TrimSpace(string(p))
	l.log.Debug("gossip", "says", text)
	return len(p), nil
}

var _ io.Writer = logAdapter{}
