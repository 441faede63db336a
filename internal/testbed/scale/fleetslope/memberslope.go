package fleetslope

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"onyxroad.dev/onyxroad/internal/membership"
	"onyxroad.dev/onyxroad/internal/membership/gossip"
	"onyxroad.dev/onyxroad/internal/testbed/network"
	"onyxroad.dev/onyxroad/internal/testbed/scale"
)

const restDuration = 15 * time.Second

const aboutSuffix = "; hollow members in one process over loopback, each at its own address. Processor time is the process's, " +
	"divided by its members; bytes count once, where they are sent, or where their connection was opened"

// settleFigures are the figures of a change in the fleet.
var settleFigures = []scale.Figure{
	{Name: "settle_ms", Unit: "ms", About: "from the change until all live views that were told are the same"},
	{Name: "peak_bytes_s", Unit: "bytes/s", About: "of one member, the mean of all in the fleet's busiest second"},
	{Name: "mean_bytes_s", Unit: "bytes/s", About: "of one member, until the views are the same"},
	{Name: "peak_cores", Unit: "cores", About: "of one member, the mean of all in the fleet's busiest second"},
	{Name: "mean_cores", Unit: "cores", About: "of one member, until the views are the same"},
}

// memberSlope returns a slope with what all slopes of members share.
func memberSlope(name, about string, figures []scale.Figure) scale.Slope {
	return scale.Slope{Name: name, About: about + aboutSuffix, Variable: "members", Sizes: []int{50, 100, 150, 200, 300},
		Small: []int{4, 6, 8, 10, 12}, Seeds: []uint64{1, 2, 3}, Figures: figures,
		Cost: func(size int) scale.Cost {
			// The members' state about each other, and their sockets, goroutines and packets in flight.
			return scale.Cost{Memory: int64(size) * (1<<20 + int64(size)*(8<<10))}
		}}
}

// memberRest measures the members of an idle fleet.
func memberRest() scale.Slope {
	s := memberSlope("member-rest", "members of a fleet in which nothing happens", []scale.Figure{
		{Name: "cores", Unit: "cores", About: "of one member, in the mean"},
		{Name: "bytes_s", Unit: "bytes/s", About: "of one member, in the mean, between the full exchanges that come seldom"},
		{Name: "exchange_bytes", Unit: "bytes", About: "of a full exchange, both ways; each member begins one every 30 s, and every " +
			"30 s more seldom for each doubling beyond 32 members"},
		{Name: "heap_bytes", Unit: "bytes", About: "of one member, after a collection"},
		{Name: "resident_bytes", Unit: "bytes", About: "of one member: what the process holds beyond before, divided by its members"},
	})
	s.Sizes, s.Seeds = []int{50, 100, 150, 200, 250, 300}, []uint64{1} // nothing is random here
	s.Measure = func(ctx context.Context, size int, _ uint64, env scale.Env) (map[string]float64, error) {
		before, err := ownMemoryUsage()
		if err != nil {
			return nil, err
		}
		var l usage
		var after memoryUsage
		var exchange int64
		err = withQuietFleet(ctx, size, gossip.Join, env, func(f *memberFleet) error {
			if l, err = f.measureUsage(size, func() error { return network.Sleep(ctx, restDuration) }); err != nil {
				return err
			}
			if after, err = ownMemoryUsage(); err != nil {
				return err
			}
			exchange, err = f.measureExchange(ctx, gossip.Join, env)
			return err
		})
		n := float64(size)
		return map[string]float64{"cores": l.cores, "bytes_s": l.bytes, "exchange_bytes": float64(exchange),
			"heap_bytes": (after.heap - before.heap) / n, "resident_bytes": (after.resident - before.resident) / n}, err
	}
	return s
}

// withQuietFleet calls do with a fleet whose members agree and that has become quiet.
func withQuietFleet(ctx context.Context, size int, join membership.Join, env scale.Env,
	do func(*memberFleet) error) (err error) {
	f, err := newMemberFleet(size)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.close()) }()
	if err := f.startAll(ctx, join, env); err != nil {
		return err
	}
	if _, err := f.awaitAgreement(ctx, time.Now()); err != nil {
		return err
	}
	if err := f.awaitQuiet(ctx); err != nil {
		return err
	}
	return do(f)
}

// measureChange measures a change, started by begin, until the live members agree again. The cost is divided by n members.
func (f *memberFleet) measureChange(ctx context.Context, n int, begin func() error) (map[string]float64, error) {
	var settled time.Duration
	l, err := f.measureUsage(n, func() error {
		began := time.Now()
		err := begin()
		if err == nil {
			settled, err = f.awaitAgreement(ctx, began)
		}
		return err
	})
	return l.figures(settled), err
}

// memberJoin measures a fleet all of whose members start at once.
func memberJoin() scale.Slope {
	s := memberSlope("member-join", "all members of a fleet begin at once, with three of them as seeds", settleFigures)
	s.Measure = func(ctx context.Context, size int, _ uint64, env scale.Env) (got map[string]float64, err error) {
		f, err := newMemberFleet(size)
		if err != nil {
			return nil, err
		}
		defer func() { err = errors.Join(err, f.close()) }()
		return f.measureChange(ctx, size, func() error {
			if err := f.startAll(ctx, gossip.Join, env); err != nil {
				return err
			}
			f.setServing()
			return nil
		})
	}
	return s
}

// memberLoss measures the unannounced loss of some members.
func memberLoss(name, about string, lost func(size int) int) scale.Slope {
	s := memberSlope(name, about, settleFigures)
	s.Measure = func(ctx context.Context, size int, seed uint64, env scale.Env) (got map[string]float64, err error) {
		rng := rand.New(rand.NewPCG(seed, uint64(size)))
		err = withQuietFleet(ctx, size, gossip.Join, env, func(f *memberFleet) error {
			var gone []*testMember
			for _, i := range rng.Perm(size)[:lost(size)] {
				gone = append(gone, f.all[i])
			}
			got, err = f.measureChange(ctx, size-len(gone), func() error { return f.kill(gone...) })
			return err
		})
		return got, err
	}
	return s
}

func memberLossOne() scale.Slope {
	return memberLoss("member-loss-one", "one member ends without a word", func(int) int { return 1 })
}

func memberLossSixth() scale.Slope {
	return memberLoss("member-loss-sixth", "a sixth of the members end without a word at once, as with a zone",
		func(size int) int { return (size + 5) / 6 })
}
