package runner

import (
	"context"
	"time"

	"oxbowloft/internal/scale/localfleet"
	"oxbowloft/internal/scale/resources"
	"oxbowloft/internal/scale/traffic"
)

const kibibyte = 1 << 10

// sample holds the counters at one moment.
type sample struct {
	at       time.Time
	sent     []traffic.Counts // by member index
	received []traffic.Counts
	usage    resources.Usage
}

func takeSample(fleet *localfleet.Fleet) (sample, error) {
	usage, err := resources.Read()
	if err != nil {
		return sample{}, err
	}
	taken := sample{at: time.Now(), usage: usage}
	for _, each := range fleet.Members() {
		taken.sent = append(taken.sent, each.Counter.Sent())
		taken.received = append(taken.received, each.Counter.Received())
	}
	return taken, nil
}

// measureSteadyState measures a fleet without faults for the given length. Memory, goroutines and
// descriptors are relative to baseline, the usage of the process before the fleet started.
func measureSteadyState(ctx context.Context, fleet *localfleet.Fleet, length time.Duration, baseline resources.Usage) (*SteadyState, error) {
	before, err := takeSample(fleet)
	if err != nil {
		return nil, err
	}
	if err := localfleet.Sleep(ctx, length); err != nil {
		return nil, err
	}
	after, err := takeSample(fleet)
	if err != nil {
		return nil, err
	}
	return steadyStateBetween(before, after, baseline), nil
}

func steadyStateBetween(before, after sample, baseline resources.Usage) *SteadyState {
	seconds := after.at.Sub(before.at).Seconds()
	sent := ratesOf(before.sent, after.sent, seconds)
	received := ratesOf(before.received, after.received, seconds)
	members := float64(len(after.sent))
	processor := after.usage.CPUTime - before.usage.CPUTime
	return &SteadyState{
		Seconds:       seconds,
		BytesOut:      distributionOf(sent.bytes),
		BytesIn:       distributionOf(received.bytes),
		MessagesOut:   distributionOf(sent.messages),
		MessagesIn:    distributionOf(received.messages),
		StreamOut:     distributionOf(sent.streamBytes),
		ExchangeBytes: exchangeBytes(before.sent, after.sent),
		KindsOut:      sent.kinds,
		PerMember: PerMember{
			CPUMillisPerSecond: processor.Seconds() * 1000 / seconds / members,
			ResidentKiB:        float64(after.usage.ResidentBytes-baseline.ResidentBytes) / kibibyte / members,
			Goroutines:         float64(after.usage.Goroutines-baseline.Goroutines) / members,
			Descriptors:        float64(after.usage.Descriptors-baseline.Descriptors) / members,
		},
	}
}

// exchangeBytes returns the mean number of bytes that one side sends in a full state exchange
// (push-pull). Exchanges in progress when a sample was taken are counted partially.
func exchangeBytes(before, after []traffic.Counts) float64 {
	var exchanges, bytes uint64
	for index := range after {
		counts := after[index].Sub(before[index])
		exchanges += counts.Messages[traffic.PushPull]
		bytes += counts.StreamBytes
	}
	if exchanges == 0 {
		return 0
	}
	return float64(bytes) / float64(exchanges)
}

// rates are the rates per second of one direction: each slice has one value per member, kinds has
// the mean over the members by kind of message.
type rates struct {
	bytes, streamBytes, messages []float64
	kinds                        map[string]float64
}

func ratesOf(before, after []traffic.Counts, seconds float64) rates {
	out := rates{kinds: map[string]float64{}}
	for index := range after {
		counts := after[index].Sub(before[index])
		out.bytes = append(out.bytes, float64(counts.Bytes())/seconds)
		out.streamBytes = append(out.streamBytes, float64(counts.StreamBytes)/seconds)
		out.messages = append(out.messages, float64(counts.TotalMessages())/seconds)
		for kind, count := range counts.Messages {
			out.kinds[traffic.Kind(kind).String()] += float64(count) / seconds / float64(len(after))
		}
	}
	return out
}
