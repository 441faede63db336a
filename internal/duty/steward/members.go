package steward

import (
	"context"
	crand "crypto/rand"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/raft"
	"go.etcd.io/bbolt"

	"onyxroad.dev/onyxroad/internal/duty"
	"onyxroad.dev/onyxroad/internal/duty/call"
)

const (
	joinInterval   = 500 * time.Millisecond
	joinTimeout     = 5 * time.Second
	removalCheckInterval   = 200 * time.Millisecond
	removalDelay  = 3 * time.Second // that a steward has to be without a place, and without a leader, before it ends
	maxStewards = 7
)

func boltOptions() *bbolt.Options {
	// Another process on the folder is an error at once, not a wait without end.
	return &bbolt.Options{Timeout: time.Second, NoFreelistSync: true, FreelistType: bbolt.FreelistMapType}
}

// servers are the stewards by raft's configuration.
func (s *Steward) servers() ([]raft.Server, error) {
	f := s.raft.GetConfiguration()
	if err := f.Error(); err != nil {
		return nil, fmt.Errorf("steward: %w", err)
	}
	return f.Configuration().Servers, nil
}

// handleBegin has this steward begin a cluster of its own, which others join.
func (s *Steward) handleBegin(context.Context, call.Empty) (out call.JoinOut, err error) {
	if cluster, _ := s.id.cluster(); cluster != "" {
		return out, statusError{http.StatusConflict, fmt.Errorf("it belongs to cluster %s already", cluster)}
	}
	out = call.JoinOut{Cluster: crand.Text()[:12], Era: 1}
	f := s.raft.BootstrapCluster(raft.Configuration{Servers: []raft.Server{{ID: raft.ServerID(s.id.ID()), Address: s.address()}}})
	if err := f.Error(); err != nil {
		return out, fmt.Errorf("steward: begin: %w", err)
	}
	return out, s.id.setCluster(out.Cluster, out.Era)
}

// join asks other stewards for a place, for as long as this one belongs to nobody, or has another address than they know.
func (s *Steward) join(ctx context.Context) {
	client := call.NewClient(nil, net.ParseIP(hostOf(s.cfg.API)))
	defer client.Close()
	_, listen, api := splitAddress(s.address())
	in := call.JoinIn{ID: s.id.ID(), Listen: listen, API: api, Fleet: s.cfg.Fleet}
	for said := ""; ; {
		select {
		case <-ctx.Done():
			return
		case <-time.After(joinInterval/2 + rand.N(joinInterval)):
		}
		if s.isListed() {
			continue
		}
		for _, seed := range s.cfg.Seeds {
			if seed == s.cfg.API || seed == s.cfg.AdvertiseAPI {
				continue
			}
			out, err := s.requestJoin(ctx, client, seed, in)
			if err == nil {
				if err = s.id.setCluster(out.Cluster, out.Era); err == nil {
					s.cfg.Log.Info("joins", "cluster", out.Cluster, "by", seed)
					break
				}
			}
			if text := firstLine(err); text != said && ctx.Err() == nil {
				said = text
				s.cfg.Log.Info("not among the stewards yet", "err", err)
			}
		}
	}
}

func (s *Steward) requestJoin(ctx context.Context, client *call.Client, seed string, in call.JoinIn) (out call.JoinOut, err error) {
	leader, err := client.DoAt(ctx, seed, call.PathJoin, in, &out, joinTimeout)
	if leader != "" {
		_, err = client.DoAt(ctx, leader, call.PathJoin, in, &out, joinTimeout)
	}
	return out, err
}

// isListed tells whether this steward is among the stewards, under the address that it has.
func (s *Steward) isListed() bool {
	all, err := s.servers()
	if err != nil {
		return true // it ends
	}
	for _, x := range all {
		if string(x.ID) == s.id.ID() {
			return x.Address == s.address()
		}
	}
	return len(all) > 0 // those of whom it has heard do not list it: it was removed, and is not to come back by itself
}

// awaitRemoval returns true once this steward had a place among the others and has it no more. The one that is removed is not told
// as a rule: it hears of no leader any more, and the others list it no longer.
func (s *Steward) awaitRemoval(ctx context.Context) bool {
	client := call.NewClient(nil, net.ParseIP(hostOf(s.cfg.API)))
	defer client.Close()
	since := time.Time{}
	for {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(removalCheckInterval):
		}
		all, err := s.servers()
		if err != nil {
			return false
		}
		listed := slices.ContainsFunc(all, func(x raft.Server) bool { return string(x.ID) == s.id.ID() })
		if leader, _ := s.raft.LeaderWithID(); len(all) == 0 || listed && (leader != "" || !s.removedByPeers(ctx, client, all)) {
			since = time.Time{}
		} else if since.IsZero() {
			since = time.Now()
		} else if time.Since(since) > removalDelay {
			return true
		}
	}
}

// removedByPeers tells whether one of the others that hears of a leader lists this steward no more.
func (s *Steward) removedByPeers(ctx context.Context, client *call.Client, all []raft.Server) bool {
	cluster, _ := s.id.cluster()
	for _, x := range all {
		id, _, api := splitAddress(x.Address)
		var out call.StewardsOut
		if id == s.id.ID() {
			continue
		}
		if _, err := client.DoAt(ctx, api, call.PathStewards, nil, &out, 0); err != nil || out.Cluster != cluster {
			continue
		}
		led := slices.ContainsFunc(out.Stewards, func(o call.Steward) bool { return o.Leader })
		if led && !slices.ContainsFunc(out.Stewards, func(o call.Steward) bool { return o.ID == s.id.ID() }) {
			return true
		}
	}
	return false
}

// handleJoin gives a steward a place among the others. One of the same name whose folder is gone makes way for it.
func (s *Steward) handleJoin(ctx context.Context, in call.JoinIn) (out call.JoinOut, err error) {
	name, folder, ok := strings.Cut(in.ID, "/")
	if err := checkNames(in.ID); err != nil || !ok || name == "" || folder == "" || strings.ContainsAny(in.ID, ",@") {
		return out, badRequest("id: NAME/FOLDER")
	}
	for _, a := range []string{in.Listen, in.API} {
		if _, _, err := net.SplitHostPort(a); err != nil || len(a) > duty.MaxNameBytes || strings.Contains(a, ",") {
			return out, badRequest("%q is not a host and a port", a)
		}
	}
	if in.Fleet != s.cfg.Fleet {
		return out, statusError{http.StatusForbidden, fmt.Errorf("this is fleet %q", s.cfg.Fleet)}
	}
	if err := s.verify.confirmLeader(ctx); err != nil {
		return out, ErrNotLeader
	}
	all, err := s.servers()
	if err != nil {
		return out, err
	}
	out.Cluster, out.Era = s.id.cluster()
	address := raft.ServerAddress(strings.Join([]string{in.ID, in.Listen, in.API}, ","))
	for _, x := range all {
		switch other, _, _ := strings.Cut(string(x.ID), "/"); {
		case string(x.ID) == in.ID && x.Address == address:
			return out, nil
		case string(x.ID) == in.ID || other != name:
		case s.stream.reachable(x.Address):
			return out, statusError{http.StatusConflict, fmt.Errorf("%s serves: two stewards under one name", x.ID)}
		default:
			// One change at a time: the old one goes first, so that the new one's vote never makes the number even.
			if err := s.raft.RemoveServer(x.ID, 0, applyTimeout).Error(); err != nil {
				return out, fmt.Errorf("%w: remove %s: %w", errOutcomeUnknown, x.ID, err)
			}
			s.cfg.Log.Info("steward removed: its folder is gone", "member", x.ID, "for", in.ID)
			all = all[:len(all)-1]
		}
	}
	if len(all) >= maxStewards {
		return out, statusError{http.StatusConflict, fmt.Errorf("%d stewards are as many as there may be", maxStewards)}
	}
	if err := s.raft.AddVoter(raft.ServerID(in.ID), address, 0, applyTimeout).Error(); err != nil {
		return out, fmt.Errorf("%w: add %s: %w", errOutcomeUnknown, in.ID, err)
	}
	s.cfg.Log.Info("steward added", "member", in.ID)
	return out, s.forgetRemoved()
}

func (s *Steward) forgetRemoved() error {
	all, err := s.servers()
	if err != nil {
		return err
	}
	return s.id.retainPeers(func(id string) bool {
		for _, x := range all {
			if string(x.ID) == id {
				return true
			}
		}
		return false
	})
}

// reachable tells whether a steward answers by its name at its address.
func (s *streamLayer) reachable(a raft.ServerAddress) bool {
	c, err := s.Dial(a, helloTimeout)
	if err != nil {
		return errors.Is(err, errOutdatedFolder) // it is there, though it may take no part
	}
	c.Close()
	return true
}

// handleRemove takes a steward's place.
func (s *Steward) handleRemove(ctx context.Context, in call.RemoveIn) (out call.Empty, err error) {
	if err := s.verify.confirmLeader(ctx); err != nil {
		return out, ErrNotLeader
	}
	all, err := s.servers()
	if err != nil {
		return out, err
	}
	for _, x := range all {
		if name, _, _ := strings.Cut(string(x.ID), "/"); string(x.ID) != in.ID && name != in.ID {
			continue
		}
		if len(all) == 1 {
			return out, statusError{http.StatusConflict, errors.New("it is the last one")}
		}
		if err := s.raft.RemoveServer(x.ID, 0, applyTimeout).Error(); err != nil {
			return out, fmt.Errorf("%w: remove %s: %w", errOutcomeUnknown, x.ID, err)
		}
		s.cfg.Log.Info("steward removed", "member", x.ID)
		return out, s.forgetRemoved()
	}
	return out, statusError{http.StatusNotFound, fmt.Errorf("no steward %q", in.ID)}
}

// handleStewards lists the stewards as this one knows them, whether or not it leads.
func (s *Steward) handleStewards(context.Context, struct{}) (out call.StewardsOut, err error) {
	all, err := s.servers()
	if err != nil {
		return out, err
	}
	_, leader := s.raft.LeaderWithID()
	out.Cluster, out.Era = s.id.cluster()
	out.Self, out.Term, out.Applied = s.id.ID(), s.raft.CurrentTerm(), s.raft.AppliedIndex()
	for _, x := range all {
		_, listen, api := splitAddress(x.Address)
		out.Stewards = append(out.Stewards, call.Steward{ID: string(x.ID), Listen: listen, API: api, Voter: x.Suffrage == raft.Voter,
			Leader: x.ID == leader})
	}
	return out, nil
}
