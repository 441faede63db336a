// Package duty holds what only one process of the fleet may do at a time, and in which order processes did it.
//
// A duty has one holder or none. Each grant has an epoch, a number that grows over all duties and is never used again; what
// receives effects of a duty keeps the highest epoch that it has seen and refuses older ones (Fence). So a holder that was
// paused and wakes up believing does no harm, whatever clocks say. That there is one holder at a time as well, while nothing
// stands still, is a matter of leases, which run by the monotonic clock of the stewards' leader (Leases).
//
// Table is the part that the stewards agree on, and goes by commands alone: no clock, no I/O. Leases is the part that a leader
// keeps for itself and starts anew. Package steward puts both on raft, package holder is the side of those that hold.
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

// The bounds of what stewards keep. No request makes them grow beyond these.
const (
	MaxNameBytes   = 64  // bytes of a duty's, a holder's or a claim's name
	MaxDuties = 512 // duties that are known at once; those that nobody holds make way
	maxBars   = 16  // processes barred from one duty
	maxEndedClaims  = 8   // ended claims that a duty remembers
	// MinLease and LeaseMost bound a lease.
	MinLease = 500 * time.Millisecond
	MaxLease  = 5 * time.Minute
	MaxBar    = time.Hour
)

// Op names what a command does.
type Op string

// The commands.
const (
	BeginTerm    Op = "reign"     // a leader begins: tells its term
	Claim    Op = "claim"     // grants a duty that nobody holds, or whose lease is over
	Release  Op = "release"   // ends a grant, perhaps for another process
	StepDown Op = "step-down" // the same, and bars its holder for a time
	RaiseEpochs    Op = "raise"     // epochs go on above a number
)

// Command is one change of a Table.
type Command struct {
	Op   Op
	Term uint64 `json:",omitempty"` // of the leader that decided on it: a decision of an earlier reign does nothing
	Duty string `json:",omitempty"`
	// After is the epoch of the duty's last grant as it was decided on; 0: none yet. With another one nothing is done.
	After  uint64        `json:",omitempty"`
	Holder string        `json:",omitempty"`
	Addr   string        `json:",omitempty"` // where it answers
	ID     string        `json:",omitempty"` // the claim's
	Lease  time.Duration `json:",omitempty"`
	// Quick tells that the last grant's lease ended early and not in order: whoever held it may have died of it.
	Quick bool          `json:",omitempty"`
	To    string        `json:",omitempty"` // who is to have it next
	Bar   time.Duration `json:",omitempty"`
	Lift  bool          `json:",omitempty"` // the holder's bar is over
}

// Grant is a duty as it is held, or was last.
type Grant struct {
	Duty   string
	Epoch  uint64        // of the last grant; 0: none yet
	Holder string        `json:",omitempty"` // empty: nobody holds it
	Addr   string        `json:",omitempty"` // where its holder answers, if it said so
	ID     string        `json:",omitempty"` // the claim's
	Lease  time.Duration `json:",omitempty"`
	To     string        `json:",omitempty"` // whom it was handed on to, and who has not claimed it yet
	Quick  int           `json:",omitempty"` // grants in a row that ended early and not in order
	// Bars are the processes that were made to step down, and for how long from then.
	Bars  map[string]time.Duration `json:",omitempty"`
	Ended []Ended                  `json:",omitempty"` // the last claims that are over
}

// Ended is a claim that is over.
type Ended struct {
	ID    string
	Epoch uint64
}

// The refusals of a command.
var (
	ErrStaleTerm  = errors.New("decided on in an earlier reign")
	ErrConflict  = errors.New("the duty has moved on")
	ErrHeld   = errors.New("held by another")
	ErrClaimEnded   = errors.New("this claim is over")
	ErrBarred = errors.New("made to step down, and barred for a time")
	ErrTooManyDuties   = errors.New("too many duties")
)

// Result is what became of a command.
type Result struct {
	Grant Grant
	Term  uint64
	Err   error
}

// Table is every duty. It is not safe for concurrent use.
type Table struct {
	last   uint64 // highest epoch that was ever granted
	duties map[string]*Grant
}

// NewTable returns one in which nothing was ever granted.
func NewTable() *Table { return &Table{duties: map[string]*Grant{}} }

// LastEpoch is the highest epoch that was ever granted.
func (t *Table) LastEpoch() uint64 { return t.last }

// Get is a duty; its zero value but for the name if it was never granted.
func (t *Table) Get(name string) Grant {
	if g := t.duties[name]; g != nil {
		return g.clone()
	}
	return Grant{Duty: name}
}

// All are the duties by name.
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

// Apply carries a command out. term is that of the log's entry which holds it. The same commands in the same order give the
// same table everywhere.
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
	// The repeat of a claim is the same claim, whatever has moved since.
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
		for len(g.Bars) >= maxBars { // the first by name: every steward takes the same
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

// vacate has a duty held by nobody.
func (g *Grant) vacate() {
	if g.ID != "" {
		g.Ended = append(g.Ended, Ended{g.ID, g.Epoch})
		g.Ended = g.Ended[max(0, len(g.Ended)-maxEndedClaims):]
	}
	g.Holder, g.Addr, g.ID = "", "", ""
}

// makeRoom makes makeRoom for another duty, by forgetting the one that nobody holds and that was granted longest ago. Its epochs stay
// used: they are counted over all duties.
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

// snapshot is a Table as it is written down.
type snapshot struct {
	Format int
	Last   uint64
	Duties []Grant
}

const snapshotFormat = 1

// Encode writes the table down.
func (t *Table) Encode() ([]byte, error) { return json.Marshal(snapshot{snapshotFormat, t.last, t.All()}) }

// Decode reads what Encode wrote.
func Decode(data []byte) (*Table, error) {
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("duty: snapshot: %w", err)
	}
	if s.Format != snapshotFormat {
		return nil, fmt.Errorf("duty: snapshot: format %d is not known to this version", s.Format)
	}
	t := &Table{last: s.Last, duties: map[string]*Grant{}}
	for _, g := range s.Duties {
		if g.Epoch > t.last {
			return nil, fmt.Errorf("duty: snapshot: %s has epoch %d, over the last one, %d", g.Duty, g.Epoch, t.last)
		}
		t.duties[g.Duty] = &g
	}
	return t, nil
}

// CheckName tells whether a duty, a holder or a claim may have this name: 1 to NameMost bytes, printable and without spaces.
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
