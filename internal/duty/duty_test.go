package duty

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var noon = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

const lease = 3 * time.Second

func wish(holder, id string) []Wish { return []Wish{{Duty: "d", Holder: holder, ID: id, Lease: lease}} }

// leader executes its commands immediately, without replication.
type leader struct {
	*Leases
	t *testing.T
}

func newLeader(t *testing.T) leader { return leader{NewLeases(NewTable(), 1, noon), t} }

// claim makes a claim and returns its epoch, or 0 if it is not granted.
func (l leader) claim(holder, id string, now time.Time) uint64 {
	c, i := l.PickClaim(wish(holder, id), now)
	switch {
	case i < 0:
		return 0
	case c.Op == "":
		return l.table.Get("d").Epoch
	}
	return l.apply(c, now).Grant.Epoch
}

func (l leader) apply(c Command, now time.Time) Result {
	l.t.Helper()
	if !l.Begin(c) {
		l.t.Fatal("a command on this duty is already in flight")
	}
	res := l.table.Apply(c, l.Term)
	l.Finish(c, res, now)
	return res
}

func TestExpiredLeaseGetsAHigherEpoch(t *testing.T) {
	l := newLeader(t)
	one := l.claim("a", "1", noon)
	if one == 0 || l.claim("b", "2", noon) != 0 {
		t.Fatalf("epoch %d, or granted to two holders", one)
	}
	if again := l.claim("a", "1", noon); again != one {
		t.Errorf("the repeated claim has epoch %d, not %d", again, one)
	}
	at := noon.Add(2 * time.Second)
	if !l.Renew("d", one, "a", at) || l.Renew("d", one, "b", at) || l.Renew("d", one+1, "a", at) {
		t.Error("wrong answer to a renewal")
	}
	if got := l.NextChange(wish("b", "2"), at); !got.Equal(at.Add(lease)) {
		t.Errorf("next change at %v", got)
	}
	if l.claim("b", "2", at.Add(lease-1)) != 0 {
		t.Error("granted before the lease expired")
	}
	if l.Renew("d", one, "a", at.Add(lease)) {
		t.Error("renewed after it expired")
	}
	two := l.claim("b", "2", at.Add(lease))
	if two <= one || l.Renew("d", one, "a", at.Add(lease)) {
		t.Errorf("epoch %d after %d", two, one)
	}
	// An ended claim is not granted again, however late it is repeated.
	c := Command{Op: Claim, Term: 1, Duty: "d", After: two, Holder: "a", ID: "1", Lease: lease}
	if res := l.table.Apply(c, 1); !errors.Is(res.Err, ErrClaimEnded) {
		t.Errorf("late repeat: %v", res.Err)
	}
}

func TestNewLeaderRestartsLeases(t *testing.T) {
	l := newLeader(t)
	one := l.claim("a", "1", noon)
	l.Renew("d", one, "a", noon.Add(time.Second))
	next := leader{NewLeases(l.table, 2, noon.Add(2*time.Second)), t}
	if next.claim("b", "2", noon.Add(4900*time.Millisecond)) != 0 {
		t.Error("granted within a lease of the beginning of the term")
	}
	// Commands of the old leader have no effect.
	res := l.table.Apply(Command{Op: Claim, Term: 1, Duty: "d", After: one, Holder: "c", ID: "3", Lease: lease}, 2)
	if !errors.Is(res.Err, ErrStaleTerm) {
		t.Errorf("%v", res.Err)
	}
	if next.claim("b", "2", noon.Add(5*time.Second)) == 0 {
		t.Error("never granted")
	}
}

func TestStepDown(t *testing.T) {
	l := newLeader(t)
	one := l.claim("a", "1", noon)
	if !l.RequestStepDown("d", StepDownRequest{To: "c", Bar: time.Minute, At: noon}) || !l.StepDownRequested("d", one) {
		t.Fatal("the request to step down is not recorded")
	}
	// The holder keeps the duty until it releases it, for one lease at most.
	if !l.Renew("d", one, "a", noon.Add(time.Second)) || l.claim("b", "2", noon.Add(time.Second)) != 0 {
		t.Error("granted to another before it was released")
	}
	if l.Renew("d", one, "a", noon.Add(lease)) {
		t.Error("renewed after the time to step down")
	}
	if res := l.apply(l.EndCommand("d", one, "a", ""), noon.Add(time.Second)); res.Err != nil || res.Grant.To != "c" {
		t.Fatalf("%+v", res)
	}
	at := noon.Add(time.Second)
	if l.claim("b", "2", at) != 0 || l.claim("a", "3", at) != 0 {
		t.Error("granted to another process than the one that it was handed over to")
	}
	if two := l.claim("c", "4", at); two <= one {
		t.Errorf("handed over: epoch %d", two)
	}
	l.apply(l.EndCommand("d", l.table.Get("d").Epoch, "c", ""), at)
	if l.claim("a", "5", noon.Add(59*time.Second)) != 0 || l.claim("a", "5", noon.Add(62*time.Second)) == 0 {
		t.Error("the bar does not last for its duration")
	}
	// If the process that it was handed over to does not claim it, any process can after handoverGrace.
	e := l.table.Get("d").Epoch
	l.apply(l.EndCommand("d", e, "a", "gone"), noon.Add(70*time.Second))
	if l.claim("b", "6", noon.Add(70*time.Second)) != 0 || l.claim("b", "6", noon.Add(70*time.Second+handoverGrace)) == 0 {
		t.Error("not granted after the named process failed to claim it")
	}
}

func TestDutyThatKillsItsHoldersPauses(t *testing.T) {
	l := newLeader(t)
	now := noon
	var waits []time.Duration
	for i := range 6 {
		began := now
		for l.claim(fmt.Sprint("h", i), fmt.Sprint("c", i), now) == 0 {
			now = l.NextChange(wish("x", "x"), now)
		}
		waits = append(waits, now.Sub(began))
	}
	if fmt.Sprint(waits) != "[0s 3s 3s 6s 9s 15s]" {
		t.Errorf("waits %v", waits)
	}
	// A release in order resets the count of early ends.
	e := l.table.Get("d").Epoch
	l.apply(l.EndCommand("d", e, "h5", ""), now)
	if got := l.table.Get("d").Quick; got != 0 {
		t.Errorf("%d early ends after a release", got)
	}
}

func TestEpochsAreNeverReused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		holders := map[uint64]string{}
		last := uint64(0)
		for range 60 {
			d := fmt.Sprint("d", rapid.IntRange(0, 2).Draw(t, "duty"))
			h := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "holder")
			after := table.Get(d).Epoch
			if rapid.IntRange(0, 5).Draw(t, "stale") == 0 {
				after /= 2
			}
			op := rapid.SampledFrom([]Op{Claim, Claim, Release, StepDown, RaiseEpochs}).Draw(t, "op")
			if op == RaiseEpochs {
				after = last + uint64(rapid.IntRange(0, 9).Draw(t, "by"))
			}
			res := table.Apply(Command{Op: op, Term: 1, Duty: d, After: after, Holder: h, ID: fmt.Sprint(rapid.IntRange(0, 40).Draw(t, "id")),
				Lease: lease, Bar: time.Second, Lift: true}, 1)
			if op == Claim && res.Err == nil {
				e := res.Grant.Epoch
				if was, ok := holders[e]; ok && was != d+h {
					t.Fatalf("epoch %d of %s and %s", e, was, d+h)
				} else if !ok && e <= last {
					t.Fatalf("epoch %d after %d", e, last)
				}
				holders[e], last = d+h, max(last, e)
			}
			last = max(last, table.LastEpoch())
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				data, err := table.Encode()
				if err != nil {
					t.Fatal(err)
				}
				if table, err = Decode(data); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}

func TestTableSizeIsBounded(t *testing.T) {
	table := NewTable()
	for i := range 2 * MaxDuties {
		d := fmt.Sprint("d", i)
		if res := table.Apply(Command{Op: Claim, Duty: d, Holder: "a", ID: "1", Lease: lease}, 0); res.Err != nil {
			t.Fatal(res.Err)
		}
		e := table.Get(d).Epoch
		if i%2 == 0 {
			table.Apply(Command{Op: StepDown, Duty: d, After: e, Holder: "a", Bar: time.Second}, 0)
		} else {
			table.Apply(Command{Op: Release, Duty: d, After: e, Holder: "a"}, 0)
		}
	}
	if n := len(table.All()); n != MaxDuties {
		t.Errorf("%d duties", n)
	}
	for i := range 100 {
		g := table.Get("x")
		table.Apply(Command{Op: Claim, Duty: "x", After: g.Epoch, Holder: fmt.Sprint(i), ID: fmt.Sprint(i), Lease: lease}, 0)
		table.Apply(Command{Op: StepDown, Duty: "x", After: table.Get("x").Epoch, Bar: time.Second}, 0)
	}
	if g := table.Get("x"); len(g.Bars) > maxBars || len(g.Ended) > maxEndedClaims {
		t.Errorf("%d bars, %d ended claims", len(g.Bars), len(g.Ended))
	}
}

func TestFence(t *testing.T) {
	dir := t.TempDir()
	f, err := OpenFence(dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(f.Admit("d", 5), f.Admit("d", 5), f.Admit("other", 2)); err != nil {
		t.Fatal(err)
	}
	if err := f.Admit("d", 4); !errors.Is(err, ErrFenced) {
		t.Errorf("an older epoch: %v", err)
	}
	if f, err = OpenFence(dir); err != nil || f.HighestEpoch("d") != 5 {
		t.Fatalf("after a restart: %d, %v", f.HighestEpoch("d"), err)
	}
	if err := f.Admit("d", 4); !errors.Is(err, ErrFenced) {
		t.Errorf("an older epoch after a restart: %v", err)
	}
	for i := range MaxFencedDuties {
		f.Admit(fmt.Sprint(i), 1)
	}
	if err := f.Admit("one more", 1); err == nil || errors.Is(err, ErrFenced) {
		t.Errorf("over the limit of duties: %v", err)
	}
	// An effect whose epoch can't be stored is refused.
	os.RemoveAll(dir)
	if err := f.Admit("d", 6); err == nil || f.HighestEpoch("d") != 5 {
		t.Errorf("accepted without being stored: %v, %d", err, f.HighestEpoch("d"))
	}
	os.MkdirAll(dir, 0o700)
	os.WriteFile(filepath.Join(dir, fenceFile), []byte("{torn"), 0o600)
	if _, err := OpenFence(dir); err == nil {
		t.Error("no error for an unreadable file")
	}
}

func TestCheckName(t *testing.T) {
	for _, ok := range []string{"fleet-figures", "watch/7", "n3.17"} {
		if err := CheckName(ok); err != nil {
			t.Errorf("%q: %v", ok, err)
		}
	}
	for _, bad := range []string{"", "a b", "a\nb", strings.Repeat("x", MaxNameBytes+1), "\x7f"} {
		if CheckName(bad) == nil {
			t.Errorf("%q is accepted as a name", bad)
		}
	}
}
