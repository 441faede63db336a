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
	helloTimeout    = time.Second
	maxHelloBytes   = 1 << 10
	maxPendingConns = 64 // connections that have not completed the handshake
	acceptQueue     = 16
)

// hello is the message that two stewards exchange before any other, one line of JSON in each direction. Error states why
// the sender refuses the connection.
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

// streamLayer provides the connections between stewards to raft. Each connection begins with a hello in both directions,
// so that a steward talks neither to strangers, nor to a steward whose folder was emptied under the same address, nor to
// one whose folder is older than what it has announced before: raft relies on stewards not losing state.
type streamLayer struct {
	net.Listener
	fleet    string
	dialer   *net.Dialer
	id       *identity
	log      *slog.Logger
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once

	mu      sync.Mutex
	pending map[net.Conn]struct{} // before the handshake
	open    map[net.Conn]struct{} // after the handshake, used by raft
	refused map[string]string     // last refusal of each steward, to log each cause once
}

func listen(cfg Config, id *identity) (*streamLayer, error) {
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("steward: %w", err)
	}
	s := &streamLayer{Listener: l, fleet: cfg.Fleet, dialer: &net.Dialer{Timeout: helloTimeout}, id: id, log: cfg.Log, accepted: make(chan net.Conn, acceptQueue), closed: make(chan struct{}),
		pending: map[net.Conn]struct{}{}, open: map[net.Conn]struct{}{}, refused: map[string]string{}}
	if ip := net.ParseIP(hostOf(cfg.Listen)); ip != nil && !ip.IsUnspecified() {
		s.dialer.LocalAddr = &net.TCPAddr{IP: ip} // originate connections from the listen address
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
			time.Sleep(10 * time.Millisecond) // for example, out of file descriptors
			continue
		}
		s.mu.Lock()
		ok := len(s.pending) < maxPendingConns
		if ok {
			s.pending[c] = struct{}{}
		}
		s.mu.Unlock()
		if !ok {
			c.Close()
			continue
		}
		go s.handshakeIn(c)
	}
}

// handshakeIn accepts a connection if the hello of its peer is valid.
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
		// A peer that knows the id of this folder has been asked to add it and has done so.
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

// peerConn is a connection used by raft. It is tracked because the library does not close open connections when it shuts
// down.
type peerConn struct {
	net.Conn
	stream *streamLayer
}

func (c peerConn) Close() error {
	c.stream.mu.Lock()
	delete(c.stream.open, c.Conn)
	c.stream.mu.Unlock()
	return c.Conn.Close()
}

func (s *streamLayer) check(h hello) error {
	if h.Fleet != s.fleet {
		return fmt.Errorf("it belongs to fleet %q, this one to %q", h.Fleet, s.fleet)
	}
	return s.id.checkPeer(h)
}

// logRefusal logs a refusal, once per cause.
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

// Accept implements raft.StreamLayer.
func (s *streamLayer) Accept() (net.Conn, error) {
	select {
	case c := <-s.accepted:
		return c, nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

// Dial implements raft.StreamLayer.
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
		return fmt.Errorf("the steward at %s is %s, not %s", c.RemoteAddr(), h.From, to)
	}
	if h.Error != "" {
		return fmt.Errorf("%s refuses: %s", to, h.Error)
	}
	if err := s.check(h); err != nil {
		return err
	}
	return c.SetDeadline(time.Time{})
}

// Close implements raft.StreamLayer.
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

// readHello reads one line and no byte beyond it: the bytes that follow belong to raft.
func readHello(r io.Reader) (h hello, err error) {
	in := bufio.NewReaderSize(io.LimitReader(r, maxHelloBytes), maxHelloBytes)
	line, err := in.ReadSlice('\n')
	if err != nil {
		return h, fmt.Errorf("no hello: %w", err)
	}
	if in.Buffered() > 0 {
		return h, errors.New("more than a hello") // a peer waits for the answer before it sends more
	}
	if err := json.Unmarshal(line, &h); err != nil {
		return h, fmt.Errorf("no hello: %w", err)
	}
	return h, nil
}

// transport is the library's transport. It records the progress that other stewards acknowledge.
type transport struct {
	*raft.NetworkTransport
	id *identity
}

// AppendEntriesPipeline disables pipelining, so that AppendEntries sees every acknowledgment.
func (t transport) AppendEntriesPipeline(raft.ServerID, raft.ServerAddress) (raft.AppendPipeline, error) {
	return nil, raft.ErrPipelineReplicationNotSupported
}

// AppendEntries records the acknowledged entries that are committed; later ones may legitimately be truncated.
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

// RequestVote records the term of a granted vote.
func (t transport) RequestVote(id raft.ServerID, to raft.ServerAddress, in *raft.RequestVoteRequest, out *raft.RequestVoteResponse) error {
	err := t.NetworkTransport.RequestVote(id, to, in, out)
	if err == nil && out.Granted {
		t.id.recordAck(string(id), progress{Term: out.Term})
	}
	return err
}
