package main

// Settings of a small deployment: the figures of the operators' site saskatoon-lab, as the page on the wire shows them.

type object = map[string]any

// deployment is what a case changes of these settings.
type deployment struct {
	site      string
	fleet     int // relays in the fleet
	slots     int
	openCap   int
	perCall   int // messages in one call, kind railways
	memoryMB  float64
	diskMB    float64
	sockets   int
	duplicate bool
	ordered   bool // car-orders keep the order of their keys
}

func usual() deployment {
	return deployment{site: "saskatoon-lab", fleet: 3, slots: 11, openCap: 155, perCall: 5, memoryMB: 64, diskMB: 3, sockets: 384, duplicate: true}
}

func (d deployment) settings() object {
	service := func(name, semantics, group string, value, aim, giveUp, window, late float64) object {
		return object{"name": name, "semantics": semantics, "group": group, "value": value, "goal_time_ms": aim, "give_up_ms": giveUp,
			"repeat_window_ms": window, "late_worth": late, "stream": false}
	}
	orders := service("car-orders", "idempotency_key", "zone", 2, 2000, 28000, 7500, 0.5)
	if d.ordered {
		orders["by_arrival"] = true
	}
	realm := func(name string, share, quota float64) object {
		return object{"name": name, "share": share, "quota_per_s": quota}
	}
	return object{
		"fleet_size": d.fleet, "me": 0, "zone": 0, "zones": []string{"north-bldg", "south-bldg", "annex"},
		"kinds": []string{"railways", "elevators", "short-lines"}, "tick_ms": 5.0, "membership_mode": "push", "weight_kind": "none",
		"value_by": "request", "over_share_worth": 0.1, "domain_type": "deliver",
		"services": []object{
			service("car-status", "read_like", "all", 1, 1500, 5000, 5000, 0.1),
			orders,
			service("freight-payments", "non_idempotent", "all", 5, 3000, 20000, 5000, 0.3),
		},
		"realms": []object{realm("prairie-grain-coop", 0.54, 21), realm("aspen-pulse", 0.28, 11), realm("wheatland-farms", 0.18, 7)},
		"bounds": object{"cancel": true, "connect_timeout_ms": 1500.0, "keepalive_ms": 10000.0, "max_retry_after_ms": 3000.0,
			"may_duplicate": d.duplicate, "open_cap": d.openCap, "peers": false, "probes": true, "retry_after": false, "send_cap": 12,
			"streams_per_conn": 8, "cpu_us_per_s": 50000},
		"extra": object{"call_slots": d.slots, "carriage": []float64{0, 0, 0}, "loses_worth": "even", "per_call": []int{d.perCall, 1, 1},
			"separate_routes": []bool{false, true, false}, "report_x0": "share", "report_x1": "limit", "turned_away_price": 0.0},
		"rules": object{"answer_slack_ms": 20.0, "ask_within_ms": 10000.0, "cold_from": 0.14, "fall_ms": 2000.0, "overload_factor": 2.5,
			"stop_sending_within_ms": 500.0, "warm_within_ms": 9700.0},
		"stats":   object{"fields": []string{"x0", "x1"}, "how": "answers"},
		"clients": object{"marks_retry": false},
		"tariffs": object{"handshake": 0.06, "waste": 0.05},
	}
}
