package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// refused: a relay's process is replaced, and clients go on using the connections that they have. The new process is killed right
// behind their requests, then the old one, and the relay starts again with its folder. A payment that was refused (503) may be handed in
// again: it must not run under the id that was refused.
//
// With TROUBLE=0 nothing is killed.

func init() { cases["refused"] = caseRefused }

const (
	refusedCycles  = 96 // replacements at most; the play ends with the first refused payment that ran
	refusedClients = 60
	firstKill      = 2 * time.Millisecond // behind the requests; half a millisecond more in each cycle, and from the beginning after twelve
	betweenKills   = 5 * time.Millisecond // the relay is killed outright: one process, then the other
)

// payments are the payments of the play: by body, the ids under which they ran.
type payments struct {
	mu   sync.Mutex
	runs map[string][]string
}

func (p *payments) run(c *call) string {
	p.mu.Lock()
	for _, it := range c.items {
		p.runs[string(it.Body)] = append(p.runs[string(it.Body)], it.ID)
	}
	p.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	return delivered(c)
}

func (p *payments) ran(body string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.runs[body]...)
}

func caseRefused(r *rig) {
	d := usual()
	paid := &payments{runs: map[string][]string{}}
	var servers []object
	var endpoints []*endpoint
	for i := range 4 {
		e := r.startEndpoint(fmt.Sprintf("s-%d", i), 7, "railways", "north-bldg", paid.run)
		endpoints = append(endpoints, e)
		servers = append(servers, e.listing())
	}
	a := r.startAgent(servers)
	base := r.newRelay("n1", d, a, servers, "")
	p := base.launch()
	for cycle := range refusedCycles {
		if time.Since(r.began) > 95*time.Second {
			break
		}
		p = refusedCycle(r, paid, base, p, cycle, firstKill+time.Duration(cycle%12)*time.Millisecond/2)
		if len(r.broken) > 0 {
			break
		}
	}
	p.kill()
}

// refusedCycle replaces the process p once, and returns the one that serves at the end.
func refusedCycle(r *rig, paid *payments, base, p *relay, cycle int, delay time.Duration) *relay {
	type client struct {
		conn   *clientConn
		m      message
		status int
	}
	// Clients that use their connections: each has had one message delivered.
	clients := make([]*client, refusedClients)
	var wg sync.WaitGroup
	for i := range clients {
		conn, err := dial(base.listen)
		r.check(err)
		m := message{class: "freight-payments", customer: "aspen-pulse", dest: 7, expiresMS: 20000, id: fmt.Sprintf("w%03d%03d", cycle, i)}
		m.body = []byte("earlier payment " + m.id)
		c := &client{conn: conn, m: m}
		clients[i] = c
		wg.Go(func() {
			status, closes, err := conn.handIn(m)
			if err != nil || closes || status != 202 {
				r.logf("client: an earlier payment: %d %v", status, errText(err))
				conn.Close()
				c.conn = nil
			}
		})
	}
	wg.Wait()
	next := base.start(r.freeAddr())
	if !next.awaitReady(6 * time.Second) {
		r.cannotRun(fmt.Errorf("the new process is not ready:\n%s", r.tail(base.name)))
	}
	for i, c := range clients {
		if c.conn == nil {
			continue
		}
		c.m.id, c.m.body = fmt.Sprintf("p%03d%03d", cycle, i), fmt.Appendf(nil, "payment %d/%d", cycle, i)
		wg.Go(func() {
			defer c.conn.Close()
			var err error
			c.status, _, err = c.conn.handIn(c.m)
			r.logf("client: payment %q: %d %v", c.m.id, c.status, errText(err))
		})
	}
	if r.trouble {
		time.Sleep(delay)
		next.signal(syscall.SIGKILL)
		time.Sleep(betweenKills)
		p.signal(syscall.SIGKILL)
		wg.Wait()
		<-next.exited
		<-p.exited
		time.Sleep(600 * time.Millisecond)
		next = base.launch()
	} else {
		wg.Wait()
		p.signal(syscall.SIGTERM)
	}
	// What was refused is handed in again, once.
	refused := 0
	for i, c := range clients {
		if c.conn != nil && c.status == 503 {
			refused++
			again := c.m
			again.id = fmt.Sprintf("q%03d%03d", cycle, i)
			r.submit(base.listen, again)
		}
	}
	if refused > 0 {
		time.Sleep(1200 * time.Millisecond)
	}
	for _, c := range clients {
		if c.conn == nil || c.status != 503 {
			continue
		}
		ids := paid.ran(string(c.m.body))
		for _, id := range ids {
			if id == c.m.id {
				r.breaks("the %s was refused (503) as %s and ran under that id all the same; it ran %d times in all, as %v", c.m.body, id, len(ids), ids)
			}
		}
	}
	if !r.trouble {
		<-p.exited
	}
	return next
}
