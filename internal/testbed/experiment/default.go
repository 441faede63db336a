package experiment

import "time"

// Default returns an experiment with everything set except its length, faults and bounds: a fleet, partners, a network and a
// load of the sizes that the operators give for their site. A file overrides individual values. A list in a file, of kinds or
// classes for example, replaces the whole default list.
func Default() *Experiment {
	ms := func(n int) Duration { return Duration(time.Duration(n) * time.Millisecond) }
	return &Experiment{
		Fleet: Fleet{
			Relays: NewRange(3, 3), QuickRelays: NewRange(3, 3), Buildings: []string{"north-bldg", "south-bldg", "annex"},
			Skew: NewRange(0.3, 0.6), Cores: 1, MemoryMB: 96, Sockets: 512, DiskMB: 3,
			SlotHeadroom: NewRange(1.9, 2.6), HoldSeconds: NewRange(8, 12),
		},
		Partners: Partners{
			Count: NewRange(9, 11), Endpoints: NewRange(2.1, 2.5), Rate: NewRange(4.6, 5.9), Zipf: NewRange(0.73, 0.96),
			WarmSeconds: NewRange(7.6, 9.7), ColdShare: NewRange(0.14, 0.19), CollapseFactor: 2.5, CollapseSeconds: 2,
			Report: NewRange(120, 760), ReportDelay: NewRange(9, 280), ReportNoise: NewRange(0.04, 0.11),
			IdleSeconds: 10, Wait: NewRange(270, 1000), Errors: NewRange(0, 0.005),
			Kinds: []Kind{
				{Name: "railways", Share: 1, TrafficBias: 1, Limit: "rate", Headroom: NewRange(1.2, 2.3), MinRate: NewRange(2.2, 5), CapacityHeadroom: NewRange(1.2, 1.6),
					QueueSeconds: NewRange(0.31, 0.98), Speed: NewRange(0.59, 0.8), Batch: 5},
				{Name: "elevators", Share: 2, TrafficBias: -0.3, Limit: "none", Headroom: NewRange(1.4, 2.5), MinRate: NewRange(2.3, 4.1), CapacityHeadroom: NewRange(1.2, 1.6),
					QueueSeconds: NewRange(0.3, 1), Speed: NewRange(0.59, 0.8), Batch: 1, SeparateRoutes: true},
				{Name: "short-lines", Share: 2, TrafficBias: -0.6, Limit: "window", Headroom: NewRange(1.1, 2.3), MinRate: NewRange(2, 4.6), CapacityHeadroom: NewRange(1.3, 1.6),
					QueueSeconds: NewRange(0.3, 0.96), WindowSeconds: 2, Speed: NewRange(0.85, 1.1), Batch: 1, CountsRefused: true},
			},
		},
		Network: Network{Same: NewRange(15, 45), Cross: NewRange(68, 110), Jitter: NewRange(0.08, 0.27), Handshakes: NewRange(2, 3)},
		Load: Load{
			Level: NewRange(0.42, 0.58), Clumps: NewRange(0.05, 0.17), ClumpSpan: NewRange(1.4, 3.3), Retries: NewRange(0, 2), Backoff: NewRange(500, 1400),
			HeedShare: NewRange(0.35, 0.74), LeaveShare: NewRange(0, 0), ResendDelay: NewRange(360, 1700), AnswerTimeout: ms(400), HeavyBody: NewRange(0, 0.01),
			Classes: []Class{
				{Name: "car-status", Share: NewRange(0.34, 0.5), Work: NewRange(130, 220), WorkVariation: NewRange(0.64, 1.3), Aim: ms(1500), Deadline: ms(5000),
					Worth: 1, LateWorth: 0.1, Effect: "safe"},
				{Name: "car-orders", Share: NewRange(0.26, 0.38), Work: NewRange(210, 370), WorkVariation: NewRange(0.63, 1.3), Aim: ms(2000), Deadline: ms(28000),
					Worth: 2, LateWorth: 0.5, Effect: "keyed", Window: ms(7500)},
				{Name: "freight-payments", Share: NewRange(0.21, 0.31), Work: NewRange(210, 370), WorkVariation: NewRange(0.65, 1.2), Aim: ms(3000),
					Deadline: ms(20000), Worth: 5, LateWorth: 0.3, Effect: "unsafe", Kinds: []string{"railways"}},
			},
			Customers: []Customer{
				{Name: "prairie-grain-coop", Share: 0.54, Usage: NewRange(0.52, 1.3)},
				{Name: "aspen-pulse", Share: 0.28, Usage: NewRange(0.53, 1.4)},
				{Name: "wheatland-farms", Share: 0.18, Usage: NewRange(0.58, 1.2)},
			},
		},
	}
}
