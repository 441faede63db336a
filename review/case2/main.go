// Case 2: a peer hands in the ids of payments that the relay has taken on and delivered.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"ivygauge.review/rig"
)

const (
	payments = 60 // whose ids come again
	others   = 6600
	rate     = 100 // messages a second
	workers  = 16
)

// client hands messages in on one connection, one after another.
type client struct {
	relay string
	conn  net.Conn
	r     *bufio.Reader
}

func (c *client) handIn(m rig.Message) (status int) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.relay, 400*time.Millisecond)
		if err != nil {
			return 0
		}
		c.conn, c.r = conn, bufio.NewReader(conn)
	}
	c.conn.SetDeadline(time.Now().Add(400 * time.Millisecond))
	c.conn.Write(m.Request())
	res, err := http.ReadResponse(c.r, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
	}
	if err != nil || res.Close {
		c.conn.Close()
		c.conn = nil
	}
	if err != nil {
		return 0
	}
	return res.StatusCode
}

func main() {
	r := rig.New()
	quick := func(*rig.Call) int { time.Sleep(20 * time.Millisecond); return 200 }
	var all []*rig.Endpoint
	var servers []rig.Server
	for d := 1; d <= 10; d++ {
		kind := "railways" // to which the payments go
		if d > 5 {
			kind = "elevators"
		}
		for k := range 2 {
			e := r.NewEndpoint(fmt.Sprintf("s-%02d-%c", d, 'a'+k), []string{"south-bldg", "north-bldg"}[k], kind, d, quick)
			all, servers = append(all, e), append(servers, e.Server)
		}
	}
	agent := r.NewAgent(servers...)
	listen, admin := r.FreeAddr(), r.FreeAddr()
	r.Start("relay", r.WriteConfig("config.json", r.Config("n1", listen, admin, agent, rig.Settings(1))))
	r.Wait("relay ready", 30*time.Second, func() bool { return rig.Get("http://"+listen+"/_health") == 200 })

	payment := func(i int) rig.Message {
		return rig.Message{Class: "freight-payments", Customer: "prairie-grain-coop", ID: fmt.Sprintf("9b1f03aa5c7e%04x", i),
			Key: fmt.Sprintf("5c0f6e1a2b3d4c59a8b7c6d5e4f3%04x", i), Dest: 1 + i%5, Left: 20 * time.Second, Body: "payment"}
	}
	// Each payment is handed in once and delivered.
	c := &client{relay: listen}
	for i := range payments {
		m := payment(i)
		status := c.handIn(m)
		r.Log("client: %s (%s) handed in, answer %d", m.ID, m.Class, status)
		if status != 200 && status != 202 {
			r.CannotRun("%s was not taken on: %d", m.ID, status)
		}
		time.Sleep(time.Second / 50)
	}
	time.Sleep(500 * time.Millisecond)
	calls := func() map[string][]*rig.Call {
		by := map[string][]*rig.Call{}
		for _, e := range all {
			for _, c := range e.Calls() {
				by[c.ID] = append(by[c.ID], c)
			}
		}
		return by
	}
	by := calls()
	for i := range payments {
		if m := payment(i); len(by[m.ID]) != 1 {
			r.CannotRun("%s was sent %d times before its id came again", m.ID, len(by[m.ID]))
		}
	}
	r.Log("all %d payments are delivered", payments)

	again := func() {
		for i := range payments {
			m := payment(i)
			peer := &client{relay: listen}
			r.Log("peer: id %s handed in again, answer %d", m.ID, peer.handIn(m))
			if peer.conn != nil {
				peer.conn.Close()
			}
			time.Sleep(time.Second / 50)
		}
	}
	if rig.Trouble() {
		again() // soon, as a check of the stand-ins: the relay knows these ids
	}
	time.Sleep(time.Second)
	by = calls()
	for i := range payments {
		if m := payment(i); len(by[m.ID]) != 1 {
			r.Log("%s was sent %d times already", m.ID, len(by[m.ID]))
		}
	}
	// Ordinary traffic.
	answers := map[int]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	began := time.Now()
	for w := range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &client{relay: listen}
			for i := w; i < others; i += workers {
				time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / rate)))
				m := rig.Message{Class: "car-status", Customer: "aspen-pulse", ID: fmt.Sprintf("aa%014x", i),
					Dest: 6 + i%5, Left: 5 * time.Second, Body: "status"}
				status := c.handIn(m)
				r.Log("client: %s (%s) handed in, answer %d", m.ID, m.Class, status)
				mu.Lock()
				answers[status]++
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	r.Log("clients: %d further messages in %.1f s, answers %v", others, time.Since(began).Seconds(), answers)
	if rig.Trouble() {
		again()
	}
	time.Sleep(3 * time.Second)

	// The rule on duplicates: a payment that was delivered is not sent again.
	var broken []string
	by = calls()
	ran := 0
	for i := range others {
		ran += len(by[fmt.Sprintf("aa%014x", i)])
	}
	r.Log("the %d further messages ran %d times", others, ran)
	for i := range payments {
		m := payment(i)
		if sent := by[m.ID]; len(sent) > 1 {
			broken = append(broken, fmt.Sprintf("payment %s (key %s) ran at %s and again %.1f s later at %s", m.ID, m.Key, sent[0].Endpoint.ID,
				sent[len(sent)-1].At.Sub(sent[0].At).Abs().Seconds(), sent[len(sent)-1].Endpoint.ID))
		}
	}
	r.Log("%d of %d payments were sent more than once", len(broken), payments)
	r.End(broken)
}
