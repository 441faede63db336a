package gossip

import (
	"fmt"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
	"go.uber.org/goleak"

	"onyxroad.dev/onyxroad/internal/membership"
)

// join starts a member on a free port.
func join(t *testing.T, name, fleet, dir string, views chan membership.View, seeds ...string) *Fleet {
	t.Helper()
	f, err := start(membership.Config{Fleet: fleet, Name: name, Building: "north", Version: "v1", Bind: "127.0.0.1:0", Seeds: seeds, Allow: []string{"n*"},
		Size: 3, StateDir: dir, Log: slog.New(slog.DiscardHandler)}, nil, func(v membership.View) {
		if views != nil {
			views <- v
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func (f *Fleet) addr() string {
	n := f.list.LocalNode()
	return fmt.Sprintf("%s:%d", n.Addr, n.Port)
}

// waitForView waits for a view that satisfies ok.
func waitForView(t *testing.T, views chan membership.View, what string, ok func(membership.View) bool) {
	t.Helper()
	var seen []string
	for timeout := time.After(20 * time.Second); ; {
		select {
		case v := <-views:
			if ok(v) {
				return
			}
			seen = append(seen, fmt.Sprintf("%+v", v.Members))
		case <-timeout:
			t.Fatalf("timed out waiting for %s; seen %q", what, seen)
		}
	}
}

func TestMembersJoinLeaveAndRestart(t *testing.T) {
	defer func() {
		// A probe that is in flight when the library is shut down ends within the probe interval.
		var err error
		for range 20 {
			if err = goleak.Find(); err == nil {
				return
			}
		}
		t.Error(err)
	}()
	views := make(chan membership.View, 1000)
	one := join(t, "n1", "lab", t.TempDir(), views)
	dir := t.TempDir()
	two := join(t, "n2", "lab", dir, nil, one.addr())
	three := join(t, "n3", "lab", t.TempDir(), nil, one.addr())
	stranger := join(t, "x9", "lab", t.TempDir(), nil, one.addr())
	other := join(t, "n4", "elsewhere", t.TempDir(), nil, one.addr())
	waitForView(t, views, "three members", func(v membership.View) bool { return v.Present == 3 })
	two.SetState(membership.Serving)
	waitForView(t, views, "serving", func(v membership.View) bool { return len(v.Members) > 1 && v.Members[1].State == membership.Serving })
	before := one.View().Members[1]
	// A second process with the same name and folder, while the first is running.
	again := join(t, "n2", "lab", dir, nil, one.addr())
	waitForView(t, views, "the view with the newer process", func(v membership.View) bool {
		return len(v.Members) > 1 && v.Members[1].Incarnation > before.Incarnation
	})
	if err := two.Close(); err != nil {
		t.Error(err)
	}
	if err := again.Leave(); err != nil {
		t.Error(err)
	}
	waitForView(t, views, "left in order", func(v membership.View) bool { return len(v.Members) == 2 && v.Members[1].Name == "n3" })
	for _, f := range []*Fleet{three, stranger, other, one} {
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	}
	for _, m := range one.View().Members {
		if m.Name == "x9" || m.Name == "n4" {
			t.Errorf("a process that is not allowed became a member: %+v", m)
		}
	}
}

func FuzzMeta(f *testing.F) {
	f.Add([]byte(`{"n":"n1","b":"x","i":5,"f":"abc","s":"serving"}`), []byte(`{"n":"n1","d":5}`))
	f.Fuzz(func(t *testing.T, meta, msg []byte) {
		x := &Fleet{tracker: membership.NewTracker(membership.Process{Name: "n1", Incarnation: 1}, 3, time.Now()), viewChanged: make(chan struct{}, 1), rejected: map[string]bool{},
			cfg: membership.Config{Log: slog.New(slog.DiscardHandler)}}
		n := nodeWithMeta(meta)
		if (admission{x}).NotifyAlive(n) == nil {
			events{x}.NotifyJoin(n)
		}
		events{x}.NotifyLeave(n)
		delegate{x}.NotifyMsg(msg)
		if v := x.View(); v.Present < 1 || v.Members[0].Name == "" {
			t.Errorf("%+v", v)
		}
	})
}

// nodeWithMeta returns a node of the library with this metadata.
func nodeWithMeta(meta []byte) *memberlist.Node {
	n := &memberlist.Node{Name: "n2/5/abc", Addr: net.IPv4(127, 0, 0, 1), Port: 9, Meta: meta}
	if p, err := parseMeta(&memberlist.Node{Name: n.Name, Meta: meta}); err != nil && p.Name != "" {
		n.Name = nodeName(p)
	}
	return n
}

func TestJoinTarget(t *testing.T) {
	now := time.Now()
	self := membership.Process{Name: "n1", Incarnation: 1, Addr: "a:1"}
	other := membership.Process{Name: "n2", Incarnation: 1, Addr: "b:1"}
	f := &Fleet{cfg: membership.Config{Bind: "a:1", Seeds: []string{"a:1", "s:1"}, Size: 2}, tracker: membership.NewTracker(self, 2, now)}
	if got := f.joinTarget(f.View()); got != "s:1" {
		t.Errorf("alone: join target %q", got)
	}
	f.tracker.ObserveAlive(other, now)
	if got := f.joinTarget(f.View()); got != "" {
		t.Errorf("no member is missing: join target %q", got)
	}
	f.tracker.ObserveLost(other, false, now)
	f.cfg.Seeds = nil
	if got := f.joinTarget(f.View()); got != "b:1" {
		t.Errorf("one member is away: join target %q", got)
	}
}

func TestDisagreeingMembersReconcile(t *testing.T) {
	views := make(chan membership.View, 1000)
	one := join(t, "n1", "lab", t.TempDir(), views)
	defer one.Close()
	two := join(t, "n2", "lab", t.TempDir(), nil, one.addr())
	defer two.Close()
	waitForView(t, views, "two members", func(v membership.View) bool { return v.Present == 2 })
	// A third member of which only the second knows, and which gossip does not spread.
	three := membership.Process{Name: "n3", Incarnation: 9, Folder: "f", State: membership.Serving, Addr: "127.0.0.1:1"}
	two.update(func(x *membership.Tracker, now time.Time) bool { return x.ObserveAlive(three, now) })
	waitForView(t, views, "the view in which the second member disagrees", func(v membership.View) bool { return len(v.Disagreeing) == 1 })
	if one.NetworkBytes() == 0 || two.NetworkBytes() == 0 {
		t.Errorf("%d and %d bytes were sent", one.NetworkBytes(), two.NetworkBytes())
	}
}
