// Package fit fits straight lines to measurements taken at several fleet sizes, and detects
// measures that grow faster or slower than linearly.
package fit

import (
	"errors"
	"fmt"
	"math"
)

// Point is a value measured at one size.
type Point struct {
	Size  float64
	Value float64
}

// Line is a line fitted by least squares, with the curvature of the points.
type Line struct {
	Points    int     `json:"points"`
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// SlopeError is the slope's standard error, which is unknown with fewer than three points.
	SlopeError      float64   `json:"slope_error"`
	SlopeErrorKnown bool      `json:"slope_error_known"`
	Curvature       Curvature `json:"bend"`
}

// Curvature is the direction in which the points deviate from a line.
type Curvature string

// The values of Curvature: the sign of the quadratic term if it differs from zero at the 95%
// level by Student's t-test.
const (
	CurvatureUnknown Curvature = "not known" // fewer than four points
	CurvatureNone    Curvature = "none seen"
	CurvatureUp      Curvature = "upward"
	CurvatureDown    Curvature = "downward"
)

const (
	minPointsForLine      = 2
	minPointsForError     = 3
	minPointsForCurvature = 4
)

// roundingTolerance is the fraction of the largest value below which a result is a rounding error.
const roundingTolerance = 1e-9

// studentT holds the two-sided 95% quantiles of Student's t for 1, 2, ... degrees of freedom.
var studentT = []float64{12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228}

// studentTLimit is used for more degrees of freedom than studentT has; it is slightly conservative.
const studentTLimit = 2.228

// ErrTooFewSizes is returned for fewer than two points.
var ErrTooFewSizes = errors.New("fit: at least two sizes are required")

// Fit fits a line to points, whose sizes have to be distinct and positive.
func Fit(points []Point) (Line, error) {
	if len(points) < minPointsForLine {
		return Line{}, ErrTooFewSizes
	}
	scale, err := scaleOf(points)
	if err != nil {
		return Line{}, err
	}
	linear := leastSquares(points, 1, scale)
	rounding := roundingTolerance * largestMagnitude(points)
	line := Line{
		Points:    len(points),
		Intercept: zeroIfRounding(linear.coefficients[0], rounding),
		Slope:     zeroIfRounding(linear.coefficients[1], rounding) / scale,
		Curvature: CurvatureUnknown,
	}
	if len(points) >= minPointsForError {
		line.SlopeError = zeroIfRounding(linear.errors[1], rounding) / scale
		line.SlopeErrorKnown = true
	}
	if len(points) >= minPointsForCurvature {
		line.Curvature = curvatureOf(points, scale)
	}
	return line, nil
}

// scaleOf returns the largest size. Sizes are divided by it so that their powers stay near one,
// which keeps the normal equations well conditioned.
func scaleOf(points []Point) (float64, error) {
	seen := map[float64]bool{}
	largest := 0.0
	for _, point := range points {
		if math.IsNaN(point.Value) || math.IsInf(point.Value, 0) {
			return 0, fmt.Errorf("fit: value at size %v is not finite: %v", point.Size, point.Value)
		}
		if point.Size <= 0 || seen[point.Size] {
			return 0, fmt.Errorf("fit: size %v is not positive or is duplicated", point.Size)
		}
		seen[point.Size] = true
		largest = max(largest, point.Size)
	}
	return largest, nil
}

// zeroIfRounding returns value, or zero if its magnitude is within the rounding error.
func zeroIfRounding(value, rounding float64) float64 {
	if math.Abs(value) <= rounding {
		return 0
	}
	return value
}

func curvatureOf(points []Point, scale float64) Curvature {
	quadratic := leastSquares(points, 2, scale)
	term := quadratic.coefficients[2]
	bound := studentQuantile(len(points)-minPointsForError) * quadratic.errors[2]
	if math.Abs(term) <= max(bound, roundingTolerance*largestMagnitude(points)) {
		return CurvatureNone
	}
	if term > 0 {
		return CurvatureUp
	}
	return CurvatureDown
}

func studentQuantile(degrees int) float64 {
	if degrees <= len(studentT) {
		return studentT[degrees-1]
	}
	return studentTLimit
}

func largestMagnitude(points []Point) float64 {
	largest := 0.0
	for _, point := range points {
		largest = max(largest, math.Abs(point.Value))
	}
	return largest
}

// polynomial is a polynomial in size/scale, with the lowest power first.
type polynomial struct {
	coefficients []float64
	errors       []float64 // standard errors; zero without degrees of freedom
}

// leastSquares fits a polynomial of the given degree by solving the normal equations.
func leastSquares(points []Point, degree int, scale float64) polynomial {
	terms := degree + 1
	normal := newMatrix(terms)
	right := make([]float64, terms)
	for _, point := range points {
		powers := powersOf(point.Size/scale, terms)
		for row := range terms {
			right[row] += powers[row] * point.Value
			for column := range terms {
				normal[row][column] += powers[row] * powers[column]
			}
		}
	}
	inverse := invert(normal)
	fitted := polynomial{
		coefficients: make([]float64, terms),
		errors:       make([]float64, terms),
	}
	for row := range terms {
		for column := range terms {
			fitted.coefficients[row] += inverse[row][column] * right[column]
		}
	}
	degrees := len(points) - terms
	if degrees <= 0 {
		return fitted
	}
	variance := residualSquares(points, fitted.coefficients, scale) / float64(degrees)
	for row := range terms {
		fitted.errors[row] = math.Sqrt(max(0, variance*inverse[row][row]))
	}
	return fitted
}

func residualSquares(points []Point, coefficients []float64, scale float64) float64 {
	sum := 0.0
	for _, point := range points {
		residual := point.Value
		for power, value := range powersOf(point.Size/scale, len(coefficients)) {
			residual -= coefficients[power] * value
		}
		sum += residual * residual
	}
	return sum
}

// powersOf returns 1, x, x², ...
func powersOf(x float64, count int) []float64 {
	powers := make([]float64, count)
	power := 1.0
	for index := range powers {
		powers[index] = power
		power *= x
	}
	return powers
}
