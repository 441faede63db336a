package fleetslope

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"onyxroad.dev/onyxroad/internal/membership"
	"onyxroad.dev/onyxroad/internal/testbed/network"
	"onyxroad.dev/onyxroad/internal/testbed/scale"
)

const (
	gossipPort  = 17946
	seedsTold   = 3  // members that all others are told of
	startWith   = 16 // members that begin at once
	membersMost = 250 * 250
	memberBlock = 64 // the second byte of members' addresses
	// A fleet is calm where a member sends less than this a second, and this more for each other member: four times what a fleet at
	// rest was measured to send, and a tenth of what one sends that passes changes on.
	calmBytes, calmBytesMore = 1000, 20
	calmMost                 = 80 * time.Second
	settleMost               = 60 * time.Second
	buildings                = 6
)

// hollow is a member without the relay around it.
type hollow struct {
	fleet atomic.Pointer[membership.Fleet] // nil: not begun yet
	gone  atomic.Bool
	seen  atomic.Pointer[sight] // of the last view that it told
	told  atomic.Int64          // views that it told
}

// sight is what counts of a view for whether all see the same.
type sight struct {
	digest  uint64
	present int
}

// members is a fleet of hollow members in this process, each at an address of its own.
type members struct {
	all     []*hollow
	changed chan struct{} // holds one: some view has changed
	lost    *atomic.Int64 // bytes that were sent into a cut; nil: there is none
}

// newMembers is a fleet that has not begun.
func newMembers(size int) (*members, error) {
	if size > membersMost {
		return nil, fmt.Errorf("fleetslope: there are addresses for %d members", membersMost)
	}
	f := &members{changed: make(chan struct{}, 1)}
	for range size {
		f.all = append(f.all, &hollow{})
	}
	return f, nil
}

// memberAddr is the place of a member: 127.64.x.y.
func memberAddr(i int) string {
	return fmt.Sprintf("%v:%d", net.IPv4(127, memberBlock, byte(1+i/250), byte(1+i%250)), gossipPort)
}

// start has all members join one another, and waits for none of that. join is gossip.Join, or one over a network that can be cut.
func (f *members) start(ctx context.Context, join membership.Join, env scale.Env) error {
	var seeds []string
	for i := range min(seedsTold, len(f.all)) {
		seeds = append(seeds, memberAddr(i))
	}
	var wg errgroup.Group
	wg.SetLimit(startWith)
	for i, h := range f.all {
		wg.Go(func() error { return f.begin(ctx, i, h, seeds, join, env) })
	}
	return wg.Wait()
}

// begin begins the member of a place.
func (f *members) begin(ctx context.Context, i int, h *hollow, seeds []string, join membership.Join, env scale.Env) error {
	dir := filepath.Join(env.Dir, fmt.Sprintf("m%05d", i))
	if err := errors.Join(os.MkdirAll(dir, 0o700), ctx.Err()); err != nil {
		return fmt.Errorf("fleetslope: %w", err)
	}
	addr := memberAddr(i)
	cfg := membership.Config{Fleet: "slope", Name: fmt.Sprintf("relay-%05d", i), Building: fmt.Sprintf("zone-%d", i%buildings),
		Version: "0123456789ab", Admin: addr, Bind: addr, Seeds: seeds, Size: len(f.all), StateDir: dir, Log: env.Log}
	m, err := join(cfg, func(v membership.View) {
		h.seen.Store(&sight{v.Digest, v.Present})
		h.told.Add(1)
		select {
		case f.changed <- struct{}{}:
		default:
		}
	})
	if err == nil {
		h.fleet.Store(&m)
	}
	return err
}

// exchange is what a full exchange between two members costs the network, in bytes: twice what a newcomer that knows nobody takes
// until it knows all, which one side of an exchange tells it.
func (f *members) exchange(ctx context.Context, join membership.Join, env scale.Env) (bytes int64, err error) {
	h := &hollow{}
	defer func() { err = errors.Join(err, f.end(h)) }()
	if err := f.begin(ctx, len(f.all), h, []string{memberAddr(0)}, join, env); err != nil {
		return 0, err
	}
	m := *h.fleet.Load()
	err = until(ctx, "a newcomer knows all", settleMost, time.Millisecond, func() error {
		if n := m.View().Present; n <= len(f.all) {
			return fmt.Errorf("it knows %d of %d", n, len(f.all))
		}
		return nil
	})
	return 2 * m.NetworkBytes(), err
}

// serve has all members tell that they serve, as relays do once they can.
func (f *members) serve() {
	for _, h := range f.all {
		(*h.fleet.Load()).SetState(membership.Serving)
	}
}

// calm waits until what members pass on of a change has been passed on: each tells each of it a dozen times, a few packets at a
// time, which goes on long after all know it. What is left then is looks at one another and full exchanges now and then.
func (f *members) calm(ctx context.Context) error {
	each := int64(len(f.all))
	for end, last := time.Now().Add(calmMost), f.bytes(); ; {
		if err := network.Sleep(ctx, time.Second); err != nil {
			return err
		}
		now := f.bytes()
		if (now-last)/each < calmBytes+calmBytesMore*each {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("fleetslope: %d members are not calm after %v: %d bytes a second", each, calmMost, (now-last)/each)
		}
		last = now
	}
}

// live counts the members that have not been ended.
func (f *members) live() (n int) {
	for _, h := range f.all {
		if !h.gone.Load() {
			n++
		}
	}
	return n
}

// end ends members without a word, as by SIGKILL.
func (f *members) end(gone ...*hollow) error {
	var wg errgroup.Group
	for _, h := range gone {
		if m := h.fleet.Load(); m != nil && h.gone.CompareAndSwap(false, true) {
			wg.Go((*m).Close)
		}
	}
	return wg.Wait()
}

func (f *members) close() error { return f.end(f.all...) }

// agree tells whether all live views that were told are the same, with so many members present.
func (f *members) agree(present int) bool {
	var first *sight
	for _, h := range f.all {
		if h.gone.Load() {
			continue
		}
		s := h.seen.Load()
		if s == nil || s.present != present || first != nil && s.digest != first.digest {
			return false
		}
		first = s
	}
	return true
}

// settle waits until all live members agree, and returns how long that took from a moment on.
func (f *members) settle(ctx context.Context, since time.Time) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, settleMost)
	defer cancel()
	for present := f.live(); !f.agree(present); {
		select {
		case <-f.changed:
		case <-ctx.Done():
			return 0, fmt.Errorf("fleetslope: the views of %d members are not the same after %v: %w", present, settleMost, ctx.Err())
		}
	}
	return time.Since(since), nil
}

// bytes is what all members have cost the network so far: each byte once, where it was sent, or where a connection was opened.
func (f *members) bytes() (sum int64) {
	if f.lost != nil {
		sum = f.lost.Load()
	}
	for _, h := range f.all {
		if m := h.fleet.Load(); m != nil {
			sum += (*m).NetworkBytes()
		}
	}
	return sum
}

// load is what one member costs, the mean over a fleet's: in the mean of a time, and in that time's peak second.
type load struct{ cores, bytes, peakCores, peakBytes float64 }

// figures are settleFigures of a change after which members agreed.
func (l load) figures(settled time.Duration) map[string]float64 {
	return map[string]float64{"settle_ms": millis(settled), "peak_bytes_s": l.peakBytes, "mean_bytes_s": l.bytes, "peak_cores": l.peakCores,
		"mean_cores": l.cores}
}

// during measures what each of n members costs each second from now on until do is done, and to the end of that second.
// Processor time is that of this process divided by n: the measurement's own part is in it.
func (f *members) during(n int, do func() error) (load, error) {
	done := make(chan error, 1)
	go func() { done <- do() }()
	each := float64(n)
	began, cpu, bytes := time.Now(), ownTime(), f.bytes()
	last, lastCPU, lastBytes := began, cpu, bytes
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	var l load
	for over := false; !over; {
		select {
		case err := <-done:
			if err != nil {
				return load{}, err
			}
			over, done = true, nil
			<-tick.C
		case <-tick.C:
		}
		now, nowCPU, nowBytes := time.Now(), ownTime(), f.bytes()
		seconds := now.Sub(last).Seconds()
		l.peakCores = max(l.peakCores, (nowCPU-lastCPU).Seconds()/seconds/each)
		l.peakBytes = max(l.peakBytes, float64(nowBytes-lastBytes)/seconds/each)
		last, lastCPU, lastBytes = now, nowCPU, nowBytes
	}
	whole := last.Sub(began).Seconds()
	l.cores, l.bytes = (lastCPU-cpu).Seconds()/whole/each, float64(lastBytes-bytes)/whole/each
	return l, nil
}
