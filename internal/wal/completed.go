package wal

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"

	"onyxroad.dev/onyxroad/internal/clock"
)

// The log remembers the trace ids of messages that have ended, so that neither this process nor a later one sends them again when the
// id is submitted again. An end is forgotten only for lack of room, however old it is:
//
//	recent    in memory; on disk in the record of the message's end and, after a compaction, in the snapshot, completionBytes each
//	archived  in memory, 8 bytes each; on disk in files beside the log, some 5 bytes each
//
// Without room, ends are forgotten in the order of their priorities.

// Completion is how a message ended.
type Completion uint8

// Ways to end. The values are stored: they must not change.
const (
	Delivered Completion = iota + 1 // accepted by an endpoint
	Refused                         // the client was told that it may safely submit the message again
	Failed                          // not delivered, and may have run
)

var completionNames = [...]string{Delivered: "delivered", Refused: "refused", Failed: "failed"}

// String returns the completion's name in reports.
func (c Completion) String() string {
	if c < Delivered || c > Failed {
		return fmt.Sprintf("Completion(%d)", uint8(c))
	}
	return completionNames[c]
}

// CompletionOf returns the completion of a message that ends with the given notice.
func CompletionOf(f Final) Completion {
	if f.Deferred {
		return Refused
	}
	return Failed
}

// Priority orders remembered ends by the harm of forgetting them: the lowest are forgotten first.
type Priority uint8

// Priorities of ends. The values are stored: they must not change.
const (
	RejectedPriority   Priority = iota // of requests that were never accepted
	RepeatablePriority                 // of messages that may run again, or that were never sent
	KeyedPriority                      // of messages that endpoints run once within a window
	UnsafePriority                     // of messages that must never run again
	PriorityCount                      // number of priorities
)

var priorityNames = [PriorityCount]string{"rejected", "repeatable", "keyed", "unsafe"}

// String returns the priority's name in metrics and reports.
func (p Priority) String() string { return priorityNames[p] }

const (
	digestBytes          = 12
	completionBytes      = digestBytes + 4 + 1 // digest, expiry, completion
	completionsPerRecord = 2048

	// completionRetention is how long after the message's deadline versions that remember ends for a limited time do so.
	completionRetention = 15 * time.Minute

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

// completionRecord returns a snapshot record of packed ends. Its N is the priority plus one: versions without priorities write 0.
func completionRecord(p Priority, packed []byte) []byte {
	kind := recCompleted
	if p == RejectedPriority {
		kind = recRejected
	}
	return payload(record{Kind: kind, N: int(p) + 1}, packed)
}

// priorityOfRecord returns the priority of the ends in a completion record. What versions without priorities have written counts as unsafe.
func priorityOfRecord(rec record) Priority {
	switch {
	case rec.Kind == recRejected:
		return RejectedPriority
	case rec.N > 0 && rec.N <= int(PriorityCount):
		return Priority(rec.N - 1)
	}
	return UnsafePriority
}

func appendCompleted(buf []byte, d traceDigest, end recentEnd) []byte {
	buf = append(buf, d[:]...)
	buf = binary.LittleEndian.AppendUint32(buf, end.expiry)
	return append(buf, byte(end.how))
}

// applyCompletions adds the remembered ends of a record that was read.
func (s *state) applyCompletions(rec record, packed []byte) {
	for ; len(packed) >= completionBytes; packed = packed[completionBytes:] {
		end := recentEnd{
			how: Completion(packed[completionBytes-1]), priority: priorityOfRecord(rec),
			expiry: binary.LittleEndian.Uint32(packed[digestBytes:]),
		}
		if !s.timelineResumed && !s.rawTimes {
			// The expiry is on another timeline: it is unknown how long ago the message ended.
			end.expiry = max(end.expiry, s.expiry(clock.Now()))
		}
		if end.how >= Delivered && end.how <= Failed {
			s.recent.put(traceDigest(packed[:digestBytes]), end)
		}
	}
}

// expiry returns when versions that remember ends for a limited time may forget that of a message with the given deadline.
func (s *state) expiry(deadline time.Time) uint32 {
	return uint32(s.times.Stamp(deadline).Add(completionRetention).Unix())
}

// rememberCompletion adds the end of m.
func (s *state) rememberCompletion(m *Message, how Completion) {
	priority := UnsafePriority
	if s.priorityOf != nil {
		priority = s.priorityOf(m.Class)
	}
	s.recent.put(digestOf(m.Trace), recentEnd{how: how, priority: priority, expiry: s.expiry(m.Deadline)})
}

// Complete records how m ended: nothing more is owed for it, and its trace id is remembered.
func (l *Log) Complete(m *Message, how Completion) {
	if l.live[m.ID] == nil {
		return
	}
	l.end(m, how)
	l.rememberCompletion(m, how)
	l.archiveRecent()
}

// RememberCompletion records the end of a message that is not in the log, and that was never sent.
func (l *Log) RememberCompletion(trace string, deadline time.Time, how Completion) {
	l.recordCompletion(trace, recentEnd{how: how, priority: RepeatablePriority, expiry: l.expiry(deadline)})
}

// RememberRejection records that a request is not accepted. If the log has been unable to write for long, only this process
// remembers it until the log can be written again.
func (l *Log) RememberRejection(trace string, deadline time.Time, how Completion) {
	end := recentEnd{how: how, priority: RejectedPriority, expiry: l.expiry(deadline)}
	if len(l.pending) >= maxPendingWithRejections {
		l.unrecorded = true
		l.recent.put(digestOf(trace), end)
		l.archiveRecent()
		return
	}
	l.recordCompletion(trace, end)
}

func (l *Log) recordCompletion(trace string, end recentEnd) {
	d := digestOf(trace)
	l.pending = append(l.pending, completionRecord(end.priority, appendCompleted(nil, d, end)))
	l.recent.put(d, end)
	l.archiveRecent()
}

// Completed returns how the message or rejected request with a trace id ended; false if its end is not remembered.
func (l *Log) Completed(trace string) (Completion, bool) {
	d := digestOf(trace)
	if end, ok := l.recent.entries[d]; ok {
		return end.how, true
	}
	return l.archive.find(d)
}

// CompletionStats describes the remembered ends, by priority.
type CompletionStats struct {
	Remembered   [PriorityCount]int
	Evicted      [PriorityCount]int64 // forgotten for lack of room
	ArchiveBytes int64                // on disk
	ArchiveError error                // why the archive could last not be written; nil if it could
}

// Total returns how many ends of messages are remembered, and how many were forgotten. Rejected requests are not included.
func (s CompletionStats) Total() (remembered int, evicted int64) {
	for p := RejectedPriority + 1; p < PriorityCount; p++ {
		remembered += s.Remembered[p]
		evicted += s.Evicted[p]
	}
	return remembered, evicted
}

// CompletionStats returns how many ends are remembered and were forgotten.
func (l *Log) CompletionStats() CompletionStats {
	s := CompletionStats{Evicted: l.archive.evicted, ArchiveBytes: l.archive.bytes, ArchiveError: l.archiveError}
	for p := range PriorityCount {
		s.Remembered[p] = len(l.recent.order[p]) + l.archive.count[p]
	}
	return s
}
