package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"math/bits"
	"sync"
)

// A segment or snapshot file is a sequence of frames: the payload's length, how many bytes of the file were known to be on disk when
// the frame was written, a checksum, and the payload. The checksum also covers the file's generation and the frame's offset, so that
// neither a stale sector nor a misplaced one is taken for a record, whatever length it claims.

const frameHeaderBytes = 12

// castagnoli is built on first use, so that a relay without segments does not pay for it at its start.
var castagnoli = sync.OnceValue(func() *crc32.Table { return crc32.MakeTable(crc32.Castagnoli) })

// frame is a frame that was read.
type frame struct {
	payload  []byte
	durable  int64 // bytes of the file that were on disk before the frame was written
	size     int   // of the frame, in bytes
	repaired bool  // a single flipped bit was corrected
}

// appendFrame appends a frame for offset at of the file with the given salt.
func appendFrame(buf []byte, salt uint64, at, durable int64, payload []byte) []byte {
	var head [frameHeaderBytes]byte
	binary.LittleEndian.PutUint32(head[:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(head[4:], uint32(durable))
	binary.LittleEndian.PutUint32(head[8:], checksum(salt, at, head[:8], payload))
	return append(append(buf, head[:]...), payload...)
}

func checksum(salt uint64, at int64, head, payload []byte) uint32 {
	var place [16]byte
	binary.LittleEndian.PutUint64(place[:], salt)
	binary.LittleEndian.PutUint64(place[8:], uint64(at))
	table := castagnoli()
	sum := crc32.Update(0, table, place[:])
	return crc32.Update(crc32.Update(sum, table, head), table, payload)
}

// readFrame reads the frame at the start of rest, which is at offset at of its file; ok is false if there is no complete one.
func readFrame(rest []byte, salt uint64, at int64) (f frame, ok bool) {
	if len(rest) < frameHeaderBytes {
		return f, false
	}
	n := binary.LittleEndian.Uint32(rest)
	durable := int64(binary.LittleEndian.Uint32(rest[4:]))
	if n == 0 || n > maxRecordBytes || int(n) > len(rest)-frameHeaderBytes || durable > at {
		return f, false
	}
	payload := rest[frameHeaderBytes : frameHeaderBytes+n]
	if checksum(salt, at, rest[:8], payload) != binary.LittleEndian.Uint32(rest[8:]) {
		return f, false
	}
	return frame{payload: payload, durable: durable, size: frameHeaderBytes + int(n)}, true
}

// repairFrame reads the frame at the start of rest if a single bit of it has flipped. A torn frame is not mistaken for one: the chance
// that its remains are one bit away from a matching checksum is about its number of bits in 2^32.
func repairFrame(rest []byte, salt uint64, at int64) (f frame, ok bool) {
	if len(rest) < frameHeaderBytes {
		return f, false
	}
	try := func(n uint32, off int, mask byte) bool {
		flipped := bytes.Clone(rest[:frameHeaderBytes+n])
		flipped[off] ^= mask
		f, ok = readFrame(flipped, salt, at)
		f.repaired = ok
		return ok
	}
	for off := range 4 { // the length first: it decides which bytes the checksum covers
		for bit := range 8 {
			n := binary.LittleEndian.Uint32(rest) ^ 1<<(8*off+bit)
			if n == 0 || n > maxRecordBytes || int(n) > len(rest)-frameHeaderBytes {
				continue
			}
			if try(n, off, 1<<bit) {
				return f, true
			}
		}
	}
	n := binary.LittleEndian.Uint32(rest)
	if n == 0 || n > maxRecordBytes || int(n) > len(rest)-frameHeaderBytes {
		return f, false
	}
	payload := rest[frameHeaderBytes : frameHeaderBytes+n]
	syndrome := checksum(salt, at, rest[:8], payload) ^ binary.LittleEndian.Uint32(rest[8:])
	if bits.OnesCount32(syndrome) == 1 {
		bit := bits.TrailingZeros32(syndrome)
		try(n, 8+bit/8, 1<<(bit%8))
		return f, ok
	}
	// How a flipped bit changes the checksum depends only on its distance from the end.
	var bitSyndromes [8]uint32
	table := castagnoli()
	for bit := range bitSyndromes {
		bitSyndromes[bit] = table[1<<bit]
	}
	for k := int(n) - 1; k >= -4; k-- { // the payload, and before it the durable length
		for bit := range bitSyndromes {
			if bitSyndromes[bit] == syndrome {
				off := frameHeaderBytes + k
				if k < 0 {
					off = 8 + k
				}
				try(n, off, 1<<bit)
				return f, ok
			}
			bitSyndromes[bit] = table[bitSyndromes[bit]&0xff] ^ bitSyndromes[bit]>>8
		}
	}
	return f, false
}
