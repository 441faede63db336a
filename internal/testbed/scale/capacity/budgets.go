package capacity

// budget is one row of the table that decides: a figure, and what it may be. Without a slope it is what there is today,
// beside what the target needs.
type budget struct {
	serves, what string
	cost         term
	limit        amount
	unit         string
	fixed        *fixed
}

// fixed is a bound of today's code, and what the target needs.
type fixed struct{ has, needs amount }

const (
	messages = "messages"
	backlog  = "messages, with a backlog"
	control  = "control"
)

// The limits.
var (
	relayMemory = amount{"for what a relay holds", func(t Target) float64 { return t.of("assumptions.relay_memory") }}
	relayDisk   = amount{"for its folder", func(t Target) float64 { return t.of("assumptions.relay_disk") }}
	relayCores  = amount{"of a relay", func(t Target) float64 { return t.of("assumptions.relay_cores") }}
	relayStart  = amount{"for a start", func(t Target) float64 { return t.of("assumptions.relay_start") }}
	stepCores   = amount{"for steps", func(t Target) float64 { return t.of("assumptions.step_cores") }}
	inForce     = amount{"for a change", func(t Target) float64 { return t.of("target.in_force") }}
	viewTold    = amount{"for a view", func(t Target) float64 { return t.of("assumptions.view_told") }}
	ctlCores    = amount{"for control", func(t Target) float64 { return t.of("control.cores") }}
	ctlMemory   = amount{"for control", func(t Target) float64 { return t.of("control.memory") }}
	ctlNetwork  = amount{"for control", func(t Target) float64 { return t.of("control.network") }}
	stwCores    = amount{"of one machine", func(t Target) float64 { return t.of("assumptions.steward_cores") }}
	stwMemory   = amount{"of one machine", func(t Target) float64 { return t.of("assumptions.steward_memory") }}
	stwNetwork  = amount{"of one machine", func(t Target) float64 { return t.of("assumptions.steward_network") }}
	ctlMachines = amount{"machines for control", func(t Target) float64 { return t.of("control.machines") }}
)

// budgets are the rows, in no order of their own.
func budgets() []budget {
	b := []budget{
		{messages, "relay: memory of its list", law("relay-listed", "resident_bytes", listed), relayMemory, "bytes", nil},
		{messages, "relay: idle, by its list", law("relay-listed", "idle_cores", listed), stepCores, "cores", nil},
		{messages, "relay: destinations down, tried again", law("relay-down", "loop_cores", down), stepCores, "cores", nil},
		{messages, "relay: memory of destinations down",
			law("relay-down", "resident_bytes", down), relayMemory, "bytes", nil},
		{messages, "relay: steps, by its list",
			often("relay-listed", "step_cpu_us", listed, events), stepCores, "cores", nil},
		{messages, "relay: changes of its list",
			often("relay-listed", "change_cpu_us", listed, changes), ctlCores, "cores", nil},
		{messages, "relay: a start, by its list", law("relay-listed", "start_ms", listed), relayStart, "s", nil},
		{messages, "relay: its events", law("relay-events", "cores", events), relayCores, "cores", nil},
		{messages, "relay: memory of its events", law("relay-events", "resident_bytes", events), relayMemory, "bytes", nil},
		{messages, "agent: a change in force", law("config-list", "change_ms", listed), inForce, "s", nil},
		{messages, "agent: changes, processor time",
			often("config-list", "change_cpu_ms", listed, changes), ctlCores, "cores", nil},
		{messages, "agent: a whole list", law("config-list", "whole_ms", listed), relayStart, "s", nil},
	}
	for _, h := range []struct{ slope, to string }{{"relay-held-few", "few"}, {"relay-held-many", "many"}} {
		b = append(b,
			budget{messages, "relay: memory of messages owed to " + h.to,
				law(h.slope, "resident_bytes", owed), relayMemory, "bytes", nil},
			budget{messages, "relay: steps, with messages owed to " + h.to,
				often(h.slope, "step_cpu_us", owed, events), stepCores, "cores", nil},
			budget{messages, "relay: idle, with messages owed to " + h.to,
				law(h.slope, "idle_cores", owed), stepCores, "cores", nil},
			budget{messages, "relay: a start, messages owed to " + h.to,
				law(h.slope, "start_ms", owed), relayStart, "s", nil})
	}
	for _, l := range []struct{ slope, in string }{{"log-single", "in one file"}, {"log-segments", "in segments"}} {
		b = append(b,
			budget{messages, "log " + l.in + ": memory", law(l.slope, "heap_bytes", owed), relayMemory, "bytes", nil},
			budget{messages, "log " + l.in + ": disk", law(l.slope, "disk_bytes", owed), relayDisk, "bytes", nil},
			budget{messages, "log " + l.in + ": opening it", law(l.slope, "open_ms", owed), relayStart, "s", nil})
	}
	b = append(b,
		budget{backlog, "backlog: memory", law("backlog-owed", "resident_bytes", owed), relayMemory, "bytes", nil},
		budget{backlog, "backlog: steps", often("backlog-owed", "step_cpu_us", owed, events), stepCores, "cores", nil},
		budget{backlog, "backlog: a start", law("backlog-owed", "start_ms", owed), relayStart, "s", nil},
		budget{backlog, "backlog: disk", law("backlog-owed", "disk_bytes", owed), relayDisk, "bytes", nil},
		budget{control, "member: processor time at rest", law("member-rest", "cores", members), ctlCores, "cores", nil},
		budget{control, "member: messages at rest", law("member-rest", "bytes_s", members), ctlNetwork, "bytes/s", nil},
		budget{control, "member: full exchanges",
			often("member-rest", "exchange_bytes", members, exchanges), ctlNetwork, "bytes/s", nil},
		budget{control, "member: memory", law("member-rest", "resident_bytes", members), ctlMemory, "bytes", nil},
		budget{control, "member: changes of the view in a restart of all that an hour has",
			often("member-view", "change_cpu_us", members, crowd), ctlCores, "cores", nil},
		budget{control, "member: changes gathered to a view",
			law("member-view", "gathered_ms", members), viewTold, "s", nil},
		budget{control, "member: one gone, until all know",
			law("member-loss-one", "settle_ms", members), viewTold, "s", nil})
	for _, m := range []struct{ slope, when string }{{"member-join", "all join"}, {"member-loss-one", "one is gone"},
		{"member-loss-sixth", "a sixth is gone"}, {"member-cut", "they are cut in three"}} {
		b = append(b,
			budget{control, "member: messages in the peak second, " + m.when,
				law(m.slope, "peak_bytes_s", members), ctlNetwork, "bytes/s", nil},
			budget{control, "member: processor time in the peak second, " + m.when,
				law(m.slope, "peak_cores", members), ctlCores, "cores", nil})
	}
	for _, s := range []struct {
		slope, by string
		n         amount
	}{{"steward-holders", "holders", all}, {"steward-duties", "duties", duties}} {
		b = append(b,
			budget{control, "steward: the leader's processor time, by " + s.by,
				law(s.slope, "leader_cores", s.n), stwCores, "cores", nil},
			budget{control, "steward: the leader's messages, by " + s.by,
				law(s.slope, "leader_bytes_s", s.n), stwNetwork, "bytes/s", nil},
			budget{control, "steward: the leader's memory, by " + s.by,
				law(s.slope, "leader_resident_bytes", s.n), stwMemory, "bytes", nil})
	}
	return append(b,
		budget{serves: messages, what: "relay: a whole list that it takes", unit: "1", fixed: &fixed{told, listed}},
		budget{serves: control, what: "stewards: duties known at once", unit: "1", fixed: &fixed{bound, duties}},
		budget{serves: control, what: "stewards: machines", unit: "1", fixed: &fixed{ctlMachines, stewards}},
		budget{serves: control, what: "operator's change, to all relays: nothing carries it", unit: "1", fixed: &fixed{none, all}})
}
