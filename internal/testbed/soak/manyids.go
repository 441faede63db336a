package soak

import (
	"math/rand/v2"
	"time"

	"onyxroad.dev/onyxroad/internal/testbed/experiment"
)

const (
	manyIDsRelays = 3
	manyIDsLength = 38 * time.Second
	// manyIDsDiskMB has little room for remembered ends: 3% of it is taken by those of some ten seconds of this traffic.
	manyIDsDiskMB = 0.5
	// manyIDsWindow is how long after its first submission an id is submitted again.
	manyIDsWindow = 35 * time.Second
	// manyIDsShare is the share of the messages whose ids are submitted again.
	manyIDsShare = 0.5
)

// DrawManyIDs draws the experiment of a seed in which ids are submitted again long after their messages have ended and after many
// others have: a few relays with much traffic and little disk. Their processes end in every way, beside faults that overlap in time.
func DrawManyIDs(seed uint64, relays int) *experiment.Experiment {
	rng := rand.New(rand.NewPCG(seed, 0x6d616e79))
	x := experiment.Default()
	x.Name, x.About = "soak-many-ids", "Ids that come again after many others, with overlapping faults"
	x.Length, x.Quick = experiment.Duration(manyIDsLength), experiment.Duration(manyIDsLength)
	x.Fleet.Relays = experiment.NewRange(float64(relays), float64(relays))
	x.Fleet.QuickRelays = x.Fleet.Relays
	x.Fleet.Debug = true
	x.Fleet.DiskMB = manyIDsDiskMB
	x.Fleet.State = []string{"", "process", "power"}[rng.IntN(3)]
	x.Partners.Rate, x.Partners.Zipf = experiment.NewRange(25, 35), experiment.NewRange(0.2, 0.4)
	x.Partners.Kinds = []experiment.Kind{{Name: "railways", Share: 1, Limit: "none", Headroom: experiment.NewRange(3, 4),
		MinRate: experiment.NewRange(20, 30), CapacityHeadroom: experiment.NewRange(1.2, 1.6), QueueSeconds: experiment.NewRange(0.5, 1),
		Speed: experiment.NewRange(0.6, 0.8), Batch: 5}}
	x.Load.HostileRate, x.Load.HeavyBody = experiment.NewRange(1, 6), experiment.NewRange(0, 0)
	x.Load.Resubmitted, x.Load.ResubmitWindow = manyIDsShare, experiment.Duration(manyIDsWindow)
	for i := range x.Load.Classes {
		c := &x.Load.Classes[i]
		c.Work = experiment.NewRange(60, 90)
		c.Deadline = experiment.Duration(min(c.Deadline.D(), 7*time.Second))
		c.Window = experiment.Duration(min(c.Window.D(), 3*time.Second))
	}
	drawOverlaps(x, rng)
	for _, f := range []experiment.Fault{
		{Kind: "kill", Share: experiment.NewRange(0.3, 0.4), For: milliRange(600, 900)},
		{Kind: "term", Share: experiment.NewRange(0.3, 0.4)},
		{Kind: "replace", Share: experiment.NewRange(0.3, 0.4)},
	} {
		at := 0.4 + 0.4*rng.Float64()
		f.At = experiment.NewRange(at, at)
		x.Faults = append(x.Faults, f)
	}
	return x
}
