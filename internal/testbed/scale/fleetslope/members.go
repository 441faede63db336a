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
	gossipPort       = 17946
	seedCount        = 3  // members that all members know as seeds
	startConcurrency = 16 // members that start concurrently
	maxMembers       = 250 * 250
	memberOctet      = 64 // second octet of the members' addresses
	// A fleet is quiet if a member sends less than quietBytes a second plus quietBytesPerMember for each member. That is four times
	// what an idle fleet was measured to send, and a tenth of what a fleet sends that spreads changes.
	quietBytes, quietBytesPerMember = 1000, 20
	quietTimeout                    = 80 * time.Second
	settleTimeout                   = 60 * time.Second
	buildings                       = 6
)

// testMember is a member of the fleet without a relay around it.
type testMember struct {
	fleet     atomic.Pointer[membership.Fleet] // nil until the member has started
	ended     atomic.Bool
	lastView  atomic.Pointer[viewSummary] // of the last view that it reported
	viewCount atomic.Int64                // views reported
}

// viewSummary is the part of a view that is compared to decide whether all members have the same view.
type viewSummary struct {
	digest  uint64
	present int
}

// memberFleet is a fleet of members in this process, each with its own loopback address.
type memberFleet struct {
	all       []*testMember
	changed   chan struct{} // buffered: signals that some view has changed
	lostBytes *atomic.Int64 // bytes that a partition dropped; nil without one
}

// newMemberFleet returns a fleet whose members have not started.
func newMemberFleet(size int) (*memberFleet, error) {
	if size > maxMembers {
		return nil, fmt.Errorf("fleetslope: there are addresses for %d members only", maxMembers)
	}
	f := &memberFleet{changed: make(chan struct{}, 1)}
	for range size {
		f.all = append(f.all, &testMember{})
	}
	return f, nil
}

// memberAddr returns the address of a member: 127.64.x.y.
func memberAddr(i int) string {
	return fmt.Sprintf("%v:%d", net.IPv4(127, memberOctet, byte(1+i/250), byte(1+i%250)), gossipPort)
}

// startAll starts all members without waiting until they know each other. join is gossip.Join, or a variant of it over a network
// that can be partitioned.
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

// startMember starts member i.
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

// measureExchange returns the size of a full state exchange between two members, in bytes. That is twice the traffic of a new
// member until it knows all others, because it learns them from one side of an exchange.
func (f *memberFleet) measureExchange(ctx context.Context, join membership.Join, env scale.Env) (bytes int64, err error) {
	h := &testMember{}
	defer func() { err = errors.Join(err, f.kill(h)) }()
	if err := f.startMember(ctx, len(f.all), h, []string{memberAddr(0)}, join, env); err != nil {
		return 0, err
	}
	m := *h.fleet.Load()
	err = poll(ctx, "a new member knows all others", settleTimeout, time.Millisecond, func() error {
		if n := m.View().Present; n <= len(f.all) {
			return fmt.Errorf("it knows %d members, want more than %d", n, len(f.all))
		}
		return nil
	})
	return 2 * m.NetworkBytes(), err
}

// setServing sets the state of all members to serving, as relays do when they are ready.
func (f *memberFleet) setServing() {
	for _, h := range f.all {
		(*h.fleet.Load()).SetState(membership.Serving)
	}
}

// awaitQuiet waits until the fleet has stopped spreading changes. Each member sends a change a dozen times, a few packets at a
// time, which continues long after all members know it. Afterwards only probes and occasional full exchanges are left.
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
			return fmt.Errorf("fleetslope: %d members are not quiet after %v: each sends %d bytes a second", each, quietTimeout, (now-last)/each)
		}
		last = now
	}
}

// liveCount counts the members that have not been killed.
func (f *memberFleet) liveCount() (n int) {
	for _, h := range f.all {
		if !h.ended.Load() {
			n++
		}
	}
	return n
}

// kill stops members without announcing it, as SIGKILL would.
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

// viewsAgree reports whether all live members have reported the same view, with the given number of members present.
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

// awaitAgreement waits until the views of all live members agree, and returns the time since a given moment.
func (f *memberFleet) awaitAgreement(ctx context.Context, since time.Time) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for present := f.liveCount(); !f.viewsAgree(present); {
		select {
		case <-f.changed:
		case <-ctx.Done():
			return 0, fmt.Errorf("fleetslope: the views of %d members still differ after %v: %w", present, settleTimeout, ctx.Err())
		}
	}
	return time.Since(since), nil
}

// totalBytes returns the network traffic of all members so far. Each byte counts once: where a datagram was sent, or where the
// connection was opened.
func (f *memberFleet) totalBytes() (sum int64) {
	if f.lostBytes != nil {
		sum = f.lostBytes.Load()
	}
	for _, h := range f.all {
		if m := h.fleet.Load(); m != nil {
			sum += (*m).NetworkBytes()
		}
	}
	return sum
}

// usage is the cost of one member, averaged over the fleet: the mean over a period, and that of the period's busiest second.
type usage struct{ cores, bytes, peakCores, peakBytes float64 }

// figures returns the values of settleFigures for a change after which the members agreed within a time.
func (l usage) figures(settled time.Duration) map[string]float64 {
	return map[string]float64{"settle_ms": millis(settled), "peak_bytes_s": l.peakBytes, "mean_bytes_s": l.bytes, "peak_cores": l.peakCores,
		"mean_cores": l.cores}
}

// measureUsage measures what each of n members costs in every second while do runs, up to the end of the last second. Processor
// time is that of this process divided by n, and includes the measurement itself.
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
