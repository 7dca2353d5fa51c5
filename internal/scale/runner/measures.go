package runner

import (
	"fmt"

	"oxbowloft/internal/scale/fit"
)

// measure extracts the value of one measure from the result of a size.
type measure struct {
	name, unit string
	value      func(*SizeResult) (value float64, measured bool)
}

// fitAll fits a line to each measure that at least two sizes have.
func fitAll(sizes []SizeResult) []NamedFit {
	var fits []NamedFit
	for _, each := range append(steadyStateMeasures(), faultMeasures(sizes)...) {
		line, err := fit.Fit(pointsOf(each, sizes))
		if err != nil {
			continue // fewer than two sizes have the measure
		}
		fits = append(fits, NamedFit{Measure: each.name, Unit: each.unit, Line: line})
	}
	return fits
}

func pointsOf(each measure, sizes []SizeResult) []fit.Point {
	var points []fit.Point
	for index := range sizes {
		if value, measured := each.value(&sizes[index]); measured {
			points = append(points, fit.Point{Size: float64(sizes[index].Size), Value: value})
		}
	}
	return points
}

func steadyStateMeasures() []measure {
	return []measure{
		steadyStateMeasure("bytes out", "bytes/s", func(steady *SteadyState) float64 { return steady.BytesOut.Mean }),
		steadyStateMeasure("bytes in", "bytes/s", func(steady *SteadyState) float64 { return steady.BytesIn.Mean }),
		steadyStateMeasure("messages out", "messages/s", func(steady *SteadyState) float64 { return steady.MessagesOut.Mean }),
		steadyStateMeasure("messages in", "messages/s", func(steady *SteadyState) float64 { return steady.MessagesIn.Mean }),
		steadyStateMeasure("processor", "ms/s", func(steady *SteadyState) float64 { return steady.PerMember.CPUMillisPerSecond }),
		steadyStateMeasure("resident memory", "KiB", func(steady *SteadyState) float64 { return steady.PerMember.ResidentKiB }),
		steadyStateMeasure("goroutines", "goroutines", func(steady *SteadyState) float64 { return steady.PerMember.Goroutines }),
		{"one side of an exchange", "bytes", exchangeBytesMeasure},
		{"start to one view", "s", startSeconds},
	}
}

func steadyStateMeasure(name, unit string, value func(*SteadyState) float64) measure {
	return measure{name, unit, func(result *SizeResult) (float64, bool) {
		if result.SteadyState == nil {
			return 0, false
		}
		return value(result.SteadyState), true
	}}
}

func exchangeBytesMeasure(result *SizeResult) (float64, bool) {
	if result.SteadyState == nil {
		return 0, false
	}
	return result.SteadyState.ExchangeBytes, result.SteadyState.ExchangeBytes > 0
}

func startSeconds(result *SizeResult) (float64, bool) {
	return result.StartSeconds, result.StartSeconds > 0
}

// faultMeasures returns, for each fault, the time until all views converged.
func faultMeasures(sizes []SizeResult) []measure {
	var measures []measure
	for index, fault := range longestFaultList(sizes) {
		name := fmt.Sprintf("%s at %g s, last member", fault.Kind, fault.At)
		measures = append(measures, measure{name, "s", func(result *SizeResult) (float64, bool) {
			if index >= len(result.Faults) || result.Faults[index].Unconverged > 0 {
				return 0, false
			}
			return result.Faults[index].AllConvergedSeconds, true
		}})
	}
	return measures
}

// longestFaultList returns the faults of the size that has most of them. A size that failed has
// fewer than were scheduled.
func longestFaultList(sizes []SizeResult) []FaultResult {
	var most []FaultResult
	for _, size := range sizes {
		if len(size.Faults) > len(most) {
			most = size.Faults
		}
	}
	return most
}
