// Package call is how relays and tools speak with stewards: HTTP/1.1 with bodies in JSON, and a client that finds the leader.
//
// Any steward answers. One that does not lead answers 421 with the leader's address, or 503 while there is none. 400 is a request
// that makes no sense, 409 one that comes too late, 413 one that is too long, 429 one too many; 504 one whose effect is not known:
// a claim is repeated with its id then, and is the same claim.
package call

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"onyxroad.dev/onyxroad/internal/duty"
)

// The calls.
const (
	PathClaim    = "/v1/claim"
	PathRenew    = "/v1/renew"
	PathRelease  = "/v1/release"
	PathWatch    = "/v1/watch"
	PathStepDown = "/v1/step-down"
	PathDuties   = "/v1/duties"
	PathStewards = "/v1/stewards"
	PathJoin     = "/v1/stewards/join"
	PathRemove   = "/v1/stewards/remove"
	PathBegin    = "/v1/stewards/begin"
	PathLeads    = "/v1/leads"

	HeaderCluster = "Steward-Cluster"
	HeaderEra     = "Steward-Era"

	// The bounds of a request.
	MaxBodyBytes   = 64 << 10
	MaxWishes = 128
	MaxWait   = 20 * time.Second
)

// Wish is a duty that a process wants to hold.
type Wish struct {
	Duty    string `json:"duty"`
	ID      string `json:"id"` // the claim's: a repeat of it is the same claim
	LeaseMS int64  `json:"lease_ms"`
}

// ClaimIn asks for duties, and waits for the first that is granted.
type ClaimIn struct {
	Holder string `json:"holder"`
	Addr   string `json:"addr,omitempty"` // where it answers others
	Wishes []Wish `json:"wishes"`
	WaitMS int64  `json:"wait_ms"`
}

// Granted is what became of a wish.
type Granted struct {
	Duty    string `json:"duty"`
	ID      string `json:"id"`
	Epoch   uint64 `json:"epoch,omitempty"`
	Refused string `json:"refused,omitempty"`
}

// ClaimOut are the wishes of which something has become; none if the time was over first.
type ClaimOut struct {
	Granted []Granted `json:"granted"`
}

// Held is a duty that a process holds.
type Held struct {
	Duty  string `json:"duty"`
	Epoch uint64 `json:"epoch"`
	OK    bool   `json:"ok,omitempty"`    // its lease begins anew
	Asked bool   `json:"asked,omitempty"` // its holder is to step down
}

// RenewIn extends leases.
type RenewIn struct {
	Holder string `json:"holder"`
	Held   []Held `json:"held"`
}

// RenewOut tells which.
type RenewOut struct {
	Held []Held `json:"held"`
}

// ReleaseIn gives a duty up.
type ReleaseIn struct {
	Holder string `json:"holder"`
	Duty   string `json:"duty"`
	Epoch  uint64 `json:"epoch"`
	To     string `json:"to,omitempty"` // who is to have it next
}

// WatchIn waits until the holder is asked to step down from one of its duties.
type WatchIn struct {
	Holder string `json:"holder"`
	WaitMS int64  `json:"wait_ms"`
}

// StepDownIn has a duty's holder step down.
type StepDownIn struct {
	Duty  string `json:"duty"`
	To    string `json:"to,omitempty"`
	BarMS int64  `json:"bar_ms"`
}

// Empty is an answer with nothing in it.
type Empty struct{}

// Duty is a duty as the leader knows it.
type Duty struct {
	duty.Grant
	Left    time.Duration // of the lease; 0 where nobody holds it
	Asked   bool          // its holder is asked to step down
	Waiting int           // processes that wait for it
}

// DutiesOut is all of them.
type DutiesOut struct {
	Last   uint64
	Duties []Duty
}

// Steward is one of the stewards.
type Steward struct {
	ID, Listen, API string
	Voter, Leader   bool
}

// StewardsOut is the stewards as one of them knows them.
type StewardsOut struct {
	Cluster  string
	Era      uint64
	Term     uint64
	Applied  uint64 // entries of the log
	Self     string
	Stewards []Steward
}

// JoinIn asks to be one of the stewards.
type JoinIn struct {
	ID     string `json:"id"`
	Listen string `json:"listen"`
	API    string `json:"api"`
	Fleet  string `json:"fleet"`
}

// JoinOut is what the new one belongs to.
type JoinOut struct {
	Cluster string
	Era     uint64
}

// RemoveIn removes a steward.
type RemoveIn struct {
	ID string `json:"id"`
}

// Failure is what stands in an answer that is no.
type Failure struct {
	Error  string `json:"error"`
	Leader string `json:"leader,omitempty"`
}

// Refusal is a no of the stewards, which asking again does not change.
type Refusal struct {
	Status int
	Text   string
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("the stewards refuse: %s (%d)", r.Text, r.Status)
}

const (
	requestTimeout    = time.Second // for an answer, beyond what is to wait
	minPause  = 20 * time.Millisecond
	maxPause = 500 * time.Millisecond
	maxAnswerBytes = 1 << 20
)

// Client speaks with the stewards, whichever of them leads. Its methods may be called from any goroutine.
type Client struct {
	stewards []string // addresses of their APIs
	http     *http.Client
	bytes    atomic.Int64

	mu     sync.Mutex
	leader string // empty: not known
	era    uint64 // highest that was seen: answers of an earlier one are those of stewards that were given up
}

// NewClient returns a client of the stewards with these addresses. local, if given, is the address that its connections come from.
func NewClient(stewards []string, local net.IP) *Client {
	d := &net.Dialer{Timeout: requestTimeout}
	if local != nil {
		d.LocalAddr = &net.TCPAddr{IP: local}
	}
	c := &Client{stewards: slices.Clone(stewards)}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return countingConn{conn, &c.bytes}, nil
	}
	c.http = &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second}}
	return c
}

// countingConn is a connection whose bytes count.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Bytes is what this client's calls have cost the network so far, both ways.
func (c *Client) Bytes() int64 { return c.bytes.Load() }

// Close ends idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do makes a call, of whichever steward leads, until it has an answer or ctx ends. wait is how long a steward may take over it.
// A Refusal is an answer.
func (c *Client) Do(ctx context.Context, path string, in, out any, wait time.Duration) error {
	var last error
	for pause := minPause; ; pause = min(2*pause, maxPause) {
		for _, addr := range c.candidates() {
			err := c.doWithRedirect(ctx, addr, path, in, out, wait)
			var refusal *Refusal
			if err == nil || errors.As(err, &refusal) {
				return err
			}
			if last = err; ctx.Err() != nil {
				return fmt.Errorf("stewards: %s: %w", path, last)
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("stewards: %s: %w", path, last)
		case <-time.After(pause/2 + rand.N(pause)): // so that a fleet that lost its leader does not ask as one
		}
	}
}

// LeaderAnswers tells whether the steward that led last still answers that it does.
func (c *Client) LeaderAnswers(ctx context.Context) bool {
	c.mu.Lock()
	addr := c.leader
	c.mu.Unlock()
	if addr == "" {
		return false
	}
	_, err := c.DoAt(ctx, addr, PathLeads, nil, &Empty{}, 0)
	if err != nil {
		c.updateLeader(addr, "")
	}
	return err == nil
}

// candidates is the stewards in the candidates to try: the leader as it was last known, then the others, from any on.
func (c *Client) candidates() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := slices.Clone(c.stewards)
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	if c.leader != "" {
		all = append([]string{c.leader}, slices.DeleteFunc(all, func(a string) bool { return a == c.leader })...)
	}
	return all
}

// doWithRedirect asks one steward, and the leader that it names.
func (c *Client) doWithRedirect(ctx context.Context, addr, path string, in, out any, wait time.Duration) error {
	c.updateLeader("", addr) // whoever keeps a request waiting leads
	leader, err := c.DoAt(ctx, addr, path, in, out, wait)
	if leader != "" && leader != addr {
		c.updateLeader(addr, leader)
		addr = leader
		_, err = c.DoAt(ctx, addr, path, in, out, wait)
	}
	var refusal *Refusal
	if err != nil && !errors.As(err, &refusal) {
		c.updateLeader(addr, "")
	}
	return err
}

// updateLeader notes who leads, unless that has been found out to be another than it was meanwhile.
func (c *Client) updateLeader(was, is string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == was {
		c.leader = is
	}
}

// DoAt asks one steward alone. Where it does not lead, it returns the leader's address, if that is known, and an error.
func (c *Client) DoAt(ctx context.Context, addr, path string, in, out any, wait time.Duration) (leader string, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+requestTimeout)
	defer cancel()
	method, body := http.MethodGet, io.Reader(nil)
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return "", err
		}
		method, body = http.MethodPost, bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, body)
	if err != nil {
		return "", err
	}
	res, err := c.http.Do(req)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return "", err
	}
	if err := c.checkEra(addr, res.Header.Get(HeaderEra)); err != nil {
		return "", err
	}
	if res.StatusCode == http.StatusOK {
		if err := json.Unmarshal(data, out); err != nil {
			return "", fmt.Errorf("%s: %w", addr, err)
		}
		return "", nil
	}
	var f Failure
	json.Unmarshal(data, &f) // an answer that is none is an error as well
	switch res.StatusCode {
	case http.StatusMisdirectedRequest, http.StatusServiceUnavailable, http.StatusGatewayTimeout, http.StatusTooManyRequests,
		http.StatusInternalServerError:
		return f.Leader, fmt.Errorf("%s: %s (%d)", addr, f.Error, res.StatusCode)
	}
	return "", &Refusal{res.StatusCode, f.Error}
}

// checkEra turns away answers of stewards that have been given up.
func (c *Client) checkEra(addr, text string) error {
	era, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return fmt.Errorf("%s is no steward", addr)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if era < c.era {
		return fmt.Errorf("%s belongs to era %d of the stewards, which ended with era %d", addr, era, c.era)
	}
	c.era = era
	return nil
}
