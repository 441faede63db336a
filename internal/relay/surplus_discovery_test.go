package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

const noticeAnswer = "HTTP/1.1 204 No Content\r\n\r\n"

// A copy of the answer to one notice confirmed the next one, though the platform had not taken that.
func TestSurplusBytesConfirmNoNotice(t *testing.T) {
	surplus := map[string][]string{
		"copy": {noticeAnswer}, "copy in pieces": {"HTTP/1.1 20", "4 No Content\r\n\r\n"}, "noise": {"noise"}, "empty line": {"\r\n"},
		"other answer": {errorAnswer},
	}
	for name, pieces := range surplus {
		t.Run(name+", in one write", func(t *testing.T) {
			testSurplusAfterNotice(t, noticeAnswer+pieces[0], pieces[1:])
		})
		t.Run(name+", while the next one waits", func(t *testing.T) {
			testSurplusAfterNotice(t, noticeAnswer, pieces)
		})
	}
}

// testSurplusAfterNotice answers one notice and sends surplus bytes while the next one waits for the connection. The
// platform does not take the second one at first.
func testSurplusAfterNotice(t *testing.T, answer string, pieces []string) {
	first := make(chan net.Conn, 1)
	posts := make(chan int, 16)
	addr, _ := rawHost(t, func(n int, conn net.Conn, _ *http.Request) bool {
		posts <- n
		switch n {
		case 1:
			fmt.Fprint(conn, answer)
			first <- conn
			return true
		case 2:
			return false
		}
		fmt.Fprint(conn, noticeAnswer)
		return true
	})
	confirmed := make(chan []uint32, 16)
	s := newNoticeSender(discardLogger(), newAgent(addr), func(ids []uint32) { confirmed <- ids })
	s.conns.settleTime = testTimeout
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go s.run(ctx)
	s.add(notice{id: 1, ID: "a", Status: "undeliverable"})
	if ids := <-confirmed; len(ids) != 1 || ids[0] != 1 {
		t.Fatalf("confirmed %v", ids)
	}
	conn := <-first
	s.add(notice{id: 2, ID: "b", Status: "undeliverable"})
	eventually(t, "the next notice waits for the connection, or has found it closed", func() bool {
		s.conns.mu.Lock()
		defer s.conns.mu.Unlock()
		return len(s.conns.idle) == 0
	})
	go sendPieces(t, conn, pieces)
	select {
	case <-confirmed:
		if n := len(posts); n < 3 {
			t.Errorf("confirmed after %d requests, of which the platform took the first", n)
		}
	case <-time.After(testTimeout):
		t.Error("the second notice was never confirmed")
	}
}

// The copy comes a millisecond after the answer, when the next notice is already known.
func TestCopyJustAfterNoticeAnswerConfirmsNothing(t *testing.T) {
	for range 10 {
		var taken sync.Map // ids of notices that the platform answered
		addr, _ := rawHost(t, func(n int, conn net.Conn, _ *http.Request) bool {
			if n == 2 {
				time.Sleep(3 * time.Millisecond)
				return false
			}
			taken.Store(uint32(min(n, 2)), true)
			fmt.Fprint(conn, noticeAnswer)
			time.AfterFunc(time.Millisecond, func() { fmt.Fprint(conn, noticeAnswer) })
			return true
		})
		confirmed := make(chan uint32, 16)
		var s *noticeSender
		s = newNoticeSender(discardLogger(), newAgent(addr), func(ids []uint32) {
			for _, id := range ids {
				if _, ok := taken.Load(id); !ok {
					t.Errorf("notice %d is confirmed, and the platform has not taken it", id)
				}
				confirmed <- id
			}
			if ids[0] == 1 {
				s.add(notice{id: 2, ID: "b", Status: "undeliverable"})
			}
		})
		ctx, cancel := context.WithCancel(t.Context())
		s.add(notice{id: 1, ID: "a", Status: "undeliverable"})
		go s.run(ctx)
		<-confirmed
		<-confirmed
		cancel()
	}
}

// A list that came twice was read as the answer to the watch that followed, which ended at once.
func TestSurplusListIsNotTheNextAnswer(t *testing.T) {
	t.Run("in one write", func(t *testing.T) { testSurplusList(t, true) })
	t.Run("just after", func(t *testing.T) { testSurplusList(t, false) })
}

func testSurplusList(t *testing.T, joined bool) {
	const body = `{"version":7,"full":true,"servers":[]}`
	list := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	var mu sync.Mutex
	var requests []string
	addr, _ := rawHost(t, func(_ int, conn net.Conn, req *http.Request) bool {
		mu.Lock()
		requests = append(requests, req.URL.RequestURI())
		mu.Unlock()
		if !strings.Contains(req.URL.RawQuery, "stream") {
			if joined {
				fmt.Fprint(conn, list+list)
				return true
			}
			fmt.Fprint(conn, list)
			time.AfterFunc(time.Millisecond, func() { fmt.Fprint(conn, list) })
			return true
		}
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		line := `{"version":8,"full":false,"servers":[]}` + "\n"
		time.Sleep(5 * time.Millisecond)
		fmt.Fprintf(conn, "%x\r\n%s\r\n", len(line), line)
		<-t.Context().Done()
		return false
	})
	lists := make(chan List, 16)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	w := watcher{
		log: discardLogger(), agent: newAgent(addr), timeout: testTimeout, needFull: true,
		onList: func(l List) { lists <- l }, sleep: sleep, now: time.Now,
	}
	go w.run(ctx)
	for _, want := range []int64{7, 8} {
		if l := <-lists; l.Version != want {
			t.Fatalf("got version %d, want %d", l.Version, want)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if len(requests) != 2 {
		t.Errorf("requests %q", requests)
	}
}

// A second copy of an earlier line of a watch put an endpoint back to its earlier state, and the list to its version.
func TestWatchIgnoresCopiesOfEarlierLines(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		for _, version := range []int{5, 6, 5, 6, 7} {
			fmt.Fprintf(w, `{"version":%d,"full":false,"servers":[]}`+"\n", version)
		}
		io.WriteString(w, "\n")
		w.(http.Flusher).Flush()
		<-req.Context().Done()
	}))
	defer s.Close()
	lists := make(chan List, 16)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	defer func() { cancel(); <-ended }()
	w := watcher{
		log: discardLogger(), agent: newAgent(addrOf(s)), timeout: testTimeout, version: 4,
		onList: func(l List) { lists <- l }, sleep: sleep, now: time.Now,
	}
	go func() { w.run(ctx); close(ended) }()
	last := int64(4)
	for last < 7 {
		l := <-lists
		if l.Version < last {
			t.Errorf("version %d after version %d", l.Version, last)
		}
		last = l.Version
	}
}
