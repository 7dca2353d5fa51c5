package runner

import (
	"fmt"

	"oxbowloft/internal/scale/fit"
)

// measure is one figure of a size that is fitted over the sizes.
type measure struct {
	name, unit string
	value      func(*SizeResult) (value float64, measured bool)
}

// fitAll fits a line to each measure that two sizes have at least.
func fitAll(sizes []SizeResult) []NamedFit {
	var fits []NamedFit
	for _, each := range append(restMeasures(), faultMeasures(sizes)...) {
		line, err := fit.Fit(pointsOf(each, sizes))
		if err != nil {
			continue // too few sizes have it
		}
		fits = append(fits, NamedFit{Measure: each.name, Unit: each.unit, Line: line})
	}
	return fits
}

func pointsOf(each measure, sizes []SizeResult) []fit.Point {
	var points []fit.Point
	for number := range sizes {
		if value, measured := each.value(&sizes[number]); measured {
			points = append(points, fit.Point{Size: float64(sizes[number].Size), Value: value})
		}
	}
	return points
}

func restMeasures() []measure {
	return []measure{
		ofRest("bytes out", "bytes/s", func(rest *Rest) float64 { return rest.BytesOut.Mean }),
		ofRest("bytes in", "bytes/s", func(rest *Rest) float64 { return rest.BytesIn.Mean }),
		ofRest("messages out", "messages/s", func(rest *Rest) float64 { return rest.MessagesOut.Mean }),
		ofRest("messages in", "messages/s", func(rest *Rest) float64 { return rest.MessagesIn.Mean }),
		ofRest("processor", "ms/s", func(rest *Rest) float64 { return rest.PerMember.ProcessorMillis }),
		ofRest("resident memory", "KiB", func(rest *Rest) float64 { return rest.PerMember.ResidentKiB }),
		ofRest("goroutines", "goroutines", func(rest *Rest) float64 { return rest.PerMember.Goroutines }),
		{"one side of an exchange", "bytes", exchangeLength},
		{"start to one view", "s", startSeconds},
	}
}

func ofRest(name, unit string, value func(*Rest) float64) measure {
	return measure{name, unit, func(result *SizeResult) (float64, bool) {
		if result.Rest == nil {
			return 0, false
		}
		return value(result.Rest), true
	}}
}

func exchangeLength(result *SizeResult) (float64, bool) {
	if result.Rest == nil {
		return 0, false
	}
	return result.Rest.ExchangeBytes, result.Rest.ExchangeBytes > 0
}

func startSeconds(result *SizeResult) (float64, bool) {
	return result.StartSeconds, result.StartSeconds > 0
}

// faultMeasures are the times to the last member, one of each fault.
func faultMeasures(sizes []SizeResult) []measure {
	var measures []measure
	for number, fault := range mostFaults(sizes) {
		name := fmt.Sprintf("%s at %g s, last member", fault.Kind, fault.At)
		measures = append(measures, measure{name, "s", func(result *SizeResult) (float64, bool) {
			if number >= len(result.Faults) || result.Faults[number].Missing > 0 {
				return 0, false
			}
			return result.Faults[number].LastSeconds, true
		}})
	}
	return measures
}

// mostFaults returns the faults of the size that had most of them: one that failed has fewer.
func mostFaults(sizes []SizeResult) []FaultResult {
	var most []FaultResult
	for _, size := range sizes {
		if len(size.Faults) > len(most) {
			most = size.Faults
		}
	}
	return most
}
