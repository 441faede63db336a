package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// key: orders are handed in whose idempotency keys hold a byte of ISO 8859-1 above 0x7f, as a key with a place's name does; others have
// plain keys. While the calls are out the relay is killed, and it starts again with its folder. Whatever it sends again must have the key
// that the client gave, or the endpoint does not know the repeat.
//
// With TROUBLE=0 the relay is not killed.

func init() { cases["key"] = caseKey }

func caseKey(r *rig) {
	const orders = 6
	var mu sync.Mutex
	applied := map[string]int{}   // by body: how often it took effect
	known := map[string]bool{}    // keys of the endpoint's building, all of them younger than 7.5 s
	keys := map[string][]string{} // by body: the keys that came with it
	e := r.startEndpoint("s-1", 7, "elevators", "north-bldg", func(c *call) string {
		mu.Lock()
		for _, it := range c.items {
			keys[string(it.Body)] = append(keys[string(it.Body)], it.Key)
			if !known[it.Key] {
				known[it.Key] = true
				applied[string(it.Body)]++
			}
		}
		mu.Unlock()
		time.Sleep(350 * time.Millisecond)
		return delivered(c)
	})
	servers := []object{e.listing()}
	a := r.startAgent(servers)
	base := r.newRelay("n1", usual(), a, servers, "")
	p := base.launch()
	var sent []message
	for i := range orders {
		m := message{id: fmt.Sprintf("9b1f03aa5c7e%04d", i), class: "car-orders", customer: "aspen-pulse", dest: 7, expiresMS: 28000}
		m.key, m.body = fmt.Sprintf("grain-pickup-%d", i), fmt.Appendf(nil, "order %d", i)
		if i%2 == 1 {
			m.key = fmt.Sprintf("St-L\xe9on-%d", i)
		}
		if status := r.submit(p.listen, m); status != 202 {
			r.logf("order %d was not taken on: %d", i, status)
			continue
		}
		sent = append(sent, m)
	}
	if len(sent) == 0 {
		r.logf("no order was taken on")
	}
	if r.trouble {
		time.Sleep(100 * time.Millisecond)
		p.signal(syscall.SIGKILL)
		<-p.exited
		time.Sleep(600 * time.Millisecond)
		p = base.launch()
	}
	time.Sleep(6 * time.Second)
	mu.Lock()
	for _, m := range sent {
		for _, key := range keys[string(m.body)] {
			if key != m.key {
				r.breaks("%s was handed in with the key %q and reached the endpoint with %q", m.body, m.key, key)
			}
		}
		if n := applied[string(m.body)]; n > 1 {
			r.breaks("%s took effect %d times: keys %q", m.body, n, keys[string(m.body)])
		}
	}
	mu.Unlock()
	p.kill()
}
