package wal

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"onyxroad.dev/onyxroad/internal/clock"
)

// The log remembers the trace ids of messages that have ended, so that neither this process nor a later one sends them again when the
// id is submitted again. The record of a message's end says how it ended, so remembering it needs no extra record. A snapshot contains
// the remembered ends in packed form, completionBytes each.

// Completion is how a message ended.
type Completion uint8

// Ways to end. The values are stored: they must not change.
const (
	Delivered Completion = iota + 1 // accepted by an endpoint
	Refused                         // the client was told that it may safely submit the message again
	Failed                          // not delivered, and may have run
)

// CompletionOf returns the completion of a message that ends with the given notice.
func CompletionOf(f Final) Completion {
	if f.Deferred {
		return Refused
	}
	return Failed
}

const (
	// completionRetention is how long after the message's deadline an end is remembered, if there is room.
	completionRetention = 15 * time.Minute
	// completionShare is the part of the disk limit that remembered ends may take.
	completionShare = 0.03
	// rejectionShare is the part that requests which were never accepted may take. It is separate so that a flood of them does
	// not displace the ends of messages.
	rejectionShare = 0.005
	minCompletions = 64 // of either, on the smallest disk

	digestBytes          = 12
	completionBytes      = digestBytes + 4 + 1 // digest, expiry, completion
	completionsPerRecord = 2048

	// maxPendingWithRejections is the number of pending records above which rejections add no more of them, while the log can't
	// be written.
	maxPendingWithRejections = 4096
)

// traceDigest is a fixed-size hash of a trace id. Collisions are negligible, even if somebody searches for them.
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

// completionSet is a bounded set of remembered ends.
type completionSet struct {
	entries map[traceDigest]completedEntry
	order   []traceDigest // oldest first
	evicted int64         // number removed before their expiry for lack of room
}

// put adds an end. If the id is present already, its expiry never moves earlier and Delivered is not replaced.
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

// prune removes expired ends, and the oldest ones in excess of limit.
func (c *completionSet) prune(now uint32, limit int) {
	for len(c.order) > 0 {
		oldest := c.order[0]
		expired := c.entries[oldest].expiry <= now
		if !expired && len(c.order) <= limit {
			return
		}
		if !expired {
			c.evicted++
		}
		delete(c.entries, oldest)
		c.order = c.order[1:]
	}
}

// size returns roughly how many bytes the set takes in a snapshot.
func (c *completionSet) size() int64 { return int64(len(c.order)) * completionBytes }

// records returns the set as snapshot records of the given kind.
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

// completionRecords returns all remembered ends and rejections as snapshot records.
func (s *state) completionRecords() [][]byte {
	return slices.Concat(s.completed.records(recCompleted), s.rejected.records(recRejected))
}

// completionsSize returns roughly how many bytes these records take.
func (s *state) completionsSize() int64 { return s.completed.size() + s.rejected.size() }

// applyCompletions adds the remembered ends of a record that was read.
func (s *state) applyCompletions(to *completionSet, packed []byte) {
	for ; len(packed) >= completionBytes; packed = packed[completionBytes:] {
		end := completedEntry{expiry: binary.LittleEndian.Uint32(packed[digestBytes:]), how: Completion(packed[completionBytes-1])}
		if !s.timelineResumed && !s.rawTimes {
			// The expiry is on another timeline: it is unknown how long ago the message ended.
			end.expiry = max(end.expiry, s.expiry(clock.Now()))
		}
		to.put(traceDigest(packed[:digestBytes]), end)
	}
}

// expiry returns when the end of a message with the given deadline may be forgotten.
func (s *state) expiry(deadline time.Time) uint32 {
	return uint32(s.times.Stamp(deadline).Add(completionRetention).Unix())
}

// rememberCompletion adds the end of m.
func (s *state) rememberCompletion(m *Message, how Completion) {
	s.completed.put(digestOf(m.Trace), completedEntry{s.expiry(m.Deadline), how})
}

// Complete records how m ended: nothing more is owed for it, and its trace id is remembered.
func (l *Log) Complete(m *Message, how Completion) {
	if l.live[m.ID] == nil {
		return
	}
	l.end(m, how)
	l.rememberCompletion(m, how)
	l.pruneCompletions()
}

// RememberCompletion records the end of a message that is not in the log.
func (l *Log) RememberCompletion(trace string, deadline time.Time, how Completion) {
	l.recordCompletion(&l.completed, recCompleted, trace, deadline, how)
}

// RememberRejection records that a request is not accepted. If the log has been unable to write for long, only this process
// remembers it.
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

// Completed returns how the message or rejected request with a trace id ended; false if its end is not remembered.
func (l *Log) Completed(trace string) (Completion, bool) {
	d := digestOf(trace)
	end, ok := l.completed.entries[d]
	if !ok {
		end, ok = l.rejected.entries[d]
	}
	return end.how, ok
}

// CompletionStats returns how many ends are remembered, and how many were removed before their expiry for lack of room.
func (l *Log) CompletionStats() (now int, evicted int64) {
	return len(l.completed.order), l.completed.evicted
}

func (l *Log) pruneCompletions() {
	now := uint32(l.times.Stamp(clock.Now()).Unix())
	limit := func(share float64) int { return max(minCompletions, int(l.share(share)/completionBytes)) }
	l.completed.prune(now, limit(completionShare))
	l.rejected.prune(now, limit(rejectionShare))
}
