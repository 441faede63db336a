package relay

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"onyxroad.dev/onyxroad/internal/clock"
	"onyxroad.dev/onyxroad/internal/wal"
	"onyxroad.dev/onyxroad/policy"
)

// The connection between two processes that hand over, and what they send on it.

// frame is one message on a handoverLink once the new process has the log. Exactly one field is set.
type frame struct {
	Mine  bool              `json:",omitempty"` // new to old: the new process owns the log
	Hand  *forwardedRequest `json:",omitempty"` // old to new
	Leave uint32            `json:",omitempty"` // old to new: the client of this message has left
	// LeaveSeq is the Seq of a forwardedRequest whose client has left before its answer; old to new. Older versions ignore it.
	LeaveSeq uint32            `json:",omitempty"`
	End      *forwardedOutcome `json:",omitempty"` // old to new
	Reply    *forwardedAnswer  `json:",omitempty"` // new to old
}

// forwardedRequest is a message that a client submitted to the old process, or an operator's call there.
type forwardedRequest struct {
	Seq     uint32
	Message *wal.Message `json:",omitempty"`
	Body    []byte       `json:",omitempty"`
	// Left is the time until the message's deadline. 0 comes from an older version, whose deadlines are wall-clock times.
	Left time.Duration `json:",omitempty"`
	exclusionChange
}

// forwardedAnswer is the new process's answer to the forwardedRequest with the same Seq.
type forwardedAnswer struct {
	Seq, ID uint32
	Status  int
	Again   time.Duration
	Text    string
}

// forwardedOutcome is the outcome of an attempt that the old process made.
type forwardedOutcome struct {
	ID      uint32
	N       int
	Cut     bool // timed out for this message; the call goes on for others
	Outcome policy.Outcome
	Gone    bool
	Wait    time.Duration
	Report  policy.Report
	Took    time.Duration
}

// handoverUnavailable answers a request that cannot be forwarded to the new process.
var handoverUnavailable = answer{status: http.StatusServiceUnavailable, retryAfter: policy.MinRetryAfter}

// handoverLink is the connection between the two processes.
type handoverLink struct {
	*net.UnixConn
	dec *json.Decoder

	mu      sync.Mutex // guards writes and the fields below
	enc     *json.Encoder
	pending map[uint32]*submission
	lastSeq uint32
	closed  bool
}

func newHandoverLink(c *net.UnixConn) *handoverLink {
	return &handoverLink{UnixConn: c, dec: json.NewDecoder(c), enc: json.NewEncoder(c), pending: map[uint32]*submission{}}
}

// receiveState reads the state, which the old process sends first. The buffer that it needs is not kept for the frames.
func (l *handoverLink) receiveState() (handoverState, error) {
	decoder := json.NewDecoder(l.UnixConn)
	state, err := readState(decoder)
	if err != nil {
		return handoverState{}, err
	}
	ahead, err := io.ReadAll(decoder.Buffered())
	l.dec = json.NewDecoder(io.MultiReader(bytes.NewReader(ahead), l.UnixConn))
	return state, err
}

// send writes one frame, or the state, to the other process.
func (l *handoverLink) send(v any) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.SetWriteDeadline(clock.Now().Add(frameWriteTimeout))
	return l.enc.Encode(v)
}

// forward sends a request to the new process. readReplies delivers its answer.
func (l *handoverLink) forward(in *submission) {
	l.mu.Lock()
	l.lastSeq++
	seq := l.lastSeq
	if l.closed {
		l.mu.Unlock()
		in.reply <- handoverUnavailable
		return
	}
	l.pending[seq], in.forwardedAs = in, seq
	l.mu.Unlock()
	p := forwardedRequest{Seq: seq, Message: in.m, exclusionChange: in.exclusionChange}
	if in.m != nil {
		p.Body, p.Left = in.m.Body, clock.Until(in.m.Deadline)
	}
	if err := l.send(frame{Hand: &p}); err != nil {
		l.resolve(forwardedAnswer{Seq: seq, Status: handoverUnavailable.status, Again: handoverUnavailable.retryAfter})
	}
}

// forwardLeave tells the new process that the client of a forwarded request has left.
func (l *handoverLink) forwardLeave(in *submission) {
	l.mu.Lock()
	seq := in.forwardedAs
	waits := l.pending[seq] == in
	l.mu.Unlock()
	if waits {
		l.send(frame{LeaveSeq: seq})
	}
}

// forwardedSubmissions are the requests of the old process's clients that wait for their answers.
type forwardedSubmissions struct {
	mu    sync.Mutex
	bySeq map[uint32]*submission
}

func (f *forwardedSubmissions) add(seq uint32, in *submission) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bySeq[seq] = in
}

func (f *forwardedSubmissions) remove(seq uint32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.bySeq, seq)
}

// get returns a request; nil if it has its answer.
func (f *forwardedSubmissions) get(seq uint32) *submission {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bySeq[seq]
}

// resolve answers a forwarded request. Only the first answer to a request counts.
func (l *handoverLink) resolve(a forwardedAnswer) {
	l.mu.Lock()
	in := l.pending[a.Seq]
	delete(l.pending, a.Seq)
	l.mu.Unlock()
	if in != nil {
		if in.m != nil {
			in.m.ID = a.ID
		}
		in.reply <- answer{status: a.Status, retryAfter: a.Again, text: a.Text}
	}
}
