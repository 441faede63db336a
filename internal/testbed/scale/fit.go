package scale

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Law is a growth law: what a figure is made of at size n.
type Law string

// The laws, in the order in which they are preferred where they fit alike.
const (
	Constant     Law = "constant"  // a
	Linear       Law = "linear"    // a + b n
	Linearithmic Law = "n log n"   // a + b n ln n
	Quadratic    Law = "n squared" // a + b n²
)

// Laws are all of them.
var Laws = []Law{Constant, Linear, Linearithmic, Quadratic}

const (
	// MaxPredictionError is the error of prediction beyond which a law is not used.
	MaxPredictionError = 0.25
	// minSizes are those that a law is fitted to, with the one that it predicts.
	minSizes = 5
	// growthMargin is what a growing law's left-out error may be of the constant one's, and steeperMargin what a steeperMargin law's may be of
	// those that grow less, to be chosen instead: a draw goes to the law with less freedom, and then to less growthMargin.
	growthMargin, steeperMargin = 0.7, 0.85
	// significance is how probable it may be that a figure which doesn't grow looks as if it did, by an F test, for a law to be
	// chosen over the constant one.
	significance = 0.02
	// errorFloor is a left-out error below which no law is told from another.
	errorFloor = 0.005
	// scaleFloor keeps the small sizes from counting for more than a twentieth of the largest value would.
	scaleFloor = 0.05
)

// term is what of a law goes with n.
func (l Law) term(n float64) float64 {
	switch l {
	case Linear:
		return n
	case Linearithmic:
		return n * math.Log(max(n, 1))
	case Quadratic:
		return n * n
	}
	return 0
}

// Point is what was measured at one size: the median over the seeds.
type Point struct{ Size, Value float64 }

// Fit is a law with its coefficients, in the figure's unit.
type Fit struct {
	Law Law     `json:"law"`
	A   float64 `json:"a"`
	B   float64 `json:"b"`
}

// At is what the law says of size n, and never less than nothing.
func (f Fit) At(n float64) float64 { return max(0, f.A+f.B*f.Law.term(n)) }

// Reaches is the size at which the law comes to a value; false if it never passes it. A law that lies above the value
// from the start reaches it at 0.
func (f Fit) Reaches(value float64) (n float64, ok bool) {
	if f.A >= value {
		return 0, f.A > value
	}
	if f.Law == Constant || f.B <= 0 {
		return 0, false
	}
	want := (value - f.A) / f.B
	switch f.Law {
	case Linear:
		return want, true
	case Quadratic:
		return math.Sqrt(want), true
	}
	// n ln n grows from 1 on; Newton's steps from above stay above, so that they end.
	n = max(want, math.E)
	for range 100 {
		next := n - (n*math.Log(n)-want)/(math.Log(n)+1)
		if math.Abs(next-n) <= 1e-12*n {
			break
		}
		n = max(next, 1)
	}
	return n, true
}

// Formula is the law with its coefficients, for a reader.
func (f Fit) Formula() string {
	switch f.Law {
	case Linear:
		return fmt.Sprintf("%.4g + %.4g n", f.A, f.B)
	case Linearithmic:
		return fmt.Sprintf("%.4g + %.4g n ln n", f.A, f.B)
	case Quadratic:
		return fmt.Sprintf("%.4g + %.4g n²", f.A, f.B)
	}
	return fmt.Sprintf("%.4g", f.A)
}

// Prediction is what a law, chosen and fitted without the largest size, says of that size.
type Prediction struct {
	Law       Law     `json:"law"`
	Predicted float64 `json:"predicted"`
	Measured  float64 `json:"measured"`
	Error     float64 `json:"error"` // |predicted-measured|/measured
}

// WithinTolerance tells whether a law that predicts so well is used.
func (p Prediction) WithinTolerance() bool { return p.Error <= MaxPredictionError }

// ChooseFit finds the law that points of rising size follow: the one with the least error at points that were left out of its
// fit, errors taken as shares of the values, as noise of measured figures grows with them. A law grows: a figure that
// falls with the size comes out constant, and its prediction tells how well that holds.
func ChooseFit(points []Point) Fit {
	best := regress(Constant, points)
	constantError, leastError := crossValidationError(Constant, points), math.Inf(1)
	for _, l := range Laws[1:] {
		f, e := regress(l, points), crossValidationError(l, points)
		if e >= steeperMargin*leastError {
			continue
		}
		leastError = e
		if f.B > 0 && e < growthMargin*constantError && pValue(f, points) < significance {
			best = f
		}
	}
	return best
}

// Predict tells how well points of rising size are foretold: law and coefficients come from all but the last.
func Predict(points []Point) Prediction {
	last := points[len(points)-1]
	f := ChooseFit(points[:len(points)-1])
	p := Prediction{Law: f.Law, Predicted: f.At(last.Size), Measured: last.Value}
	switch {
	case p.Measured != 0:
		p.Error = math.Abs(p.Predicted-p.Measured) / math.Abs(p.Measured)
	case p.Predicted != 0:
		p.Error = 1
	}
	return p
}

// regress fits one law by least squares of the errors' shares.
func regress(l Law, points []Point) Fit {
	x, y, w := make([]float64, len(points)), make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		x[i], y[i], w[i] = l.term(p.Size), p.Value, math.Pow(errorScale(p, points), -2)
	}
	if l == Constant {
		return Fit{Law: l, A: stat.Mean(y, w)}
	}
	a, b := stat.LinearRegression(x, y, w, false)
	return Fit{Law: l, A: a, B: b}
}

// crossValidationError is the error of a law at points that it was not fitted to: the root of the mean square, as a share.
func crossValidationError(l Law, points []Point) float64 {
	sum := 0.0
	for i, p := range points {
		f := regress(l, slices.Concat(points[:i], points[i+1:]))
		e := (f.A + f.B*l.term(p.Size) - p.Value) / errorScale(p, points)
		sum += e * e
	}
	return math.Sqrt(sum/float64(len(points)) + errorFloor*errorFloor)
}

// pValue is the probability that points which don't grow are fitted so much better by a law with one more freedom.
func pValue(f Fit, points []Point) float64 {
	squares := func(f Fit) (sum float64) {
		for _, p := range points {
			sum += math.Pow((f.A+f.B*f.Law.term(p.Size)-p.Value)/errorScale(p, points), 2)
		}
		return sum
	}
	free := float64(len(points) - 2)
	with := squares(f)
	if with == 0 {
		return 0
	}
	return distuv.F{D1: 1, D2: free}.Survival(max(0, squares(regress(Constant, points))-with) / (with / free))
}

// errorScale is what an error at a point is a share of.
func errorScale(p Point, points []Point) float64 {
	most := slices.MaxFunc(points, func(a, b Point) int { return cmp.Compare(a.Value, b.Value) }).Value
	if most <= 0 {
		return 1
	}
	return max(p.Value, scaleFloor*most)
}

// Median is the middle of some samples, or the mean of the two in the middle.
func Median(samples []float64) float64 {
	s := slices.Sorted(slices.Values(samples))
	if n := len(s); n%2 == 0 {
		return (s[n/2-1] + s[n/2]) / 2
	}
	return s[len(s)/2]
}
