package wal

import (
	"time"

	"onyxroad.dev/onyxroad/internal/clock"
)

// Times in a log are on a timeline. The record that names the timeline precedes the first record with a time; in a segment or
// snapshot it is in the header. Logs of older versions have none: their times are those of the wall clock.

func newState() state { return state{live: map[uint32]*Message{}, times: clock.NewTimeline()} }

// newRawTimesState returns a state for readers that show times as they are stored.
func newRawTimesState() state { return state{live: map[uint32]*Message{}, rawTimes: true} }

// resumeTimeline makes the times of the records that follow refer to the timeline of an earlier process. If that timeline can't be
// resumed, a new one begins and the stored times are taken as wall clock times.
func (s *state) resumeTimeline(a *clock.Anchor) {
	if s.rawTimes {
		return
	}
	t, ok := clock.ResumeTimeline(*a)
	if !ok {
		t = clock.NewTimeline()
	}
	s.times, s.timelineResumed = t, ok
}

// localize converts the times of a message that was read to those of this process.
func (s *state) localize(m *Message) {
	m.Deadline = s.times.Local(m.Deadline)
	for i := range m.MayRun {
		m.MayRun[i].At = s.times.Local(m.MayRun[i].At)
	}
}

// acceptPayload encodes a message with all its state as an accept record.
func (s *state) acceptPayload(m *Message) []byte { return s.appendAccept(nil, m) }

// appendAccept appends the payload of a message's accept record.
func (s *state) appendAccept(buf []byte, m *Message) []byte {
	stamped := *m
	stamped.Deadline = s.times.Stamp(m.Deadline)
	stamped.MayRun = make([]Attempt, len(m.MayRun))
	for i, a := range m.MayRun {
		a.At = s.times.Stamp(a.At)
		stamped.MayRun[i] = a
	}
	return appendPayload(buf, record{Kind: recAccept, ID: m.ID, Message: &stamped}, m.Body)
}

// clockRecord returns the record of the timeline, or none if another process could not resume it.
func (s *state) clockRecord() [][]byte {
	a := s.clockAnchor()
	if a == nil {
		return nil
	}
	return [][]byte{payload(record{Kind: recClock, Clock: a}, nil)}
}

func (s *state) clockAnchor() *clock.Anchor {
	if a, ok := s.times.Anchor(); ok {
		return &a
	}
	return nil
}

// missingClockRecord returns the record of the timeline if the current file does not contain it yet.
func (l *Log) missingClockRecord() [][]byte {
	if l.clockWritten || l.clockInHeaders {
		return nil
	}
	return l.clockRecord()
}

// Timeline reports whether the log continues the timeline of an earlier process, and by how much the wall clock has been stepped
// since that process began it.
func (l *Log) Timeline() (resumed bool, stepped time.Duration) {
	return l.timelineResumed, l.times.Stepped()
}

// Stamp converts a time of this process to the log's timeline. Local is the inverse.
func (l *Log) Stamp(at time.Time) time.Time { return l.times.Stamp(at) }

// Local converts a time on the log's timeline to one of this process.
func (l *Log) Local(stamp time.Time) time.Time { return l.times.Local(stamp) }
