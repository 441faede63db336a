package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// moved: a relay with a backlog is replaced again and again while one partner after another is shut, so that messages for it move to the
// disk. Some of the new processes are killed before they have said yes; the old one goes on serving. Whatever was taken on must have its end.
//
// With TROUBLE=0 no process is killed.

func init() { cases["moved"] = caseMoved }

const (
	movedPartners = 4   // each gets a quarter of the traffic
	movedRate     = 100 // messages a second, as in the operators' report sev881
	movedOutage   = 16 * time.Second
	movedClients  = 10
)

// moved is the state of the play.
type movedPlay struct {
	rig  *rig
	base *relay
	dir  string // of the backlog

	mu        sync.Mutex
	shut      string               // the endpoint that is shut
	delivered map[string]time.Time // by id
	taken     []movedMessage
	down      []time.Time // begin and end of each time without a process that serves, in turns
}

type movedMessage struct {
	message
	sent time.Time
}

func caseMoved(r *rig) {
	p := &movedPlay{rig: r, delivered: map[string]time.Time{}}
	var servers []object
	for i := range movedPartners {
		servers = append(servers, r.startEndpoint(fmt.Sprintf("s-%d", i), i, "short-lines", "north-bldg", p.answer).listing())
	}
	a := r.startAgent(servers)
	p.base = r.newRelay("n1", usual(), a, servers, "[state]\n[backlog]\ndir = \"DIR/backlog\"\ndisk_mb = 200\nwindow = 64\n")
	p.dir = filepath.Join(r.temp, "n1", "own", "backlog")
	serving := p.base.launch()
	for i := range movedPartners {
		serving = p.outage(serving, i)
		p.judge(a, i)
		if len(r.broken) > 0 || time.Since(r.began) > 85*time.Second {
			break
		}
	}
}

func (p *movedPlay) answer(c *call) string {
	p.mu.Lock()
	shut := p.shut == c.endpoint
	p.mu.Unlock()
	if shut {
		return refusal(503, "")
	}
	time.Sleep(150 * time.Millisecond)
	p.mu.Lock()
	for _, it := range c.items {
		if _, known := p.delivered[it.ID]; !known {
			p.delivered[it.ID] = time.Now()
		}
	}
	p.mu.Unlock()
	return delivered(c)
}

// outage has one partner shut while the process is replaced again and again.
func (p *movedPlay) outage(serving *relay, partner int) *relay {
	r := p.rig
	p.mu.Lock()
	p.shut = fmt.Sprintf("s-%d", partner)
	p.mu.Unlock()
	r.logf("partner %d is shut", partner)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range movedClients {
		clients.Go(func() { p.client(fmt.Sprintf("%d%02d", partner, i), stop) })
	}
	end := time.Now().Add(movedOutage)
	time.Sleep(time.Second)
	for time.Now().Before(end) {
		serving = p.replace(serving)
		time.Sleep(50 * time.Millisecond)
	}
	p.mu.Lock()
	p.shut = ""
	p.mu.Unlock()
	r.logf("partner %d is back", partner)
	close(stop)
	clients.Wait()
	return serving
}

// client hands in messages for all partners in turns, on a connection that it keeps.
func (p *movedPlay) client(name string, stop chan struct{}) {
	var c *clientConn
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.Int64N(2 * int64(time.Second) * movedClients / movedRate))):
		}
		if c == nil {
			var err error
			if c, err = dial(p.base.listen); err != nil {
				c = nil
				continue
			}
		}
		m := message{id: fmt.Sprintf("9b1f03%s%05d", name, n), class: "car-status", customer: "aspen-pulse", dest: rand.IntN(movedPartners), expiresMS: 5000}
		m.body = []byte("status " + m.id)
		sent := time.Now()
		status, closes, err := c.handIn(m)
		if status == 202 {
			p.mu.Lock()
			p.taken = append(p.taken, movedMessage{m, sent})
			p.mu.Unlock()
		}
		p.rig.logf("client: %q dest %d: %d %v", m.id, m.dest, status, errText(err))
		if closes || err != nil {
			c.Close()
			c = nil
		}
	}
}

// replace starts a second process beside the one that serves, and returns the one that serves afterwards. With trouble the new process is
// killed as soon as it has written to the backlog's newest log.
func (p *movedPlay) replace(old *relay) *relay {
	r := p.rig
	before := p.newestLog()
	next := p.base.start(r.freeAddr())
	ready := make(chan bool, 1)
	go func() { ready <- next.awaitReady(6 * time.Second) }()
	for {
		select {
		case ok := <-ready:
			if !ok {
				r.cannotRun(fmt.Errorf("the new process is not ready:\n%s", r.tail("n1")))
			}
			old.signal(syscall.SIGTERM)
			<-old.exited
			return next
		default:
		}
		if !r.trouble {
			time.Sleep(time.Millisecond)
			continue
		}
		if name := p.newestLog(); name != before {
			if info, err := os.Stat(name); err == nil && info.Size() > 0 {
				break
			}
		}
	}
	killed := time.Now()
	next.signal(syscall.SIGKILL)
	<-next.exited
	if old.running() && old.awaitReady(300*time.Millisecond) {
		return old
	}
	r.logf("the kill came behind the hand-over: both processes end, and the relay starts again")
	old.kill()
	time.Sleep(600 * time.Millisecond)
	next = p.base.launch()
	p.mu.Lock()
	p.down = append(p.down, killed, time.Now())
	p.mu.Unlock()
	return next
}

// newestLog is the newest log of the backlog's store.
func (p *movedPlay) newestLog() (newest string) {
	names, _ := filepath.Glob(filepath.Join(p.dir, "*.log"))
	for _, name := range names {
		if len(name) > len(newest) || len(name) == len(newest) && strings.Compare(name, newest) > 0 {
			newest = name
		}
	}
	return newest
}

// judge waits until the time of all messages is up, and looks for those without an end.
func (p *movedPlay) judge(a *agent, partner int) {
	time.Sleep(5*time.Second + 400*time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	lost := 0
	for _, m := range p.taken {
		if _, ok := p.delivered[m.id]; ok || len(a.ended(m.id)) > 0 {
			continue
		}
		due := m.sent.Add(time.Duration(m.expiresMS) * time.Millisecond)
		excused := false
		for i := 0; i+1 < len(p.down); i += 2 {
			excused = excused || due.After(p.down[i].Add(-time.Second)) && time.Now().Before(p.down[i+1].Add(1600*time.Millisecond))
		}
		if !excused {
			lost++
			p.rig.breaks("%s, handed in at %.3f and answered 202, is neither delivered nor ended by a notice %.1f s after its time was up", m.id,
				m.sent.Sub(p.rig.began).Seconds(), time.Since(due).Seconds())
		}
	}
	p.rig.logf("after partner %d: %d taken on, %d without an end", partner, len(p.taken), lost)
}
