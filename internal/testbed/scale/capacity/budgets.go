package capacity

// budget is a row of the table of budgets: a figure and its limit. A row with a fixedBound has no slope: it compares a bound of
// the current code with what the target needs.
type budget struct {
	purpose, what string
	cost          term
	limit         amount
	unit          string
	fixed         *fixedBound
}

// fixedBound is a bound of the current code, and what the target needs.
type fixedBound struct{ current, required amount }

const (
	messages = "messages"
	backlog  = "messages, with a backlog"
	control  = "control"
)

// The limits.
var (
	relayMemory     = amount{"for what a relay holds", func(t Target) float64 { return t.value("assumptions.relay_memory") }}
	relayDisk       = amount{"for its folder", func(t Target) float64 { return t.value("assumptions.relay_disk") }}
	relayCores      = amount{"of a relay", func(t Target) float64 { return t.value("assumptions.relay_cores") }}
	relayStart      = amount{"for a start", func(t Target) float64 { return t.value("assumptions.relay_start") }}
	stepCores       = amount{"for steps", func(t Target) float64 { return t.value("assumptions.step_cores") }}
	inForce         = amount{"for a change", func(t Target) float64 { return t.value("target.in_force") }}
	viewTold        = amount{"for a view", func(t Target) float64 { return t.value("assumptions.view_told") }}
	controlCores    = amount{"for control", func(t Target) float64 { return t.value("control.cores") }}
	controlMemory   = amount{"for control", func(t Target) float64 { return t.value("control.memory") }}
	controlNetwork  = amount{"for control", func(t Target) float64 { return t.value("control.network") }}
	stewardCores    = amount{"of one machine", func(t Target) float64 { return t.value("assumptions.steward_cores") }}
	stewardMemory   = amount{"of one machine", func(t Target) float64 { return t.value("assumptions.steward_memory") }}
	stewardNetwork  = amount{"of one machine", func(t Target) float64 { return t.value("assumptions.steward_network") }}
	controlMachines = amount{"machines for control", func(t Target) float64 { return t.value("control.machines") }}
)

// budgets returns the rows, unordered: the table sorts them.
func budgets() []budget {
	b := []budget{
		{messages, "relay: memory of its list", lawTerm("relay-listed", "resident_bytes", listed), relayMemory, "bytes", nil},
		{messages, "relay: idle, by its list", lawTerm("relay-listed", "idle_cores", listed), stepCores, "cores", nil},
		{messages, "relay: destinations down, tried again", lawTerm("relay-down", "loop_cores", down), stepCores, "cores", nil},
		{messages, "relay: memory of destinations down",
			lawTerm("relay-down", "resident_bytes", down), relayMemory, "bytes", nil},
		{messages, "relay: steps, by its list",
			lawTimes("relay-listed", "step_cpu_us", listed, events), stepCores, "cores", nil},
		{messages, "relay: changes of its list",
			lawTimes("relay-listed", "change_cpu_us", listed, changes), controlCores, "cores", nil},
		{messages, "relay: a start, by its list", lawTerm("relay-listed", "start_ms", listed), relayStart, "s", nil},
		{messages, "relay: its events", lawTerm("relay-events", "cores", events), relayCores, "cores", nil},
		{messages, "relay: memory of its events", lawTerm("relay-events", "resident_bytes", events), relayMemory, "bytes", nil},
		{messages, "agent: a change in force", lawTerm("config-list", "change_ms", listed), inForce, "s", nil},
		{messages, "agent: changes, processor time",
			lawTimes("config-list", "change_cpu_ms", listed, changes), controlCores, "cores", nil},
		{messages, "agent: a whole list", lawTerm("config-list", "whole_ms", listed), relayStart, "s", nil},
	}
	for _, h := range []struct{ slope, to string }{{"relay-held-few", "few"}, {"relay-held-many", "many"}} {
		b = append(b,
			budget{messages, "relay: memory of messages owed to " + h.to,
				lawTerm(h.slope, "resident_bytes", owed), relayMemory, "bytes", nil},
			budget{messages, "relay: steps, with messages owed to " + h.to,
				lawTimes(h.slope, "step_cpu_us", owed, events), stepCores, "cores", nil},
			budget{messages, "relay: idle, with messages owed to " + h.to,
				lawTerm(h.slope, "idle_cores", owed), stepCores, "cores", nil},
			budget{messages, "relay: a start, messages owed to " + h.to,
				lawTerm(h.slope, "start_ms", owed), relayStart, "s", nil})
	}
	for _, l := range []struct{ slope, in string }{{"log-single", "in one file"}, {"log-segments", "in segments"}} {
		b = append(b,
			budget{messages, "log " + l.in + ": memory", lawTerm(l.slope, "heap_bytes", owed), relayMemory, "bytes", nil},
			budget{messages, "log " + l.in + ": disk", lawTerm(l.slope, "disk_bytes", owed), relayDisk, "bytes", nil},
			budget{messages, "log " + l.in + ": opening it", lawTerm(l.slope, "open_ms", owed), relayStart, "s", nil})
	}
	b = append(b,
		budget{backlog, "backlog: memory", lawTerm("backlog-owed", "resident_bytes", owed), relayMemory, "bytes", nil},
		budget{backlog, "backlog: steps", lawTimes("backlog-owed", "step_cpu_us", owed, events), stepCores, "cores", nil},
		budget{backlog, "backlog: a start", lawTerm("backlog-owed", "start_ms", owed), relayStart, "s", nil},
		budget{backlog, "backlog: disk", lawTerm("backlog-owed", "disk_bytes", owed), relayDisk, "bytes", nil},
		budget{control, "member: processor time at rest", lawTerm("member-rest", "cores", members), controlCores, "cores", nil},
		budget{control, "member: messages at rest", lawTerm("member-rest", "bytes_s", members), controlNetwork, "bytes/s", nil},
		budget{control, "member: full exchanges",
			lawTimes("member-rest", "exchange_bytes", members, exchanges), controlNetwork, "bytes/s", nil},
		budget{control, "member: memory", lawTerm("member-rest", "resident_bytes", members), controlMemory, "bytes", nil},
		budget{control, "member: changes of the view in a restart of all that an hour has",
			lawTimes("member-view", "change_cpu_us", members, peakRestarts), controlCores, "cores", nil},
		budget{control, "member: changes gathered to a view",
			lawTerm("member-view", "gathered_ms", members), viewTold, "s", nil},
		budget{control, "member: one gone, until all know",
			lawTerm("member-loss-one", "settle_ms", members), viewTold, "s", nil})
	for _, m := range []struct{ slope, when string }{{"member-join", "all join"}, {"member-loss-one", "one is gone"},
		{"member-loss-sixth", "a sixth is gone"}, {"member-cut", "they are cut in three"}} {
		b = append(b,
			budget{control, "member: messages in the peak second, " + m.when,
				lawTerm(m.slope, "peak_bytes_s", members), controlNetwork, "bytes/s", nil},
			budget{control, "member: processor time in the peak second, " + m.when,
				lawTerm(m.slope, "peak_cores", members), controlCores, "cores", nil})
	}
	for _, s := range []struct {
		slope, by string
		n         amount
	}{{"steward-holders", "holders", relays}, {"steward-duties", "duties", duties}} {
		b = append(b,
			budget{control, "steward: the leader's processor time, by " + s.by,
				lawTerm(s.slope, "leader_cores", s.n), stewardCores, "cores", nil},
			budget{control, "steward: the leader's messages, by " + s.by,
				lawTerm(s.slope, "leader_bytes_s", s.n), stewardNetwork, "bytes/s", nil},
			budget{control, "steward: the leader's memory, by " + s.by,
				lawTerm(s.slope, "leader_resident_bytes", s.n), stewardMemory, "bytes", nil})
	}
	return append(b,
		budget{purpose: messages, what: "relay: a whole list that it takes", unit: "1", fixed: &fixedBound{listLimit, listed}},
		budget{purpose: control, what: "stewards: duties known at once", unit: "1", fixed: &fixedBound{dutyLimit, duties}},
		budget{purpose: control, what: "stewards: machines", unit: "1", fixed: &fixedBound{controlMachines, stewards}},
		budget{purpose: control, what: "operator's change, to all relays: nothing carries it", unit: "1", fixed: &fixedBound{zero, relays}})
}
