package fit

import (
	"errors"
	"math"
	"testing"
)

func pointsOf(value func(size float64) float64, sizes ...float64) []Point {
	points := make([]Point, len(sizes))
	for index, size := range sizes {
		points[index] = Point{size, value(size)}
	}
	return points
}

func near(got, want float64) bool {
	return math.Abs(got-want) <= 1e-6*math.Abs(want)+1e-12
}

func mustFit(t *testing.T, points []Point) Line {
	t.Helper()
	line, err := Fit(points)
	if err != nil {
		t.Fatal(err)
	}
	return line
}

func TestKnownLines(t *testing.T) {
	cases := []struct{ intercept, slope float64 }{{3, 2}, {-5, 0.001}, {7, 0}, {0, -4}, {1e9, 1e-3}, {1e-6, 1e-9}}
	for _, c := range cases {
		line := mustFit(t, pointsOf(func(size float64) float64 { return c.intercept + c.slope*size }, 150, 300, 600, 1200))
		if !near(line.Intercept, c.intercept) || !near(line.Slope, c.slope) {
			t.Errorf("%+v: fitted %+v", c, line)
		}
		if !line.SlopeErrorKnown || !near(line.SlopeError, 0) {
			t.Errorf("%+v: slope error %v", c, line.SlopeError)
		}
		if line.Curvature != CurvatureNone {
			t.Errorf("%+v: curvature %v", c, line.Curvature)
		}
	}
}

// The expected values are computed by hand: sizes 1 to 4 have mean 2.5 and a sum of squared
// deviations of 5; the residuals of 1 1 2 2 around 0.5 + 0.4x are 0.1 -0.3 0.3 -0.1, so the standard
// error is sqrt(0.2/2/5).
func TestKnownSlopeError(t *testing.T) {
	line := mustFit(t, []Point{{1, 1}, {2, 1}, {3, 2}, {4, 2}})
	if !near(line.Slope, 0.4) || !near(line.Intercept, 0.5) {
		t.Errorf("fitted %+v, want 0.5 + 0.4x", line)
	}
	if want := math.Sqrt(0.2 / 2 / 5); !near(line.SlopeError, want) {
		t.Errorf("slope error %v, want %v", line.SlopeError, want)
	}
	if line.Curvature != CurvatureNone {
		t.Errorf("curvature %v, want none", line.Curvature)
	}
}

func TestKnownParabolas(t *testing.T) {
	up := mustFit(t, pointsOf(func(size float64) float64 { return 10 + size + 0.01*size*size }, 150, 300, 600, 1200))
	if up.Curvature != CurvatureUp {
		t.Errorf("curvature %v, want upward", up.Curvature)
	}
	down := mustFit(t, pointsOf(func(size float64) float64 { return 10 + size - 0.01*size*size }, 150, 300, 600, 1200))
	if down.Curvature != CurvatureDown {
		t.Errorf("curvature %v, want downward", down.Curvature)
	}
}

// Equal values have a slope of exactly zero, without a rounding error.
func TestNoGrowth(t *testing.T) {
	line := mustFit(t, pointsOf(func(float64) float64 { return 14.95 }, 6, 12, 20, 30))
	if line.Slope != 0 || line.SlopeError != 0 || line.Curvature != CurvatureNone {
		t.Errorf("fitted %+v", line)
	}
}

// Curvature is detected if the scatter is small relative to it, and not if the scatter is large.
func TestCurvatureWithScatter(t *testing.T) {
	scatter := []float64{1, -1, 1, 1, -1, -1}
	sizes := []float64{100, 200, 400, 600, 900, 1200}
	for part, want := range map[float64]Curvature{1: CurvatureUp, 1000: CurvatureNone} {
		var points []Point
		for index, size := range sizes {
			points = append(points, Point{size, size + 0.001*size*size + part*scatter[index]})
		}
		if line := mustFit(t, points); line.Curvature != want {
			t.Errorf("scatter of %v: curvature %v, want %v", part, line.Curvature, want)
		}
	}
}

func TestFewPoints(t *testing.T) {
	if _, err := Fit([]Point{{1, 1}}); !errors.Is(err, ErrTooFewSizes) {
		t.Errorf("one point: error %v", err)
	}
	two := mustFit(t, []Point{{1, 3}, {2, 5}})
	if !near(two.Slope, 2) || two.SlopeErrorKnown || two.Curvature != CurvatureUnknown {
		t.Errorf("two points: %+v", two)
	}
	three := mustFit(t, []Point{{1, 3}, {2, 5}, {3, 7}})
	if !near(three.Slope, 2) || !three.SlopeErrorKnown || three.Curvature != CurvatureUnknown {
		t.Errorf("three points: %+v", three)
	}
}

func TestPointsThatCannotBeFitted(t *testing.T) {
	cases := [][]Point{
		{{1, 1}, {1, 2}},
		{{0, 1}, {1, 2}},
		{{1, math.NaN()}, {2, 2}},
		{{1, 1}, {2, math.Inf(1)}},
	}
	for _, points := range cases {
		if _, err := Fit(points); err == nil {
			t.Errorf("%v: no error", points)
		}
	}
}
