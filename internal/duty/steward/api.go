package steward

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"strings"
	"time"

	"golang.org/x/net/netutil"

	"onyxroad.dev/onyxroad/internal/duty"
	"onyxroad.dev/onyxroad/internal/duty/call"
)

const (
	maxConns           = 2048
	headerTimeout      = 2 * time.Second // for a request's header
	readTimeout        = 3 * time.Second // for a whole request
	idleTimeout        = time.Minute
	maxHeaderBytes     = 4 << 10
	leaderWait         = 700 * time.Millisecond // how long a request waits for a leader; shorter than the client's timeout
	leaderPollInterval = 10 * time.Millisecond
	writeSlack         = 5 * time.Second // added to the longest requested waiting time
)

// Serve answers relays, tools and operators on l until ctx ends.
func (s *Steward) Serve(ctx context.Context, l net.Listener) error {
	server := &http.Server{Handler: s.handler(), ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		WriteTimeout: call.MaxWait + writeSlack, BaseContext: func(net.Listener) context.Context { return ctx }}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(netutil.LimitListener(l, maxConns)); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("steward: %w", err)
	}
	return nil
}

func (s *Steward) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST "+call.PathClaim, handle(s, s.handleClaim))
	m.HandleFunc("POST "+call.PathRenew, handle(s, s.handleRenew))
	m.HandleFunc("POST "+call.PathRelease, handle(s, s.handleRelease))
	m.HandleFunc("POST "+call.PathWatch, handle(s, s.handleWatch))
	m.HandleFunc("POST "+call.PathStepDown, handle(s, s.handleStepDown))
	m.HandleFunc("POST "+call.PathJoin, handle(s, s.handleJoin))
	m.HandleFunc("POST "+call.PathRemove, handle(s, s.handleRemove))
	m.HandleFunc("POST "+call.PathBegin, handle(s, s.handleBegin))
	m.HandleFunc("GET "+call.PathLeads, handle(s, s.handleLeads))
	m.HandleFunc("GET "+call.PathDuties, handle(s, s.handleDuties))
	m.HandleFunc("GET "+call.PathStewards, handle(s, s.handleStewards))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if path.Clean(r.URL.Path) != r.URL.Path { // the mux would redirect the caller
			http.NotFound(w, r)
			return
		}
		m.ServeHTTP(w, r)
	})
}

// statusError is an error with an HTTP status of its own.
type statusError struct {
	status int
	err    error
}

func (r statusError) Error() string { return r.err.Error() }

func badRequest(format string, args ...any) error {
	return statusError{http.StatusBadRequest, fmt.Errorf(format, args...)}
}

// handle decodes a request strictly, calls f and encodes its answer.
func handle[In, Out any](s *Steward, f func(context.Context, In) (Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in In
		var out Out
		err := error(nil)
		if r.Method == http.MethodPost {
			err = readBody(w, r, &in)
		}
		// While there is no leader, or this steward has only just been elected, wait here instead of making the caller retry.
		for deadline := time.Now().Add(leaderWait); err == nil; {
			if out, err = f(r.Context(), in); !errors.Is(err, ErrNotLeader) || time.Now().After(deadline) {
				break
			}
			if api := s.leaderAPI(); api != "" && api != s.cfg.AdvertiseAPI {
				break
			}
			select {
			case <-r.Context().Done():
			case <-time.After(leaderPollInterval):
				err = nil
			}
		}
		w.Header().Set("Content-Type", "application/json")
		cluster, era := s.id.cluster()
		w.Header().Set(call.HeaderCluster, cluster)
		w.Header().Set(call.HeaderEra, fmt.Sprint(era))
		if number := r.Header.Get(call.HeaderRequest); number != "" {
			w.Header().Set(call.HeaderRequest, number)
		}
		if err == nil {
			json.NewEncoder(w).Encode(out)
			return
		}
		failure := call.Failure{Error: err.Error()}
		status := http.StatusInternalServerError
		var statusErr statusError
		switch {
		case errors.As(err, &statusErr):
			status = statusErr.status
		case errors.Is(err, ErrNotLeader):
			status = http.StatusMisdirectedRequest
			if failure.Leader = s.leaderAPI(); failure.Leader == s.cfg.AdvertiseAPI {
				failure.Leader = "" // this steward has been elected, but does not lead yet
			}
			if failure.Leader == "" {
				status = http.StatusServiceUnavailable
			}
		case errors.Is(err, errTooManyWaiting):
			status = http.StatusTooManyRequests
		case errors.Is(err, errOutcomeUnknown):
			status = http.StatusGatewayTimeout
		case errors.Is(err, errNotHeld), errors.Is(err, errNoHolder), errors.Is(err, duty.ErrConflict), errors.Is(err, duty.ErrStaleTerm):
			status = http.StatusConflict
		}
		w.WriteHeader(status)
		json.NewEncoder(w).Encode(failure)
	}
}

// leaderAPI returns the API address of the leader, if known.
func (s *Steward) leaderAPI() string {
	_, leader := s.raft.LeaderWithID() // the address returned here is that of a connection
	all, err := s.servers()
	if err != nil {
		return ""
	}
	for _, x := range all {
		if x.ID == leader {
			_, _, api := splitAddress(x.Address)
			return api
		}
	}
	return ""
}

func readBody(w http.ResponseWriter, r *http.Request, into any) error {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, call.MaxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return statusError{http.StatusRequestEntityTooLarge, err}
		}
		return badRequest("can't be read: %v", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return badRequest("more than one value")
	}
	return nil
}

func checkNames(names ...string) error {
	for _, n := range names {
		if err := duty.CheckName(n); err != nil {
			return badRequest("%v", err)
		}
	}
	return nil
}

func parseWait(ms int64) (time.Duration, error) {
	d := time.Duration(ms) * time.Millisecond
	if ms < 0 || ms > call.MaxWait.Milliseconds() {
		return 0, badRequest("wait_ms: 0 to %d", call.MaxWait.Milliseconds())
	}
	return d, nil
}

func (s *Steward) handleClaim(ctx context.Context, in call.ClaimIn) (out call.ClaimOut, err error) {
	if err := checkNames(in.Holder); err != nil {
		return out, err
	}
	wait, err := parseWait(in.WaitMS)
	if err != nil {
		return out, err
	}
	if len(in.Wishes) == 0 || len(in.Wishes) > call.MaxWishes || len(in.Addr) > duty.MaxNameBytes {
		return out, badRequest("1 to %d wishes", call.MaxWishes)
	}
	var wishes []duty.Wish
	once := map[string]bool{}
	for _, w := range in.Wishes {
		if err := checkNames(w.Duty, w.ID); err != nil {
			return out, err
		}
		lease := time.Duration(w.LeaseMS) * time.Millisecond
		if w.LeaseMS < duty.MinLease.Milliseconds() || w.LeaseMS > duty.MaxLease.Milliseconds() {
			return out, badRequest("lease_ms: %d to %d", duty.MinLease.Milliseconds(), duty.MaxLease.Milliseconds())
		}
		if once[w.Duty] {
			return out, badRequest("%s is wished for twice", w.Duty)
		}
		once[w.Duty] = true
		wishes = append(wishes, duty.Wish{Duty: w.Duty, Holder: in.Holder, Addr: in.Addr, ID: w.ID, Lease: lease})
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	all, err := s.claim(ctx, wishes)
	for _, result := range all {
		granted := call.Granted{Duty: result.wish.Duty, ID: result.wish.ID, Epoch: result.epoch}
		if result.err != nil {
			granted.Epoch, granted.Refused = 0, result.err.Error()
		}
		out.Granted = append(out.Granted, granted)
	}
	return out, err
}

func (s *Steward) handleRenew(ctx context.Context, in call.RenewIn) (out call.RenewOut, err error) {
	if err := checkNames(in.Holder); err != nil {
		return out, err
	}
	if len(in.Held) > call.MaxWishes {
		return out, badRequest("%d duties at most", call.MaxWishes)
	}
	out.Held, err = s.renew(ctx, in.Holder, in.Held)
	return out, err
}

func (s *Steward) handleRelease(_ context.Context, in call.ReleaseIn) (out call.Empty, err error) {
	if err := checkNames(in.Holder, in.Duty); err != nil {
		return out, err
	}
	if in.To != "" {
		if err := checkNames(in.To); err != nil {
			return out, err
		}
	}
	return out, s.release(in.Holder, in.Duty, in.Epoch, in.To)
}

func (s *Steward) handleWatch(ctx context.Context, in call.WatchIn) (out call.Empty, err error) {
	if err := checkNames(in.Holder); err != nil {
		return out, err
	}
	wait, err := parseWait(in.WaitMS)
	if err != nil {
		return out, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return out, s.watchStepDown(ctx, in.Holder)
}

func (s *Steward) handleStepDown(ctx context.Context, in call.StepDownIn) (out call.Duty, err error) {
	if err := checkNames(in.Duty); err != nil {
		return out, err
	}
	if in.To != "" {
		if err := checkNames(in.To); err != nil {
			return out, err
		}
	}
	bar := time.Duration(in.BarMS) * time.Millisecond
	if in.BarMS < 0 || bar > duty.MaxBar {
		return out, badRequest("bar_ms: 0 to %d", duty.MaxBar.Milliseconds())
	}
	ctx, cancel := context.WithTimeout(ctx, call.MaxWait)
	defer cancel()
	g, err := s.stepDown(ctx, in.Duty, in.To, bar)
	return call.Duty{Grant: g}, err
}

// handleLeads answers whether this steward leads as far as it knows, without a round trip to the others.
func (s *Steward) handleLeads(context.Context, struct{}) (out call.Empty, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.currentLeadership() == nil {
		return out, ErrNotLeader
	}
	return out, nil
}

// handleDuties lists the duties as the leader knows them at a moment after the request.
func (s *Steward) handleDuties(ctx context.Context, _ struct{}) (out call.DutiesOut, err error) {
	if err := s.verify.confirmLeader(ctx); err != nil {
		return out, ErrNotLeader
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.currentLeadership()
	if l == nil {
		return out, ErrNotLeader
	}
	now := time.Now()
	out.Last = s.table.LastEpoch()
	for _, g := range s.table.All() {
		out.Duties = append(out.Duties, call.Duty{Grant: g, Left: l.Remaining(g.Duty, now), Asked: l.StepDownRequested(g.Duty, g.Epoch), Waiting: len(l.waiters[g.Duty])})
	}
	return out, nil
}

// firstLine returns the first line of an error's text.
func firstLine(err error) string { return strings.SplitN(err.Error(), "\n", 2)[0] }
