// Package membership tells a relay who else of its fleet is present. Gossip and failure detection are a library's; this
// package turns single events of it into views, and tells how far a view is to be trusted.
//
// A member is a relay, not a process: of several processes under one name the one with the newest incarnation counts, and
// the others are nobody. So a restart, a hand-over, a new address and a mistake under one name need no rule of their own,
// and nothing flaps: an incarnation that has been superseded never comes back.
package membership

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"io"
	"log/slog"
	"maps"
	"slices"
	"time"
)

// State is what a member says of itself.
type State string

// The states.
const (
	Starting    State = "starting"
	Serving     State = "serving"
	Draining    State = "draining"
	HandingOver State = "handing over"
	Left        State = "left" // in order
)

// Process is one process of a member, as it tells of itself.
type Process struct {
	Name        string `json:"n"`           // the relay's
	Building    string `json:"b"`           // where it stands
	Addr        string `json:"a,omitempty"` // host and port of its gossip
	Incarnation uint64 `json:"i"`           // grows with each start, and outlasts restarts
	Folder      string `json:"f"`           // its state folder's own mark: a cloned folder has the same, an emptied one another
	Version     string `json:"v,omitempty"` // the program's
	State       State  `json:"s"`
	Admin       string `json:"m,omitempty"` // its second address
}

// supersedes orders processes of one name. Folders decide between those that began in one moment, so that all decide alike.
func (p Process) supersedes(q Process) bool {
	return cmp.Or(cmp.Compare(p.Incarnation, q.Incarnation), cmp.Compare(p.Folder, q.Folder), cmp.Compare(p.Addr, q.Addr)) > 0
}

// Member is a member of a view.
type Member struct {
	Process
	Since time.Time // when it came, or was last replaced
	// Away tells why a member that did not leave is not heard any more; empty while it is present.
	Away Away
	AwaySince time.Time `json:"Gone"` // since when
}

// Config is a relay's part in its fleet.
type Config struct {
	Fleet     string // the fleet's label: what carries another one is turned away
	Name      string
	Building  string
	Version   string // the program's
	Admin     string // its second address
	Bind      string // host and port, TCP and UDP
	Advertise string // where others find it; none: Bind
	Seeds     []string
	Allow     []string // names of members, or beginnings of names with a * behind them; none: any
	Size      int      // of the fleet, by the settings; 0: not known
	StateDir  string
	Log       *slog.Logger
}

// Fleet is a process's part in its fleet. Its methods may be called from any goroutine.
type Fleet interface {
	View() View
	// NetworkBytes is what this process's part has cost the network so far: what it sent, and took on connections that it opened.
	NetworkBytes() int64
	// SetState tells the others of this process's state, and waits for nobody.
	SetState(State)
	// Leave leaves in order, so that nobody has to find out, and ends this process's part. It takes a second at most.
	Leave() error
	// Close ends this process's part without a word.
	Close() error
}

// Join begins a new incarnation and joins the fleet, without waiting for anybody. told is called with every new view, one
// after another, away from the caller; it may be nil.
type Join func(cfg Config, told func(View)) (Fleet, error)

// Away is what is known of a member that is not heard any more.
type Away string

// The ways to be away.
const (
	Present     Away = ""
	Unreachable Away = "unreachable" // nothing answers at its address, or what does says nothing: it may serve all the same
	Dead        Away = "dead"        // its machine answers that no such process is there
)

// Agreement is how far a view is to be trusted.
type Agreement string

// The agreements.
const (
	Agreed   Agreement = "agreed"   // all that were heard lately see the same
	Settling Agreement = "settling" // a change is under way
	Split    Agreement = "split"    // members are unreachable that may serve: the other side, perhaps
	Alone    Agreement = "alone"    // nobody is heard
)

// View is who is there. A newer one has a higher Version; views of two relays are compared by Digest.
type View struct {
	Version uint64
	At      time.Time
	Members []Member // by name: those present, and those away that are not forgotten yet
	Agreement
	Since    time.Time // of the agreement
	MembersChanged    time.Time `json:"Moved"`  // when its members changed last
	Disagreeing   []string  `json:"Differ"` // members that were heard lately and see another view
	Present  int       // members present, this one with them
	MayServe  int       `json:"Careful"` // how many may serve: never less than Present. What shares something goes by it
	Unreachable    int       `json:"Other"`   // members that may serve beyond a split
	Digest   uint64    // of the members present with their incarnations
	Superseded bool      `json:"Replaced"` // this process has been superseded by a newer one of its name
}

// Changes are the names of the members that are present now, as another process perhaps, and were not in an earlier view,
// and of those that were.
func (v View) Changes(from View) (came, gone []string) {
	present := func(of View) map[string]Process {
		all := map[string]Process{}
		for _, m := range of.Members {
			if m.Away == Present {
				all[m.Name] = m.Process
			}
		}
		return all
	}
	before, now := present(from), present(v)
	for name, p := range now {
		if q, ok := before[name]; !ok || q.Incarnation != p.Incarnation {
			came = append(came, name)
		}
	}
	for name := range before {
		if _, ok := now[name]; !ok {
			gone = append(gone, name)
		}
	}
	slices.Sort(came)
	slices.Sort(gone)
	return came, gone
}

const (
	// settleTime is how long a view has to stand before it counts as agreed on. Gossip reaches 300 members in 2 s.
	settleTime = 3 * time.Second
	// digestLifetime is how long what another member says of its view counts.
	digestLifetime = 5 * time.Second
	// splitMinMembers and splitMinShare: so many unreachable members are a split; fewer are members with troubles of their own.
	splitMinMembers, splitMinShare = 2, 0.05
	// forgetAfter is how long a member that is away is remembered. What keeps a share for it gives that up then.
	forgetAfter = 5 * time.Minute
)

// Tracker is the state machine between the library's events and views. It does no I/O and has no clock. It is not safe for
// concurrent use.
type Tracker struct {
	self    Process
	size    int // of the fleet, by the settings; 0: not known
	view    View
	members map[string]*Member
	newest  map[string]Process // the newest incarnation of each name that was ever seen
	digests   map[string]peerDigest
	membersChangedAt time.Time
	now     time.Time
	dirty   bool // the view is to be worked out anew
	membersChanged   bool // since members have changed
}

// peerDigest is what another member said of its view.
type peerDigest struct {
	digest uint64
	at     time.Time
}

// NewTracker returns a tracker of a fleet that holds this process alone. size is how many members the settings tell of.
func NewTracker(self Process, size int, now time.Time) *Tracker {
	t := &Tracker{self: self, size: size, members: map[string]*Member{}, newest: map[string]Process{}, digests: map[string]peerDigest{}}
	t.members[self.Name] = &Member{Process: self, Since: now}
	t.newest[self.Name] = self
	t.markChanged(now)
	return t
}

// View is the current view, worked out of all events since the last call. It is not to be changed.
func (t *Tracker) View() View {
	if t.dirty {
		t.recompute(t.now, t.membersChanged)
		t.dirty, t.membersChanged = false, false
	}
	return t.view
}

// ObserveAlive takes that a process is there, with what it says of itself; true if the view has changed.
func (t *Tracker) ObserveAlive(p Process, now time.Time) bool {
	last, known := t.newest[p.Name]
	if known && (last.supersedes(p) || !p.supersedes(last) && last.State == Left) {
		return false // superseded, or gone: nobody
	}
	m := t.members[p.Name]
	if p.State == Left {
		t.newest[p.Name] = p
		if m == nil {
			return false
		}
		delete(t.members, p.Name)
		return t.markChanged(now)
	}
	t.newest[p.Name] = p
	if m != nil && m.Away == Present && m.Process == p {
		return false
	}
	if m == nil || m.Incarnation != p.Incarnation || m.Away != Present {
		t.members[p.Name] = &Member{Process: p, Since: now}
		return t.markChanged(now)
	}
	m.Process = p // its state alone
	return t.markChanged(now)
}

// ObserveLost takes that a process is not heard any more. inOrder tells that it said so itself. True if the view has changed.
func (t *Tracker) ObserveLost(p Process, inOrder bool, now time.Time) bool {
	m := t.members[p.Name]
	if m == nil || m.Incarnation != p.Incarnation || m.Folder != p.Folder || p.Name == t.self.Name {
		return false // a process that was superseded
	}
	if inOrder {
		delete(t.members, p.Name)
		return t.markChanged(now)
	}
	if m.Away != Present {
		return false
	}
	m.Away, m.AwaySince = Unreachable, now
	return t.markChanged(now)
}

// RecordProbe takes what became of a look at the address of a member that is away.
func (t *Tracker) RecordProbe(name string, refused bool, now time.Time) bool {
	m := t.members[name]
	if m == nil || m.Away == Present || (m.Away == Dead) == refused {
		return false
	}
	if m.Away = Unreachable; refused {
		m.Away = Dead
	}
	return t.markChanged(now)
}

// Unreachable lists the members that are away and not proved dead, with their addresses.
func (t *Tracker) Unreachable() (all []Process) {
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		if m := t.members[name]; m.Away == Unreachable {
			all = append(all, m.Process)
		}
	}
	return all
}

// RecordDigest takes the digest of another member's view; true if the agreement has changed.
func (t *Tracker) RecordDigest(name string, digest uint64, now time.Time) bool {
	if m := t.members[name]; m == nil || m.Away != Present || name == t.self.Name {
		return false
	}
	t.digests[name] = peerDigest{digest, now}
	if digest == t.view.Digest && !slices.Contains(t.view.Disagreeing, name) {
		return false
	}
	t.now, t.dirty = now, true
	return true
}

// Tick lets time pass; true if the view or its agreement has changed. Once a second is enough.
func (t *Tracker) Tick(now time.Time) bool {
	changed := false
	for name, m := range t.members {
		if m.Away != Present && now.Sub(m.AwaySince) >= forgetAfter {
			delete(t.members, name)
			changed = true
		}
	}
	if changed {
		return t.markChanged(now)
	}
	version := t.view.Version
	t.now, t.dirty = now, true
	return t.View().Version != version
}

// SetState sets this process's state.
func (t *Tracker) SetState(s State, now time.Time) (Process, bool) {
	t.self.State = s
	return t.self, t.ObserveAlive(t.self, now)
}

func (t *Tracker) markChanged(now time.Time) bool {
	t.membersChangedAt = now
	clear(t.digests) // of what was before
	t.now, t.dirty, t.membersChanged = now, true, true
	return true
}

// recompute works the view out anew.
func (t *Tracker) recompute(now time.Time, changed bool) {
	v := View{Version: t.view.Version, At: t.view.At, Since: t.view.Since, MembersChanged: t.membersChangedAt}
	h := fnv.New64a()
	unreachable := 0
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		m := t.members[name]
		v.Members = append(v.Members, *m)
		switch m.Away {
		case Present:
			v.Present++
			io.WriteString(h, m.Name)
			h.Write(binary.LittleEndian.AppendUint64([]byte(m.Folder), m.Incarnation))
		case Unreachable:
			unreachable++
		}
	}
	v.Digest, v.Unreachable = h.Sum64(), unreachable
	v.Superseded = t.newest[t.self.Name].supersedes(t.self)
	for name, x := range t.digests {
		if m := t.members[name]; m == nil || m.Away != Present || now.Sub(x.at) > digestLifetime {
			delete(t.digests, name)
		} else if x.digest != v.Digest {
			v.Disagreeing = append(v.Disagreeing, name)
		}
	}
	slices.Sort(v.Disagreeing)
	switch {
	case v.Present == 1 && (t.size > 1 || len(t.members) > 1):
		v.Agreement = Alone
	case unreachable >= max(splitMinMembers, int(splitMinShare*float64(v.Present+unreachable))):
		v.Agreement = Split
	case unreachable > 0 || len(v.Disagreeing) > 0 || now.Sub(t.membersChangedAt) < settleTime:
		v.Agreement = Settling
	default:
		v.Agreement = Agreed
	}
	v.MayServe = t.countMayServe(v, unreachable)
	if !changed && v.Agreement == t.view.Agreement && v.MayServe == t.view.MayServe && v.Superseded == t.view.Superseded &&
		slices.Equal(v.Disagreeing, t.view.Disagreeing) {
		return
	}
	if v.Agreement != t.view.Agreement {
		v.Since = now
	}
	v.Version++
	v.At = now
	t.view = v
}

// countMayServe is how many members may serve. Those that are proved dead or have left do not; in doubt every one does that was
// known lately, and for one that is alone every one that the settings tell of.
func (t *Tracker) countMayServe(v View, unreachable int) int {
	switch v.Agreement {
	case Agreed:
		return v.Present
	case Alone:
		return max(v.Present+unreachable, t.size)
	}
	// A change that others have not seen yet: the larger of what was and what is.
	return max(v.Present+unreachable, min(t.view.MayServe, t.view.Present+t.view.Unreachable))
}
