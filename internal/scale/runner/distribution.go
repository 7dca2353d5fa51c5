package runner

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramParts  = 1000 // the histogram's unit is 0.001 of the value
	histogramMax    = 1_000_000_000_000
	histogramDigits = 3
)

// distributionOf summarizes values. The mean is exact; quantiles and the maximum have three
// significant digits.
func distributionOf(values []float64) Distribution {
	if len(values) == 0 {
		return Distribution{}
	}
	histogram := hdrhistogram.New(1, histogramMax, histogramDigits)
	sum := 0.0
	for _, value := range values {
		sum += value
		part := int64(math.Round(value * histogramParts))
		histogram.RecordValue(min(max(part, 0), histogramMax)) // clamped to the histogram's range, so it cannot fail
	}
	return Distribution{
		Count:  histogram.TotalCount(),
		Mean:   sum / float64(len(values)),
		Median: float64(histogram.ValueAtQuantile(50)) / histogramParts,
		P99:    float64(histogram.ValueAtQuantile(99)) / histogramParts,
		Max:    float64(histogram.Max()) / histogramParts,
	}
}
