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
	seedCount   = 3  // members that all others are told of
	startConcurrency   = 16 // members that begin at once
	maxMembers = 250 * 250
	memberOctet = 64 // the second byte of members' addresses
	// A fleet is calm where a member sends less than this a second, and this more for each other member: four times what a fleet at
	// rest was measured to send, and a tenth of what one sends that passes changes on.
	quietBytes, quietBytesPerMember = 1000, 20
	quietTimeout                 = 80 * time.Second
	settleTimeout               = 60 * time.Second
	buildings                = 6
)

// testMember is a member without the relay around it.
type testMember struct {
	fleet atomic.Pointer[membership.Fleet] // nil: not begun yet
	ended  atomic.Bool
	lastView  atomic.Pointer[viewSummary] // of the last view that it told
	viewCount  atomic.Int64          // views that it told
}

// viewSummary is what counts of a view for whether all see the same.
type viewSummary struct {
	digest  uint64
	present int
}

// memberFleet is a fleet of hollow memberFleet in this process, each at an address of its own.
type memberFleet struct {
	all     []*testMember
	changed chan struct{} // holds one: some view has changed
	lostBytes    *atomic.Int64 // bytes that were sent into a cut; nil: there is none
}

// newMemberFleet is a fleet that has not begun.
func newMemberFleet(size int) (*memberFleet, error) {
	if size > maxMembers {
		return nil, fmt.Errorf("fleetslope: there are addresses for %d members", maxMembers)
	}
	f := &memberFleet{changed: make(chan struct{}, 1)}
	for range size {
		f.all = append(f.all, &testMember{})
	}
	return f, nil
}

// memberAddr is the place of a member: 127.64.x.y.
func memberAddr(i int) string {
	return fmt.Sprintf("%v:%d", net.IPv4(127, memberOctet, byte(1+i/250), byte(1+i%250)), gossipPort)
}

// startAll has all members join one another, and waits for none of that. join is gossip.Join, or one over a network that can be cut.
func (f *memberFleet) startAll(ctx context.Context, join membership.Join, env scale.Env) error {
	var seeds []string
	for i := range min(seedCount, len(f.all)) {
		seeds = append(seeds, memberAddr(i))
	}
	var wg errgroup.Group
	wg.SetLimit(startConcurrency)
	for i, h := range f.all {
		wg.Go(func() error { return f.startMember(ctx, i, h, seeds, join, env) })
	}
	return wg.Wait()
}

// startMember begins the member of a place.
func (f *memberFleet) startMember(ctx context.Context, i int, h *testMember, seeds []string, join membership.Join, env scale.Env) error {
	dir := filepath.Join(env.Dir, fmt.Sprintf("m%05d", i))
	if err := errors.Join(os.MkdirAll(dir, 0o700), ctx.Err()); err != nil {
		return fmt.Errorf("fleetslope: %w", err)
	}
	addr := memberAddr(i)
	cfg := membership.Config{Fleet: "slope", Name: fmt.Sprintf("relay-%05d", i), Building: fmt.Sprintf("zone-%d", i%buildings),
		Version: "0123456789ab", Admin: addr, Bind: addr, Seeds: seeds, Size: len(f.all), StateDir: dir, Log: env.Log}
	m, err := join(cfg, func(v membership.View) {
		h.lastView.Store(&viewSummary{v.Digest, v.Present})
		h.viewCount.Add(1)
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

// measureExchange is what a full measureExchange between two members costs the network, in bytes: twice what a newcomer that knows nobody takes
// until it knows all, which one side of an measureExchange tells it.
func (f *memberFleet) measureExchange(ctx context.Context, join membership.Join, env scale.Env) (bytes int64, err error) {
	h := &testMember{}
	defer func() { err = errors.Join(err, f.kill(h)) }()
	if err := f.startMember(ctx, len(f.all), h, []string{memberAddr(0)}, join, env); err != nil {
		return 0, err
	}
	m := *h.fleet.Load()
	err = poll(ctx, "a newcomer knows all", settleTimeout, time.Millisecond, func() error {
		if n := m.View().Present; n <= len(f.all) {
			return fmt.Errorf("it knows %d of %d", n, len(f.all))
		}
		return nil
	})
	return 2 * m.Bytes(), err
}

// setServing has all members tell that they setServing, as relays do once they can.
func (f *memberFleet) setServing() {
	for _, h := range f.all {
		(*h.fleet.Load()).Become(membership.Serving)
	}
}

// awaitQuiet waits until what members pass on of a change has been passed on: each tells each of it a dozen times, a few packets at a
// time, which goes on long after all know it. What is left then is looks at one another and full exchanges now and then.
func (f *memberFleet) awaitQuiet(ctx context.Context) error {
	each := int64(len(f.all))
	for end, last := time.Now().Add(quietTimeout), f.totalBytes(); ; {
		if err := network.Sleep(ctx, time.Second); err != nil {
			return err
		}
		now := f.totalBytes()
		if (now-last)/each < quietBytes+quietBytesPerMember*each {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("fleetslope: %d members are not calm after %v: %d bytes a second", each, quietTimeout, (now-last)/each)
		}
		last = now
	}
}

// liveCount counts the members that have not been ended.
func (f *memberFleet) liveCount() (n int) {
	for _, h := range f.all {
		if !h.ended.Load() {
			n++
		}
	}
	return n
}

// kill ends members without a word, as by SIGKILL.
func (f *memberFleet) kill(gone ...*testMember) error {
	var wg errgroup.Group
	for _, h := range gone {
		if m := h.fleet.Load(); m != nil && h.ended.CompareAndSwap(false, true) {
			wg.Go((*m).Close)
		}
	}
	return wg.Wait()
}

func (f *memberFleet) close() error { return f.kill(f.all...) }

// viewsAgree tells whether all live views that were told are the same, with so many members present.
func (f *memberFleet) viewsAgree(present int) bool {
	var first *viewSummary
	for _, h := range f.all {
		if h.ended.Load() {
			continue
		}
		s := h.lastView.Load()
		if s == nil || s.present != present || first != nil && s.digest != first.digest {
			return false
		}
		first = s
	}
	return true
}

// awaitAgreement waits until all live members agree, and returns how long that took from a moment on.
func (f *memberFleet) awaitAgreement(ctx context.Context, since time.Time) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for present := f.liveCount(); !f.viewsAgree(present); {
		select {
		case <-f.changed:
		case <-ctx.Done():
			return 0, fmt.Errorf("fleetslope: the views of %d members are not the same after %v: %w", present, settleTimeout, ctx.Err())
		}
	}
	return time.Since(since), nil
}

// totalBytes is what all members have cost the network so far: each byte once, where it was sent, or where a connection was opened.
func (f *memberFleet) totalBytes() (sum int64) {
	if f.lostBytes != nil {
		sum = f.lostBytes.Load()
	}
	for _, h := range f.all {
		if m := h.fleet.Load(); m != nil {
			sum += (*m).Bytes()
		}
	}
	return sum
}

// usage is what one member costs, the mean over a fleet's: in the mean of a time, and in that time's peak second.
type usage struct{ cores, bytes, peakCores, peakBytes float64 }

// figures are settleFigures of a change after which members agreed.
func (l usage) figures(settled time.Duration) map[string]float64 {
	return map[string]float64{"settle_ms": millis(settled), "peak_bytes_s": l.peakBytes, "mean_bytes_s": l.bytes, "peak_cores": l.peakCores,
		"mean_cores": l.cores}
}

// measureUsage measures what each of n members costs each second from now on until do is done, and to the end of that second.
// Processor time is that of this process divided by n: the measurement's own part is in it.
func (f *memberFleet) measureUsage(n int, do func() error) (usage, error) {
	done := make(chan error, 1)
	go func() { done <- do() }()
	each := float64(n)
	began, cpu, bytes := time.Now(), ownCPUTime(), f.totalBytes()
	last, lastCPU, lastBytes := began, cpu, bytes
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	var l usage
	for over := false; !over; {
		select {
		case err := <-done:
			if err != nil {
				return usage{}, err
			}
			over, done = true, nil
			<-tick.C
		case <-tick.C:
		}
		now, nowCPU, nowBytes := time.Now(), ownCPUTime(), f.totalBytes()
		seconds := now.Sub(last).Seconds()
		l.peakCores = max(l.peakCores, (nowCPU-lastCPU).Seconds()/seconds/each)
		l.peakBytes = max(l.peakBytes, float64(nowBytes-lastBytes)/seconds/each)
		last, lastCPU, lastBytes = now, nowCPU, nowBytes
	}
	whole := last.Sub(began).Seconds()
	l.cores, l.bytes = (lastCPU-cpu).Seconds()/whole/each, float64(lastBytes-bytes)/whole/each
	return l, nil
}
