package relay

import (
	"slices"

	"onyxroad.dev/onyxroad/policy"
)

// The loop's copy of discovery's list.

// target is a listed host and its address.
type target struct {
	policy.Listing
	addr string
}

// applyList applies a list of hosts, or changes to it. It skips entries that cannot be read; a known host that such an
// entry names stays as it was.
func (r *Relay) applyList(l List) policy.Event {
	e := policy.Event{Kind: policy.ListChanges}
	if l.Full {
		e.Kind = policy.ListFull
	}
	routes := map[string]target{}
	var removed []string
	for _, raw := range l.Entries {
		entry, addr, err := r.cfg.parseListing(raw)
		if err != nil {
			r.log.Warn("unreadable entry of the list", "entry", string(raw), "err", err)
			if known, ok := r.routes[entry.Route]; ok {
				routes[entry.Route] = known
				e.List = append(e.List, known.Listing)
			}
			continue
		}
		e.List = append(e.List, entry)
		if entry.Gone {
			delete(r.routes, entry.Route)
			r.hosts.closeIdle(entry.Route)
		} else {
			if known, ok := r.routes[entry.Route]; ok && known.addr != addr {
				r.hosts.closeIdle(entry.Route)
			}
			routes[entry.Route] = target{entry, addr}
			r.knownDests[entry.Destination] = true
		}
	}
	if l.Full {
		for id := range r.routes {
			if _, ok := routes[id]; !ok {
				removed = append(removed, id)
				r.hosts.closeIdle(id)
			}
		}
		r.routes = routes
	} else {
		for id, t := range routes {
			r.routes[id] = t
		}
	}
	ids := make([]string, 0, len(e.List))
	for _, entry := range e.List {
		ids = append(ids, entry.Route)
	}
	for _, id := range slices.Concat(ids, removed) {
		r.updateOutage(id)
	}
	r.exclusions.noteListed(ids, func(id string) bool { _, ok := r.routes[id]; return ok })
	if len(r.routes) > 0 {
		r.hasList.Store(true)
	}
	return e
}
