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

// serveTestAdmin serves the admin API.
func serveTestAdmin(t *testing.T, r *Relay) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.serveAdmin(l))
	return l.Addr().String()
}

// adminCall makes a request to the admin API and returns the response's status and text.
func adminCall(t *testing.T, addr, method, path, body string) (int, string) {
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

func TestAdminAPIStatusCodes(t *testing.T) {
	r := newTestRelay(t)
	addr := serveTestAdmin(t, r)
	// The loop is not running here: no answer may wait for it.
	for _, c := range []struct {
		method, path string
		want         int
	}{
		{"GET", "/api/ready", 503}, {"GET", "/api/telemetry", 200}, {"GET", "/", 404}, {"GET", "/api", 404},
		{"GET", "/api/exclude", 405}, {"PUT", "/api/include", 405}, {"POST", "/api/ready", 405}, {"POST", "/api/telemetry", 405}, {"POST", "/order", 404},
	} {
		if got, _ := adminCall(t, addr, c.method, c.path, ""); got != c.want {
			t.Errorf("%s %s: %d, want %d", c.method, c.path, got, c.want)
		}
	}
	r.serving.Store(true)
	if got, _ := adminCall(t, addr, "GET", "/api/ready", ""); got != 200 {
		t.Errorf("ready while serving: %d", got)
	}
	r.shuttingDown.Store(true)
	if got, _ := adminCall(t, addr, "GET", "/api/ready", ""); got != 503 {
		t.Errorf("ready while ending: %d", got)
	}
}

func TestSilentAdminConnectionsBlockNobody(t *testing.T) {
	r := newTestRelay(t)
	addr := serveTestAdmin(t, r)
	for i := range 4 * maxAdminConns {
		dial(t, addr, []string{"", "GET /api/re"}[i%2])
	}
	if got, _ := adminCall(t, addr, "GET", "/api/telemetry", ""); got != 200 {
		t.Errorf("with silent connections: %d", got)
	}
}

// metric returns the value and type of a metric.
func (r *Relay) metric(name string) string {
	for line := range strings.Lines(r.metrics.String()) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "relay."+name+":"); ok {
			return value
		}
	}
	return "none"
}

func (r *Relay) wantMetrics(t *testing.T, when string, want map[string]string) {
	t.Helper()
	r.updateGauges()
	for name, value := range want {
		if got := r.metric(name); got != value {
			t.Errorf("%s: %s is %s, want %s", when, name, got, value)
		}
	}
}

func TestEachOutcomeIsCountedOnce(t *testing.T) {
	r := newTestRelay(t)
	r.wantMetrics(t, "at the start", map[string]string{"answered.order": "0|c", "deferred.order": "0|c", "errored.order": "0|c",
		"sends.order": "0|c", "current": "0|g", "cluster_size": "1|g", "cluster_unhealthy": "0|g"})
	in := newSubmission("m1", 7, 5*time.Second)
	stepSubmissions(r, in)
	r.wantMetrics(t, "once accepted", map[string]string{"current": "1|g"})
	m := r.msgs[in.m.ID]
	c := &call{route: "s-1"}
	a := &attempt{call: c, m: m, n: 0}
	m.outstanding++
	r.finishAttempt(nil, a, result{outcome: policy.OK})
	r.finishAttempt(nil, a, result{outcome: policy.OK}) // from the rest of its call
	r.wantMetrics(t, "once delivered", map[string]string{"answered.order": "1|c", "errored.order": "0|c", "current": "0|g"})

	in = newSubmission("m2", 7, 5*time.Second)
	stepSubmissions(r, in)
	for range 2 {
		r.execute([]policy.Action{{Kind: policy.Fail, ID: in.m.ID}}, nil)
	}
	r.wantMetrics(t, "once failed", map[string]string{"errored.order": "1|c", "current": "0|g"})

	r.cfg.Settings.MaxHeld = 1
	r.held = 1
	stepSubmissions(r, newSubmission("m3", 7, 5*time.Second))
	r.wantMetrics(t, "once rejected", map[string]string{"deferred.order": "1|c", "errored.order": "1|c", "answered.order": "1|c"})
}

func TestWrittenCallsAreCounted(t *testing.T) {
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

func TestExcludeAndIncludeEndpoints(t *testing.T) {
	r := newTestRelay(t)
	addr := serveTestAdmin(t, r)
	for _, c := range []struct {
		path, body string
		want       int
	}{
		{"exclude", "", 400}, {"exclude", "{", 400}, {"exclude", "[]", 400}, {"exclude", `{"host":7}`, 400},
		{"exclude", `{"host":""}`, 400}, {"exclude", `{"host":"s-1"}}`, 400},
		{"exclude", strings.Repeat(" ", maxBodyBytes+1), 413}, {"exclude", `{"host":"s-9"}`, 404}, {"include", `{"host":"s-9"}`, 404},
		{"include", `{"host":"s-1"}`, 200}, {"exclude", `{"host":"s-1"}`, 200}, {"exclude", `{"host":"s-1"}`, 200},
	} {
		if got, text := adminCall(t, addr, "POST", "/api/"+c.path, c.body); got != c.want {
			t.Errorf("%s %.20q: %d %s, want %d", c.path, c.body, got, text, c.want)
		}
	}
	// The endpoint is excluded before any step. A call decided earlier must not be made after the next step or a restart.
	r.step(nil)
	r.wantMetrics(t, "out", map[string]string{"cluster_unhealthy": "1|g"})
	if r.sender.StillAllowed("s-1", r.now()) {
		t.Error("a call to it may be made")
	}
	r.applyList(List{Full: true})
	r = restartRelay(t, r)
	r.step(nil)
	if r.sender.StillAllowed("s-1", r.now()) {
		t.Error("after a restart a call to it may be made")
	}
	addr = serveTestAdmin(t, r)
	if got, _ := adminCall(t, addr, "POST", "/api/include", `{"host":"s-1"}`); got != 200 {
		t.Errorf("include: %d", got)
	}
	r.step(nil)
	r.wantMetrics(t, "back", map[string]string{"cluster_unhealthy": "0|g"})
	if !r.sender.StillAllowed("s-1", r.now()) {
		t.Error("one include request does not end the exclusion")
	}
}

// An exclusion that cannot be saved is answered with an error. It is in force nevertheless, because an exclusion must
// hold from 1 s after the request. It is saved as soon as the disk allows, so that it also survives a restart.
func TestUnsavedExclusionIsInForce(t *testing.T) {
	r := newTestRelay(t)
	dir := r.exclusions.dir
	for _, out := range []bool{true, false} {
		r.exclusions.dir = filepath.Join(dir, "none")
		if a := r.exclusions.set(exclusionChange{Host: "s-1", Out: out}); a.status != http.StatusServiceUnavailable {
			t.Errorf("out %v: status %d", out, a.status)
		}
		r.step(nil)
		if r.sender.StillAllowed("s-1", r.now()) == out {
			t.Errorf("out %v: not in force", out)
		}
		r.exclusions.retrySave()
		r.exclusions.dir = dir
		r.exclusions.retrySave()
		again := newExclusions(discardLogger(), dir)
		if err := again.load(nil); err != nil || again.excluded["s-1"] != out {
			t.Errorf("out %v: the next process has %v, %v", out, again.excluded, err)
		}
	}
}

func TestOldUnlistedIDsAreDropped(t *testing.T) {
	x := newExclusions(discardLogger(), t.TempDir())
	x.noteListed([]string{"first", "stays"}, func(string) bool { return true })
	for i := range maxSeenIDs {
		x.noteListed([]string{fmt.Sprint("s-", i)}, func(id string) bool { return id == "stays" })
	}
	if len(x.seenOrder) != maxSeenIDs || len(x.seen) != maxSeenIDs || x.seen["first"] || !x.seen["stays"] {
		t.Errorf("%d ids, %d seen, first %v, stays %v", len(x.seenOrder), len(x.seen), x.seen["first"], x.seen["stays"])
	}
}

func TestDutyExclusionsAreFenced(t *testing.T) {
	r := newTestRelay(t)
	admin := serveTestAdmin(t, r)
	r.exclusions.load(nil)
	r.exclusions.noteListed([]string{"s-1"}, func(string) bool { return true })
	request := func(path, body string, want int) {
		t.Helper()
		if status, text := adminCall(t, admin, http.MethodPost, path, body); status != want {
			t.Errorf("%s: %d %s, want %d", body, status, text, want)
		}
	}
	request("/api/exclude", `{"host":"s-1","duty":"release","epoch":7}`, 200)
	request("/api/include", `{"host":"s-1","duty":"release","epoch":6}`, 409)
	if !r.exclusions.current()["s-1"] {
		t.Error("a former holder's request was accepted")
	}
	request("/api/include", `{"host":"s-1","duty":"release","epoch":7}`, 200)
	request("/api/exclude", `{"host":"s-1"}`, 200) // an operator's own request
	for _, bad := range []string{`{"host":"s-1","duty":"release"}`, `{"host":"s-1","epoch":9}`, `{"host":"s-1","duty":"a b","epoch":9}`,
		`{"host":"s-1","duty":"release","epoch":-1}`} {
		request("/api/exclude", bad, 400)
	}
	// The next process knows the newest epoch.
	again := newExclusions(r.log, r.cfg.StateDir)
	again.load([]string{"s-1"})
	if a := again.set(exclusionChange{Host: "s-1", Out: true, Duty: "release", Epoch: 6}); a.status != http.StatusConflict {
		t.Errorf("after a restart: %d", a.status)
	}
	if a := again.set(exclusionChange{Host: "s-1", Out: true, Duty: "release", Epoch: 8}); a.status != http.StatusOK {
		t.Errorf("the next holder after a restart: %d %s", a.status, a.text)
	}
}
