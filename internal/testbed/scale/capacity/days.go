package capacity

// day is one row of the table of days: what a role spends on one, in the mean and at the peak.
type day struct {
	name, role, what string
	mean, peak       sum
}

const (
	noMinder  = "it is not built"
	notAsked  = "nobody has said how often it is asked"
	noSpread  = "how changes fall over a day is not in the target"
	noRegrant = "no slope measures what a grant costs, only rest and takeover"
	noAgent   = "no slope has the agent of a relay that starts beside others"
	noCarrier = "nothing carries changes to all relays"
	atOnce    = "it is one moment, and has no mean"
	noSingle  = "no slope ends a machine with messages owed, and whether its folder outlasts it is not in the target"
)

// others are the rows of the roles of which nothing can be told on a day.
func others(name string) []day {
	return []day{
		{name, "minder to come", "all", unknown(noMinder), unknown(noMinder)},
		{name, "operators' command", "all", unknown(notAsked), unknown(notAsked)},
		{name, "the machines for control", "changes sent to all relays", unknown(noCarrier), unknown(noCarrier)},
	}
}

// lost is what a member spends while the fleet settles after something.
func lost(name, slope string) []day {
	return []day{
		{name, "member", "messages while it settles", inTraffic(law(slope, "mean_bytes_s", members)),
			inTraffic(law(slope, "peak_bytes_s", members))},
		{name, "member", "processor time while it settles", inCores(law(slope, "mean_cores", members)),
			inCores(law(slope, "peak_cores", members))},
		{name, "member", "until it settles", unknown(atOnce), inTime(law(slope, "settle_ms", members))},
	}
}

// held is what the stewards and a holder spend whether something happens or not, and what a leader's end costs.
func held(name string) []day {
	return []day{
		{name, "steward", "the leader's processor time",
			inCores(law("steward-holders", "leader_cores", all)), unknown(noRegrant)},
		{name, "steward", "duties stand still, if it was the leader's", unknown(atOnce),
			inTime(law("steward-holders", "takeover_ms", all))},
		{name, "duty's holder", "messages",
			inTraffic(often("steward-holders", "leader_bytes_s", all, perRelay)), unknown(noRegrant)},
	}
}

const (
	ordinary = "an ordinary day"
	machine  = "a lost machine"
	oneRack  = "a lost rack"
	zone     = "a lost zone"
	cut      = "regions apart for an hour"
	everyone = "a release of everything"
	cold     = "a cold start of everything"
)

// frequencies are how often the days come, by keys of the target.
var frequencies = map[string]string{machine: "faults.machines", oneRack: "faults.racks", zone: "faults.zones"}

// days are the rows, in the page's order.
func days() []day {
	var d []day
	add := func(rows ...day) { d = append(d, rows...) }
	add(day{ordinary, "relay", "changes of the list, processor time",
		inCores(often("relay-listed", "change_cpu_us", listed, changes)), unknown(noSpread)},
		day{ordinary, "relay", "its own starts, by the list, processor time",
			inCores(often("relay-listed", "start_cpu_ms", listed, ownStarts)),
			inTime(law("relay-listed", "start_cpu_ms", listed))},
		day{ordinary, "relay", "its own starts, messages owed to many",
			inCores(often("relay-held-many", "start_cpu_ms", owed, ownStarts)),
			inTime(law("relay-held-many", "start_cpu_ms", owed))},
		day{ordinary, "member", "messages", changed("bytes_s", restarts), changed("bytes_s", crowd)},
		day{ordinary, "member", "processor time", changed("cores", restarts), changed("cores", crowd)},
		day{ordinary, "member", "changes of the view, processor time",
			inCores(often("member-view", "change_cpu_us", members, restarts)),
			inCores(often("member-view", "change_cpu_us", members, crowd))},
		day{ordinary, "agent", "changes, processor time",
			inCores(often("config-list", "change_cpu_ms", listed, changes)), unknown(noSpread)})
	add(held(ordinary)...)
	add(others(ordinary)...)

	add(day{machine, "relay", "all", unknown(noSingle), unknown(noSingle)})
	add(lost(machine, "member-loss-one")...)
	add(held(machine)...)
	add(day{machine, "agent", "all", unknown(noAgent), unknown(noAgent)})
	add(others(machine)...)

	add(day{oneRack, "relay", "all", unknown(noSingle), unknown(noSingle)},
		day{oneRack, "member", "messages, as of so many lost machines: at most",
			inTraffic(often("member-loss-one", "mean_bytes_s", members, rack)),
			inTraffic(often("member-loss-one", "peak_bytes_s", members, rack))},
		day{oneRack, "member", "processor time, likewise: at most",
			inCores(often("member-loss-one", "mean_cores", members, rack)),
			inCores(often("member-loss-one", "peak_cores", members, rack))})
	add(held(oneRack)...)
	add(day{oneRack, "agent", "all", unknown(noAgent), unknown(noAgent)})
	add(others(oneRack)...)

	add(day{zone, "relay", "events of the zone taken over, processor time", inCores(law("relay-events", "cores", fewer)),
		unknown("clients that come again are not in the target")})
	add(lost(zone, "member-loss-sixth")...)
	add(held(zone)...)
	add(day{zone, "agent", "all", unknown(noAgent), unknown(noAgent)})
	add(others(zone)...)

	add(day{cut, "relay", "messages owed to what lies elsewhere, resident", unknown("it grows over the hour"),
		inBytes(law("relay-held-many", "resident_bytes", apart))},
		day{cut, "relay", "the same, steps", unknown("it grows over the hour"),
			inCores(often("relay-held-many", "step_cpu_us", apart, events))})
	add(lost(cut, "member-cut")...)
	add(held(cut)...)
	add(day{cut, "agent", "all", unknown("what an agent does without its region is the platform's"), unknown("as in the mean")})
	add(others(cut)...)

	add(day{everyone, "relay", "out of service, by the list", unknown(atOnce),
		inTime(law("relay-listed", "start_ms", listed))},
		day{everyone, "relay", "out of service, messages owed to many", unknown(atOnce),
			inTime(law("relay-held-many", "start_ms", owed))},
		day{everyone, "member", "messages", changed("bytes_s", release), unknown("no slope rolls a fleet")},
		day{everyone, "member", "processor time", changed("cores", release), unknown("no slope rolls a fleet")},
		day{everyone, "member", "changes of the view, processor time",
			inCores(often("member-view", "change_cpu_us", members, release)),
			unknown("no slope rolls a fleet")})
	add(held(everyone)...)
	add(day{everyone, "agent", "whole lists, bytes",
		inBytes(often("relay-listed", "list_bytes", listed, lists)), unknown(noAgent)})
	add(others(everyone)...)

	add(day{cold, "relay", "until it is ready, by the list", unknown(atOnce),
		inTime(law("relay-listed", "start_ms", listed))},
		day{cold, "relay", "until it is ready, messages owed to many", unknown(atOnce),
			inTime(law("relay-held-many", "start_ms", owed))})
	add(lost(cold, "member-join")...)
	add(held(cold)...)
	add(day{cold, "agent", "a whole list, until its relay heeds it", unknown(atOnce),
		inTime(law("config-list", "whole_ms", listed))},
		day{cold, "the machines for control", "whole lists sent by all of them", unknown(atOnce),
			inTime(often("relay-listed", "list_bytes", listed, sending))})
	add(others(cold)...)
	return d
}
