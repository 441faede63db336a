package relay

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"onyxroad.dev/onyxroad/internal/disk"
)

// zoneHosts are three endpoints of destination 7: "left", in zone b, never answers; "near" is in zone a, the first of the
// settings, and "far" in zone b. near and far accept everything.
type zoneHosts struct {
	addrs map[string]string
	calls map[string]*atomic.Int32
	hangs chan net.Conn // connections whose request "left" has read
}

func newZoneHosts(t *testing.T) *zoneHosts {
	h := &zoneHosts{addrs: map[string]string{}, calls: map[string]*atomic.Int32{}, hangs: make(chan net.Conn, 16)}
	released := make(chan struct{})
	t.Cleanup(func() { close(released) })
	for _, id := range []string{"left", "near", "far"} {
		h.addrs[id], h.calls[id] = rawHost(t, func(_ int, conn net.Conn, _ *http.Request) bool {
			if id == "left" {
				h.hangs <- conn
				<-released
				return false
			}
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			return true
		})
	}
	return h
}

// entry returns an entry of the list.
func (h *zoneHosts) entry(id, zone, state string, weight float64) json.RawMessage {
	return entryJSON(map[string]any{"id": id, "addr": h.addrs[id], "zone": zone, "kind": "gateway", "cell": 7, "state": state, "weight": weight})
}

func entryJSON(fields map[string]any) json.RawMessage {
	data, err := json.Marshal(fields)
	if err != nil {
		panic(err)
	}
	return data
}

// list returns the full list, on which "left" is preferred.
func (h *zoneHosts) list() List {
	return List{Version: 1, Full: true, Entries: []json.RawMessage{
		h.entry("left", "b", "ready", 50), h.entry("near", "a", "ready", 20), h.entry("far", "b", "ready", 10),
	}}
}

// A keyed message was repeated in another zone when its endpoint had left the list, or was listed elsewhere, while its call
// was out and the process was replaced.
func TestHandoverKeepsZoneOfOutstandingCall(t *testing.T) {
	hosts := newZoneHosts(t)
	for name, change := range map[string][]json.RawMessage{
		"endpoint stays":  nil,
		"endpoint leaves": {hosts.entry("left", "b", "gone", 50)},
		"endpoint moves":  {hosts.entry("left", "a", "ready", 50)},
	} {
		for format, configure := range durableFormats {
			t.Run(name+", "+format, func(t *testing.T) { testHandoverKeepsZone(t, hosts, change, configure) })
		}
	}
}

// durableFormats are all formats of the log.
var durableFormats = map[string]func(*Config){
	"one file":    logFormats["one file"],
	"in segments": logFormats["in segments"],
	"synced":      func(c *Config) { c.Segments, c.Power = true, true },
}

func testHandoverKeepsZone(t *testing.T, hosts *zoneHosts, change []json.RawMessage, configure func(*Config)) {
	_, successor := startHandoverOf(t, newZoneRelay(t, hosts, configure), func(old *Relay) {
		sendToHangingHost(t, old, hosts)
		if change != nil {
			old.step([]any{List{Version: 2, Entries: change}})
		}
	})
	near, far := hosts.calls["near"].Load(), hosts.calls["far"].Load()
	hang := <-hosts.hangs
	hang.Close() // the call ends in doubt, at the old process
	awaitDelivery(t, successor)
	if near, far := hosts.calls["near"].Load()-near, hosts.calls["far"].Load()-far; near != 0 || far != 1 {
		t.Errorf("repeated %d times in zone a and %d times in zone b, its own", near, far)
	}
}

// The log alone tells a process that starts after a kill in which zone a call was out.
func TestRestartKeepsZoneOfOutstandingCall(t *testing.T) {
	for format, configure := range durableFormats {
		t.Run(format, func(t *testing.T) {
			hosts := newZoneHosts(t)
			r := newZoneRelay(t, hosts, configure)
			sendToHangingHost(t, r, hosts)
			r.cfg.Known.Entries = r.cfg.Known.Entries[1:] // the next process never hears of the endpoint
			next := restartRelay(t, r)
			awaitDelivery(t, next)
			if near, far := hosts.calls["near"].Load(), hosts.calls["far"].Load(); near != 0 || far != 1 {
				t.Errorf("repeated %d times in zone a and %d times in zone b, its own", near, far)
			}
		})
	}
}

func newZoneRelay(t *testing.T, hosts *zoneHosts, configure func(*Config)) *Relay {
	return newTestRelayOn(t, func(string) disk.FS { return nil }, configure, func(c *Config) { c.Known = hosts.list() })
}

// sendToHangingHost submits a message and waits until the endpoint that never answers has it.
func sendToHangingHost(t *testing.T, r *Relay, hosts *zoneHosts) {
	t.Helper()
	r.step([]any{newSubmission("m", 7, 10*time.Second)})
	stepUntil(t, r, "the endpoint has the message", func() bool {
		r.maintainLog()
		return len(hosts.hangs) > 0
	})
}

// awaitDelivery waits until the message is delivered.
func awaitDelivery(t *testing.T, r *Relay) {
	t.Helper()
	stepUntil(t, r, "the message is delivered", func() bool {
		r.maintainLog()
		return r.byTrace["m"] == nil
	})
}
