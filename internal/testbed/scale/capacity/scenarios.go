package capacity

// scenarioRow is a row of the table of days: what a role uses in a scenario, on average and at the peak.
type scenarioRow struct {
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

// unknownRoles returns the rows of the roles whose use in a scenario is not known.
func unknownRoles(name string) []scenarioRow {
	return []scenarioRow{
		{name, "minder to come", "all", unknown(noMinder), unknown(noMinder)},
		{name, "operators' command", "all", unknown(notAsked), unknown(notAsked)},
		{name, "the machines for control", "changes sent to all relays", unknown(noCarrier), unknown(noCarrier)},
	}
}

// settlingRows returns the rows of what a member uses while the fleet settles after a change.
func settlingRows(name, slope string) []scenarioRow {
	return []scenarioRow{
		{name, "member", "messages while it settles", inTraffic(lawTerm(slope, "mean_bytes_s", members)),
			inTraffic(lawTerm(slope, "peak_bytes_s", members))},
		{name, "member", "processor time while it settles", inCores(lawTerm(slope, "mean_cores", members)),
			inCores(lawTerm(slope, "peak_cores", members))},
		{name, "member", "until it settles", unknown(atOnce), inTime(lawTerm(slope, "settle_ms", members))},
	}
}

// stewardRows returns the rows of what stewards and a holder use in any scenario, and of what the loss of the leader costs.
func stewardRows(name string) []scenarioRow {
	return []scenarioRow{
		{name, "steward", "the leader's processor time",
			inCores(lawTerm("steward-holders", "leader_cores", relays)), unknown(noRegrant)},
		{name, "steward", "duties stand still, if it was the leader's", unknown(atOnce),
			inTime(lawTerm("steward-holders", "takeover_ms", relays))},
		{name, "duty's holder", "messages",
			inTraffic(lawTimes("steward-holders", "leader_bytes_s", relays, perRelay)), unknown(noRegrant)},
	}
}

const (
	ordinary   = "an ordinary day"
	machine    = "a lost machine"
	oneRack    = "a lost rack"
	zone       = "a lost zone"
	cut        = "regions apart for an hour"
	releaseAll = "a release of everything"
	coldStart  = "a cold start of everything"
)

// frequencyKeys are the keys of the target that tell how often a scenario occurs.
var frequencyKeys = map[string]string{machine: "faults.machines", oneRack: "faults.racks", zone: "faults.zones"}

// scenarioRows returns the rows in the page's order.
func scenarioRows() []scenarioRow {
	var d []scenarioRow
	add := func(rows ...scenarioRow) { d = append(d, rows...) }
	add(scenarioRow{ordinary, "relay", "changes of the list, processor time",
		inCores(lawTimes("relay-listed", "change_cpu_us", listed, changes)), unknown(noSpread)},
		scenarioRow{ordinary, "relay", "its own starts, by the list, processor time",
			inCores(lawTimes("relay-listed", "start_cpu_ms", listed, ownStarts)),
			inTime(lawTerm("relay-listed", "start_cpu_ms", listed))},
		scenarioRow{ordinary, "relay", "its own starts, messages owed to many",
			inCores(lawTimes("relay-held-many", "start_cpu_ms", owed, ownStarts)),
			inTime(lawTerm("relay-held-many", "start_cpu_ms", owed))},
		scenarioRow{ordinary, "member", "messages", churnCost("bytes_s", restarts), churnCost("bytes_s", peakRestarts)},
		scenarioRow{ordinary, "member", "processor time", churnCost("cores", restarts), churnCost("cores", peakRestarts)},
		scenarioRow{ordinary, "member", "changes of the view, processor time",
			inCores(lawTimes("member-view", "change_cpu_us", members, restarts)),
			inCores(lawTimes("member-view", "change_cpu_us", members, peakRestarts))},
		scenarioRow{ordinary, "agent", "changes, processor time",
			inCores(lawTimes("config-list", "change_cpu_ms", listed, changes)), unknown(noSpread)})
	add(stewardRows(ordinary)...)
	add(unknownRoles(ordinary)...)

	add(scenarioRow{machine, "relay", "all", unknown(noSingle), unknown(noSingle)})
	add(settlingRows(machine, "member-loss-one")...)
	add(stewardRows(machine)...)
	add(scenarioRow{machine, "agent", "all", unknown(noAgent), unknown(noAgent)})
	add(unknownRoles(machine)...)

	add(scenarioRow{oneRack, "relay", "all", unknown(noSingle), unknown(noSingle)},
		scenarioRow{oneRack, "member", "messages, as of so many lost machines: at most",
			inTraffic(lawTimes("member-loss-one", "mean_bytes_s", members, relaysInRack)),
			inTraffic(lawTimes("member-loss-one", "peak_bytes_s", members, relaysInRack))},
		scenarioRow{oneRack, "member", "processor time, likewise: at most",
			inCores(lawTimes("member-loss-one", "mean_cores", members, relaysInRack)),
			inCores(lawTimes("member-loss-one", "peak_cores", members, relaysInRack))})
	add(stewardRows(oneRack)...)
	add(scenarioRow{oneRack, "agent", "all", unknown(noAgent), unknown(noAgent)})
	add(unknownRoles(oneRack)...)

	add(scenarioRow{zone, "relay", "events of the zone taken over, processor time", inCores(lawTerm("relay-events", "cores", eventsWithoutZone)),
		unknown("clients that come again are not in the target")})
	add(settlingRows(zone, "member-loss-sixth")...)
	add(stewardRows(zone)...)
	add(scenarioRow{zone, "agent", "all", unknown(noAgent), unknown(noAgent)})
	add(unknownRoles(zone)...)

	add(scenarioRow{cut, "relay", "messages owed to what lies elsewhere, resident", unknown("it grows over the hour"),
		inBytes(lawTerm("relay-held-many", "resident_bytes", owedDuringCut))},
		scenarioRow{cut, "relay", "the same, steps", unknown("it grows over the hour"),
			inCores(lawTimes("relay-held-many", "step_cpu_us", owedDuringCut, events))})
	add(settlingRows(cut, "member-cut")...)
	add(stewardRows(cut)...)
	add(scenarioRow{cut, "agent", "all", unknown("what an agent does without its region is the platform's"), unknown("as in the mean")})
	add(unknownRoles(cut)...)

	add(scenarioRow{releaseAll, "relay", "out of service, by the list", unknown(atOnce),
		inTime(lawTerm("relay-listed", "start_ms", listed))},
		scenarioRow{releaseAll, "relay", "out of service, messages owed to many", unknown(atOnce),
			inTime(lawTerm("relay-held-many", "start_ms", owed))},
		scenarioRow{releaseAll, "member", "messages", churnCost("bytes_s", release), unknown("no slope rolls a fleet")},
		scenarioRow{releaseAll, "member", "processor time", churnCost("cores", release), unknown("no slope rolls a fleet")},
		scenarioRow{releaseAll, "member", "changes of the view, processor time",
			inCores(lawTimes("member-view", "change_cpu_us", members, release)),
			unknown("no slope rolls a fleet")})
	add(stewardRows(releaseAll)...)
	add(scenarioRow{releaseAll, "agent", "whole lists, bytes",
		inBytes(lawTimes("relay-listed", "list_bytes", listed, fullLists)), unknown(noAgent)})
	add(unknownRoles(releaseAll)...)

	add(scenarioRow{coldStart, "relay", "until it is ready, by the list", unknown(atOnce),
		inTime(lawTerm("relay-listed", "start_ms", listed))},
		scenarioRow{coldStart, "relay", "until it is ready, messages owed to many", unknown(atOnce),
			inTime(lawTerm("relay-held-many", "start_ms", owed))})
	add(settlingRows(coldStart, "member-join")...)
	add(stewardRows(coldStart)...)
	add(scenarioRow{coldStart, "agent", "a whole list, until its relay heeds it", unknown(atOnce),
		inTime(lawTerm("config-list", "whole_ms", listed))},
		scenarioRow{coldStart, "the machines for control", "whole lists sent by all of them", unknown(atOnce),
			inTime(lawTimes("relay-listed", "list_bytes", listed, fullListsPerBandwidth))})
	add(unknownRoles(coldStart)...)
	return d
}
