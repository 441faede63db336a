// Package call is the protocol between stewards and their clients, relays and tools: HTTP/1.1 with JSON bodies, and a
// client that finds the leader.
//
// Every steward answers. One that does not lead answers 421 with the leader's address, or 503 if there is no leader. The
// other errors are 400 for an invalid request, 409 for one that conflicts with the present state, 413 for one that is
// too long, 429 for too many requests, and 504 if the outcome is unknown: a claim is then repeated with the same id and
// remains the same claim.
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

// The paths of the calls.
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
	HeaderRequest = "Steward-Request" // number of a request, repeated in its answer

	// Limits of a request.
	MaxBodyBytes = 64 << 10
	MaxWishes    = 128
	MaxWait      = 20 * time.Second
)

// Wish is a duty that a process wants to hold.
type Wish struct {
	Duty    string `json:"duty"`
	ID      string `json:"id"` // id of the claim: repeating it does not make another claim
	LeaseMS int64  `json:"lease_ms"`
}

// ClaimIn asks for duties and waits until the first is granted.
type ClaimIn struct {
	Holder string `json:"holder"`
	Addr   string `json:"addr,omitempty"` // address of the holder
	Wishes []Wish `json:"wishes"`
	WaitMS int64  `json:"wait_ms"`
}

// Granted is the outcome of a wish.
type Granted struct {
	Duty    string `json:"duty"`
	ID      string `json:"id"`
	Epoch   uint64 `json:"epoch,omitempty"`
	Refused string `json:"refused,omitempty"`
}

// ClaimOut lists the wishes that were granted or refused; none if the waiting time ended first.
type ClaimOut struct {
	Granted []Granted `json:"granted"`
}

// Held is a duty that a process holds.
type Held struct {
	Duty  string `json:"duty"`
	Epoch uint64 `json:"epoch"`
	OK    bool   `json:"ok,omitempty"`    // the lease is extended
	Asked bool   `json:"asked,omitempty"` // the holder is to step down
}

// RenewIn extends leases.
type RenewIn struct {
	Holder string `json:"holder"`
	Held   []Held `json:"held"`
}

// RenewOut is the outcome of a RenewIn.
type RenewOut struct {
	Held []Held `json:"held"`
}

// ReleaseIn releases a duty.
type ReleaseIn struct {
	Holder string `json:"holder"`
	Duty   string `json:"duty"`
	Epoch  uint64 `json:"epoch"`
	To     string `json:"to,omitempty"` // holder that gets the duty next
}

// WatchIn waits until the holder is asked to step down from one of its duties.
type WatchIn struct {
	Holder string `json:"holder"`
	WaitMS int64  `json:"wait_ms"`
}

// StepDownIn asks the holder of a duty to step down.
type StepDownIn struct {
	Duty  string `json:"duty"`
	To    string `json:"to,omitempty"`
	BarMS int64  `json:"bar_ms"`
}

// Empty is an answer without content.
type Empty struct{}

// Duty is the state of a duty at the leader.
type Duty struct {
	duty.Grant
	Left    time.Duration // remaining time of the lease; 0 without a holder
	Asked   bool          // the holder has been asked to step down
	Waiting int           // number of processes waiting for it
}

// DutiesOut lists all duties.
type DutiesOut struct {
	Last   uint64
	Duties []Duty
}

// Steward describes a steward.
type Steward struct {
	ID, Listen, API string
	Voter, Leader   bool
}

// StewardsOut lists the stewards as one of them knows them.
type StewardsOut struct {
	Cluster  string
	Era      uint64
	Term     uint64
	Applied  uint64 // index of the last applied log entry
	Self     string
	Stewards []Steward
}

// JoinIn asks to add a steward.
type JoinIn struct {
	ID     string `json:"id"`
	Listen string `json:"listen"`
	API    string `json:"api"`
	Fleet  string `json:"fleet"`
}

// JoinOut identifies the cluster that the new steward belongs to.
type JoinOut struct {
	Cluster string
	Era     uint64
}

// RemoveIn removes a steward.
type RemoveIn struct {
	ID string `json:"id"`
}

// Failure is the body of an error response.
type Failure struct {
	Error  string `json:"error"`
	Leader string `json:"leader,omitempty"`
}

// Refusal is an error response that retrying would not change.
type Refusal struct {
	Status int
	Text   string
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("refused by the stewards: %s (%d)", r.Text, r.Status)
}

const (
	requestTimeout = time.Second // for an answer, in addition to the requested waiting time
	minPause       = 20 * time.Millisecond
	maxPause       = 500 * time.Millisecond
	maxAnswerBytes = 1 << 20
)

// Client sends calls to the leader of the stewards. Its methods may be called from any goroutine.
type Client struct {
	stewards []string // addresses of their APIs
	http     *http.Client
	bytes    atomic.Int64

	mu     sync.Mutex
	leader string // empty: unknown
	era    uint64 // highest era seen: answers of an earlier era come from stewards of an abandoned cluster
}

// NewClient returns a client of the stewards with these API addresses. If local is not nil, connections originate from
// it.
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

// countingConn counts the bytes of a connection.
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

// Bytes returns the traffic of this client so far, in both directions.
func (c *Client) Bytes() int64 { return c.bytes.Load() }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do sends a call to the leader and retries until it has an answer or ctx ends. wait is how long the steward may wait
// before it answers. A Refusal counts as an answer.
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
		case <-time.After(pause/2 + rand.N(pause)): // jitter, so that the fleet does not retry in step after a leader loss
		}
	}
}

// LeaderAnswers reports whether the last known leader still answers that it leads.
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

// candidates returns the stewards in the order to try: the last known leader, then the others in random order.
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

// doWithRedirect sends a call to one steward, and to the leader that it names.
func (c *Client) doWithRedirect(ctx context.Context, addr, path string, in, out any, wait time.Duration) error {
	c.updateLeader("", addr) // a steward that holds the call usually leads, and LeaderAnswers needs its address
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

// updateLeader replaces the known leader from by to, unless it has been changed concurrently.
func (c *Client) updateLeader(from, to string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == from {
		c.leader = to
	}
}

// DoAt sends a call to one steward only. If that does not lead, it returns an error, and the address of the leader if
// known.
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
	number := strconv.FormatUint(rand.Uint64(), 16)
	req.Header.Set(HeaderRequest, number)
	res, err := c.http.Do(req)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return "", err
	}
	if answered := res.Header.Get(HeaderRequest); answered != "" && answered != number { // stewards of earlier versions do not repeat it
		c.http.CloseIdleConnections()
		return "", fmt.Errorf("%s: the answer belongs to another request", addr)
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
	json.Unmarshal(data, &f) // an invalid body is reported by its status
	switch res.StatusCode {
	case http.StatusMisdirectedRequest, http.StatusServiceUnavailable, http.StatusGatewayTimeout, http.StatusTooManyRequests,
		http.StatusInternalServerError:
		return f.Leader, fmt.Errorf("%s: %s (%d)", addr, f.Error, res.StatusCode)
	}
	return "", &Refusal{res.StatusCode, f.Error}
}

// checkEra rejects answers of stewards of an abandoned cluster.
func (c *Client) checkEra(addr, text string) error {
	era, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return fmt.Errorf("%s is not a steward", addr)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if era < c.era {
		return fmt.Errorf("%s belongs to era %d of the stewards, which era %d has superseded", addr, era, c.era)
	}
	c.era = era
	return nil
}
