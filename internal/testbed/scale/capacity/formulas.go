package capacity

import "math"

// The formulas are data: rows of roles here, of scenarios in scenarios.go, of budgets in budgets.go. evaluate.go computes them.

// Sizes and rates at the target.
var (
	listed           = amount{"destinations listed", func(t Target) float64 { return t.value("target.destinations") }}
	destinationsUsed = amount{"destinations used", func(t Target) float64 { return t.value("target.destinations") * t.value("assumptions.used") }}
	owed             = amount{"messages owed", func(t Target) float64 { return t.value("target.owed") / t.value("target.relays") }}
	events           = amount{"events/s", func(t Target) float64 { return t.value("target.events") / t.value("target.relays") }}
	members          = amount{"members", func(t Target) float64 { return t.value("target.relays") }}
	down             = amount{"destinations down", func(t Target) float64 { return t.value("target.destinations") * t.value("target.down") }}
	duties           = amount{"duties", func(t Target) float64 { return down.eval(t) * t.value("assumptions.duties_down") }}
	changes          = amount{"changes/s", func(t Target) float64 { return t.value("target.changes") }}
	perRelay         = amount{"of one holder of all", func(t Target) float64 { return 1 / t.value("target.relays") }}
	restarts         = amount{"ends/s", func(t Target) float64 { return endsPerDay(t) / t.value("assumptions.restart_hours") }}
	peakRestarts     = amount{"ends/s", func(t Target) float64 { return endsPerDay(t) / t.value("assumptions.restart_peak_hours") }}
	release          = amount{"ends and joins/s", func(t Target) float64 {
		return 2 * t.value("target.relays") / t.value("assumptions.release_hours")
	}}
	ownStarts         = amount{"starts/s of one relay", func(t Target) float64 { return restarts.eval(t) / t.value("target.relays") }}
	relaysInRack      = amount{"machines at once", func(t Target) float64 { return t.value("assumptions.relays_in_rack") }}
	eventsWithoutZone = amount{"events/s without a zone", func(t Target) float64 {
		return events.eval(t) * t.value("target.zones") / (t.value("target.zones") - 1)
	}}
	owedDuringCut = amount{"messages owed more", func(t Target) float64 {
		return events.eval(t) * t.value("faults.cut") * (1 - 1/t.value("target.regions"))
	}}
	stewards        = amount{"stewards", func(t Target) float64 { return t.value("assumptions.stewards") }}
	memberLineBytes = amount{"bytes", func(t Target) float64 { return t.value("assumptions.member_line") }}
	// exchanges is how often a member starts a full state exchange: memberlist does so every 30 s, plus 30 s for each doubling
	// beyond 32 members.
	exchanges = amount{"exchanges/s", func(t Target) float64 {
		return 1 / (30 * (1 + max(0, math.Ceil(math.Log2(members.eval(t)/32)))))
	}}
	fullLists             = amount{"relays", func(t Target) float64 { return t.value("target.relays") }}
	fullListsPerBandwidth = amount{"relays to a byte a second of all machines for control", func(t Target) float64 {
		return t.value("target.relays") / (t.value("control.machines") * t.value("assumptions.steward_network"))
	}}
	listLimit = amount{"destinations at most", func(t Target) float64 { return t.value("assumptions.list_most") }}
	dutyLimit = amount{"duties at most", func(t Target) float64 { return t.value("assumptions.duties_most") }}
	zero      = amount{"", func(Target) float64 { return 0 }}
	relays    = amount{"relays", func(t Target) float64 { return t.value("target.relays") }}
)

// endsPerDay returns how many members stop in a day.
func endsPerDay(t Target) float64 {
	return 86400 * (t.value("faults.restarts") + t.value("faults.machines")*t.value("assumptions.relays_in_machine"))
}

// lawTerm returns the value of a law at a size.
func lawTerm(slope, figure string, n amount) term { return term{slope: slope, figure: figure, size: n} }

// lawTimes returns the value of a law at a size, multiplied by a count or a rate.
func lawTimes(slope, figure string, n, times amount) term {
	return term{slope: slope, figure: figure, size: n, count: times}
}

// churnCost returns what a member uses at rest and for members that stop and join at a rate: the mean during the settling after
// one of them, times the settling time. It is an overestimate, because it counts the use at rest twice.
func churnCost(figure string, rate amount) sum {
	unit := "cores"
	if figure == "bytes_s" {
		unit = "bytes/s"
	}
	settle := lawTerm("member-loss-one", "settle_ms", members)
	return sum{unit: unit, terms: []term{lawTerm("member-rest", figure, members),
		{slope: "member-loss-one", figure: "mean_" + figure, size: members, count: rate, multiplier: &settle}}}
}

// Sums by their unit, and the sum that is unknown for a reason.
func inCores(terms ...term) sum   { return sum{unit: "cores", terms: terms} }
func inTime(terms ...term) sum    { return sum{unit: "s", terms: terms} }
func inBytes(terms ...term) sum   { return sum{unit: "bytes", terms: terms} }
func inTraffic(terms ...term) sum { return sum{unit: "bytes/s", terms: terms} }
func unknown(why string) sum      { return sum{unknown: why} }

// role is a row of the table of roles.
type role struct {
	name, what, mechanism string
	cost                  sum
}

const (
	wholeList = "none: each relay holds the whole list"
	inMemory  = "none: all that is owed lies in memory"
	eachTries = "none: each relay tries all that it holds messages for"
	wholeLog  = "none: the log is read whole, and its messages lie in memory"
	gossip    = "membership's gossip, to all members"
	onDisk    = "the backlog, where `[backlog]` is set"
	table     = "the stewards' table of duties"
	agents    = "the platform's agent, one at each relay"
)

var roles = []role{
	{"relay", "state: the list, resident", wholeList, inBytes(lawTerm("relay-listed", "resident_bytes", listed))},
	{"relay", "state: the list, heap", wholeList, inBytes(lawTerm("relay-listed", "heap_bytes", listed))},
	{"relay", "state: a list of what it uses, resident", "none: nothing tells it less",
		inBytes(lawTerm("relay-listed", "resident_bytes", destinationsUsed))},
	{"relay", "idle, by the list", wholeList, inCores(lawTerm("relay-listed", "idle_cores", listed))},
	{"relay", "steps, by the list", "the module", inCores(lawTimes("relay-listed", "step_cpu_us", listed, events))},
	{"relay", "changes of the list", wholeList, inCores(lawTimes("relay-listed", "change_cpu_us", listed, changes))},
	{"relay", "a start, by the list", wholeList, inTime(lawTerm("relay-listed", "start_ms", listed))},
	{"relay", "a start, by the list, processor time", wholeList, inTime(lawTerm("relay-listed", "start_cpu_ms", listed))},
	{"relay", "state: messages owed to few, resident", inMemory, inBytes(lawTerm("relay-held-few", "resident_bytes", owed))},
	{"relay", "state: messages owed to many, resident", inMemory, inBytes(lawTerm("relay-held-many", "resident_bytes", owed))},
	{"relay", "state: messages owed to many, heap", inMemory, inBytes(lawTerm("relay-held-many", "heap_bytes", owed))},
	{"relay", "steps, with messages owed to few", inMemory, inCores(lawTimes("relay-held-few", "step_cpu_us", owed, events))},
	{"relay", "steps, with messages owed to many", inMemory, inCores(lawTimes("relay-held-many", "step_cpu_us", owed, events))},
	{"relay", "a start, messages owed to few", inMemory, inTime(lawTerm("relay-held-few", "start_ms", owed))},
	{"relay", "a start, messages owed to many", inMemory, inTime(lawTerm("relay-held-many", "start_ms", owed))},
	{"relay", "a start, messages owed to many, processor time", inMemory,
		inTime(lawTerm("relay-held-many", "start_cpu_ms", owed))},
	{"relay", "idle, with messages owed to many", inMemory, inCores(lawTerm("relay-held-many", "idle_cores", owed))},
	{"relay", "destinations down, processor time", eachTries, inCores(lawTerm("relay-down", "cores", down))},
	{"relay", "destinations down, that of the loop", eachTries, inCores(lawTerm("relay-down", "loop_cores", down))},
	{"relay", "state: destinations down, resident", inMemory, inBytes(lawTerm("relay-down", "resident_bytes", down))},
	{"relay", "an event beside destinations down, p99", eachTries, inTime(lawTerm("relay-down", "p99_ms", down))},
	{"relay", "messages: its events, processor time", "the relay", inCores(lawTerm("relay-events", "cores", events))},
	{"relay", "an event, processor time", "the relay", inTime(lawTerm("relay-events", "event_cpu_us", events))},
	{"relay", "an event, p99", "the relay", inTime(lawTerm("relay-events", "p99_ms", events))},
	{"relay", "memory of its events, resident", "the relay", inBytes(lawTerm("relay-events", "resident_bytes", events))},
	{"relay, log in one file", "heap", wholeLog, inBytes(lawTerm("log-single", "heap_bytes", owed))},
	{"relay, log in one file", "disk", "the log's compaction", inBytes(lawTerm("log-single", "disk_bytes", owed))},
	{"relay, log in one file", "opening it", wholeLog, inTime(lawTerm("log-single", "open_ms", owed))},
	{"relay, log in one file", "written by a compaction", "none: what is owed is written again",
		inBytes(lawTerm("log-single", "compact_bytes", owed))},
	{"relay, log in segments", "heap", wholeLog, inBytes(lawTerm("log-segments", "heap_bytes", owed))},
	{"relay, log in segments", "disk", "the log's compaction", inBytes(lawTerm("log-segments", "disk_bytes", owed))},
	{"relay, log in segments", "opening it", wholeLog, inTime(lawTerm("log-segments", "open_ms", owed))},
	{"relay, log in segments", "written by a compaction", "none: what is owed is written again",
		inBytes(lawTerm("log-segments", "compact_bytes", owed))},
	{"relay with a backlog", "state: messages owed, resident", onDisk, inBytes(lawTerm("backlog-owed", "resident_bytes", owed))},
	{"relay with a backlog", "state: messages owed, heap", onDisk, inBytes(lawTerm("backlog-owed", "heap_bytes", owed))},
	{"relay with a backlog", "steps", onDisk, inCores(lawTimes("backlog-owed", "step_cpu_us", owed, events))},
	{"relay with a backlog", "a start", onDisk, inTime(lawTerm("backlog-owed", "start_ms", owed))},
	{"relay with a backlog", "a start, processor time", onDisk, inTime(lawTerm("backlog-owed", "start_cpu_ms", owed))},
	{"relay with a backlog", "disk", onDisk, inBytes(lawTerm("backlog-owed", "disk_bytes", owed))},
	{"member", "state: resident", gossip, inBytes(lawTerm("member-rest", "resident_bytes", members))},
	{"member", "state: heap", gossip, inBytes(lawTerm("member-rest", "heap_bytes", members))},
	{"member", "state: the view alone, heap", gossip, inBytes(lawTerm("member-view", "heap_bytes", members))},
	{"member", "messages at rest", gossip, inTraffic(lawTerm("member-rest", "bytes_s", members),
		lawTimes("member-rest", "exchange_bytes", members, exchanges))},
	{"member", "a full exchange, bytes", gossip, inBytes(lawTerm("member-rest", "exchange_bytes", members))},
	{"member", "processor time at rest", gossip, inCores(lawTerm("member-rest", "cores", members))},
	{"member", "a change of the view, processor time", gossip, inTime(lawTerm("member-view", "change_cpu_us", members))},
	{"member", "changes gathered to a view for", gossip, inTime(lawTerm("member-view", "gathered_ms", members))},
	{"member", "one gone, until all know", gossip, inTime(lawTerm("member-loss-one", "settle_ms", members))},
	{"steward", "the leader's processor time, by holders", table, inCores(lawTerm("steward-holders", "leader_cores", relays))},
	{"steward", "the leader's messages, by holders", table, inTraffic(lawTerm("steward-holders", "leader_bytes_s", relays))},
	{"steward", "state: the leader's, resident, by holders", table,
		inBytes(lawTerm("steward-holders", "leader_resident_bytes", relays))},
	{"steward", "after the leader's end, by holders", table, inTime(lawTerm("steward-holders", "takeover_ms", relays))},
	{"steward", "the leader's processor time, by duties", table, inCores(lawTerm("steward-duties", "leader_cores", duties))},
	{"steward", "the leader's messages, by duties", table, inTraffic(lawTerm("steward-duties", "leader_bytes_s", duties))},
	{"steward", "state: the leader's, resident, by duties", table,
		inBytes(lawTerm("steward-duties", "leader_resident_bytes", duties))},
	{"steward", "after the leader's end, by duties", table, inTime(lawTerm("steward-duties", "takeover_ms", duties))},
	{"steward", "disk", table, unknown("no slope measures it; what is agreed on is small")},
	{"duty's holder", "messages", table, inTraffic(lawTimes("steward-holders", "leader_bytes_s", relays, perRelay))},
	{"duty's holder", "processor time and memory", table, unknown("it is in the relay's, and no slope takes it apart")},
	{"agent", "a change, until a relay heeds it", agents, inTime(lawTerm("config-list", "change_ms", listed))},
	{"agent", "changes, processor time", agents, inCores(lawTimes("config-list", "change_cpu_ms", listed, changes))},
	{"agent", "a whole list, until a relay heeds it", agents, inTime(lawTerm("config-list", "whole_ms", listed))},
	{"agent", "a whole list, processor time", agents, inTime(lawTerm("config-list", "whole_cpu_ms", listed))},
	{"agent", "a whole list, bytes", agents, inBytes(lawTerm("relay-listed", "list_bytes", listed))},
	{"agent", "an operator's change, to all relays", "none: nothing carries it", unknown("nothing carries it")},
	{"minder to come", "all", "none: it is not built", unknown("it is not built")},
	{"operators' command", "members, bytes read", gossip, inBytes(term{size: members, count: memberLineBytes})},
	{"operators' command", "check of a relay's state folder, processor time", wholeLog,
		inTime(lawTerm("log-segments", "open_cpu_ms", owed))},
	{"operators' command", "check of a relay's state folder, memory", wholeLog,
		inBytes(lawTerm("log-segments", "heap_bytes", owed))},
	{"the machines for control", "stewards, resident, on all", table,
		inBytes(lawTimes("steward-holders", "leader_resident_bytes", relays, stewards))},
	{"the machines for control", "stewards, processor time, on the leader's", table,
		inCores(lawTerm("steward-holders", "leader_cores", relays))},
	{"the machines for control", "changes sent to all relays", "none: nothing carries them", unknown("nothing carries them")},
}
