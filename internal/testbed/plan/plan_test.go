package plan

import (
	"bytes"
	"math"
	"path/filepath"
	"testing"
	"time"

	"onyxroad.dev/onyxroad/internal/testbed/experiment"
)

// drawText returns the printed plan of an experiment file.
func drawText(t *testing.T, path string, seed uint64) string {
	t.Helper()
	x, err := experiment.Read(path)
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if err := Draw(x, seed, true).Write(&b); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

// TestPlanDependsOnlyOnSeed plans every experiment twice with one seed, and once with another.
func TestPlanDependsOnlyOnSeed(t *testing.T) {
	files, _ := filepath.Glob("../../../experiments/*.toml")
	for _, f := range files {
		one, again, other := drawText(t, f, 7), drawText(t, f, 7), drawText(t, f, 8)
		if one != again {
			t.Errorf("%s: two plans of one seed differ", f)
		}
		if one == other {
			t.Errorf("%s: plans of two seeds are the same", f)
		}
	}
}

func TestArrivalRateMatchesLevel(t *testing.T) {
	x := experiment.Default()
	x.Length = experiment.Duration(5 * time.Minute)
	x.Load.Level = experiment.NewRange(0.5, 0.5)
	for seed := range uint64(5) {
		p := Draw(x, seed, false)
		got := float64(len(p.Arrivals)) / p.Length.Seconds() / p.FullRate
		if math.Abs(got-0.5) > 0.06 {
			t.Errorf("seed %d: %.3f of the full load, want 0.5", seed, got)
		}
		payments := 0
		for i, a := range p.Arrivals {
			if i > 0 && a.At < p.Arrivals[i-1].At {
				t.Fatalf("seed %d: message %d is earlier than its predecessor", seed, i)
			}
			if p.Classes[a.Class].Effect == "unsafe" {
				if p.Partners[a.Partner].Kind != 0 {
					t.Fatalf("seed %d: an unsafe message for a partner of another kind", seed)
				}
				payments++
			}
		}
		if share := float64(payments) / float64(len(p.Arrivals)); share < 0.1 || share > 0.45 {
			t.Errorf("seed %d: %.2f of the messages are payments", seed, share)
		}
	}
}

func TestFaults(t *testing.T) {
	x := experiment.Default()
	x.Length = experiment.Duration(100 * time.Second)
	x.Fleet.Relays = experiment.NewRange(20, 20)
	x.Faults = []experiment.Fault{
		{Kind: "kill", At: experiment.NewRange(0.3, 0.3), Share: experiment.NewRange(0.7, 0.7)},
		{Kind: "shut", At: experiment.NewRange(0.85, 0.85), For: experiment.DurationRange{Lo: time.Minute, Hi: time.Minute}, Share: experiment.NewRange(0.2, 0.2)},
		{Kind: "roll", At: experiment.NewRange(0.5, 0.5), For: experiment.DurationRange{Lo: 20 * time.Second, Hi: 20 * time.Second}},
		{Kind: "release", At: experiment.NewRange(0.1, 0.1), For: experiment.DurationRange{Lo: 20 * time.Second, Hi: 20 * time.Second},
			Share: experiment.NewRange(0.5, 0.5)},
	}
	p := Draw(x, 3, false)
	rolled := map[int]bool{}
	for _, f := range p.Faults {
		switch {
		case f.Kind == "kill" && f.At == 30*time.Second:
			if len(f.Relays) != 14 {
				t.Errorf("%d relays killed of 20, want 14", len(f.Relays))
			}
		case f.Kind == "shut":
			if f.At+f.For > 90*time.Second || len(f.Partners) == 0 {
				t.Errorf("shut %+v: not over by nine tenths of the run, or no partner affected", f)
			}
		case f.Kind == "term", f.Kind == "kill":
			rolled[f.Relays[0]] = true
		}
	}
	if len(rolled) != 20 {
		t.Errorf("%d relays restarted of 20", len(rolled))
	}
	added, drained := 0, 0
	for _, e := range p.Endpoints {
		if e.Added > 0 {
			added++
		}
		if e.Drains > 0 {
			drained++
		}
	}
	if added == 0 || added != drained {
		t.Errorf("%d endpoints added for %d that drain", added, drained)
	}
}
