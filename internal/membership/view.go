// Package membership tells a relay which members of its fleet are present. Gossip and failure detection come from a
// library; this package turns the individual events into views and states how far a view can be trusted.
//
// A member is a relay, not a process: of several processes with the same name only the one with the newest incarnation
// counts, and the others are ignored. Restarts, hand-overs, new addresses and duplicate names therefore need no rules of
// their own, and membership does not flap: a superseded incarnation never comes back.
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

// State is the state that a member reports about itself.
type State string

const (
	Starting    State = "starting"
	Serving     State = "serving"
	Draining    State = "draining"
	HandingOver State = "handing over"
	Left        State = "left" // shut down in order
)

// Process describes one process of a member, as the process reports it.
type Process struct {
	Name        string `json:"n"`           // name of the relay
	Building    string `json:"b"`           // building that it runs in
	Addr        string `json:"a,omitempty"` // host and port of its gossip listener
	Incarnation uint64 `json:"i"`           // increases with each start and is kept across restarts
	Folder      string `json:"f"`           // id of its state folder: copied with a cloned folder, new in an emptied one
	Version     string `json:"v,omitempty"` // version of the program
	State       State  `json:"s"`
	Admin       string `json:"m,omitempty"` // admin address
}

// supersedes orders processes with the same name. Processes with equal incarnations are ordered by folder and address,
// so that all members decide alike.
func (p Process) supersedes(q Process) bool {
	return cmp.Or(cmp.Compare(p.Incarnation, q.Incarnation), cmp.Compare(p.Folder, q.Folder), cmp.Compare(p.Addr, q.Addr)) > 0
}

// Member is an entry of a view.
type Member struct {
	Process
	Since time.Time // when it joined, or was last replaced
	// Away states why a member that did not leave is no longer heard; empty while it is present.
	Away      Away
	AwaySince time.Time `json:"Gone"` // when it became away
}

// Config configures a relay's membership in its fleet.
type Config struct {
	Fleet     string // label of the fleet: packets with another label are rejected
	Name      string
	Building  string
	Version   string // version of the program
	Admin     string // admin address
	Bind      string // host and port, TCP and UDP
	Advertise string // address that other members use; default: Bind
	Seeds     []string
	Allow     []string // allowed member names, or prefixes followed by *; empty: all
	Size      int      // configured size of the fleet; 0: unknown
	StateDir  string
	Log       *slog.Logger
}

// Fleet is a process's membership in its fleet. Its methods may be called from any goroutine.
type Fleet interface {
	View() View
	// NetworkBytes returns the traffic that this process has caused so far: what it sent, and what it received on
	// connections that it opened.
	NetworkBytes() int64
	// SetState announces this process's state to the other members. It does not block.
	SetState(State)
	// Leave announces that the process leaves, so that no failure has to be detected, and ends its membership. It takes
	// at most a second.
	Leave() error
	// Close ends the membership without an announcement.
	Close() error
}

// Join begins a new incarnation and joins the fleet without waiting for other members. onView, if not nil, is called
// with every new view, one call at a time, on another goroutine.
type Join func(cfg Config, onView func(View)) (Fleet, error)

// Away states what is known of a member that is no longer heard.
type Away string

const (
	Present     Away = ""
	Unreachable Away = "unreachable" // its address does not answer, or the answer proves nothing: it may still be serving
	Dead        Away = "dead"        // its machine refuses the connection: no such process
)

// Agreement states how far a view can be trusted.
type Agreement string

const (
	Agreed   Agreement = "agreed"   // all members heard recently have the same view
	Settling Agreement = "settling" // a change is in progress
	Split    Agreement = "split"    // several members are unreachable and may be serving: possibly a network partition
	Alone    Agreement = "alone"    // no other member is heard
)

// View lists the members of the fleet as one process sees it. A newer view has a higher Version; views of different
// relays are compared by Digest.
type View struct {
	Version uint64
	At      time.Time
	Members []Member // sorted by name: present members, and away members that are not forgotten yet
	Agreement
	Since          time.Time // when Agreement last changed
	MembersChanged time.Time `json:"Moved"`  // when the members last changed
	Disagreeing    []string  `json:"Differ"` // members heard recently whose view has another digest
	Present        int       // number of present members, including this one
	MayServe       int       `json:"Careful"` // upper estimate of serving members, at least Present; shared limits are divided by it
	Unreachable    int       `json:"Other"`   // number of unreachable members, which may be serving
	Digest         uint64    // hash of the present members and their incarnations
	Superseded     bool      `json:"Replaced"` // a newer process with this name has taken over
}

// Changes compares v with an earlier view. joined are the members that are present now and were absent or had another
// incarnation then; left are those that were present then and are absent now.
func (v View) Changes(earlier View) (joined, left []string) {
	present := func(of View) map[string]Process {
		all := map[string]Process{}
		for _, m := range of.Members {
			if m.Away == Present {
				all[m.Name] = m.Process
			}
		}
		return all
	}
	before, now := present(earlier), present(v)
	for name, p := range now {
		if q, ok := before[name]; !ok || q.Incarnation != p.Incarnation {
			joined = append(joined, name)
		}
	}
	for name := range before {
		if _, ok := now[name]; !ok {
			left = append(left, name)
		}
	}
	slices.Sort(joined)
	slices.Sort(left)
	return joined, left
}

const (
	// settleTime is how long a view must be unchanged before it counts as agreed. Gossip reaches 300 members in 2 s.
	settleTime = 3 * time.Second
	// digestLifetime is how long the digest reported by another member is used.
	digestLifetime = 5 * time.Second
	// splitMinMembers and splitMinShare: with at least this many unreachable members, and this share of all, the view is
	// a split. Fewer are treated as individual failures.
	splitMinMembers, splitMinShare = 2, 0.05
	// forgetAfter is how long an away member is remembered. Shares that are reserved for it are released then.
	forgetAfter = 5 * time.Minute
)

// Tracker is the state machine that turns the library's events into views. It does no I/O, has no clock, and is not safe
// for concurrent use.
type Tracker struct {
	self             Process
	size             int // configured size of the fleet; 0: unknown
	view             View
	members          map[string]*Member
	newest           map[string]Process // newest process ever seen under each name
	digests          map[string]peerDigest
	membersChangedAt time.Time
	now              time.Time
	dirty            bool // the view must be recomputed
	membersChanged   bool // the members changed since the last recomputation
}

// peerDigest is the view digest that another member reported.
type peerDigest struct {
	digest uint64
	at     time.Time
}

// NewTracker returns a tracker of a fleet that consists of this process alone. size is the configured number of members.
func NewTracker(self Process, size int, now time.Time) *Tracker {
	t := &Tracker{self: self, size: size, members: map[string]*Member{}, newest: map[string]Process{}, digests: map[string]peerDigest{}}
	t.members[self.Name] = &Member{Process: self, Since: now}
	t.newest[self.Name] = self
	t.markChanged(now)
	return t
}

// View returns the current view, which includes all events so far. The caller must not modify it.
func (t *Tracker) View() View {
	if t.dirty {
		t.recompute(t.now, t.membersChanged)
		t.dirty, t.membersChanged = false, false
	}
	return t.view
}

// ObserveAlive records that a process is alive, with the state that it reports, and returns whether the view has
// changed.
func (t *Tracker) ObserveAlive(p Process, now time.Time) bool {
	last, known := t.newest[p.Name]
	if known && (last.supersedes(p) || !p.supersedes(last) && last.State == Left) {
		return false // superseded, or has left
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
	m.Process = p // only its state changed
	return t.markChanged(now)
}

// ObserveLost records that a process is no longer heard; inOrder means that it announced its end. It returns whether the
// view has changed.
func (t *Tracker) ObserveLost(p Process, inOrder bool, now time.Time) bool {
	m := t.members[p.Name]
	if m == nil || m.Incarnation != p.Incarnation || m.Folder != p.Folder || p.Name == t.self.Name {
		return false // superseded before
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

// RecordProbe records the result of probing the address of an away member: whether the connection was refused.
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

// Unreachable lists the away members that are not known to be dead.
func (t *Tracker) Unreachable() (all []Process) {
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		if m := t.members[name]; m.Away == Unreachable {
			all = append(all, m.Process)
		}
	}
	return all
}

// RecordDigest records the digest of another member's view and returns whether the agreement may have changed.
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

// Tick advances time and returns whether the view or its agreement has changed. Calling it once a second is enough.
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

// SetState sets the state of this process.
func (t *Tracker) SetState(s State, now time.Time) (Process, bool) {
	t.self.State = s
	return t.self, t.ObserveAlive(t.self, now)
}

func (t *Tracker) markChanged(now time.Time) bool {
	t.membersChangedAt = now
	clear(t.digests) // they refer to earlier views
	t.now, t.dirty, t.membersChanged = now, true, true
	return true
}

// recompute derives the view from the members.
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

// countMayServe estimates how many members may be serving. Members that are proved dead or have left do not count.
// Unless the view is agreed, every recently known member counts; if this member is alone, the configured size counts as
// well.
func (t *Tracker) countMayServe(v View, unreachable int) int {
	switch v.Agreement {
	case Agreed:
		return v.Present
	case Alone:
		return max(v.Present+unreachable, t.size)
	}
	// A change that other members may not have seen yet: take the larger of the old and the new count.
	return max(v.Present+unreachable, min(t.view.MayServe, t.view.Present+t.view.Unreachable))
}
