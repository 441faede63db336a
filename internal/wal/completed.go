package wal

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"onyxroad.dev/onyxroad/internal/clock"
)

// The log remembers which messages have ended, by their trace ids: an id that comes again must not be sent again, by this process
// or a later one. A message's record of its end says how it ended, so that remembering it appends nothing. A snapshot has the
// remembered ends packed, completedBytes each.

// Completion is how a message ended.
type Completion uint8

// The ways to end.
const (
	Delivered Completion = iota + 1 // an endpoint has taken it
	Refused                         // its client was told that handing it in again is harmless
	Failed                          // not delivered, and it may have run
)

// CompletionOf is how a message ends by its notice.
func CompletionOf(f Final) Completion {
	if f.Deferred {
		return Refused
	}
	return Failed
}

const (
	// completionRetention is how long an end is remembered, from the message's deadline on, as far as there is room.
	completionRetention = 15 * time.Minute
	// completionShare is the part of the disk limit that remembered ends may take.
	completionShare = 0.03
	// rejectionShare is the part that requests may take which were never taken on: a flood of them must not have ends forgotten.
	rejectionShare = 0.005
	minCompletions = 64 // of either, on the smallest disk

	digestBytes          = 12
	completionBytes      = digestBytes + 4 + 1 // digest, expiry, completion
	completionsPerRecord = 2048                // ends in a record

	// maxPendingWithRejections bounds what refusals add to the notes while the log can't write them.
	maxPendingWithRejections = 4096
)

// traceDigest stands for a trace id, whatever its length. Ids of different messages have the same one with a probability that
// is of no concern, even where somebody looks for such ids.
type traceDigest [digestBytes]byte

func digestOf(trace string) (d traceDigest) {
	sum := sha256.Sum256([]byte(trace))
	copy(d[:], sum[:])
	return d
}

// completedEntry is one remembered end.
type completedEntry struct {
	expiry uint32 // on the log's timeline, in Unix seconds
	how    Completion
}

// completionSet are the ends that are remembered.
type completionSet struct {
	entries map[traceDigest]completedEntry
	order   []traceDigest // the oldest first
	evicted int64         // forgotten for want of room
}

// put remembers an end. One that is remembered already is not forgotten earlier for it, and a delivery stays one.
func (c *completionSet) put(d traceDigest, end completedEntry) {
	if c.entries == nil {
		c.entries = map[traceDigest]completedEntry{}
	}
	old, known := c.entries[d]
	if !known {
		c.order = append(c.order, d)
	}
	if known && old.how == Delivered {
		end.how = Delivered
	}
	end.expiry = max(end.expiry, old.expiry)
	c.entries[d] = end
}

// prune forgets what has expired by now, and the oldest where there are more than most.
func (c *completionSet) prune(now uint32, most int) {
	for len(c.order) > 0 {
		oldest := c.order[0]
		expired := c.entries[oldest].expiry <= now
		if !expired && len(c.order) <= most {
			return
		}
		if !expired {
			c.evicted++
		}
		delete(c.entries, oldest)
		c.order = c.order[1:]
	}
}

// size is about what the ends take in a snapshot.
func (c *completionSet) size() int64 { return int64(len(c.order)) * completionBytes }

// records are the ends as records of a snapshot, of a kind.
func (c *completionSet) records(kind byte) (all [][]byte) {
	var packed []byte
	flush := func() {
		if len(packed) > 0 {
			all = append(all, payload(record{Kind: kind}, packed))
			packed = nil
		}
	}
	for _, d := range c.order {
		packed = appendCompleted(packed, d, c.entries[d])
		if len(packed) >= completionsPerRecord*completionBytes {
			flush()
		}
	}
	flush()
	return all
}

func appendCompleted(buf []byte, d traceDigest, end completedEntry) []byte {
	buf = append(buf, d[:]...)
	buf = binary.LittleEndian.AppendUint32(buf, end.expiry)
	return append(buf, byte(end.how))
}

// completionRecords is all that is completionRecords as records of a snapshot.
func (s *state) completionRecords() [][]byte {
	return slices.Concat(s.completed.records(recCompleted), s.rejected.records(recRejected))
}

// completionsSize is about what that takes.
func (s *state) completionsSize() int64 { return s.completed.size() + s.rejected.size() }

// applyCompletions takes a record of remembered ends that was read.
func (s *state) applyCompletions(to *completionSet, packed []byte) {
	for ; len(packed) >= completionBytes; packed = packed[completionBytes:] {
		end := completedEntry{expiry: binary.LittleEndian.Uint32(packed[digestBytes:]), how: Completion(packed[completionBytes-1])}
		if !s.timelineResumed && !s.rawTimes {
			// The times are another timeline's: nothing tells how long ago it ended.
			end.expiry = max(end.expiry, s.expiry(clock.Now()))
		}
		to.put(traceDigest(packed[:digestBytes]), end)
	}
}

// expiry is when the end of a message with a deadline may be forgotten.
func (s *state) expiry(deadline time.Time) uint32 {
	return uint32(s.times.Stamp(deadline).Add(completionRetention).Unix())
}

// rememberCompletion remembers the end of m.
func (s *state) rememberCompletion(m *Message, how Completion) {
	s.completed.put(digestOf(m.Trace), completedEntry{s.expiry(m.Deadline), how})
}

// Complete notes how m has ended: nothing more is owed for it, and its trace id is remembered.
func (l *Log) Complete(m *Message, how Completion) {
	if l.live[m.ID] == nil {
		return
	}
	l.end(m, how)
	l.rememberCompletion(m, how)
	l.pruneCompletions()
}

// RememberCompletion notes the end of a message that is not in the log.
func (l *Log) RememberCompletion(trace string, deadline time.Time, how Completion) {
	l.recordCompletion(&l.completed, recCompleted, trace, deadline, how)
}

// RememberRejection notes that a request is not taken on. Where the log has long written nothing, this process alone remembers it.
func (l *Log) RememberRejection(trace string, deadline time.Time, how Completion) {
	if len(l.pending) >= maxPendingWithRejections {
		l.rejected.put(digestOf(trace), completedEntry{l.expiry(deadline), how})
		l.pruneCompletions()
		return
	}
	l.recordCompletion(&l.rejected, recRejected, trace, deadline, how)
}

func (l *Log) recordCompletion(in *completionSet, kind byte, trace string, deadline time.Time, how Completion) {
	d, end := digestOf(trace), completedEntry{l.expiry(deadline), how}
	l.pending = append(l.pending, payload(record{Kind: kind}, appendCompleted(nil, d, end)))
	in.put(d, end)
	l.pruneCompletions()
}

// Completed tells how the message with a trace id has ended, or the request that was turned away; false if none is remembered.
func (l *Log) Completed(trace string) (Completion, bool) {
	d := digestOf(trace)
	end, ok := l.completed.entries[d]
	if !ok {
		end, ok = l.rejected.entries[d]
	}
	return end.how, ok
}

// CompletionStats is how many ends are remembered, and how many were forgotten before their time for want of room.
func (l *Log) CompletionStats() (now int, evicted int64) {
	return len(l.completed.order), l.completed.evicted
}

func (l *Log) pruneCompletions() {
	now := uint32(l.times.Stamp(clock.Now()).Unix())
	most := func(share float64) int { return max(minCompletions, int(l.share(share)/completionBytes)) }
	l.completed.prune(now, most(completionShare))
	l.rejected.prune(now, most(rejectionShare))
}
