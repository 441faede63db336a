// Package duty records which process of the fleet holds which duty. A duty is a task that only one process may perform
// at a time.
//
// A duty has at most one holder. Each grant has an epoch, a number that increases across all duties and is never reused.
// The receiver of a duty's effects keeps the highest epoch that it has seen and refuses older ones (Fence), so a holder
// that was paused and wakes up with an expired lease does no harm, whatever the clocks show. That there is only one
// holder at a time as well, as long as no process is paused, is ensured by leases, which run on the monotonic clock of
// the stewards' leader (Leases).
//
// Table is the replicated state: it depends on the commands alone, with no clock and no I/O. Leases is the leader's own
// state, which starts anew with each leader. Package steward replicates Table with raft, package holder implements the
// holders' side.
package duty

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Limits of what stewards store, whatever they are asked.
const (
	MaxNameBytes   = 64  // length of the name of a duty or a holder, of the id of a claim, or of an address
	MaxDuties      = 512 // known duties; to make room, unheld duties are forgotten
	maxBars        = 16  // barred processes per duty
	maxEndedClaims = 8   // ended claims remembered per duty
	// MinLease and MaxLease bound the length of a lease.
	MinLease = 500 * time.Millisecond
	MaxLease = 5 * time.Minute
	MaxBar   = time.Hour
)

// Op is the kind of a command.
type Op string

const (
	BeginTerm   Op = "reign"     // a new leader announces its term
	Claim       Op = "claim"     // grants a duty that has no holder or whose lease has expired
	Release     Op = "release"   // ends a grant, optionally in favour of a named process
	StepDown    Op = "step-down" // like Release, and bars the holder for a time
	RaiseEpochs Op = "raise"     // makes future epochs larger than a number
)

// Command is a change of a Table.
type Command struct {
	Op   Op
	Term uint64 `json:",omitempty"` // term of the leader that issued it; in any other term the command has no effect
	Duty string `json:",omitempty"`
	// After is the epoch of the duty's last grant when the command was issued; 0: no grant yet. If the epoch has
	// changed, the command has no effect.
	After  uint64        `json:",omitempty"`
	Holder string        `json:",omitempty"`
	Addr   string        `json:",omitempty"` // address of the holder
	ID     string        `json:",omitempty"` // id of the claim
	Lease  time.Duration `json:",omitempty"`
	// Quick states that the lease of the last grant expired early: performing the duty may have killed its holder.
	Quick bool          `json:",omitempty"`
	To    string        `json:",omitempty"` // the only process that may claim the duty next, for a while
	Bar   time.Duration `json:",omitempty"`
	Lift  bool          `json:",omitempty"` // the holder's bar has expired
}

// Grant is the current or the last grant of a duty.
type Grant struct {
	Duty   string
	Epoch  uint64        // epoch of the last grant; 0: never granted
	Holder string        `json:",omitempty"` // empty: no holder
	Addr   string        `json:",omitempty"` // address of the holder, if known
	ID     string        `json:",omitempty"` // id of the claim
	Lease  time.Duration `json:",omitempty"`
	To     string        `json:",omitempty"` // process that it was handed over to and that has not claimed it yet
	Quick  int           `json:",omitempty"` // consecutive grants that expired early
	// Bars holds the processes that were made to step down, and how long each is barred from then on.
	Bars  map[string]time.Duration `json:",omitempty"`
	Ended []Ended                  `json:",omitempty"` // the most recent ended claims
}

// Ended is a claim that has ended.
type Ended struct {
	ID    string
	Epoch uint64
}

// The reasons to refuse a command. Their texts are sent to claimants and in error responses.
var (
	ErrStaleTerm     = errors.New("decided on in an earlier reign")
	ErrConflict      = errors.New("the duty has moved on")
	ErrHeld          = errors.New("held by another")
	ErrClaimEnded    = errors.New("this claim is over")
	ErrBarred        = errors.New("made to step down, and barred for a time")
	ErrTooManyDuties = errors.New("too many duties")
)

// Result is the result of a command.
type Result struct {
	Grant Grant
	Term  uint64
	Err   error
}

// Table holds all duties. It is not safe for concurrent use.
type Table struct {
	last   uint64 // highest epoch ever granted
	duties map[string]*Grant
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{duties: map[string]*Grant{}} }

// LastEpoch returns the highest epoch ever granted.
func (t *Table) LastEpoch() uint64 { return t.last }

// Get returns the last grant of a duty; if it was never granted, only the name is set.
func (t *Table) Get(name string) Grant {
	if g := t.duties[name]; g != nil {
		return g.clone()
	}
	return Grant{Duty: name}
}

// All returns the grants of all duties, sorted by name.
func (t *Table) All() []Grant {
	all := make([]Grant, 0, len(t.duties))
	for _, name := range slices.Sorted(maps.Keys(t.duties)) {
		all = append(all, t.duties[name].clone())
	}
	return all
}

func (g *Grant) clone() Grant {
	c := *g
	c.Bars, c.Ended = maps.Clone(g.Bars), slices.Clone(g.Ended)
	return c
}

// Apply executes a command. term is the term of the raft entry that holds it. It is deterministic: the same commands in
// the same order produce the same table on every steward.
func (t *Table) Apply(c Command, term uint64) Result {
	switch {
	case c.Op == BeginTerm:
		return Result{Term: term}
	case c.Op == RaiseEpochs:
		t.last = max(t.last, c.After)
		return Result{Term: term}
	case c.Term != term:
		return Result{Grant: t.Get(c.Duty), Err: ErrStaleTerm}
	}
	g := t.duties[c.Duty]
	if g == nil {
		g = &Grant{Duty: c.Duty}
	}
	// A repeated claim gets the same answer, whatever has changed since.
	if c.Op == Claim {
		if g.ID == c.ID && g.Holder == c.Holder {
			return Result{Grant: g.clone()}
		}
		if slices.ContainsFunc(g.Ended, func(e Ended) bool { return e.ID == c.ID }) {
			return Result{Grant: g.clone(), Err: ErrClaimEnded}
		}
	}
	if g.Epoch != c.After {
		return Result{Grant: g.clone(), Err: ErrConflict}
	}
	switch c.Op {
	case Claim:
		if _, barred := g.Bars[c.Holder]; barred && !c.Lift {
			return Result{Grant: g.clone(), Err: ErrBarred}
		}
		if t.duties[c.Duty] == nil && !t.makeRoom() {
			return Result{Grant: g.clone(), Err: ErrTooManyDuties}
		}
		t.duties[c.Duty] = g
		g.vacate()
		if delete(g.Bars, c.Holder); c.Quick {
			g.Quick++
		} else {
			g.Quick = 0
		}
		t.last++
		g.Epoch, g.Holder, g.Addr, g.ID, g.Lease, g.To = t.last, c.Holder, c.Addr, c.ID, c.Lease, ""
	case Release:
		if g.Holder == "" || g.Holder != c.Holder {
			return Result{Grant: g.clone(), Err: ErrConflict}
		}
		g.vacate()
		g.Quick, g.To = 0, c.To
	case StepDown:
		if g.Holder == "" {
			return Result{Grant: g.clone(), Err: ErrConflict}
		}
		if g.Bars == nil {
			g.Bars = map[string]time.Duration{}
		}
		for len(g.Bars) >= maxBars { // remove the first by name, so that every steward removes the same
			delete(g.Bars, slices.Min(slices.Collect(maps.Keys(g.Bars))))
		}
		g.Bars[g.Holder] = c.Bar
		g.vacate()
		g.Quick, g.To = 0, c.To
	default:
		return Result{Err: fmt.Errorf("no command %q", c.Op)}
	}
	return Result{Grant: g.clone()}
}

// vacate ends the current grant.
func (g *Grant) vacate() {
	if g.ID != "" {
		g.Ended = append(g.Ended, Ended{g.ID, g.Epoch})
		g.Ended = g.Ended[max(0, len(g.Ended)-maxEndedClaims):]
	}
	g.Holder, g.Addr, g.ID = "", "", ""
}

// makeRoom makes room for another duty by forgetting the unheld duty that was granted longest ago. Its epochs are not
// reused, since epochs are counted across all duties.
func (t *Table) makeRoom() bool {
	if len(t.duties) < MaxDuties {
		return true
	}
	var oldest *Grant
	for _, g := range t.duties {
		if g.Holder == "" && (oldest == nil || cmp.Or(cmp.Compare(g.Epoch, oldest.Epoch), cmp.Compare(g.Duty, oldest.Duty)) < 0) {
			oldest = g
		}
	}
	if oldest == nil {
		return false
	}
	delete(t.duties, oldest.Duty)
	return true
}

// snapshot is the stored form of a Table.
type snapshot struct {
	Format int
	Last   uint64
	Duties []Grant
}

const snapshotFormat = 1

// Encode serializes the table.
func (t *Table) Encode() ([]byte, error) {
	return json.Marshal(snapshot{snapshotFormat, t.last, t.All()})
}

// Decode restores a table from the output of Encode.
func Decode(data []byte) (*Table, error) {
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("duty: snapshot: %w", err)
	}
	if s.Format != snapshotFormat {
		return nil, fmt.Errorf("duty: snapshot: this version does not support format %d", s.Format)
	}
	t := &Table{last: s.Last, duties: map[string]*Grant{}}
	for _, g := range s.Duties {
		if g.Epoch > t.last {
			return nil, fmt.Errorf("duty: snapshot: epoch %d of %s exceeds the last epoch, %d", g.Epoch, g.Duty, t.last)
		}
		t.duties[g.Duty] = &g
	}
	return t, nil
}

// CheckName checks the name of a duty or a holder, or the id of a claim: 1 to MaxNameBytes bytes, printable, without
// spaces.
func CheckName(s string) error {
	if s == "" || len(s) > MaxNameBytes {
		return fmt.Errorf("a name has 1 to %d bytes", MaxNameBytes)
	}
	for _, r := range s {
		if r <= ' ' || r == 0x7f || r > 0xff && r == 0xfffd {
			return fmt.Errorf("%q is no name", s)
		}
	}
	return nil
}
