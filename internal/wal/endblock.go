package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/bits"
	"slices"
	"strconv"
	"strings"
)

// fingerprintBits is the size of the part of a trace id's digest that the archive keeps. A new id equals one of n archived ones with a
// probability of n / 2^fingerprintBits: with maxArchivedEnds of them that is 9e-10.
const fingerprintBits = 50

// completionBits is the size of a Completion beside a fingerprint.
const completionBits = 2

// fingerprint returns the part of the digest that the archive keeps.
func (d traceDigest) fingerprint() uint64 {
	return binary.BigEndian.Uint64(d[:]) >> (64 - fingerprintBits)
}

// maxBlockEnds is the largest number of ends in a block.
const maxBlockEnds = 8192

// endBlock is an immutable set of remembered ends of one priority. In memory each end takes 9 bytes, in a file about 5.
type endBlock struct {
	priority Priority
	number   uint64   // blocks are numbered in the order in which they are written
	fileSize int64    // bytes on disk
	ends     []uint64 // ascending: fingerprints, each followed by completionBits of its completion
	// starts is an index: the ends whose fingerprints begin with the bits b are those from starts[b] to starts[b+1]. There are about
	// as many values of b as half the ends.
	starts    []uint16
	indexBits uint
}

var errEndBlock = errors.New("wal: malformed block of ends")

// newEndBlock returns a block of ends that were remembered under the given digests.
func newEndBlock(p Priority, number uint64, ends map[traceDigest]Completion) *endBlock {
	b := &endBlock{priority: p, number: number}
	packed := make([]uint64, 0, len(ends))
	for d, how := range ends {
		packed = append(packed, packEnd(d.fingerprint(), how))
	}
	b.setEnds(packed)
	return b
}

func packEnd(fingerprint uint64, how Completion) uint64 {
	return fingerprint<<completionBits | uint64(how)
}

func unpackEnd(end uint64) (fingerprint uint64, how Completion) {
	return end >> completionBits, Completion(end & (1<<completionBits - 1))
}

// setEnds sets the ends and builds the index.
func (b *endBlock) setEnds(ends []uint64) {
	slices.Sort(ends)
	b.ends = ends
	b.indexBits = uint(max(1, bits.Len(uint(len(ends)))-1)) - 1
	b.starts = make([]uint16, 1<<b.indexBits+1)
	next := 0
	for i := range b.starts {
		for next < len(ends) && b.indexOf(ends[next]>>completionBits) < i {
			next++
		}
		b.starts[i] = uint16(next)
	}
}

// indexOf returns the index entry of a fingerprint.
func (b *endBlock) indexOf(fingerprint uint64) int {
	return int(fingerprint >> (fingerprintBits - b.indexBits))
}

// find returns how the id with a fingerprint ended; false if the block does not contain it.
func (b *endBlock) find(fingerprint uint64) (Completion, bool) {
	i := b.indexOf(fingerprint)
	for _, end := range b.ends[b.starts[i]:b.starts[i+1]] {
		if f, how := unpackEnd(end); f == fingerprint {
			return how, true
		}
	}
	return 0, false
}

// fileName returns the name of the block's file. It contains the priority, so that room can be made without reading any file.
func (b *endBlock) fileName() string {
	return fmt.Sprintf("%s%d-%08x", endsPrefix, b.priority, b.number)
}

// parseEndBlockName is the inverse of fileName.
func parseEndBlockName(name string) (p Priority, number uint64, ok bool) {
	rest, ok := strings.CutPrefix(name, endsPrefix)
	if !ok || len(rest) < 2 {
		return 0, 0, false
	}
	p = Priority(rest[0] - '0')
	number, err := strconv.ParseUint(rest[2:], 16, 63)
	b := endBlock{priority: p, number: number}
	return p, number, err == nil && p < PriorityCount && b.fileName() == name
}

// salt returns the salt of the block's frame, so that a renamed file is not taken for another block.
func (b *endBlock) salt() uint64 { return endsSalt | uint64(b.priority)<<56 | b.number }

// encode returns the content of the block's file: a frame with a record whose body has, for each completion, the number of ends, the
// size of their code, and the Rice code of their fingerprints.
func (b *endBlock) encode() []byte {
	var body []byte
	for how := Delivered; how <= Failed; how++ {
		var fingerprints []uint64
		for _, end := range b.ends {
			if f, h := unpackEnd(end); h == how {
				fingerprints = append(fingerprints, f)
			}
		}
		code := riceEncode(fingerprints, fingerprintBits)
		body = binary.AppendUvarint(body, uint64(len(fingerprints)))
		body = binary.AppendUvarint(body, uint64(len(code)))
		body = append(body, code...)
	}
	return appendFrame(nil, b.salt(), 0, 0, payload(record{Kind: recEndBlock}, body))
}

// decode reads the content of the block's file into the block. A single flipped bit is corrected.
func (b *endBlock) decode(data []byte) error {
	f, ok := readFrame(data, b.salt(), 0)
	if !ok {
		f, ok = repairFrame(data, b.salt(), 0)
	}
	if !ok {
		return errEndBlock
	}
	rec, body, ok := parsePayload(f.payload)
	if !ok || rec.Kind != recEndBlock {
		return errEndBlock
	}
	var ends []uint64
	for how := Delivered; how <= Failed; how++ {
		count, n := binary.Uvarint(body)
		size, m := binary.Uvarint(body[max(0, n):])
		if n <= 0 || m <= 0 || count > maxBlockEnds || size > uint64(len(body)-n-m) {
			return errEndBlock
		}
		body = body[n+m:]
		fingerprints, err := riceDecode(body[:size], int(count), fingerprintBits)
		if err != nil {
			return err
		}
		for _, f := range fingerprints {
			ends = append(ends, packEnd(f, how))
		}
		body = body[size:]
	}
	if len(ends) > maxBlockEnds {
		return errEndBlock
	}
	b.setEnds(ends)
	return nil
}
