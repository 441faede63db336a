package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// copies: the settings allow no second copies. A relay's process is replaced while calls are out that take long, and the new process is
// replaced in its turn half a second later. A message must not be sent again while the first process's call with it is still out.
//
// With TROUBLE=0 nothing is replaced.

func init() { cases["copies"] = caseCopies }

func caseCopies(r *rig) {
	d := usual()
	d.duplicate = false
	var mu sync.Mutex
	out := map[string]int{}    // calls with a message that are out on open connections
	copies := map[string]int{} // copies that came while an earlier call was out
	started := map[string]int{}
	answer := func(c *call) string {
		id := c.items[0].ID
		mu.Lock()
		started[id]++
		if out[id] > 0 {
			copies[id]++
			r.logf("%s gets %s while an earlier call with it is out", c.endpoint, id)
		}
		out[id]++
		mu.Unlock()
		// It takes 1.4 s. A call counts as out until it is answered or its connection ends.
		ended := make(chan struct{})
		go func() {
			c.conn.Read(make([]byte, 1))
			close(ended)
		}()
		gone := false
		select {
		case <-ended:
			gone = true
		case <-time.After(1400 * time.Millisecond):
		}
		mu.Lock()
		out[id]--
		mu.Unlock()
		r.logf("%s ends its call with %s, given up %v", c.endpoint, id, gone)
		if gone {
			return ""
		}
		c.conn.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"))
		return ""
	}
	var servers []object
	for i := range 2 {
		servers = append(servers, r.startEndpoint(fmt.Sprintf("s-%d", i), 7, "short-lines", "north-bldg", answer).listing())
	}
	// Four messages in five are for partners of usual pace.
	for i := range 4 {
		servers = append(servers, r.startEndpoint(fmt.Sprintf("s-usual-%d", i), i, "short-lines", "south-bldg", func(c *call) string {
			time.Sleep(180 * time.Millisecond)
			return delivered(c)
		}).listing())
	}
	a := r.startAgent(servers)
	base := r.newRelay("n1", d, a, servers, "")
	first := base.launch()
	var ids []string
	for i := range 15 {
		m := message{id: fmt.Sprintf("9b1f03aa5c7e%04d", i), class: "car-status", customer: "aspen-pulse", dest: i % 5, expiresMS: 5000, body: fmt.Appendf(nil, "status %d", i)}
		if m.dest == 4 {
			m.dest = 7
		}
		if r.submit(base.listen, m) == 202 && m.dest == 7 {
			ids = append(ids, m.id)
		}
	}
	if r.trouble {
		began := time.Now()
		second := base.start(r.freeAddr())
		if !second.awaitReady(6 * time.Second) {
			r.cannotRun(fmt.Errorf("the second process is not ready:\n%s", r.tail("n1")))
		}
		time.Sleep(500 * time.Millisecond)
		third := base.start(r.freeAddr())
		if !third.awaitReady(6 * time.Second) {
			r.cannotRun(fmt.Errorf("the third process is not ready:\n%s", r.tail("n1")))
		}
		// Each old process gets its SIGTERM when the 6 s of its replacement are over.
		time.Sleep(time.Until(began.Add(6200 * time.Millisecond)))
		first.signal(syscall.SIGTERM)
		time.Sleep(600 * time.Millisecond)
		second.signal(syscall.SIGTERM)
	} else {
		time.Sleep(6800 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	for _, id := range ids {
		if copies[id] > 0 {
			r.breaks("%s was sent %d times, %d of them while an earlier call with it was out, though the settings allow no second copies", id, started[id], copies[id])
		}
	}
}
