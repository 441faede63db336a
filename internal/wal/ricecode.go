package wal

import (
	"errors"
	"math/bits"
)

// Rice coding of ascending numbers: each gap is split into a quotient, written in unary, and a remainder of a fixed number of bits.
// Gaps between random numbers take about 1.5 bits more than their mean's logarithm.

var errRiceCode = errors.New("wal: malformed Rice code")

// unaryChunk is the most ones of a quotient that are written at once.
const unaryChunk = 32

// bitWriter appends bits to a buffer, lowest first.
type bitWriter struct {
	buf     []byte
	partial uint64 // bits that do not fill a byte yet
	n       uint   // number of these bits
}

// write appends the lowest bits of v, at most 56 of them. The higher bits of v must be zero.
func (w *bitWriter) write(v uint64, count uint) {
	w.partial |= v << w.n
	for w.n += count; w.n >= 8; w.n -= 8 {
		w.buf = append(w.buf, byte(w.partial))
		w.partial >>= 8
	}
}

// writeUnary appends q ones and a zero.
func (w *bitWriter) writeUnary(q uint64) {
	for ; q >= unaryChunk; q -= unaryChunk {
		w.write(1<<unaryChunk-1, unaryChunk)
	}
	w.write(1<<q-1, uint(q)+1)
}

// bytes returns the buffer, with zeros after the last bit.
func (w *bitWriter) bytes() []byte {
	if w.n > 0 {
		w.write(0, 8-w.n)
	}
	return w.buf
}

// bitReader reads what a bitWriter has written. Past the end of the data it reads zeros.
type bitReader struct {
	data    []byte
	partial uint64
	n       uint
	missing uint // zeros that were read past the end
}

// fill makes at least 56 bits available.
func (r *bitReader) fill() {
	for r.n <= 56 {
		if len(r.data) > 0 {
			r.partial |= uint64(r.data[0]) << r.n
			r.data = r.data[1:]
		} else {
			r.missing += 8
		}
		r.n += 8
	}
}

func (r *bitReader) skip(count uint) {
	r.partial >>= count
	r.n -= count
}

// read returns the next bits, at most 56 of them.
func (r *bitReader) read(count uint) uint64 {
	r.fill()
	v := r.partial & (1<<count - 1)
	r.skip(count)
	return v
}

// readUnary returns the number of ones before the next zero.
func (r *bitReader) readUnary() (q uint64) {
	for {
		r.fill()
		ones := uint(bits.TrailingZeros64(^r.partial))
		if ones < r.n {
			r.skip(ones + 1)
			return q + uint64(ones)
		}
		q += uint64(r.n)
		r.skip(r.n)
	}
}

// overrun reports whether bits past the end of the data were used.
func (r *bitReader) overrun() bool { return r.missing > r.n }

// riceRemainderBits returns the size of the remainder for that many numbers below 1<<width.
func riceRemainderBits(count int, width uint) uint {
	return width - min(width, uint(bits.Len(uint(count))))
}

// riceEncode encodes ascending numbers below 1<<width.
func riceEncode(numbers []uint64, width uint) []byte {
	var w bitWriter
	remainder := riceRemainderBits(len(numbers), width)
	last := uint64(0)
	for _, v := range numbers {
		gap := v - last
		w.writeUnary(gap >> remainder)
		w.write(gap&(1<<remainder-1), remainder)
		last = v
	}
	return w.bytes()
}

// riceDecode decodes count numbers that riceEncode has encoded.
func riceDecode(data []byte, count int, width uint) ([]uint64, error) {
	r := bitReader{data: data}
	remainder := riceRemainderBits(count, width)
	numbers := make([]uint64, 0, min(count, 8*len(data)))
	last := uint64(0)
	for range count {
		quotient := r.readUnary()
		if quotient > 1<<width>>remainder {
			return nil, errRiceCode
		}
		last += quotient<<remainder + r.read(remainder)
		if r.overrun() || last >= 1<<width {
			return nil, errRiceCode
		}
		numbers = append(numbers, last)
	}
	return numbers, nil
}
