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

// Duration is a duration written as "250ms".
type Duration time.Duration

// D returns the duration as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// UnmarshalText parses a duration that is not negative.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"250ms\"", text)
	}
	if v < 0 {
		return fmt.Errorf("%q is negative", text)
	}
	*d = Duration(v)
	return nil
}

// Range is a number, or the range from which a seed draws one.
type Range struct{ Lo, Hi float64 }

// NewRange returns the range from lo to hi.
func NewRange(lo, hi float64) Range { return Range{lo, hi} }

// UnmarshalText parses 3 or "3..5".
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
		return fmt.Errorf("%q is not an ascending range of numbers from 0 on", text)
	}
	return nil
}

// splitRange returns both ends of a range, which are equal if only one is given.
func splitRange(text []byte) (lo, hi string) {
	lo, hi, found := strings.Cut(string(text), "..")
	if !found {
		hi = lo
	}
	return strings.TrimSpace(lo), strings.TrimSpace(hi)
}

// Draw draws a value from a uniform distribution.
func (r Range) Draw(rng *rand.Rand) float64 { return r.Lo + (r.Hi-r.Lo)*rng.Float64() }

// DrawInt draws an integer from a uniform distribution.
func (r Range) DrawInt(rng *rand.Rand) int {
	lo, hi := int(r.Lo+0.5), int(r.Hi+0.5)
	return lo + rng.IntN(max(1, hi-lo+1))
}

func (r Range) String() string { return fmt.Sprintf("[%g, %g]", r.Lo, r.Hi) }

// DurationRange is a duration, or the range from which a seed draws one: "5s" or "5s..7s".
type DurationRange struct{ Lo, Hi time.Duration }

// UnmarshalText parses a duration or a range of durations.
func (s *DurationRange) UnmarshalText(text []byte) error {
	a, b := splitRange(text)
	var lo, hi Duration
	if err := errors.Join(lo.UnmarshalText([]byte(a)), hi.UnmarshalText([]byte(b))); err != nil {
		return err
	}
	if s.Lo, s.Hi = lo.D(), hi.D(); s.Hi < s.Lo {
		return fmt.Errorf("%q ends before it starts", text)
	}
	return nil
}

// Draw draws a duration from a uniform distribution.
func (s DurationRange) Draw(rng *rand.Rand) time.Duration {
	return s.Lo + time.Duration(rng.Float64()*float64(s.Hi-s.Lo))
}
