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
	connsMost  = 2048
	headFor    = 2 * time.Second // a caller has for its request's head
	bodyFor    = 3 * time.Second // and for all of it
	idleFor    = time.Minute
	headMost   = 4 << 10
	electFor   = 700 * time.Millisecond // a caller waits for a leader, under what the client waits for an answer
	electEvery = 10 * time.Millisecond
	answerMost = 5 * time.Second // beyond the time that a caller asks to wait
)

type heldDuty = call.Held

// Serve answers relays, tools and operators at the API's address until ctx ends.
func (s *Steward) Serve(ctx context.Context, l net.Listener) error {
	server := &http.Server{Handler: s.handler(), ReadHeaderTimeout: headFor, ReadTimeout: bodyFor, IdleTimeout: idleFor, MaxHeaderBytes: headMost,
		WriteTimeout: call.WaitMost + answerMost, BaseContext: func(net.Listener) context.Context { return ctx }}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(netutil.LimitListener(l, connsMost)); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("steward: %w", err)
	}
	return nil
}

func (s *Steward) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST "+call.PathClaim, serve(s, s.onClaim))
	m.HandleFunc("POST "+call.PathRenew, serve(s, s.onRenew))
	m.HandleFunc("POST "+call.PathRelease, serve(s, s.onRelease))
	m.HandleFunc("POST "+call.PathWatch, serve(s, s.onWatch))
	m.HandleFunc("POST "+call.PathStepDown, serve(s, s.onStepDown))
	m.HandleFunc("POST "+call.PathJoin, serve(s, s.onJoin))
	m.HandleFunc("POST "+call.PathRemove, serve(s, s.onRemove))
	m.HandleFunc("POST "+call.PathBegin, serve(s, s.onBegin))
	m.HandleFunc("GET "+call.PathLeads, serve(s, s.onLeads))
	m.HandleFunc("GET "+call.PathDuties, serve(s, s.onDuties))
	m.HandleFunc("GET "+call.PathStewards, serve(s, s.onStewards))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if path.Clean(r.URL.Path) != r.URL.Path { // the library would send the caller elsewhere
			http.NotFound(w, r)
			return
		}
		m.ServeHTTP(w, r)
	})
}

// refused is a request that is answered with a status of its own.
type refused struct {
	status int
	err    error
}

func (r refused) Error() string { return r.err.Error() }

func bad(format string, args ...any) error {
	return refused{http.StatusBadRequest, fmt.Errorf(format, args...)}
}

// serve reads a request strictly, and writes its answer.
func serve[In, Out any](s *Steward, f func(context.Context, In) (Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in In
		var out Out
		err := error(nil)
		if r.Method == http.MethodPost {
			err = readBody(w, r, &in)
		}
		// While nobody leads, or this one has only just been elected, a caller waits here and not in a loop of its own.
		for by := time.Now().Add(electFor); err == nil; {
			if out, err = f(r.Context(), in); !errors.Is(err, ErrElsewhere) || time.Now().After(by) {
				break
			}
			if api := s.leaderAPI(); api != "" && api != s.cfg.AdvertiseAPI {
				break
			}
			select {
			case <-r.Context().Done():
			case <-time.After(electEvery):
				err = nil
			}
		}
		w.Header().Set("Content-Type", "application/json")
		cluster, era := s.id.cluster()
		w.Header().Set(call.HeaderCluster, cluster)
		w.Header().Set(call.HeaderEra, fmt.Sprint(era))
		if err == nil {
			json.NewEncoder(w).Encode(out)
			return
		}
		x := call.Failure{Error: err.Error()}
		status := http.StatusInternalServerError
		var own refused
		switch {
		case errors.As(err, &own):
			status = own.status
		case errors.Is(err, ErrElsewhere):
			status = http.StatusMisdirectedRequest
			if x.Leader = s.leaderAPI(); x.Leader == s.cfg.AdvertiseAPI {
				x.Leader = "" // not yet
			}
			if x.Leader == "" {
				status = http.StatusServiceUnavailable
			}
		case errors.Is(err, errCrowded):
			status = http.StatusTooManyRequests
		case errors.Is(err, errUnknown):
			status = http.StatusGatewayTimeout
		case errors.Is(err, errNotHeld), errors.Is(err, errNobody), errors.Is(err, duty.ErrMoved), errors.Is(err, duty.ErrStale):
			status = http.StatusConflict
		}
		w.WriteHeader(status)
		json.NewEncoder(w).Encode(x)
	}
}

// leaderAPI is where the leader answers, as far as this steward knows.
func (s *Steward) leaderAPI() string {
	_, leader := s.raft.LeaderWithID() // its address is that of a socket
	all, err := s.servers()
	if err != nil {
		return ""
	}
	for _, x := range all {
		if x.ID == leader {
			_, _, api := parts(x.Address)
			return api
		}
	}
	return ""
}

func readBody(w http.ResponseWriter, r *http.Request, into any) error {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, call.BodyMost))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		var most *http.MaxBytesError
		if errors.As(err, &most) {
			return refused{http.StatusRequestEntityTooLarge, err}
		}
		return bad("can't be read: %v", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return bad("more than one value")
	}
	return nil
}

func checkNames(names ...string) error {
	for _, n := range names {
		if err := duty.CheckName(n); err != nil {
			return bad("%v", err)
		}
	}
	return nil
}

func waitFor(ms int64) (time.Duration, error) {
	d := time.Duration(ms) * time.Millisecond
	if ms < 0 || ms > call.WaitMost.Milliseconds() {
		return 0, bad("wait_ms: 0 to %d", call.WaitMost.Milliseconds())
	}
	return d, nil
}

func (s *Steward) onClaim(ctx context.Context, in call.ClaimIn) (out call.ClaimOut, err error) {
	if err := checkNames(in.Holder); err != nil {
		return out, err
	}
	wait, err := waitFor(in.WaitMS)
	if err != nil {
		return out, err
	}
	if len(in.Wishes) == 0 || len(in.Wishes) > call.WishesMost || len(in.Addr) > duty.NameMost {
		return out, bad("1 to %d wishes", call.WishesMost)
	}
	var wishes []duty.Wish
	once := map[string]bool{}
	for _, w := range in.Wishes {
		if err := checkNames(w.Duty, w.ID); err != nil {
			return out, err
		}
		lease := time.Duration(w.LeaseMS) * time.Millisecond
		if w.LeaseMS < duty.LeaseLeast.Milliseconds() || w.LeaseMS > duty.LeaseMost.Milliseconds() {
			return out, bad("lease_ms: %d to %d", duty.LeaseLeast.Milliseconds(), duty.LeaseMost.Milliseconds())
		}
		if once[w.Duty] {
			return out, bad("%s is wished for twice", w.Duty)
		}
		once[w.Duty] = true
		wishes = append(wishes, duty.Wish{Duty: w.Duty, Holder: in.Holder, Addr: in.Addr, ID: w.ID, Lease: lease})
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	all, err := s.claim(ctx, wishes)
	for _, a := range all {
		x := call.Granted{Duty: a.wish.Duty, ID: a.wish.ID, Epoch: a.epoch}
		if a.err != nil {
			x.Epoch, x.Refused = 0, a.err.Error()
		}
		out.Granted = append(out.Granted, x)
	}
	return out, err
}

func (s *Steward) onRenew(ctx context.Context, in call.RenewIn) (out call.RenewOut, err error) {
	if err := checkNames(in.Holder); err != nil {
		return out, err
	}
	if len(in.Held) > call.WishesMost {
		return out, bad("%d duties at most", call.WishesMost)
	}
	out.Held, err = s.renew(ctx, in.Holder, in.Held)
	return out, err
}

func (s *Steward) onRelease(_ context.Context, in call.ReleaseIn) (out call.Done, err error) {
	if err := checkNames(in.Holder, in.Duty); err != nil {
		return out, err
	}
	if in.To != "" {
		if err := checkNames(in.To); err != nil {
			return out, err
		}
	}
	return out, s.end(in.Holder, in.Duty, in.Epoch, in.To)
}

func (s *Steward) onWatch(ctx context.Context, in call.WatchIn) (out call.Done, err error) {
	if err := checkNames(in.Holder); err != nil {
		return out, err
	}
	wait, err := waitFor(in.WaitMS)
	if err != nil {
		return out, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return out, s.listenFor(ctx, in.Holder)
}

func (s *Steward) onStepDown(ctx context.Context, in call.StepDownIn) (out call.Duty, err error) {
	if err := checkNames(in.Duty); err != nil {
		return out, err
	}
	if in.To != "" {
		if err := checkNames(in.To); err != nil {
			return out, err
		}
	}
	bar := time.Duration(in.BarMS) * time.Millisecond
	if in.BarMS < 0 || bar > duty.BarMost {
		return out, bad("bar_ms: 0 to %d", duty.BarMost.Milliseconds())
	}
	ctx, cancel := context.WithTimeout(ctx, call.WaitMost)
	defer cancel()
	g, err := s.stepDown(ctx, in.Duty, in.To, bar)
	return call.Duty{Grant: g}, err
}

// onLeads tells whether this steward leads as far as it knows, at next to no cost.
func (s *Steward) onLeads(context.Context, struct{}) (out call.Done, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current() == nil {
		return out, ErrElsewhere
	}
	return out, nil
}

// onDuties lists the duties as the leader knows them, at a moment after the question.
func (s *Steward) onDuties(ctx context.Context, _ struct{}) (out call.DutiesOut, err error) {
	if err := s.verify.leads(ctx); err != nil {
		return out, ErrElsewhere
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.current()
	if r == nil {
		return out, ErrElsewhere
	}
	now := time.Now()
	out.Last = s.table.Last()
	for _, g := range s.table.All() {
		out.Duties = append(out.Duties, call.Duty{Grant: g, Left: r.Left(g.Duty, now), Asked: r.Asked(g.Duty, g.Epoch), Waiting: len(r.waiters[g.Duty])})
	}
	return out, nil
}

// trim is an error's text without what is long.
func trim(err error) string { return strings.SplitN(err.Error(), "\n", 2)[0] }
