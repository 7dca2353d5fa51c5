package runner

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramParts  = 1000 // a histogram counts thousandths
	histogramMax    = 1_000_000_000_000
	histogramDigits = 3
)

// distributionOf returns how values are spread. The mean is exact, the rest to three digits.
func distributionOf(values []float64) Distribution {
	if len(values) == 0 {
		return Distribution{}
	}
	histogram := hdrhistogram.New(1, histogramMax, histogramDigits)
	sum := 0.0
	for _, value := range values {
		sum += value
		part := int64(math.Round(value * histogramParts))
		histogram.RecordValue(min(max(part, 0), histogramMax)) // always in its range
	}
	return Distribution{
		Count:  histogram.TotalCount(),
		Mean:   sum / float64(len(values)),
		Median: float64(histogram.ValueAtQuantile(50)) / histogramParts,
		P99:    float64(histogram.ValueAtQuantile(99)) / histogramParts,
		Max:    float64(histogram.Max()) / histogramParts,
	}
}
