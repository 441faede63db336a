package steward

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

const (
	helloTimeout   = time.Second
	maxHelloBytes  = 1 << 10
	maxPendingConns = 64 // connections that have not said who they are
	acceptQueue  = 16
)

// hello is what two stewards tell each other before anything else, as a line of JSON each.
type hello struct {
	Fleet   string `json:"fleet"`
	Cluster string `json:"cluster"`
	Era     uint64 `json:"era"`
	From    string `json:"from"`
	To      string `json:"to,omitempty"`
	start
	progress
	Error string `json:"error,omitempty"`
}

// streamLayer carries the library's connections. Each begins with a hello either way, so that nobody speaks with a stranger, with a
// steward whose folder was emptied under the same address, or with one whose folder is older than what it has said before:
// raft trusts that stewards forget nothing.
type streamLayer struct {
	net.Listener
	fleet  string
	dialer *net.Dialer
	id     *identity
	log    *slog.Logger
	accepted chan net.Conn
	closed chan struct{}
	once   sync.Once

	mu      sync.Mutex
	pending   map[net.Conn]struct{} // that have not said who they are
	open    map[net.Conn]struct{} // that have, and are the library's now
	refused map[string]string     // the last refusal of each, which is told once
}

func listen(cfg Config, id *identity) (*streamLayer, error) {
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("steward: %w", err)
	}
	s := &streamLayer{Listener: l, fleet: cfg.Fleet, dialer: &net.Dialer{Timeout: helloTimeout}, id: id, log: cfg.Log, accepted: make(chan net.Conn, acceptQueue), closed: make(chan struct{}),
		pending: map[net.Conn]struct{}{}, open: map[net.Conn]struct{}{}, refused: map[string]string{}}
	if ip := net.ParseIP(hostOf(cfg.Listen)); ip != nil && !ip.IsUnspecified() {
		s.dialer.LocalAddr = &net.TCPAddr{IP: ip} // the others know a steward by the address that it listens at
	}
	return s, nil
}

func (s *streamLayer) run() {
	for {
		c, err := s.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // short of descriptors, say
			continue
		}
		s.mu.Lock()
		room := len(s.pending) < maxPendingConns
		if room {
			s.pending[c] = struct{}{}
		}
		s.mu.Unlock()
		if !room {
			c.Close()
			continue
		}
		go s.handshakeIn(c)
	}
}

// handshakeIn takes a connection once its far side has said who it is.
func (s *streamLayer) handshakeIn(c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.pending, c)
		s.mu.Unlock()
	}()
	c.SetDeadline(time.Now().Add(helloTimeout))
	h, err := readHello(c)
	if err == nil && h.To != s.id.ID() {
		err = fmt.Errorf("this is %s", s.id.ID())
	}
	if cluster, _ := s.id.cluster(); err == nil && cluster == "" && h.Fleet == s.fleet && h.Cluster != "" {
		// Whoever knows this folder by its mark has been asked for a place by it, and has given one.
		err = s.id.setCluster(h.Cluster, h.Era)
	}
	if err == nil {
		err = s.check(h)
	}
	mine, e := s.id.hello()
	mine.Fleet = s.fleet
	if err = errors.Join(err, e); err != nil {
		mine.Error = err.Error()
	}
	if e := writeHello(c, mine); err != nil || e != nil || c.SetDeadline(time.Time{}) != nil {
		s.logRefusal(h.From, err)
		c.Close()
		return
	}
	s.mu.Lock()
	s.open[c] = struct{}{}
	s.mu.Unlock()
	select {
	case s.accepted <- peerConn{c, s}:
	case <-s.closed:
		c.Close()
	}
}

// peerConn is a connection that is the library's. The library leaves open ones alone when it ends.
type peerConn struct {
	net.Conn
	stream *streamLayer
}

func (g peerConn) Close() error {
	g.stream.mu.Lock()
	delete(g.stream.open, g.Conn)
	g.stream.mu.Unlock()
	return g.Conn.Close()
}

func (s *streamLayer) check(h hello) error {
	if h.Fleet != s.fleet {
		return fmt.Errorf("it belongs to fleet %q, this one to %q", h.Fleet, s.fleet)
	}
	return s.id.checkPeer(h)
}

// logRefusal writes a line for a refusal, once for each cause.
func (s *streamLayer) logRefusal(who string, err error) {
	if err == nil {
		return
	}
	s.mu.Lock()
	first := s.refused[who] != err.Error() && len(s.refused) < maxPeers
	if first {
		s.refused[who] = err.Error()
	}
	s.mu.Unlock()
	if first {
		s.log.Warn("no part for a steward", "member", who, "err", err)
	}
}

// Accept is raft's.
func (s *streamLayer) Accept() (net.Conn, error) {
	select {
	case c := <-s.accepted:
		return c, nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

// Dial is raft's.
func (s *streamLayer) Dial(to raft.ServerAddress, _ time.Duration) (net.Conn, error) {
	id, addr, _ := splitAddress(to)
	c, err := s.dialer.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	if err := s.handshakeOut(c, id); err != nil {
		c.Close()
		s.logRefusal(id, err)
		return nil, err
	}
	return c, nil
}

func (s *streamLayer) handshakeOut(c net.Conn, to string) error {
	if err := c.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return err
	}
	mine, err := s.id.hello()
	if err != nil {
		return err
	}
	mine.Fleet, mine.To = s.fleet, to
	if err := writeHello(c, mine); err != nil {
		return err
	}
	h, err := readHello(c)
	if err != nil {
		return err
	}
	if h.From != to {
		return fmt.Errorf("at %s is %s, not %s", c.RemoteAddr(), h.From, to)
	}
	if h.Error != "" {
		return fmt.Errorf("%s refuses: %s", to, h.Error)
	}
	if err := s.check(h); err != nil {
		return err
	}
	return c.SetDeadline(time.Time{})
}

// Close is raft's.
func (s *streamLayer) Close() error {
	err := error(nil)
	s.once.Do(func() {
		close(s.closed)
		err = s.Listener.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.pending {
			c.Close()
		}
		for c := range s.open {
			c.Close()
		}
	})
	return err
}

func writeHello(w io.Writer, h hello) error {
	data, err := json.Marshal(h)
	if err != nil {
		return err
	}
	_, err = w.Write(append(data, '\n'))
	return err
}

// readHello reads a line and no byte beyond it: what follows is raft's.
func readHello(r io.Reader) (h hello, err error) {
	in := bufio.NewReaderSize(io.LimitReader(r, maxHelloBytes), maxHelloBytes)
	line, err := in.ReadSlice('\n')
	if err != nil {
		return h, fmt.Errorf("no hello: %w", err)
	}
	if in.Buffered() > 0 {
		return h, errors.New("more than a hello") // nobody speaks on before it has the answer
	}
	if err := json.Unmarshal(line, &h); err != nil {
		return h, fmt.Errorf("no hello: %w", err)
	}
	return h, nil
}

// transport is the library's, which notes how far the others say that they have come.
type transport struct {
	*raft.NetworkTransport
	id *identity
}

// AppendEntriesPipeline is not there: every acknowledgment is to be seen.
func (t transport) AppendEntriesPipeline(raft.ServerID, raft.ServerAddress) (raft.AppendPipeline, error) {
	return nil, raft.ErrPipelineReplicationNotSupported
}

// AppendEntries notes what was acknowledged of what is agreed on: more may rightly be taken back.
func (t transport) AppendEntries(id raft.ServerID, to raft.ServerAddress, in *raft.AppendEntriesRequest, out *raft.AppendEntriesResponse) error {
	err := t.NetworkTransport.AppendEntries(id, to, in, out)
	if err == nil && out.Success {
		last := in.PrevLogEntry
		if n := len(in.Entries); n > 0 {
			last = in.Entries[n-1].Index
		}
		t.id.recordAck(string(id), progress{out.Term, min(last, in.LeaderCommitIndex)})
	}
	return err
}

// RequestVote notes in which term a vote was given.
func (t transport) RequestVote(id raft.ServerID, to raft.ServerAddress, in *raft.RequestVoteRequest, out *raft.RequestVoteResponse) error {
	err := t.NetworkTransport.RequestVote(id, to, in, out)
	if err == nil && out.Granted {
		t.id.recordAck(string(id), progress{Term: out.Term})
	}
	return err
}
