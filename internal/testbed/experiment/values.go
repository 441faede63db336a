package experiment

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// Duration is a time written as "250ms".
type Duration time.Duration

// D is the time.
func (d Duration) D() time.Duration { return time.Duration(d) }

// UnmarshalText reads it.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no duration such as \"250ms\"", text)
	}
	if v < 0 {
		return fmt.Errorf("%q is negative", text)
	}
	*d = Duration(v)
	return nil
}

// Range is a figure, or two between which a seed draws one.
type Range struct{ Lo, Hi float64 }

// NewRange is the range from lo to hi.
func NewRange(lo, hi float64) Range { return Range{lo, hi} }

// UnmarshalText reads 3 or "3..5".
func (r *Range) UnmarshalText(text []byte) error {
	lo, hi := splitRange(text)
	var err error
	if r.Lo, err = strconv.ParseFloat(lo, 64); err == nil {
		r.Hi, err = strconv.ParseFloat(hi, 64)
	}
	if err != nil {
		return fmt.Errorf("%q is neither a number nor a range such as \"3..5\"", text)
	}
	if !(r.Lo <= r.Hi) || r.Lo < 0 || math.IsInf(r.Hi, 0) {
		return fmt.Errorf("%q is no range upwards from 0", text)
	}
	return nil
}

// splitRange are both splitRange of a range, which are the same where it has one.
func splitRange(text []byte) (lo, hi string) {
	lo, hi, found := strings.Cut(string(text), "..")
	if !found {
		hi = lo
	}
	return strings.TrimSpace(lo), strings.TrimSpace(hi)
}

// Draw is one value, evenly.
func (r Range) Draw(rng *rand.Rand) float64 { return r.Lo + (r.Hi-r.Lo)*rng.Float64() }

// DrawInt is one whole value, evenly.
func (r Range) DrawInt(rng *rand.Rand) int {
	lo, hi := int(r.Lo+0.5), int(r.Hi+0.5)
	return lo + rng.IntN(max(1, hi-lo+1))
}

func (r Range) String() string { return fmt.Sprintf("[%g, %g]", r.Lo, r.Hi) }

// DurationRange is a time, or two between which a seed draws one: "5s" or "5s..7s".
type DurationRange struct{ Lo, Hi time.Duration }

// UnmarshalText reads it.
func (s *DurationRange) UnmarshalText(text []byte) error {
	a, b := splitRange(text)
	var lo, hi Duration
	if err := errors.Join(lo.UnmarshalText([]byte(a)), hi.UnmarshalText([]byte(b))); err != nil {
		return err
	}
	if s.Lo, s.Hi = lo.D(), hi.D(); s.Hi < s.Lo {
		return fmt.Errorf("%q ends before it begins", text)
	}
	return nil
}

// Draw is one time, evenly.
func (s DurationRange) Draw(rng *rand.Rand) time.Duration {
	return s.Lo + time.Duration(rng.Float64()*float64(s.Hi-s.Lo))
}
