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

// join starts a member on a port that the system gives.
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

// until waits for a view.
func until(t *testing.T, views chan membership.View, what string, ok func(membership.View) bool) {
	t.Helper()
	var seen []string
	for late := time.After(20 * time.Second); ; {
		select {
		case v := <-views:
			if ok(v) {
				return
			}
			seen = append(seen, fmt.Sprintf("%+v", v.Members))
		case <-late:
			t.Fatalf("never: %s; seen %q", what, seen)
		}
	}
}

func TestMembersMeetLeaveAndComeBack(t *testing.T) {
	defer func() {
		// A look of the library's that is under way when it is shut down ends within its interval.
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
	until(t, views, "three members", func(v membership.View) bool { return v.Present == 3 })
	two.Become(membership.Serving)
	until(t, views, "serving", func(v membership.View) bool { return len(v.Members) > 1 && v.Members[1].State == membership.Serving })
	before := one.View().Members[1]
	// A second process under the name, of the same folder, while the first is there.
	again := join(t, "n2", "lab", dir, nil, one.addr())
	until(t, views, "the newer process", func(v membership.View) bool {
		return len(v.Members) > 1 && v.Members[1].Incarnation > before.Incarnation
	})
	if err := two.Close(); err != nil {
		t.Error(err)
	}
	if err := again.Leave(); err != nil {
		t.Error(err)
	}
	until(t, views, "left in order", func(v membership.View) bool { return len(v.Members) == 2 && v.Members[1].Name == "n3" })
	for _, f := range []*Fleet{three, stranger, other, one} {
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	}
	for _, m := range one.View().Members {
		if m.Name == "x9" || m.Name == "n4" {
			t.Errorf("a stranger got in: %+v", m)
		}
	}
}

func FuzzMeta(f *testing.F) {
	f.Add([]byte(`{"n":"n1","b":"x","i":5,"f":"abc","s":"serving"}`), []byte(`{"n":"n1","d":5}`))
	f.Fuzz(func(t *testing.T, meta, msg []byte) {
		x := &Fleet{tracker: membership.NewTracker(membership.Process{Name: "n1", Incarnation: 1}, 3, time.Now()), wake: make(chan struct{}, 1), refused: map[string]bool{},
			cfg: membership.Config{Log: slog.New(slog.DiscardHandler)}}
		n := node(meta)
		if (alive{x}).NotifyAlive(n) == nil {
			events{x}.NotifyJoin(n)
		}
		events{x}.NotifyLeave(n)
		delegate{x}.NotifyMsg(msg)
		if v := x.View(); v.Present < 1 || v.Members[0].Name == "" {
			t.Errorf("%+v", v)
		}
	})
}

// node is a node of the library's with this to say of itself.
func node(meta []byte) *memberlist.Node {
	n := &memberlist.Node{Name: "n2/5/abc", Addr: net.IPv4(127, 0, 0, 1), Port: 9, Meta: meta}
	if p, err := process(&memberlist.Node{Name: n.Name, Meta: meta}); err != nil && p.Name != "" {
		n.Name = nodeName(p)
	}
	return n
}

func TestWhoIsAskedWhereMembersAreMissing(t *testing.T) {
	now := time.Now()
	self := membership.Process{Name: "n1", Incarnation: 1, Addr: "a:1"}
	other := membership.Process{Name: "n2", Incarnation: 1, Addr: "b:1"}
	f := &Fleet{cfg: membership.Config{Bind: "a:1", Seeds: []string{"a:1", "s:1"}, Size: 2}, tracker: membership.NewTracker(self, 2, now)}
	if got := f.missing(f.View()); got != "s:1" {
		t.Errorf("alone it asks %q", got)
	}
	f.tracker.Heard(other, now)
	if got := f.missing(f.View()); got != "" {
		t.Errorf("nobody is missing, and it asks %q", got)
	}
	f.tracker.Lost(other, false, now)
	f.cfg.Seeds = nil
	if got := f.missing(f.View()); got != "b:1" {
		t.Errorf("one is away, and it asks %q", got)
	}
}

func TestMembersThatSeeAnotherViewAreAsked(t *testing.T) {
	views := make(chan membership.View, 1000)
	one := join(t, "n1", "lab", t.TempDir(), views)
	defer one.Close()
	two := join(t, "n2", "lab", t.TempDir(), nil, one.addr())
	defer two.Close()
	until(t, views, "two members", func(v membership.View) bool { return v.Present == 2 })
	// A third that gossip never told of: the second alone knows it.
	three := membership.Process{Name: "n3", Incarnation: 9, Folder: "f", State: membership.Serving, Addr: "127.0.0.1:1"}
	two.on(func(x *membership.Tracker, now time.Time) bool { return x.Heard(three, now) })
	until(t, views, "the first hears that the second sees another view", func(v membership.View) bool { return len(v.Differ) == 1 })
	if one.Bytes() == 0 || two.Bytes() == 0 {
		t.Errorf("%d and %d bytes were sent", one.Bytes(), two.Bytes())
	}
}
