// Package experiment reads the files in experiments/: which fleet and platform to emulate, what load to apply, which faults
// to inject when, and which bounds the run's figures must keep.
//
// A file is TOML and is read strictly: an unknown key, a value out of its range or a fault without a target is an error that
// names the file, the line and the key. Sizes are ranges from which a seed draws one value each, so that a bound has to hold
// over the whole range and not for a single fleet.
package experiment

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"onyxroad.dev/onyxroad/internal/settings"
)

// Experiment is the content of one file.
type Experiment struct {
	Name   string   `toml:"-"`      // the file's name without .toml
	About  string   `toml:"about"`  // what the experiment shows, in one sentence
	Length Duration `toml:"length"` // how long messages arrive
	Quick  Duration `toml:"quick"`  // the length under --quick; at most 40 s

	Fleet    Fleet    `toml:"fleet"`
	Partners Partners `toml:"partners"`
	Network  Network  `toml:"network"`
	Load     Load     `toml:"load"`
	Faults   []Fault  `toml:"fault"`
	Bounds   []Bound  `toml:"bound"`
	// Stewards replaces the relays and the platform by stewards and processes that hold duties.
	Stewards *Stewards `toml:"stewards"`
}

// Stewards describes fleets of stewards, and of processes that only hold duties.
type Stewards struct {
	Count       Range    `toml:"count"`        // stewards in a fleet; an even number counts as the next odd one
	Fleets      Range    `toml:"fleets"`       // fleets at the same time
	QuickFleets int      `toml:"quick_fleets"` // most fleets under --quick
	Workers     Range    `toml:"workers"`      // processes in a fleet
	Holders     int      `toml:"holders"`      // holders in a process; default: one
	Duties      Range    `toml:"duties"`
	Lease       Duration `toml:"lease"`
	Probe       bool     `toml:"probe"`    // a client claims and releases a duty continuously
	Unfenced    bool     `toml:"no_fence"` // receivers accept every effect, to check that the violation is detected
}

// Fleet describes the relays.
type Fleet struct {
	Relays       Range    `toml:"relays"`       // number of relays, 1 to 500
	QuickRelays  Range    `toml:"quick_relays"` // the number under --quick
	Buildings    []string `toml:"buildings"`
	Skew         Range    `toml:"skew"` // exponent of Zipf's law for the relays' shares of traffic; 0: equal shares
	Cores        float64  `toml:"cores"`
	MemoryMB     float64  `toml:"memory_mb"`
	Sockets      int      `toml:"sockets"`
	DiskMB       float64  `toml:"disk_mb"`
	SlotHeadroom Range    `toml:"slots_room"` // slots, as a multiple of those that a relay's part of the full load keeps busy
	HoldSeconds  Range    `toml:"hold_s"`     // messages that a relay may hold, in seconds of its part of the full load
	State        string   `toml:"state"`      // durability of a segmented state folder, "process" or "power"; empty: a single log file
	Members      bool     `toml:"members"`    // relays are members of a fleet
	Settle       Duration `toml:"settle"`     // time from when all relays are ready to the first message; at least 300 ms
	Debug        bool     `toml:"debug"`      // relays log every change of a message's state; the logs are kept if a rule is violated
	Stewards     int      `toml:"stewards"`   // number of stewards from which members may hold duties; 0: no duties
	NonMembers   int      `toml:"loners"`     // number of relays that are not members, to measure what membership costs
	SyncMS       Range    `toml:"sync_ms"`    // duration of a sync on the testbed's disk
	Memories     bool     `toml:"memories"`   // relays store what they know about partners; needs State
	Backlog      Backlog  `toml:"backlog"`    // messages beyond a window are kept on disk; needs State
}

// Backlog is the configuration of the relays' backlog.
type Backlog struct {
	Window int     `toml:"window"` // messages in memory that were never sent; 0: no backlog
	Share  float64 `toml:"share"`  // part of the window that one destination may use
}

// Partners describes the destinations and their endpoints.
type Partners struct {
	Count           Range   `toml:"count"`           // destinations
	Endpoints       Range   `toml:"endpoints"`       // mean number of endpoints of a destination; 1 to 4 each
	Rate            Range   `toml:"rate"`            // messages per second for a destination at full load, on average
	Zipf            Range   `toml:"zipf"`            // exponent of Zipf's law for the destinations' shares of traffic
	WarmSeconds     Range   `toml:"warm_s"`          // seconds that a cold destination takes to warm up
	ColdShare       Range   `toml:"cold_from"`       // share of its capacity that a destination has after an outage
	CollapseFactor  float64 `toml:"fall_factor"`     // load at which a recovering destination collapses, as a multiple of its capacity
	CollapseSeconds float64 `toml:"fall_s"`          // seconds over which that load is measured
	Report          Range   `toml:"report_ms"`       // interval at which the load report is refreshed
	ReportDelay     Range   `toml:"report_delay_ms"` // until a refreshed report becomes visible
	ReportNoise     Range   `toml:"report_noise"`    // relative error of the reports
	Connections     Range   `toml:"connections"`     // that an endpoint accepts, as a multiple of its concurrent calls; 0: no limit
	IdleSeconds     float64 `toml:"idle_s"`          // an endpoint closes a connection that was idle for this long
	WaitShare       float64 `toml:"tells_wait"`      // share of the destinations whose refusals tell how long to wait
	Wait            Range   `toml:"wait_ms"`         // the wait that such refusals tell
	Errors          Range   `toml:"errors"`          // share of the calls that fail without a fault
	Garbled         Range   `toml:"garbled"`         // share of the answers that violate the protocol's format
	Kinds           []Kind  `toml:"kind"`
}

// Kind is one kind of destination.
type Kind struct {
	Name             string  `toml:"name"`
	Share            float64 `toml:"share"`
	TrafficBias      float64 `toml:"lean"`          // 1: mostly destinations with much traffic; -1: with little
	Limit            string  `toml:"limit"`         // "rate", "window" (a count in each time window) or "none" (capacity only)
	Headroom         Range   `toml:"headroom"`      // the limit as a multiple of the calls at full load
	MinRate          Range   `toml:"least"`         // lower bound of the limit, in calls per second
	CapacityHeadroom Range   `toml:"spare"`         // capacity as a multiple of the limit
	QueueSeconds     Range   `toml:"depth_s"`       // length of the queue, in seconds of the capacity
	WindowSeconds    float64 `toml:"span_s"`        // length of the time window of the count
	Speed            Range   `toml:"speed"`         // 1: normal speed
	Batch            int     `toml:"batch"`         // most messages in a call
	SeparateRoutes   bool    `toml:"apart"`         // endpoints are separate routes, each with its own limit, speed and outages
	CountsRefused    bool    `toml:"refused_count"` // refused calls count towards the time window's limit, too
}

// Network describes the delays between buildings.
type Network struct {
	Same       Range `toml:"same_ms"`    // one-way delay within a building
	Cross      Range `toml:"cross_ms"`   // one-way delay between two buildings
	Jitter     Range `toml:"jitter"`     // relative variation of a delay
	Handshakes Range `toml:"handshakes"` // round trips that a new connection adds to its first request
}

// Load describes the messages and the clients that send them.
type Load struct {
	Level         Range    `toml:"level"`      // traffic as a multiple of the full load
	Clumps        Range    `toml:"clumps"`     // share of the messages that arrive in clumps for one destination
	ClumpSpan     Range    `toml:"clump_s"`    // size of a clump, in seconds of the destination's full load
	Retries       Range    `toml:"retries"`    // times that a client retries after a refusal
	Backoff       Range    `toml:"backoff_ms"` // wait before a retry; doubles each time
	HeedShare     Range    `toml:"heeds"`      // share of the clients that wait as long as a refusal asks
	LeaveShare    Range    `toml:"leaves"`     // share of the clients that disconnect before their answer and submit again
	ResendDelay   Range    `toml:"again_ms"`   // until a message that a dead relay left unanswered is submitted to a live one
	AnswerTimeout Duration `toml:"answer_in"`  // how long a client waits for an answer
	HeavyBody     Range    `toml:"heavy_body"` // share of the messages with a body of 8 to 64 KiB
	HostileRate   Range    `toml:"hostile"`    // hostile peers per second over the whole fleet
	// Resubmitted is the share of the messages whose trace ids are submitted again, up to three times, whatever their result.
	Resubmitted float64 `toml:"resubmitted"`
	// ResubmitWindow is how long after its first submission an id is submitted again; default: 5 s.
	ResubmitWindow Duration `toml:"resubmitted_within"`
	// IdleConnections is how many connections idle clients keep open at some of the relays.
	IdleConnections Range `toml:"crowd"`
	// SlowCrowd has these clients begin requests that they don't finish: large ones, and heads of many short fields.
	SlowCrowd bool       `toml:"slow_crowd"`
	Classes   []Class    `toml:"class"`
	Customers []Customer `toml:"customer"`
}

// Class is one message class.
type Class struct {
	Name          string   `toml:"name"`
	Share         Range    `toml:"share"`
	Work          Range    `toml:"work_ms"` // at a partner of normal speed
	WorkVariation Range    `toml:"spread"`  // coefficient of variation of a message's work
	Aim           Duration `toml:"aim"`
	Deadline      Duration `toml:"deadline"`
	Worth         float64  `toml:"worth"`
	LateWorth     float64  `toml:"late_worth"` // share of the worth that remains at the deadline
	Effect        string   `toml:"effect"`     // "safe", "keyed" or "unsafe"
	Window        Duration `toml:"window"`     // keyed: how long repeats are deduplicated
	Kinds         []string `toml:"kinds"`      // kinds of destination that the class goes to; empty: all
}

// Customer is one customer with its share of the traffic.
type Customer struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	Usage Range   `toml:"usage"` // its traffic as a multiple of its share
}

// Fault is one fault, or a series of them, on the timeline.
type Fault struct {
	Kind  string        `toml:"kind"`
	Times Range         `toml:"times"` // number of occurrences; default: one. Under --quick, the same rate
	Over  Range         `toml:"over"`  // share of the length, after At, over which the occurrences are spread
	At    Range         `toml:"at"`    // start, as a share of the length from 0 to 1
	For   DurationRange `toml:"for"`   // duration; 0: instantaneous
	Share Range         `toml:"share"` // of the relays, or of the traffic of the partners, that it affects
	Size  Range         `toml:"size"`  // see FaultKinds
	In    string        `toml:"in"`    // "building": all targets are in one building
	Even  bool          `toml:"even"`  // with stewards: occurrences at even intervals, each up to a third of one early or late
	Of    string        `toml:"of"`    // with stewards: "stewards" (default), "workers", "leader" or "holder"
}

// Bound is the limit on one figure.
type Bound struct {
	Name  string  `toml:"name"`
	Op    string  `toml:"op"` // "<=" or ">="
	Limit float64 `toml:"limit"`
}

// FaultKinds describes the kinds of fault, and what Size means for each.
var FaultKinds = map[string]string{
	"kill":        "relays get SIGKILL and are restarted after For (Size: share of them whose folder is emptied)",
	"term":        "relays get SIGTERM and are restarted after For",
	"pause":       "relays get SIGSTOP for For",
	"replace":     "relays are replaced by a second process (hand-over)",
	"starve":      "relays share their core with a process that uses all of it",
	"roll":        "all relays are restarted in turn over For, every second one by SIGKILL",
	"upgrade":     "all relays are replaced by hand-over in turn over For",
	"cut":         "relays of a building are partitioned from partners and relays elsewhere for For",
	"one-way":     "packets that relays of a building send elsewhere are lost for For",
	"loss":        "Size of the segments between relays and partners are lost and retransmitted 200 ms later; Size of the datagrams between relays are lost",
	"delay":       "the delay between relays and partners is multiplied by Size",
	"reset":       "Size of the calls have their connection reset after they are written",
	"answers":     "Size of the answers are lost together with their connection",
	"silent":      "Size of the answers never arrive, and their connection stays open",
	"surplus":     "Size of the answers of partners and discovery are followed by a copy, another answer or noise while no request is out on the connection",
	"slow":        "calls at partners take Size times as long",
	"tail":        "Size of one class's messages take 20 times as long",
	"errors":      "partners fail Size of their calls immediately",
	"shut":        "partners refuse all calls",
	"down":        "partners' machines are down: connections are refused",
	"hang":        "partners accept calls and answer none",
	"hang-gone":   "Share of the endpoints hang for For and leave the list meanwhile; Size of the relays are then replaced while their calls are out there",
	"limits":      "partners lower their limits to Size",
	"release":     "Share of the endpoints are replaced step by step over For",
	"power":       "relays' machines lose power and restart after For: unsynced data may be lost or kept",
	"disk-full":   "relays' disks are full for For",
	"disk-sick":   "relays' disks fail every sync for For",
	"disk-slow":   "relays' syncs take Size milliseconds each for For",
	"wall-step":   "relays' wall clocks step by an hour or five seconds, forward or back, and stay so",
	"calls":       "socket calls of relays fail with errors that Linux documents, all or some of them for For",
	"files":       "file operations of relays fail, all or some of them, with or without effect, for For",
	"short":       "reads and writes of relays' sockets transfer only a few bytes at a time for For",
	"quiet":       "discovery sends nothing for For",
	"late-news":   "updates from discovery arrive Size seconds late",
	"move":        "discovery gets a new address, which relays learn from a new configuration and SIGHUP",
	"torn-write":  "writes of a relay's files fail, with no, partial or full effect, until the relay gets SIGKILL",
	"kill-series": "relays get SIGKILL, and again half a second after each of the next two starts",
	"series":      "relays get SIGHUP, SIGTERM, both again, and SIGKILL as early as the protocol allows",
	"burst":       "traffic is multiplied by Size for For",
	"hostile":     "Size hostile peers per second connect to the affected relays",
	"leave":       "Size of the clients disconnect before their answer",
	"empty":       "a steward loses its folder and joins again",
	"older":       "a steward gets an older copy of its folder, and joins again with an empty one 6 s later",
	"stewards":    "all stewards are down for For",
	"forget":      "a receiver of effects is restarted",
	"step-down":   "a duty's holder is asked to step down and cannot hold it again for Size seconds",
}

// NeedsDisk reports whether the relays have to run on the testbed's emulated disk.
func (x *Experiment) NeedsDisk() bool {
	return slices.ContainsFunc(x.Faults, func(f Fault) bool { return f.Kind == "power" || strings.HasPrefix(f.Kind, "disk-") })
}

// NeedsFaultInjection reports whether the relays have to be built so that system calls can fail and the wall clock can step.
func (x *Experiment) NeedsFaultInjection() bool {
	return slices.ContainsFunc(x.Faults, func(f Fault) bool { return slices.Contains(injectedKinds, f.Kind) })
}

// injectedKinds are the kinds of fault that need such a build.
var injectedKinds = []string{"wall-step", "calls", "files", "short", "torn-write"}

// DisruptsGossip reports whether faults affect the paths between relays that are members of their fleet.
func (x *Experiment) DisruptsGossip() bool {
	return x.Fleet.Members && slices.ContainsFunc(x.Faults, func(f Fault) bool {
		return slices.Contains([]string{"cut", "one-way", "loss"}, f.Kind)
	})
}

// FaultKindNames returns the kinds of fault in alphabetical order.
func FaultKindNames() []string { return slices.Sorted(maps.Keys(FaultKinds)) }

// kindsWithShare lists the kinds of fault that need a share.
var kindsWithShare = []string{"power", "disk-full", "disk-sick", "disk-slow", "kill", "term", "pause", "replace", "starve", "wall-step", "calls", "files", "short", "slow", "errors", "shut", "down", "hang", "hang-gone", "limits", "release"}

// Read reads an experiment from a file.
func Read(path string) (*Experiment, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	return Parse(path, data)
}

// Parse parses the content of the experiment file at path.
func Parse(path string, data []byte) (*Experiment, error) {
	x := Default()
	x.Name = strings.TrimSuffix(filepath.Base(path), ".toml")
	d := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := d.Decode(x); err != nil {
		return nil, fmt.Errorf("%s%w", path, settings.WithPosition(err))
	}
	if err := x.validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return x, nil
}

// validate returns all errors in the experiment's values.
func (x *Experiment) validate() error {
	var errs []error
	addError := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	if x.About == "" {
		addError("about: missing; describe in one sentence what the experiment shows")
	}
	if x.Length.D() < 5*time.Second || x.Length.D() > 2*time.Hour {
		addError("length: %v is not between 5 s and 2 h", x.Length.D())
	}
	if x.Quick.D() < 5*time.Second || x.Quick.D() > 40*time.Second {
		addError("quick: %v is not between 5 s and 40 s", x.Quick.D())
	}
	for key, r := range map[string]Range{"fleet.relays": x.Fleet.Relays, "fleet.quick_relays": x.Fleet.QuickRelays} {
		if r.Lo < 1 || r.Hi > 500 {
			addError("%s: %v is not between 1 and 500", key, r)
		}
	}
	if x.Partners.Count.Lo < 1 || x.Partners.Count.Hi > 40 {
		addError("partners.count: %v is not between 1 and 40", x.Partners.Count)
	}
	if x.Partners.Endpoints.Lo < 1 || x.Partners.Endpoints.Hi > 4 {
		addError("partners.endpoints: %v is not between 1 and 4", x.Partners.Endpoints)
	}
	if x.Load.Level.Lo <= 0 || x.Load.Level.Hi > 4 {
		addError("load.level: %v is not above 0 and at most 4", x.Load.Level)
	}
	if len(x.Fleet.Buildings) == 0 || len(x.Load.Classes) == 0 || len(x.Load.Customers) == 0 || len(x.Partners.Kinds) == 0 {
		addError("fleet.buildings, load.class, load.customer and partners.kind need at least one entry")
	}
	for _, k := range x.Partners.Kinds {
		if !slices.Contains([]string{"rate", "window", "none"}, k.Limit) {
			addError("partners.kind %s: limit %q is not rate, window or none", k.Name, k.Limit)
		}
	}
	for _, c := range x.Load.Classes {
		if !slices.Contains([]string{"safe", "keyed", "unsafe"}, c.Effect) {
			addError("load.class %s: effect %q is not safe, keyed or unsafe", c.Name, c.Effect)
		}
		if c.Aim.D() <= 0 || c.Deadline.D() < c.Aim.D() {
			addError("load.class %s: deadline %v before aim %v", c.Name, c.Deadline.D(), c.Aim.D())
		}
	}
	if !slices.Contains([]string{"", "process", "power"}, x.Fleet.State) {
		addError("fleet.state: %q is not process or power", x.Fleet.State)
	}
	if x.Fleet.State == "" && (x.Fleet.Memories || x.NeedsDisk()) {
		addError("fleet.state: memories and disk faults need a segmented state folder")
	}
	if b := x.Fleet.Backlog; b.Window < 0 || b.Share < 0 || b.Share > 1 || b.Window == 0 && b.Share > 0 || b.Window > 0 && x.Fleet.State == "" {
		addError("fleet.backlog: needs a window of at least 1, a share of 0 to 1, and a segmented state folder")
	}
	if x.Fleet.Stewards > 0 && !x.Fleet.Members || x.Fleet.Stewards > 5 {
		addError("fleet.stewards: at most 5, and only with members")
	}
	for i, f := range x.Faults {
		if f.At.Hi+f.Over.Hi >= 1 {
			addError("fault %d: at and over together must be a share of the length, below 1", i+1)
		}
		if _, ok := FaultKinds[f.Kind]; !ok {
			addError("fault %d: unknown kind %q", i+1, f.Kind)
		}
		if slices.Contains(kindsWithShare, f.Kind) && f.Share.Hi <= 0 && x.Stewards == nil {
			addError("fault %d: %s needs a share", i+1, f.Kind)
		}
		if f.At.Hi >= 1 {
			addError("fault %d: at must be a share of the length, below 1", i+1)
		}
		if f.In != "" && f.In != "building" {
			addError("fault %d: in must be building or empty", i+1)
		}
	}
	if s := x.Stewards; s != nil {
		if s.Count.Lo < 1 || s.Count.Hi > 5 || s.Fleets.Lo < 1 || s.Fleets.Hi > 50 || s.Workers.Lo < 1 || s.Workers.Hi > 15 ||
			s.Duties.Lo < 1 || s.Duties.Hi > 64 || s.Holders > 64 || s.Lease.D() < 500*time.Millisecond {
			addError("stewards: need 1 to 5 stewards, 1 to 50 fleets, 1 to 15 workers with up to 64 holders, 1 to 64 duties, a lease of at least 500ms")
		}
	}
	if len(x.Bounds) == 0 {
		addError("an experiment without a bound checks nothing")
	}
	for _, b := range x.Bounds {
		if b.Op != "<=" && b.Op != ">=" || b.Name == "" {
			addError("bound %q: op %q is not <= or >=", b.Name, b.Op)
		}
	}
	return errors.Join(errs...)
}
