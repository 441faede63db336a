package wal

import (
	"time"

	"onyxroad.dev/onyxroad/internal/clock"
)

// The times in a log stand on a timeline. The record that says which one comes before the first record that goes by it, and a
// segment or a snapshot has it in its head. A log of before has none: its times are the wall clock's.

func newState() state { return state{live: map[uint32]*Message{}, times: clock.NewTimeline()} }

// newRawTimesState is for a reader that shows the times as they stand in the log.
func newRawTimesState() state { return state{live: map[uint32]*Message{}, rawTimes: true} }

// resumeTimeline has what is read from here on go by the timeline of an earlier process. Where that can't be gone on with, a new
// one begins, and what is read is taken for times of the wall clock.
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

// localize puts the times of a message that was read into those of this process.
func (s *state) localize(m *Message) {
	m.Deadline = s.times.Local(m.Deadline)
	for i := range m.MayRun {
		m.MayRun[i].At = s.times.Local(m.MayRun[i].At)
	}
}

// acceptPayload is the record of a message with all that is known of it.
func (s *state) acceptPayload(m *Message) []byte {
	stamped := *m
	stamped.Deadline = s.times.Stamp(m.Deadline)
	stamped.MayRun = make([]Attempt, len(m.MayRun))
	for i, a := range m.MayRun {
		a.At = s.times.Stamp(a.At)
		stamped.MayRun[i] = a
	}
	return payload(record{Kind: recAccept, ID: m.ID, Message: &stamped}, m.Body)
}

// clockRecord is the record of the timeline; none if there is nothing that another process could go by.
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

// missingClockRecord is what has to be written before anything that goes by the timeline; nothing if it stands there already.
func (l *Log) missingClockRecord() [][]byte {
	if l.clockWritten || l.clockInHeaders {
		return nil
	}
	return l.clockRecord()
}

// Timeline tells whether the log goes on with the times of an earlier process, and by how much the wall clock has been stepped
// since that one began them.
func (l *Log) Timeline() (resumed bool, stepped time.Duration) {
	return l.timelineResumed, l.times.Stepped()
}

// Stamp is the time on the log's timeline of a moment of this process. Local is the way back.
func (l *Log) Stamp(at time.Time) time.Time { return l.times.Stamp(at) }

// Local is the moment of this process that bears a time on the log's timeline.
func (l *Log) Local(stamp time.Time) time.Time { return l.times.Local(stamp) }
