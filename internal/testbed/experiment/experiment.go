// Package experiment reads the files in experiments/: what fleet and platform to emulate, what load to give it, which
// faults come when, and which bounds the run's figures must keep.
//
// A file is TOML and is read strictly: an unknown key, a figure out of its range or a fault without a target is an error
// that names file, line and key. Sizes are ranges, and a seed draws one value from each, so that a bound has to hold over
// the whole range and not for one fleet.
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

// Experiment is one file.
type Experiment struct {
	Name   string   `toml:"-"`      // the file's, without .toml
	About  string   `toml:"about"`  // what it shows, in a sentence
	Length Duration `toml:"length"` // for which messages arrive
	Quick  Duration `toml:"quick"`  // the same under --quick; at most 40 s

	Fleet    Fleet    `toml:"fleet"`
	Partners Partners `toml:"partners"`
	Network  Network  `toml:"network"`
	Load     Load     `toml:"load"`
	Faults   []Fault  `toml:"fault"`
	Bounds   []Bound  `toml:"bound"`
	// Stewards, if given, has no relays and no platform played, but stewards and processes that hold duties.
	Stewards *Stewards `toml:"stewards"`
}

// Stewards is fleets of stewards, and of processes that do nothing but hold duties.
type Stewards struct {
	Count       Range    `toml:"count"`        // stewards of a fleet; an even one counts as the next odd one
	Fleets      Range    `toml:"fleets"`       // fleets at once
	QuickFleets int      `toml:"quick_fleets"` // the same at most under --quick
	Workers     Range    `toml:"workers"`      // processes of a fleet
	Holders     int      `toml:"holders"`      // holders in a process; none: one
	Duties      Range    `toml:"duties"`
	Lease       Duration `toml:"lease"`
	Probe       bool     `toml:"probe"`    // somebody claims and gives up a duty, over and over
	Unfenced    bool     `toml:"no_fence"` // receivers take every effect: to see that the judge finds it
}

// Fleet is the relays.
type Fleet struct {
	Relays       Range    `toml:"relays"`       // how many, 1 to 500
	QuickRelays  Range    `toml:"quick_relays"` // the same under --quick; none: as many
	Buildings    []string `toml:"buildings"`
	Skew         Range    `toml:"skew"` // exponent of Zipf's law over the relays' shares of traffic; 0: all alike
	Cores        float64  `toml:"cores"`
	MemoryMB     float64  `toml:"memory_mb"`
	Sockets      int      `toml:"sockets"`
	DiskMB       float64  `toml:"disk_mb"`
	SlotHeadroom Range    `toml:"slots_room"` // slots over what a relay's part of the full load keeps busy
	HoldSeconds  Range    `toml:"hold_s"`     // messages that a relay may hold, in seconds of its part of the full load
	State        string   `toml:"state"`      // durability of a state folder in segments, "process" or "power"; none: in one file
	Members      bool     `toml:"members"`    // relays are members of their fleet
	Settle       Duration `toml:"settle"`     // from when all are ready to the first message; 300 ms at least
	Debug        bool     `toml:"debug"`      // relays log each change of a message's state; the logs are kept where a rule is broken
	Stewards     int      `toml:"stewards"`   // so many stewards, at which members may hold duties; none: no duties
	NonMembers   int      `toml:"loners"`     // but for so many, beside which what a member costs is measured
	SyncMS       Range    `toml:"sync_ms"`    // what a sync takes, on the testbed's disk
	Memories     bool     `toml:"memories"`   // relays put down what they know of partners; with State
	Backlog      Backlog  `toml:"backlog"`    // what is owed beyond a window lies on disk; with State
}

// Backlog is the relays' backlog.
type Backlog struct {
	Window int     `toml:"window"` // messages in memory that were never sent; 0: there is no backlog
	Share  float64 `toml:"share"`  // of these, for each destination
}

// Partners is the destinations and their endpoints.
type Partners struct {
	Count           Range   `toml:"count"`     // destinations
	Endpoints       Range   `toml:"endpoints"` // of a destination, in the mean; 1 to 4 each
	Rate            Range   `toml:"rate"`      // messages a second for a destination at full load, in the mean
	Zipf            Range   `toml:"zipf"`      // exponent of the destinations' shares of traffic
	WarmSeconds     Range   `toml:"warm_s"`    // seconds from cold to warm
	ColdShare       Range   `toml:"cold_from"` // share of its capacity that a destination has when it comes back
	CollapseFactor  float64 `toml:"fall_factor"`
	CollapseSeconds float64 `toml:"fall_s"`
	Report          Range   `toml:"report_ms"` // from one refresh of the load report to the next
	ReportDelay     Range   `toml:"report_delay_ms"`
	ReportNoise     Range   `toml:"report_noise"` // share by which reports scatter
	Connections     Range   `toml:"connections"`  // that an endpoint holds, times its calls at once; 0: any number
	IdleSeconds     float64 `toml:"idle_s"`       // an endpoint closes a connection that stood idle for so long
	WaitShare       float64 `toml:"tells_wait"`   // share of the destinations whose refusals tell how long to wait
	Wait            Range   `toml:"wait_ms"`
	Errors          Range   `toml:"errors"`  // share of calls that fail on an ordinary day
	Garbled         Range   `toml:"garbled"` // share of the answers that cannot be read as the protocol requires
	Kinds           []Kind  `toml:"kind"`
}

// Kind is one kind of destination.
type Kind struct {
	Name             string  `toml:"name"`
	Share            float64 `toml:"share"`
	TrafficBias      float64 `toml:"lean"`     // 1: mostly destinations with much traffic; -1: with little
	Limit            string  `toml:"limit"`    // "rate", "window" (a count in each span) or "none" (capacity alone)
	Headroom         Range   `toml:"headroom"` // the limit over the calls at full load
	MinRate          Range   `toml:"least"`    // and at least so many calls a second
	CapacityHeadroom Range   `toml:"spare"`    // capacity over the limit
	QueueSeconds     Range   `toml:"depth_s"`  // length of the queue, in seconds of the capacity
	WindowSeconds    float64 `toml:"span_s"`   // of the count
	Speed            Range   `toml:"speed"`    // 1: usual pace
	Batch            int     `toml:"batch"`    // messages in a call at most
	SeparateRoutes   bool    `toml:"apart"`    // endpoints are routes apart, each with its own limit, pace and outages
	ReportsRefused   bool    `toml:"refused_count"`
}

// Network is the delays between buildings.
type Network struct {
	Same       Range `toml:"same_ms"`    // one way within a building
	Cross      Range `toml:"cross_ms"`   // and between two
	Jitter     Range `toml:"jitter"`     // share by which a delay scatters
	Handshakes Range `toml:"handshakes"` // round trips that a new connection costs its first request
}

// Load is the messages.
type Load struct {
	Level         Range    `toml:"level"`      // traffic over the full load
	Clumps        Range    `toml:"clumps"`     // share of the messages that come in clumps for one destination
	ClumpSpan     Range    `toml:"clump_s"`    // a clump's size, in seconds of the destination's full load
	Retries       Range    `toml:"retries"`    // times that a client comes again after a refusal
	Backoff       Range    `toml:"backoff_ms"` // wait before that, doubling
	HeedShare     Range    `toml:"heeds"`      // share of the clients that heed a told time
	LeaveShare    Range    `toml:"leaves"`     // share of the clients that leave before their answer and come again
	ResendDelay   Range    `toml:"again_ms"`   // until what a dead relay left unanswered comes to a live one
	AnswerTimeout Duration `toml:"answer_in"`  // how long a client waits for its answer
	HeavyBody     Range    `toml:"heavy_body"` // share of the messages with a body of 8 to 64 KiB
	HostileRate   Range    `toml:"hostile"`    // hostile peers a second, over the fleet
	// Resubmitted is the share of the messages whose trace ids come again, up to three times, whatever became of them.
	Resubmitted float64 `toml:"resubmitted"`
	// IdleConnections is how many connections idle clients hold at some of the relays.
	IdleConnections Range      `toml:"crowd"`
	Classes         []Class    `toml:"class"`
	Customers       []Customer `toml:"customer"`
}

// Class is one class of message.
type Class struct {
	Name          string   `toml:"name"`
	Share         Range    `toml:"share"`
	Work          Range    `toml:"work_ms"` // at a partner of usual pace
	WorkVariation Range    `toml:"spread"`  // coefficient of variation of a message's work
	Aim           Duration `toml:"aim"`
	Deadline      Duration `toml:"deadline"`
	Worth         float64  `toml:"worth"`
	LateWorth     float64  `toml:"late_worth"` // share of the worth that is left at the deadline
	Effect        string   `toml:"effect"`     // "safe", "keyed" or "unsafe"
	Window        Duration `toml:"window"`     // keyed: for which repeats are dropped
	Kinds         []string `toml:"kinds"`      // of destination that it goes to; none: all
}

// Customer is one customer with its share.
type Customer struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	Usage Range   `toml:"usage"` // its traffic over its share
}

// Fault is one trouble on the timeline.
type Fault struct {
	Kind  string        `toml:"kind"`
	Times Range         `toml:"times"` // so many of it; none: one. Under --quick as many in a second
	Over  Range         `toml:"over"`  // and spread over so much of the length from At on
	At    Range         `toml:"at"`    // share of the length that has passed by then, from 0 to 1
	For   DurationRange `toml:"for"`   // how long; 0: a moment
	Share Range         `toml:"share"` // of the relays, or of the traffic of the partners, that it strikes
	Size  Range         `toml:"size"`  // what it means stands with the kind
	In    string        `toml:"in"`    // "building": those struck all stand in one
	Even  bool          `toml:"even"`  // with stewards: those of times come at even steps, a third of one early or late
	Of    string        `toml:"of"`    // with stewards: "stewards" (default), "workers", "leader" or "holder"
}

// Bound is one figure with its limit.
type Bound struct {
	Name  string  `toml:"name"`
	Op    string  `toml:"op"` // "<=" or ">="
	Limit float64 `toml:"limit"`
}

// FaultKinds are the kinds of fault, with what Size means to each.
var FaultKinds = map[string]string{
	"kill":       "relays get SIGKILL and come back after For (Size: share of them whose folder is emptied)",
	"term":       "relays are restarted in order, and come back after For",
	"pause":      "relays get SIGSTOP for For",
	"replace":    "relays are replaced by a second process that takes their place (hand-over)",
	"starve":     "relays share their core with one that takes all of it",
	"roll":       "all relays are restarted in turn over For, every second one by SIGKILL",
	"upgrade":    "all relays are replaced by hand-over in turn over For",
	"cut":        "relays of a building and partners and relays elsewhere hear nothing of each other for For",
	"one-way":    "what relays of a building send elsewhere does not arrive for For",
	"loss":       "Size of the segments between relays and partners are lost, and come again 200 ms later; Size of the datagrams between relays",
	"delay":      "Size times the delay between relays and partners",
	"reset":      "Size of the calls have their connection reset once they are written",
	"answers":    "Size of the answers get lost with their connection",
	"silent":     "Size of the answers never come, and their connection stays",
	"slow":       "partners take Size times as long",
	"tail":       "Size of one class's messages take 20 times as long",
	"errors":     "partners fail Size of their calls at once",
	"shut":       "partners refuse all calls",
	"down":       "partners' machines are gone: connections are refused",
	"hang":       "partners take calls and answer none",
	"limits":     "partners lower their limits to Size",
	"release":    "Share of the endpoints are replaced in steps over For",
	"power":      "relays' machines lose their power and come back after For: what their disks had not synced is there or not",
	"disk-full":  "relays can write nothing to their disks for For",
	"disk-sick":  "relays' disks fail every sync for For",
	"disk-slow":  "relays' syncs take Size milliseconds each for For",
	"wall-step":  "relays' wall clocks step by an hour or five seconds, forward or back, and stay so",
	"calls":      "a call of relays' sockets fails as Linux documents, all or some of them for For",
	"files":      "a call of relays' files fails, with or without its effect, all or some of them for For",
	"short":      "reads and writes of relays' sockets move a few bytes at a time for For",
	"quiet":      "discovery says nothing for For",
	"late-news":  "discovery's news comes Size seconds later",
	"move":       "discovery moves, told by a new configuration and SIGHUP",
	"torn-write": "writes of a relay's files fail, perhaps with a part or all of their effect, until SIGKILL comes",
	"series":     "SIGHUP, SIGTERM, both again, and SIGKILL as early as the protocol allows",
	"burst":      "traffic is Size times as much for For",
	"hostile":    "Size hostile peers a second come to the relays struck",
	"leave":      "Size of the clients leave before their answer",
	"empty":      "a steward loses its folder, and joins anew",
	"older":      "a steward gets an older folder back, and joins anew with an empty one 6 s later",
	"stewards":   "all stewards are gone for For",
	"forget":     "a receiver of effects is started anew",
	"step-down":  "a duty's holder is asked to step down, and does not get it back for Size seconds",
}

// NeedsDisk tells whether the relays have to run on the testbed's disk.
func (x *Experiment) NeedsDisk() bool {
	return slices.ContainsFunc(x.Faults, func(f Fault) bool { return f.Kind == "power" || strings.HasPrefix(f.Kind, "disk-") })
}

// NeedsFaultInjection tells whether the relays have to be built so that calls of the system fail, and their wall clocks step.
func (x *Experiment) NeedsFaultInjection() bool {
	return slices.ContainsFunc(x.Faults, func(f Fault) bool { return slices.Contains(injectedKinds, f.Kind) })
}

// injectedKinds are the kinds that need such a build.
var injectedKinds = []string{"wall-step", "calls", "files", "short", "torn-write"}

// DisruptsGossip tells whether faults lie on the paths between relays that are members of their fleet.
func (x *Experiment) DisruptsGossip() bool {
	return x.Fleet.Members && slices.ContainsFunc(x.Faults, func(f Fault) bool {
		return slices.Contains([]string{"cut", "one-way", "loss"}, f.Kind)
	})
}

// FaultKindNames are the kinds of fault in their order.
func FaultKindNames() []string { return slices.Sorted(maps.Keys(FaultKinds)) }

// kindsWithShare lists the kinds that need Share.
var kindsWithShare = []string{"power", "disk-full", "disk-sick", "disk-slow", "kill", "term", "pause", "replace", "starve", "wall-step", "calls", "files", "short", "slow", "errors", "shut", "down", "hang", "limits", "release"}

// Read reads an experiment's file.
func Read(path string) (*Experiment, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	return Parse(path, data)
}

// Parse reads an experiment from the text of the file at path.
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

// validate tells what makes no sense.
func (x *Experiment) validate() error {
	var errs []error
	addError := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	if x.About == "" {
		addError("about: say in a sentence what the experiment shows")
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
		addError("fleet.buildings, load.class, load.customer and partners.kind name one at least")
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
		addError("fleet.state: memories and faults of the disk need a folder in segments")
	}
	if b := x.Fleet.Backlog; b.Window < 0 || b.Share < 0 || b.Share > 1 || b.Window == 0 && b.Share > 0 || b.Window > 0 && x.Fleet.State == "" {
		addError("fleet.backlog: a window of 1 at least, a share of 0 to 1, and a folder in segments")
	}
	if x.Fleet.Stewards > 0 && !x.Fleet.Members || x.Fleet.Stewards > 5 {
		addError("fleet.stewards: 5 at most, and only members hold duties")
	}
	for i, f := range x.Faults {
		if f.At.Hi+f.Over.Hi >= 1 {
			addError("fault %d: at and over together are a share of the length, under 1", i+1)
		}
		if _, ok := FaultKinds[f.Kind]; !ok {
			addError("fault %d: unknown kind %q", i+1, f.Kind)
		}
		if slices.Contains(kindsWithShare, f.Kind) && f.Share.Hi <= 0 && x.Stewards == nil {
			addError("fault %d: %s needs a share", i+1, f.Kind)
		}
		if f.At.Hi >= 1 {
			addError("fault %d: at is a share of the length, under 1", i+1)
		}
		if f.In != "" && f.In != "building" {
			addError("fault %d: in is building or nothing", i+1)
		}
	}
	if s := x.Stewards; s != nil {
		if s.Count.Lo < 1 || s.Count.Hi > 5 || s.Fleets.Lo < 1 || s.Fleets.Hi > 50 || s.Workers.Lo < 1 || s.Workers.Hi > 15 ||
			s.Duties.Lo < 1 || s.Duties.Hi > 64 || s.Holders > 64 || s.Lease.D() < 500*time.Millisecond {
			addError("stewards: 1 to 5 stewards, 1 to 50 fleets, 1 to 15 workers with up to 64 holders, 1 to 64 duties, a lease of 500ms at least")
		}
	}
	if len(x.Bounds) == 0 {
		addError("an experiment without a bound shows nothing")
	}
	for _, b := range x.Bounds {
		if b.Op != "<=" && b.Op != ">=" || b.Name == "" {
			addError("bound %q: op %q is not <= or >=", b.Name, b.Op)
		}
	}
	return errors.Join(errs...)
}
