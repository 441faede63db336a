package backlog

import (
	"encoding/binary"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/pebble/v2"
)

// The engine's keys, each by its first byte. Numbers are big-endian, signed ones with their sign flipped, so that the order
// of bytes is the order of numbers.
//
//	d dest rank id        by destination, most urgent first
//	t deadline id         by deadline
//	x hash id             by the hash of the trace
//	c dest                how many messages a destination has, and the lowest place that may be taken in its order
//	s                     the highest id, and the lowest place that may be taken in the order of deadlines
//	z id                  a message's record
//
// Records come last in a table, so that a damaged block hides none of a later id.
//
// The lowest places spare a read the graves of all that was removed before them.
const (
	keyMessage  = 'z'
	keyDest     = 'd'
	keyDeadline = 't'
	keyTrace    = 'x'
	keyCount    = 'c'
	keyState    = 's'
)

const (
	idBytes        = 4
	hashBytes      = 8
	tracePrefixLen = 1 + hashBytes
)

// comparer is the order of bytes. All ids under one hash have one prefix, so that the engine's filter knows the hash.
var comparer = func() *pebble.Comparer {
	c := *pebble.DefaultComparer
	c.Name = "ivygauge.backlog.1"
	c.Split = func(key []byte) int {
		if len(key) > tracePrefixLen && key[0] == keyTrace {
			return tracePrefixLen
		}
		return len(key)
	}
	return &c
}()

// position is where a message stands in an order: a time and an id.
type position struct {
	time int64
	id   uint32
}

func (p position) less(q position) bool { return p.time < q.time || p.time == q.time && p.id < q.id }

var maxPosition = position{math.MaxInt64, math.MaxUint32}

func encodeOrdered(v int64) uint64 { return uint64(v) ^ 1<<63 }
func decodeOrdered(v uint64) int64 { return int64(v ^ 1<<63) }

func messageKey(id uint32) []byte { return binary.BigEndian.AppendUint32([]byte{keyMessage}, id) }

func destKey(dest int, p position) []byte {
	key := binary.BigEndian.AppendUint32(append(make([]byte, 0, 17), keyDest), uint32(dest))
	return appendPosition(key, p)
}

func deadlineKey(p position) []byte {
	return appendPosition(append(make([]byte, 0, 13), keyDeadline), p)
}

func appendPosition(key []byte, p position) []byte {
	return binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint64(key, encodeOrdered(p.time)), p.id)
}

// decodePosition reads the place at the end of a key or value.
func decodePosition(key []byte) position {
	at := len(key) - 8 - idBytes
	return position{decodeOrdered(binary.BigEndian.Uint64(key[at:])), binary.BigEndian.Uint32(key[at+8:])}
}

// tracePrefix is what all keys under a trace's hash begin with.
func tracePrefix(trace string) []byte {
	return binary.BigEndian.AppendUint64(append(make([]byte, 0, 13), keyTrace), xxhash.Sum64String(trace))
}

func traceKey(trace string, id uint32) []byte {
	return binary.BigEndian.AppendUint32(tracePrefix(trace), id)
}

func countKey(dest int) []byte { return binary.BigEndian.AppendUint32([]byte{keyCount}, uint32(dest)) }

// indexKeys are the keys that find a message.
func indexKeys(r Ref) [][]byte {
	return [][]byte{destKey(r.Dest, position{r.Rank, r.ID}), deadlineKey(position{r.Deadline, r.ID}), traceKey(r.Trace, r.ID)}
}

// A record is a checksum, the destination, the rank, the deadline, the trace's length, the trace, and the data. The
// checksum covers the id too.
const recordHeaderLen = hashBytes + 4 + 8 + 8 + 2

func appendRecord(buf []byte, e Entry) []byte {
	at := len(buf)
	buf = append(buf, make([]byte, hashBytes)...)
	buf = binary.BigEndian.AppendUint32(buf, uint32(e.Dest))
	buf = binary.BigEndian.AppendUint64(buf, uint64(e.Rank))
	buf = binary.BigEndian.AppendUint64(buf, uint64(e.Deadline))
	buf = binary.BigEndian.AppendUint16(buf, uint16(len(e.Trace)))
	buf = append(append(buf, e.Trace...), e.Data...)
	binary.BigEndian.PutUint64(buf[at:], recordChecksum(e.ID, buf[at+hashBytes:]))
	return buf
}

func recordChecksum(id uint32, rest []byte) uint64 {
	var h xxhash.Digest
	h.Reset()
	h.Write(messageKey(id))
	h.Write(rest)
	return h.Sum64()
}

// decodeRecord reads a record. The entry's data is a copy.
func decodeRecord(id uint32, b []byte) (Entry, error) {
	if len(b) < recordHeaderLen || recordChecksum(id, b[hashBytes:]) != binary.BigEndian.Uint64(b) {
		return Entry{}, fmt.Errorf("%w: the record of message %d has a wrong checksum", ErrDamaged, id)
	}
	b = b[hashBytes:]
	e := Entry{Ref: Ref{ID: id, Dest: int(binary.BigEndian.Uint32(b)), Rank: int64(binary.BigEndian.Uint64(b[4:])),
		Deadline: int64(binary.BigEndian.Uint64(b[12:]))}}
	n := int(binary.BigEndian.Uint16(b[20:]))
	if b = b[22:]; n > len(b) {
		return Entry{}, fmt.Errorf("%w: the record of message %d ends in its trace", ErrDamaged, id)
	}
	e.Trace, e.Data = string(b[:n]), append([]byte(nil), b[n:]...)
	return e, nil
}

// validate tells whether a message can be kept.
func validate(e Entry) error {
	if e.Dest < 0 || int64(e.Dest) > math.MaxUint32 || len(e.Trace) > math.MaxUint16 {
		return fmt.Errorf("backlog: message %d can't be kept: destination %d, trace of %d bytes", e.ID, e.Dest, len(e.Trace))
	}
	return nil
}
