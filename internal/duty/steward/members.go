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
	joinInterval         = 500 * time.Millisecond
	joinTimeout          = 5 * time.Second
	removalCheckInterval = 200 * time.Millisecond
	removalDelay         = 3 * time.Second // how long a steward must look removed before it ends
	maxStewards          = 7
)

func boltOptions() *bbolt.Options {
	// If another process uses the folder, fail instead of waiting forever.
	return &bbolt.Options{Timeout: time.Second, NoFreelistSync: true, FreelistType: bbolt.FreelistMapType}
}

// servers returns the stewards in the raft configuration.
func (s *Steward) servers() ([]raft.Server, error) {
	f := s.raft.GetConfiguration()
	if err := f.Error(); err != nil {
		return nil, fmt.Errorf("steward: %w", err)
	}
	return f.Configuration().Servers, nil
}

// handleBegin creates a cluster with this steward as its only member, for others to join.
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

// join asks other stewards to add this one, unless they list it under its address already. It returns once they have
// added it: whoever removes it later must not see it join again.
func (s *Steward) join(ctx context.Context) {
	client := call.NewClient(nil, net.ParseIP(hostOf(s.cfg.API)))
	defer client.Close()
	_, listen, api := splitAddress(s.address())
	in := call.JoinIn{ID: s.id.ID(), Listen: listen, API: api, Fleet: s.cfg.Fleet}
	for logged := ""; ; {
		select {
		case <-ctx.Done():
			return
		case <-time.After(joinInterval/2 + rand.N(joinInterval)):
		}
		if s.isListed() || s.removedBeforeFirstContact(ctx, client) {
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
					return
				}
			}
			if text := firstLine(err); text != logged && ctx.Err() == nil {
				logged = text
				s.cfg.Log.Info("could not join the stewards yet", "err", err)
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

// isListed reports whether the cluster lists this steward under its present address.
func (s *Steward) isListed() bool {
	all, err := s.servers()
	if err != nil {
		return true // shutting down
	}
	for _, x := range all {
		if string(x.ID) == s.id.ID() {
			return x.Address == s.address()
		}
	}
	return len(all) > 0 // in a cluster that does not list it, it has been removed and must not rejoin by itself
}

// awaitRemoval returns true when this steward has been removed from its cluster. A removed steward is usually not
// notified: it no longer hears from a leader, and the others no longer list it.
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
		if !s.looksRemoved(ctx, client, all) {
			since = time.Time{}
		} else if since.IsZero() {
			since = time.Now()
		} else if time.Since(since) > removalDelay {
			return true
		}
	}
}

// looksRemoved reports whether this steward seems to have been removed from a cluster that it had joined, given the
// stewards of its own configuration.
func (s *Steward) looksRemoved(ctx context.Context, client *call.Client, all []raft.Server) bool {
	if len(all) == 0 {
		return s.removedBeforeFirstContact(ctx, client)
	}
	if !slices.ContainsFunc(all, func(x raft.Server) bool { return string(x.ID) == s.id.ID() }) {
		return true
	}
	if leader, _ := s.raft.LeaderWithID(); leader != "" {
		return false
	}
	var peers []string
	for _, x := range all {
		if id, _, api := splitAddress(x.Address); id != s.id.ID() {
			peers = append(peers, api)
		}
	}
	return s.removedByPeers(ctx, client, peers)
}

// removedBeforeFirstContact reports whether the cluster that has added this steward no longer lists it, although no
// leader has reached it yet.
func (s *Steward) removedBeforeFirstContact(ctx context.Context, client *call.Client) bool {
	all, err := s.servers()
	cluster, _ := s.id.cluster()
	return err == nil && len(all) == 0 && cluster != "" && s.removedByPeers(ctx, client, s.cfg.Seeds)
}

// removedByPeers reports whether one of the API addresses is that of a steward that knows a leader and does not list
// this one.
func (s *Steward) removedByPeers(ctx context.Context, client *call.Client, peers []string) bool {
	cluster, _ := s.id.cluster()
	for _, api := range peers {
		var out call.StewardsOut
		if _, err := client.DoAt(ctx, api, call.PathStewards, nil, &out, 0); err != nil || out.Cluster != cluster {
			continue
		}
		hasLeader := slices.ContainsFunc(out.Stewards, func(o call.Steward) bool { return o.Leader })
		if hasLeader && !slices.ContainsFunc(out.Stewards, func(o call.Steward) bool { return o.ID == s.id.ID() }) {
			return true
		}
	}
	return false
}

// handleJoin adds a steward. It replaces a steward of the same name that no longer answers.
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
			if err := s.raft.Barrier(applyTimeout).Error(); err != nil {
				return out, fmt.Errorf("%w: add %s: %w", errOutcomeUnknown, in.ID, err)
			}
			return out, nil
		case string(x.ID) == in.ID || other != name:
		case s.stream.reachable(x.Address):
			return out, statusError{http.StatusConflict, fmt.Errorf("%s serves: two stewards under one name", x.ID)}
		default:
			// One change at a time, and removal first: adding the new steward first would make the number of voters even.
			if err := s.raft.RemoveServer(x.ID, 0, applyTimeout).Error(); err != nil {
				return out, fmt.Errorf("%w: remove %s: %w", errOutcomeUnknown, x.ID, err)
			}
			s.cfg.Log.Info("steward removed: replaced by one with a new folder", "member", x.ID, "for", in.ID)
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
	return out, s.forgetRemovedPeers()
}

func (s *Steward) forgetRemovedPeers() error {
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

// reachable reports whether the steward with this address answers under its id.
func (s *streamLayer) reachable(a raft.ServerAddress) bool {
	c, err := s.Dial(a, helloTimeout)
	if err != nil {
		return errors.Is(err, errOutdatedFolder) // it runs, though it may not take part
	}
	c.Close()
	return true
}

// handleRemove removes a steward.
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
		return out, s.forgetRemovedPeers()
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
