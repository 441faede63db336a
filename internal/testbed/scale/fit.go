package scale

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Law is a growth law: the form of the function that gives a figure at size n.
type Law string

// The laws, in order of preference if they fit equally well.
const (
	Constant     Law = "constant"  // a
	Linear       Law = "linear"    // a + b n
	Linearithmic Law = "n log n"   // a + b n ln n
	Quadratic    Law = "n squared" // a + b n²
)

// Laws lists all laws, in order of preference.
var Laws = []Law{Constant, Linear, Linearithmic, Quadratic}

const (
	// MaxPredictionError is the largest relative error of the prediction with which a law is still used.
	MaxPredictionError = 0.25
	// minSizes is the smallest number of sizes, including the one that the law has to predict.
	minSizes = 5
	// A growing law replaces the constant one only if its cross-validation error is below growthMargin of the constant law's, and
	// a steeper law replaces a flatter one only below steeperMargin of the flatter law's error. If the errors are similar, the law
	// with fewer parameters is preferred, and then the one that grows less.
	growthMargin, steeperMargin = 0.7, 0.85
	// significance is the p-value of an F test against the constant law below which a growing law may be chosen.
	significance = 0.02
	// errorFloor is added to cross-validation errors, in quadrature, so that laws with negligible errors count as equal.
	errorFloor = 0.005
	// scaleFloor bounds the weight of small values: errors are relative to the value, or to this share of the largest value if
	// that is more.
	scaleFloor = 0.05
)

// term returns the part of the law that depends on n.
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

// Point is a measurement at one size: the median over the seeds.
type Point struct{ Size, Value float64 }

// Fit is a law with its coefficients, in the unit of the figure.
type Fit struct {
	Law Law     `json:"law"`
	A   float64 `json:"a"`
	B   float64 `json:"b"`
}

// At returns the value of the law at size n, at least 0.
func (f Fit) At(n float64) float64 { return max(0, f.A+f.B*f.Law.term(n)) }

// Reaches returns the size at which the law reaches value, or false if it never exceeds it. It returns 0 if the law is above
// the value from the start.
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
	// Newton's method for n ln n = want. The function is convex and increasing for n >= 1, so that steps from above converge.
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

// Formula formats the law with its coefficients.
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

// Prediction compares the largest size's measurement with the value of a law that was chosen and fitted without it.
type Prediction struct {
	Law       Law     `json:"law"`
	Predicted float64 `json:"predicted"`
	Measured  float64 `json:"measured"`
	Error     float64 `json:"error"` // |predicted-measured|/measured
}

// WithinTolerance reports whether the prediction is accurate enough for the law to be used.
func (p Prediction) WithinTolerance() bool { return p.Error <= MaxPredictionError }

// ChooseFit finds the law that best describes points of rising size: the one with the least leave-one-out error. Errors are
// relative to the values, because the noise of measured figures grows with them. A law never falls: a figure that falls with
// the size gets the constant law, and its prediction shows how good that is.
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

// Predict chooses and fits a law for all points but the last, and predicts the last. Points are of rising size.
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

// regress fits one law by least squares of relative errors.
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

// crossValidationError is the root mean square of the relative errors at points that were left out of the fit one by one.
func crossValidationError(l Law, points []Point) float64 {
	sum := 0.0
	for i, p := range points {
		f := regress(l, slices.Concat(points[:i], points[i+1:]))
		e := (f.A + f.B*l.term(p.Size) - p.Value) / errorScale(p, points)
		sum += e * e
	}
	return math.Sqrt(sum/float64(len(points)) + errorFloor*errorFloor)
}

// pValue is the probability, by an F test, that points of a constant figure are fitted so much better by a law with one more
// parameter.
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

// errorScale returns the value that an error at p is divided by.
func errorScale(p Point, points []Point) float64 {
	most := slices.MaxFunc(points, func(a, b Point) int { return cmp.Compare(a.Value, b.Value) }).Value
	if most <= 0 {
		return 1
	}
	return max(p.Value, scaleFloor*most)
}

// Median returns the median of samples.
func Median(samples []float64) float64 {
	s := slices.Sorted(slices.Values(samples))
	if n := len(s); n%2 == 0 {
		return (s[n/2-1] + s[n/2]) / 2
	}
	return s[len(s)/2]
}
