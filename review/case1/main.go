// Case 1: a keyed message whose call is out while its endpoint leaves the list and the relay's process is replaced.
package main

import (
	"fmt"
	"syscall"
	"time"

	"ivygauge.review/rig"
)

const (
	dests  = 7 // with 20 endpoints, one of which hangs
	window = 7500 * time.Millisecond
	slack  = 50 * time.Millisecond
)

func main() {
	r := rig.New()
	healthy := func(*rig.Call) int { time.Sleep(250 * time.Millisecond); return 200 }
	var all []*rig.Endpoint
	var servers []rig.Server
	add := func(e *rig.Endpoint) { all, servers = append(all, e), append(servers, e.Server) }
	// One endpoint of twenty hangs in the middle of its work: it has read the order whole, and does not answer.
	hangs := r.NewEndpoint("s-1-a", "south-bldg", "short-lines", 1, func(*rig.Call) int { return 0 })
	add(hangs)
	add(r.NewEndpoint("s-1-b", "south-bldg", "short-lines", 1, healthy))
	add(r.NewEndpoint("s-1-c", "north-bldg", "short-lines", 1, healthy))
	for d := 2; d <= dests; d++ {
		add(r.NewEndpoint(fmt.Sprintf("s-%d-a", d), "south-bldg", "short-lines", d, healthy))
		add(r.NewEndpoint(fmt.Sprintf("s-%d-b", d), "north-bldg", "short-lines", d, healthy))
		if d < dests {
			add(r.NewEndpoint(fmt.Sprintf("s-%d-c", d), "annex", "short-lines", d, healthy))
		}
	}
	agent := r.NewAgent(servers...)
	listen, admin := r.FreeAddr(), r.FreeAddr()
	settings := rig.Settings(1) // the relay stands in south-bldg
	old := r.Start("relay", r.WriteConfig("config.json", r.Config("n1", listen, admin, agent, settings)))
	r.Wait("relay ready", 30*time.Second, func() bool { return rig.Get("http://"+listen+"/_health") == 200 })
	time.Sleep(1500 * time.Millisecond)

	began := time.Now()
	at := func(s float64) { time.Sleep(time.Until(began.Add(time.Duration(s * float64(time.Second))))) }
	var messages []rig.Message
	for d := 1; d <= dests; d++ {
		m := rig.Message{Class: "car-orders", Customer: "prairie-grain-coop", ID: fmt.Sprintf("9b1f03aa5c7e2d4%d", d),
			Key: fmt.Sprintf("5c0f6e1a2b3d4c59a8b7c6d5e4f3021%d", d), Dest: d, Left: 28 * time.Second, Body: "order"}
		if status := r.HandIn(listen, m); status != 200 && status != 202 {
			r.CannotRun("%s was not taken on: %d", m.ID, status)
		}
		messages = append(messages, m)
	}
	// The endpoint that hangs is replaced: it drains, leaves the list, and another one of the same zone joins it.
	at(0.3)
	agent.Change(hangs.ID, "draining")
	at(0.8)
	agent.Change(hangs.ID, "gone")
	replacement := r.NewEndpoint("s-1-d", "south-bldg", "short-lines", 1, healthy)
	all = append(all, replacement)
	agent.Put(replacement.Server)
	at(1.1)
	if rig.Trouble() {
		// The process is replaced: run is started a second time, with a second address of its own.
		admin2 := r.FreeAddr()
		r.Start("relay (new)", r.WriteConfig("config2.json", r.Config("n1", listen, admin2, agent, settings)))
		r.Wait("the new process says yes", 6*time.Second, func() bool { return rig.Get("http://"+admin2+"/api/ready") == 200 })
		r.Log("the new process has said yes")
		at(7.3)
		old.Signal(syscall.SIGTERM)
		time.AfterFunc(3700*time.Millisecond, func() {
			if !old.Over() {
				old.Signal(syscall.SIGKILL)
			}
		})
	}
	at(14)

	// The rule on duplicates: as soon as an attempt may have run, later sends go only to endpoints in the zone of that
	// attempt, and within the window from its send.
	var broken []string
	for _, m := range messages {
		var first *rig.Call
		calls := 0
		for _, e := range all {
			for _, c := range e.Calls() {
				if c.ID == m.ID {
					if calls++; first == nil || c.At.Before(first.At) {
						first = c
					}
				}
			}
		}
		if first == nil {
			r.CannotRun("%s was never sent", m.ID)
		}
		for _, e := range all {
			for _, c := range e.Calls() {
				if c.ID != m.ID || c == first {
					continue
				}
				if c.Endpoint.Zone != first.Endpoint.Zone {
					broken = append(broken, fmt.Sprintf("%s (key %s) ran at %s in %s, and %.2f s later at %s in %s", m.ID, m.Key, first.Endpoint.ID,
						first.Endpoint.Zone, c.At.Sub(first.At).Seconds(), e.ID, e.Zone))
				} else if c.At.Sub(first.At) > window+slack {
					broken = append(broken, fmt.Sprintf("%s was sent again %.2f s after its first send", m.ID, c.At.Sub(first.At).Seconds()))
				}
			}
		}
		r.Log("%s: %d calls, notices %v", m.ID, calls, agent.Notices(m.ID))
	}
	r.End(broken)
}
