package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"onyxroad.dev/onyxroad/policy"
)

// adminOf lets operators' callers in.
func adminOf(t *testing.T, r *Relay) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.serveAdmin(l))
	return l.Addr().String()
}

// ask makes a call at the second address and returns its answer's status and text.
func ask(t *testing.T, addr, method, path, body string) (int, string) {
	t.Helper()
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body)
	res, err := http.ReadResponse(bufio.NewReader(dial(t, addr, text)), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	got, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res.StatusCode, string(got)
}

func TestTheSecondAddressAnswers(t *testing.T) {
	r := newTestRelay(t)
	addr := adminOf(t, r)
	// Nobody runs the loop here: no answer may wait for it.
	for _, c := range []struct {
		method, path string
		want         int
	}{
		{"GET", "/api/ready", 503}, {"GET", "/api/telemetry", 200}, {"GET", "/", 404}, {"GET", "/api", 404},
		{"GET", "/api/exclude", 405}, {"PUT", "/api/include", 405}, {"POST", "/api/ready", 405}, {"POST", "/api/telemetry", 405}, {"POST", "/order", 404},
	} {
		if got, _ := ask(t, addr, c.method, c.path, ""); got != c.want {
			t.Errorf("%s %s: %d, want %d", c.method, c.path, got, c.want)
		}
	}
	r.serving.Store(true)
	if got, _ := ask(t, addr, "GET", "/api/ready", ""); got != 200 {
		t.Errorf("ready while serving: %d", got)
	}
	r.ending.Store(true)
	if got, _ := ask(t, addr, "GET", "/api/ready", ""); got != 503 {
		t.Errorf("ready while ending: %d", got)
	}
}

func TestMuteCallersCrowdNobodyOut(t *testing.T) {
	r := newTestRelay(t)
	addr := adminOf(t, r)
	for i := range 4 * adminMost {
		dial(t, addr, []string{"", "GET /api/re"}[i%2])
	}
	if got, _ := ask(t, addr, "GET", "/api/telemetry", ""); got != 200 {
		t.Errorf("with mute callers about: %d", got)
	}
}

// figure returns the line of a figure, without its name.
func (r *Relay) figure(name string) string {
	for line := range strings.Lines(r.figures.String()) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "relay."+name+":"); ok {
			return value
		}
	}
	return "none"
}

func (r *Relay) wantFigures(t *testing.T, when string, want map[string]string) {
	t.Helper()
	r.publish()
	for name, value := range want {
		if got := r.figure(name); got != value {
			t.Errorf("%s: %s is %s, want %s", when, name, got, value)
		}
	}
}

func TestEachEndIsCountedOnce(t *testing.T) {
	r := newTestRelay(t)
	r.wantFigures(t, "at the start", map[string]string{"answered.order": "0|c", "deferred.order": "0|c", "errored.order": "0|c",
		"sends.order": "0|c", "current": "0|g", "cluster_size": "1|g", "cluster_unhealthy": "0|g"})
	in := newHandIn("m1", 7, 5*time.Second)
	decide(r, in)
	r.wantFigures(t, "once taken", map[string]string{"current": "1|g"})
	m := r.msgs[in.m.ID]
	c := &call{route: "s-1"}
	a := &attempt{call: c, m: m, n: 0}
	m.out++
	r.attemptEnded(nil, a, result{outcome: policy.OK})
	r.attemptEnded(nil, a, result{outcome: policy.OK}) // the rest of its call
	r.wantFigures(t, "once delivered", map[string]string{"answered.order": "1|c", "errored.order": "0|c", "current": "0|g"})

	in = newHandIn("m2", 7, 5*time.Second)
	decide(r, in)
	for range 2 {
		r.execute([]policy.Action{{Kind: policy.Fail, ID: in.m.ID}}, nil)
	}
	r.wantFigures(t, "once failed", map[string]string{"errored.order": "1|c", "current": "0|g"})

	r.cfg.Settings.MaxHeld = 1
	r.held = 1
	decide(r, newHandIn("m3", 7, 5*time.Second))
	r.wantFigures(t, "once turned away", map[string]string{"deferred.order": "1|c", "errored.order": "1|c", "answered.order": "1|c"})
}

func TestACallWrittenWholeIsCounted(t *testing.T) {
	addr, _ := rawHost(t, func(_ int, c net.Conn, _ *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	h := newTestHostClient(t, testConfig())
	var sent int
	h.onWritten = func(c *call) { sent += len(c.attempts) }
	h.do(t.Context(), newCall(addr, "m1"), alwaysAllowed)
	h.do(t.Context(), newCall("127.0.0.1:1", "m2"), alwaysAllowed) // refused: nothing was written
	if sent != 1 {
		t.Errorf("%d messages counted as written, want 1", sent)
	}
}

func TestEndpointsOutByHand(t *testing.T) {
	r := newTestRelay(t)
	addr := adminOf(t, r)
	for _, c := range []struct {
		path, body string
		want       int
	}{
		{"exclude", "", 400}, {"exclude", "{", 400}, {"exclude", "[]", 400}, {"exclude", `{"host":7}`, 400},
		{"exclude", `{"host":""}`, 400}, {"exclude", `{"host":"s-1"}}`, 400},
		{"exclude", strings.Repeat(" ", bodyMost+1), 413}, {"exclude", `{"host":"s-9"}`, 404}, {"include", `{"host":"s-9"}`, 404},
		{"include", `{"host":"s-1"}`, 200}, {"exclude", `{"host":"s-1"}`, 200}, {"exclude", `{"host":"s-1"}`, 200},
	} {
		if got, text := ask(t, addr, "POST", "/api/"+c.path, c.body); got != c.want {
			t.Errorf("%s %.20q: %d %s, want %d", c.path, c.body, got, text, c.want)
		}
	}
	// The yes is there before any step: what was decided earlier must not leave after the next, nor after a restart.
	r.step(nil)
	r.wantFigures(t, "out", map[string]string{"cluster_unhealthy": "1|g"})
	if r.sender.MayStill("s-1", r.now()) {
		t.Error("a call to it may leave")
	}
	r.list(List{Full: true})
	r = restarted(t, r)
	r.step(nil)
	if r.sender.MayStill("s-1", r.now()) {
		t.Error("after a restart a call to it may leave")
	}
	addr = adminOf(t, r)
	if got, _ := ask(t, addr, "POST", "/api/include", `{"host":"s-1"}`); got != 200 {
		t.Errorf("put back: %d", got)
	}
	r.step(nil)
	r.wantFigures(t, "back", map[string]string{"cluster_unhealthy": "0|g"})
	if !r.sender.MayStill("s-1", r.now()) {
		t.Error("one call back does not end it")
	}
}

// What cannot be kept is not promised. It is in force all the same, since the rule holds from 1 s after the call, and it is
// kept, over a restart too, as soon as the disk takes it.
func TestAnExclusionThatIsNotKeptIsRefusedAndInForce(t *testing.T) {
	r := newTestRelay(t)
	dir := r.byHand.dir
	for _, out := range []bool{true, false} {
		r.byHand.dir = filepath.Join(dir, "none")
		if a := r.byHand.set(order{Host: "s-1", Out: out}); a.status != http.StatusServiceUnavailable {
			t.Errorf("out %v: status %d", out, a.status)
		}
		r.step(nil)
		if r.sender.MayStill("s-1", r.now()) == out {
			t.Errorf("out %v: not in force", out)
		}
		r.byHand.keepLate()
		r.byHand.dir = dir
		r.byHand.keepLate()
		again := newExclusions(quiet(), dir)
		if err := again.load(nil); err != nil || again.out["s-1"] != out {
			t.Errorf("out %v: the next process has %v, %v", out, again.out, err)
		}
	}
}

func TestIDsThatAreLongGoneAreForgotten(t *testing.T) {
	x := newExclusions(quiet(), t.TempDir())
	x.listed([]string{"first", "stays"}, func(string) bool { return true })
	for i := range seenMost {
		x.listed([]string{fmt.Sprint("s-", i)}, func(id string) bool { return id == "stays" })
	}
	if len(x.ids) != seenMost || len(x.seen) != seenMost || x.seen["first"] || !x.seen["stays"] {
		t.Errorf("%d ids, %d seen, first %v, stays %v", len(x.ids), len(x.seen), x.seen["first"], x.seen["stays"])
	}
}

func TestOrdersInTheNameOfADutyAreFenced(t *testing.T) {
	r := newTestRelay(t)
	admin := adminOf(t, r)
	r.byHand.load(nil)
	r.byHand.listed([]string{"s-1"}, func(string) bool { return true })
	give := func(path, body string, want int) {
		t.Helper()
		if status, text := ask(t, admin, http.MethodPost, path, body); status != want {
			t.Errorf("%s: %d %s, want %d", body, status, text, want)
		}
	}
	give("/api/exclude", `{"host":"s-1","duty":"release","epoch":7}`, 200)
	give("/api/include", `{"host":"s-1","duty":"release","epoch":6}`, 409)
	if !r.byHand.current()["s-1"] {
		t.Error("a former holder's order was taken")
	}
	give("/api/include", `{"host":"s-1","duty":"release","epoch":7}`, 200)
	give("/api/exclude", `{"host":"s-1"}`, 200) // an operator's own
	for _, bad := range []string{`{"host":"s-1","duty":"release"}`, `{"host":"s-1","epoch":9}`, `{"host":"s-1","duty":"a b","epoch":9}`,
		`{"host":"s-1","duty":"release","epoch":-1}`} {
		give("/api/exclude", bad, 400)
	}
	// The next process knows of the newest epoch.
	again := newExclusions(r.log, r.cfg.StateDir)
	again.load([]string{"s-1"})
	if a := again.set(order{Host: "s-1", Out: true, Duty: "release", Epoch: 6}); a.status != http.StatusConflict {
		t.Errorf("after a restart: %d", a.status)
	}
	if a := again.set(order{Host: "s-1", Out: true, Duty: "release", Epoch: 8}); a.status != http.StatusOK {
		t.Errorf("the next holder after a restart: %d %s", a.status, a.text)
	}
}
