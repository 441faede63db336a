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
	// completedFor is how long an end is remembered, from the message's deadline on, as far as there is room.
	completedFor = 15 * time.Minute
	// completedShare is the part of the disk limit that remembered ends may take.
	completedShare = 0.03
	// turnedAwayShare is the part that requests may take which were never taken on: a flood of them must not have ends forgotten.
	turnedAwayShare = 0.005
	completedLeast  = 64 // of either, on the smallest disk

	digestBytes    = 12
	completedBytes = digestBytes + 4 + 1 // digest, expiry, completion
	completedBatch = 2048                // ends in a record

	// notesMost bounds what refusals add to the notes while the log can't write them.
	notesMost = 4096
)

// traceDigest stands for a trace id, whatever its length. Ids of different messages have the same one with a probability that
// is of no concern, even where somebody looks for such ids.
type traceDigest [digestBytes]byte

func digestOf(trace string) (d traceDigest) {
	sum := sha256.Sum256([]byte(trace))
	copy(d[:], sum[:])
	return d
}

// completed is one remembered end.
type completed struct {
	expiry uint32 // on the log's timeline, in Unix seconds
	how    Completion
}

// completions are the ends that are remembered.
type completions struct {
	ends    map[traceDigest]completed
	order   []traceDigest // the oldest first
	evicted int64         // forgotten for want of room
}

// put remembers an end. One that is remembered already is not forgotten earlier for it, and a delivery stays one.
func (c *completions) put(d traceDigest, end completed) {
	if c.ends == nil {
		c.ends = map[traceDigest]completed{}
	}
	old, known := c.ends[d]
	if !known {
		c.order = append(c.order, d)
	}
	if known && old.how == Delivered {
		end.how = Delivered
	}
	end.expiry = max(end.expiry, old.expiry)
	c.ends[d] = end
}

// prune forgets what has expired by now, and the oldest where there are more than most.
func (c *completions) prune(now uint32, most int) {
	for len(c.order) > 0 {
		oldest := c.order[0]
		expired := c.ends[oldest].expiry <= now
		if !expired && len(c.order) <= most {
			return
		}
		if !expired {
			c.evicted++
		}
		delete(c.ends, oldest)
		c.order = c.order[1:]
	}
}

// bytes is about what the ends take in a snapshot.
func (c *completions) bytes() int64 { return int64(len(c.order)) * completedBytes }

// records are the ends as records of a snapshot, of a kind.
func (c *completions) records(kind byte) (all [][]byte) {
	var packed []byte
	flush := func() {
		if len(packed) > 0 {
			all = append(all, payload(record{Kind: kind}, packed))
			packed = nil
		}
	}
	for _, d := range c.order {
		packed = appendCompleted(packed, d, c.ends[d])
		if len(packed) >= completedBatch*completedBytes {
			flush()
		}
	}
	flush()
	return all
}

func appendCompleted(buf []byte, d traceDigest, end completed) []byte {
	buf = append(buf, d[:]...)
	buf = binary.LittleEndian.AppendUint32(buf, end.expiry)
	return append(buf, byte(end.how))
}

// remembered is all that is remembered as records of a snapshot.
func (s *state) remembered() [][]byte {
	return slices.Concat(s.completed.records(recCompleted), s.turnedAway.records(recTurnedAway))
}

// rememberedBytes is about what that takes.
func (s *state) rememberedBytes() int64 { return s.completed.bytes() + s.turnedAway.bytes() }

// applyCompleted takes a record of remembered ends that was read.
func (s *state) applyCompleted(to *completions, packed []byte) {
	for ; len(packed) >= completedBytes; packed = packed[completedBytes:] {
		end := completed{expiry: binary.LittleEndian.Uint32(packed[digestBytes:]), how: Completion(packed[completedBytes-1])}
		if !s.resumed && !s.stamped {
			// The times are another timeline's: nothing tells how long ago it ended.
			end.expiry = max(end.expiry, s.expiry(clock.Now()))
		}
		to.put(traceDigest(packed[:digestBytes]), end)
	}
}

// expiry is when the end of a message with a deadline may be forgotten.
func (s *state) expiry(deadline time.Time) uint32 {
	return uint32(s.times.Stamp(deadline).Add(completedFor).Unix())
}

// complete remembers the end of m.
func (s *state) complete(m *Message, how Completion) {
	s.completed.put(digestOf(m.Trace), completed{s.expiry(m.Deadline), how})
}

// Complete notes how m has ended: nothing more is owed for it, and its trace id is remembered.
func (l *Log) Complete(m *Message, how Completion) {
	if l.live[m.ID] == nil {
		return
	}
	l.end(m, how)
	l.complete(m, how)
	l.pruneCompleted()
}

// Remember notes the end of a message that is not in the log.
func (l *Log) Remember(trace string, deadline time.Time, how Completion) {
	l.remember(&l.completed, recCompleted, trace, deadline, how)
}

// TurnAway notes that a request is not taken on. Where the log has long written nothing, this process alone remembers it.
func (l *Log) TurnAway(trace string, deadline time.Time, how Completion) {
	if len(l.notes) >= notesMost {
		l.turnedAway.put(digestOf(trace), completed{l.expiry(deadline), how})
		l.pruneCompleted()
		return
	}
	l.remember(&l.turnedAway, recTurnedAway, trace, deadline, how)
}

func (l *Log) remember(in *completions, kind byte, trace string, deadline time.Time, how Completion) {
	d, end := digestOf(trace), completed{l.expiry(deadline), how}
	l.notes = append(l.notes, payload(record{Kind: kind}, appendCompleted(nil, d, end)))
	in.put(d, end)
	l.pruneCompleted()
}

// Completed tells how the message with a trace id has ended, or the request that was turned away; false if none is remembered.
func (l *Log) Completed(trace string) (Completion, bool) {
	d := digestOf(trace)
	end, ok := l.completed.ends[d]
	if !ok {
		end, ok = l.turnedAway.ends[d]
	}
	return end.how, ok
}

// Remembered is how many ends are remembered, and how many were forgotten before their time for want of room.
func (l *Log) Remembered() (now int, evicted int64) {
	return len(l.completed.order), l.completed.evicted
}

func (l *Log) pruneCompleted() {
	now := uint32(l.times.Stamp(clock.Now()).Unix())
	most := func(share float64) int { return max(completedLeast, int(l.share(share)/completedBytes)) }
	l.completed.prune(now, most(completedShare))
	l.turnedAway.prune(now, most(turnedAwayShare))
}
