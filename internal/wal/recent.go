package wal

// recentEnds holds the latest ends. They are in the log; once there are many of them, those of one priority move to the archive. See
// Log.archiveRecent.
type recentEnds struct {
	entries map[traceDigest]recentEnd
	order   [PriorityCount][]traceDigest // oldest first
}

// recentEnd is the end of one message or rejected request.
type recentEnd struct {
	how      Completion
	priority Priority
	// expiry is when versions that remember ends for a limited time may forget this one: on the log's timeline, in Unix seconds.
	expiry uint32
}

// put adds an end. If the id is present already, Delivered is not replaced and neither its priority nor its expiry decreases.
func (r *recentEnds) put(d traceDigest, end recentEnd) {
	if r.entries == nil {
		r.entries = map[traceDigest]recentEnd{}
	}
	old, known := r.entries[d]
	if known && old.how == Delivered {
		end.how = Delivered
	}
	end.priority, end.expiry = max(end.priority, old.priority), max(end.expiry, old.expiry)
	if !known || end.priority != old.priority {
		r.order[end.priority] = append(r.order[end.priority], d)
	}
	r.entries[d] = end
}

// len returns the number of ends.
func (r *recentEnds) len() int { return len(r.entries) }

// largest returns the priority with the most ends.
func (r *recentEnds) largest() (largest Priority) {
	for p := range PriorityCount {
		if len(r.order[p]) >= len(r.order[largest]) {
			largest = p
		}
	}
	return largest
}

// oldest returns the oldest ends of a priority, limit of them at most.
func (r *recentEnds) oldest(p Priority, limit int) map[traceDigest]Completion {
	ends := make(map[traceDigest]Completion, min(limit, len(r.order[p])))
	for _, d := range r.order[p] {
		if len(ends) == limit {
			break
		}
		if e, ok := r.entries[d]; ok && e.priority == p {
			ends[d] = e.how
		}
	}
	return ends
}

// remove removes ends of a priority, except those that have changed since.
func (r *recentEnds) remove(p Priority, ends map[traceDigest]Completion) {
	kept := make([]traceDigest, 0, max(0, len(r.order[p])-len(ends)))
	for _, d := range r.order[p] {
		e := r.entries[d]
		switch how, ok := ends[d]; {
		case e.priority != p: // it has moved to another priority
		case ok && how == e.how:
			delete(r.entries, d)
		default:
			kept = append(kept, d)
		}
	}
	r.order[p] = kept
}

// removeOldest removes the oldest end of a priority and reports whether there was one.
func (r *recentEnds) removeOldest(p Priority) bool {
	for len(r.order[p]) > 0 {
		d := r.order[p][0]
		r.order[p] = r.order[p][1:]
		if e, ok := r.entries[d]; ok && e.priority == p {
			delete(r.entries, d)
			return true
		}
	}
	return false
}

// size returns roughly how many bytes the ends take in a snapshot.
func (r *recentEnds) size() int64 { return int64(len(r.entries)) * completionBytes }

// records returns the ends as snapshot records.
func (r *recentEnds) records() (all [][]byte) {
	for p := range PriorityCount {
		var packed []byte
		for _, d := range r.order[p] {
			e, ok := r.entries[d]
			if !ok || e.priority != p {
				continue
			}
			if packed = appendCompleted(packed, d, e); len(packed) >= completionsPerRecord*completionBytes {
				all = append(all, completionRecord(p, packed))
				packed = nil
			}
		}
		if len(packed) > 0 {
			all = append(all, completionRecord(p, packed))
		}
	}
	return all
}
