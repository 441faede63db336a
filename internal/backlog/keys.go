package backlog

import (
	"encoding/binary"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/pebble/v2"
)

// Layout of the engine's keys; the first byte is the type of key. Integers are big-endian, and signed ones have their sign
// bit flipped, so that keys sort in numerical order.
//
//	d dest rank id        index by destination, most urgent first
//	t deadline id         index by deadline
//	x hash id             index by the hash of the trace
//	c dest                number of messages of a destination, and a lower bound of the positions in its index
//	s                     highest id, and a lower bound of the positions in the deadline index
//	z id                  record of a message
//
// Records sort after all other keys, so that a damaged block does not hide any record of a later id.
//
// The lower bounds let reads skip the tombstones of messages that were removed earlier.
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

// comparer orders keys bytewise. All trace keys with the same hash share a prefix, so that the engine's Bloom filters work on
// the hash.
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

// position is the sort position of a message in an index: a time, then the id.
type position struct {
	time int64
	id   uint32
}

func (p position) less(q position) bool { return p.time < q.time || p.time == q.time && p.id < q.id }

// next returns the position that directly follows p.
func (p position) next() position {
	if p.id == math.MaxUint32 {
		return position{p.time + 1, 0}
	}
	return position{p.time, p.id + 1}
}

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

// decodePosition decodes the position at the end of a key or value.
func decodePosition(key []byte) position {
	at := len(key) - 8 - idBytes
	return position{decodeOrdered(binary.BigEndian.Uint64(key[at:])), binary.BigEndian.Uint32(key[at+8:])}
}

// tracePrefix returns the common prefix of all keys with the hash of trace.
func tracePrefix(trace string) []byte {
	return binary.BigEndian.AppendUint64(append(make([]byte, 0, 13), keyTrace), xxhash.Sum64String(trace))
}

func traceKey(trace string, id uint32) []byte {
	return binary.BigEndian.AppendUint32(tracePrefix(trace), id)
}

func countKey(dest int) []byte { return binary.BigEndian.AppendUint32([]byte{keyCount}, uint32(dest)) }

// indexKeys returns the keys of a message in the three indexes.
func indexKeys(r Ref) [][]byte {
	return [][]byte{destKey(r.Dest, position{r.Rank, r.ID}), deadlineKey(position{r.Deadline, r.ID}), traceKey(r.Trace, r.ID)}
}

// A record consists of a checksum, the destination, the rank, the deadline, the length of the trace, the trace, and the data.
// The checksum also covers the id, which is only in the key.
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

// decodeRecord decodes the record of a message. The returned data is a copy.
func decodeRecord(id uint32, b []byte) (Entry, error) {
	if len(b) < recordHeaderLen || recordChecksum(id, b[hashBytes:]) != binary.BigEndian.Uint64(b) {
		return Entry{}, fmt.Errorf("%w: the record of message %d has a wrong checksum", ErrDamaged, id)
	}
	b = b[hashBytes:]
	e := Entry{Ref: Ref{ID: id, Dest: int(binary.BigEndian.Uint32(b)), Rank: int64(binary.BigEndian.Uint64(b[4:])),
		Deadline: int64(binary.BigEndian.Uint64(b[12:]))}}
	n := int(binary.BigEndian.Uint16(b[20:]))
	if b = b[22:]; n > len(b) {
		return Entry{}, fmt.Errorf("%w: the record of message %d is truncated within its trace", ErrDamaged, id)
	}
	e.Trace, e.Data = string(b[:n]), append([]byte(nil), b[n:]...)
	return e, nil
}

// validate reports an error if the record format cannot represent a message.
func validate(e Entry) error {
	if e.Dest < 0 || int64(e.Dest) > math.MaxUint32 || len(e.Trace) > math.MaxUint16 {
		return fmt.Errorf("backlog: message %d cannot be stored: destination %d, trace of %d bytes", e.ID, e.Dest, len(e.Trace))
	}
	return nil
}
