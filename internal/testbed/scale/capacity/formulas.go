package capacity

import "math"

// What is reckoned from what. A role's row, a day's row and a budget's row are data; reckon.go does the sums.

// The amounts: sizes at the target, and how often something happens.
var (
	listed   = amount{"destinations listed", func(t Target) float64 { return t.of("target.destinations") }}
	used     = amount{"destinations used", func(t Target) float64 { return t.of("target.destinations") * t.of("assumptions.used") }}
	owed     = amount{"messages owed", func(t Target) float64 { return t.of("target.owed") / t.of("target.relays") }}
	events   = amount{"events/s", func(t Target) float64 { return t.of("target.events") / t.of("target.relays") }}
	members  = amount{"members", func(t Target) float64 { return t.of("target.relays") }}
	down     = amount{"destinations down", func(t Target) float64 { return t.of("target.destinations") * t.of("target.down") }}
	duties   = amount{"duties", func(t Target) float64 { return down.of(t) * t.of("assumptions.duties_down") }}
	changes  = amount{"changes/s", func(t Target) float64 { return t.of("target.changes") }}
	perRelay = amount{"of one holder of all", func(t Target) float64 { return 1 / t.of("target.relays") }}
	restarts = amount{"ends/s", func(t Target) float64 { return ends(t) / t.of("assumptions.restart_hours") }}
	crowd    = amount{"ends/s", func(t Target) float64 { return ends(t) / t.of("assumptions.restart_peak_hours") }}
	release  = amount{"ends and joins/s", func(t Target) float64 {
		return 2 * t.of("target.relays") / t.of("assumptions.release_hours")
	}}
	ownStarts = amount{"starts/s of one relay", func(t Target) float64 { return restarts.of(t) / t.of("target.relays") }}
	rack      = amount{"machines at once", func(t Target) float64 { return t.of("assumptions.relays_in_rack") }}
	fewer     = amount{"events/s without a zone", func(t Target) float64 {
		return events.of(t) * t.of("target.zones") / (t.of("target.zones") - 1)
	}}
	apart = amount{"messages owed more", func(t Target) float64 {
		return events.of(t) * t.of("faults.cut") * (1 - 1/t.of("target.regions"))
	}}
	stewards = amount{"stewards", func(t Target) float64 { return t.of("assumptions.stewards") }}
	line     = amount{"bytes", func(t Target) float64 { return t.of("assumptions.member_line") }}
	// exchanges is how often a member begins a full one: memberlist does so every 30 s, and every 30 s more seldom for each
	// doubling beyond 32 members.
	exchanges = amount{"exchanges/s", func(t Target) float64 {
		return 1 / (30 * (1 + max(0, math.Ceil(math.Log2(members.of(t)/32)))))
	}}
	lists   = amount{"relays", func(t Target) float64 { return t.of("target.relays") }}
	sending = amount{"relays to a byte a second of all machines for control", func(t Target) float64 {
		return t.of("target.relays") / (t.of("control.machines") * t.of("assumptions.steward_network"))
	}}
	told  = amount{"destinations at most", func(t Target) float64 { return t.of("assumptions.list_most") }}
	bound = amount{"duties at most", func(t Target) float64 { return t.of("assumptions.duties_most") }}
	none  = amount{"", func(Target) float64 { return 0 }}
	all   = amount{"relays", func(t Target) float64 { return t.of("target.relays") }}
)

// ends is how many members end in a day.
func ends(t Target) float64 {
	return 86400 * (t.of("faults.restarts") + t.of("faults.machines")*t.of("assumptions.relays_in_machine"))
}

// law is a term of one law.
func law(slope, figure string, n amount) term { return term{slope: slope, figure: figure, n: n} }

// often is a term of one law, so many times.
func often(slope, figure string, n, times amount) term {
	return term{slope: slope, figure: figure, n: n, times: times}
}

// changed is what a member spends beside its rest on ends and joins that come so often: the mean of one while the fleet
// settles, by the time of that. It counts the rest twice, and so too much.
func changed(figure string, rate amount) sum {
	unit := "cores"
	if figure == "bytes_s" {
		unit = "bytes/s"
	}
	settle := law("member-loss-one", "settle_ms", members)
	return sum{unit: unit, terms: []term{law("member-rest", figure, members),
		{slope: "member-loss-one", figure: "mean_" + figure, n: members, times: rate, with: &settle}}}
}

// The sums, by what they are in; or why one is not known.
func inCores(terms ...term) sum   { return sum{unit: "cores", terms: terms} }
func inTime(terms ...term) sum    { return sum{unit: "s", terms: terms} }
func inBytes(terms ...term) sum   { return sum{unit: "bytes", terms: terms} }
func inTraffic(terms ...term) sum { return sum{unit: "bytes/s", terms: terms} }
func unknown(why string) sum      { return sum{unknown: why} }

// role is one row of the table of roles.
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
	{"relay", "state: the list, resident", wholeList, inBytes(law("relay-listed", "resident_bytes", listed))},
	{"relay", "state: the list, heap", wholeList, inBytes(law("relay-listed", "heap_bytes", listed))},
	{"relay", "state: a list of what it uses, resident", "none: nothing tells it less",
		inBytes(law("relay-listed", "resident_bytes", used))},
	{"relay", "idle, by the list", wholeList, inCores(law("relay-listed", "idle_cores", listed))},
	{"relay", "steps, by the list", "the module", inCores(often("relay-listed", "step_cpu_us", listed, events))},
	{"relay", "changes of the list", wholeList, inCores(often("relay-listed", "change_cpu_us", listed, changes))},
	{"relay", "a start, by the list", wholeList, inTime(law("relay-listed", "start_ms", listed))},
	{"relay", "a start, by the list, processor time", wholeList, inTime(law("relay-listed", "start_cpu_ms", listed))},
	{"relay", "state: messages owed to few, resident", inMemory, inBytes(law("relay-held-few", "resident_bytes", owed))},
	{"relay", "state: messages owed to many, resident", inMemory, inBytes(law("relay-held-many", "resident_bytes", owed))},
	{"relay", "state: messages owed to many, heap", inMemory, inBytes(law("relay-held-many", "heap_bytes", owed))},
	{"relay", "steps, with messages owed to few", inMemory, inCores(often("relay-held-few", "step_cpu_us", owed, events))},
	{"relay", "steps, with messages owed to many", inMemory, inCores(often("relay-held-many", "step_cpu_us", owed, events))},
	{"relay", "a start, messages owed to few", inMemory, inTime(law("relay-held-few", "start_ms", owed))},
	{"relay", "a start, messages owed to many", inMemory, inTime(law("relay-held-many", "start_ms", owed))},
	{"relay", "a start, messages owed to many, processor time", inMemory,
		inTime(law("relay-held-many", "start_cpu_ms", owed))},
	{"relay", "idle, with messages owed to many", inMemory, inCores(law("relay-held-many", "idle_cores", owed))},
	{"relay", "destinations down, processor time", eachTries, inCores(law("relay-down", "cores", down))},
	{"relay", "destinations down, that of the loop", eachTries, inCores(law("relay-down", "loop_cores", down))},
	{"relay", "state: destinations down, resident", inMemory, inBytes(law("relay-down", "resident_bytes", down))},
	{"relay", "an event beside destinations down, p99", eachTries, inTime(law("relay-down", "p99_ms", down))},
	{"relay", "messages: its events, processor time", "the relay", inCores(law("relay-events", "cores", events))},
	{"relay", "an event, processor time", "the relay", inTime(law("relay-events", "event_cpu_us", events))},
	{"relay", "an event, p99", "the relay", inTime(law("relay-events", "p99_ms", events))},
	{"relay", "memory of its events, resident", "the relay", inBytes(law("relay-events", "resident_bytes", events))},
	{"relay, log in one file", "heap", wholeLog, inBytes(law("log-single", "heap_bytes", owed))},
	{"relay, log in one file", "disk", "the log's compaction", inBytes(law("log-single", "disk_bytes", owed))},
	{"relay, log in one file", "opening it", wholeLog, inTime(law("log-single", "open_ms", owed))},
	{"relay, log in one file", "written by a compaction", "none: what is owed is written again",
		inBytes(law("log-single", "compact_bytes", owed))},
	{"relay, log in segments", "heap", wholeLog, inBytes(law("log-segments", "heap_bytes", owed))},
	{"relay, log in segments", "disk", "the log's compaction", inBytes(law("log-segments", "disk_bytes", owed))},
	{"relay, log in segments", "opening it", wholeLog, inTime(law("log-segments", "open_ms", owed))},
	{"relay, log in segments", "written by a compaction", "none: what is owed is written again",
		inBytes(law("log-segments", "compact_bytes", owed))},
	{"relay with a backlog", "state: messages owed, resident", onDisk, inBytes(law("backlog-owed", "resident_bytes", owed))},
	{"relay with a backlog", "state: messages owed, heap", onDisk, inBytes(law("backlog-owed", "heap_bytes", owed))},
	{"relay with a backlog", "steps", onDisk, inCores(often("backlog-owed", "step_cpu_us", owed, events))},
	{"relay with a backlog", "a start", onDisk, inTime(law("backlog-owed", "start_ms", owed))},
	{"relay with a backlog", "a start, processor time", onDisk, inTime(law("backlog-owed", "start_cpu_ms", owed))},
	{"relay with a backlog", "disk", onDisk, inBytes(law("backlog-owed", "disk_bytes", owed))},
	{"member", "state: resident", gossip, inBytes(law("member-rest", "resident_bytes", members))},
	{"member", "state: heap", gossip, inBytes(law("member-rest", "heap_bytes", members))},
	{"member", "state: the view alone, heap", gossip, inBytes(law("member-view", "heap_bytes", members))},
	{"member", "messages at rest", gossip, inTraffic(law("member-rest", "bytes_s", members),
		often("member-rest", "exchange_bytes", members, exchanges))},
	{"member", "a full exchange, bytes", gossip, inBytes(law("member-rest", "exchange_bytes", members))},
	{"member", "processor time at rest", gossip, inCores(law("member-rest", "cores", members))},
	{"member", "a change of the view, processor time", gossip, inTime(law("member-view", "change_cpu_us", members))},
	{"member", "changes gathered to a view for", gossip, inTime(law("member-view", "gathered_ms", members))},
	{"member", "one gone, until all know", gossip, inTime(law("member-loss-one", "settle_ms", members))},
	{"steward", "the leader's processor time, by holders", table, inCores(law("steward-holders", "leader_cores", all))},
	{"steward", "the leader's messages, by holders", table, inTraffic(law("steward-holders", "leader_bytes_s", all))},
	{"steward", "state: the leader's, resident, by holders", table,
		inBytes(law("steward-holders", "leader_resident_bytes", all))},
	{"steward", "after the leader's end, by holders", table, inTime(law("steward-holders", "takeover_ms", all))},
	{"steward", "the leader's processor time, by duties", table, inCores(law("steward-duties", "leader_cores", duties))},
	{"steward", "the leader's messages, by duties", table, inTraffic(law("steward-duties", "leader_bytes_s", duties))},
	{"steward", "state: the leader's, resident, by duties", table,
		inBytes(law("steward-duties", "leader_resident_bytes", duties))},
	{"steward", "after the leader's end, by duties", table, inTime(law("steward-duties", "takeover_ms", duties))},
	{"steward", "disk", table, unknown("no slope measures it; what is agreed on is small")},
	{"duty's holder", "messages", table, inTraffic(often("steward-holders", "leader_bytes_s", all, perRelay))},
	{"duty's holder", "processor time and memory", table, unknown("it is in the relay's, and no slope takes it apart")},
	{"agent", "a change, until a relay heeds it", agents, inTime(law("config-list", "change_ms", listed))},
	{"agent", "changes, processor time", agents, inCores(often("config-list", "change_cpu_ms", listed, changes))},
	{"agent", "a whole list, until a relay heeds it", agents, inTime(law("config-list", "whole_ms", listed))},
	{"agent", "a whole list, processor time", agents, inTime(law("config-list", "whole_cpu_ms", listed))},
	{"agent", "a whole list, bytes", agents, inBytes(law("relay-listed", "list_bytes", listed))},
	{"agent", "an operator's change, to all relays", "none: nothing carries it", unknown("nothing carries it")},
	{"minder to come", "all", "none: it is not built", unknown("it is not built")},
	{"operators' command", "members, bytes read", gossip, inBytes(term{n: members, times: line})},
	{"operators' command", "check of a relay's state folder, processor time", wholeLog,
		inTime(law("log-segments", "open_cpu_ms", owed))},
	{"operators' command", "check of a relay's state folder, memory", wholeLog,
		inBytes(law("log-segments", "heap_bytes", owed))},
	{"the machines for control", "stewards, resident, on all", table,
		inBytes(often("steward-holders", "leader_resident_bytes", all, stewards))},
	{"the machines for control", "stewards, processor time, on the leader's", table,
		inCores(law("steward-holders", "leader_cores", all))},
	{"the machines for control", "changes sent to all relays", "none: nothing carries them", unknown("nothing carries them")},
}
