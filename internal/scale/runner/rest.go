package runner

import (
	"context"
	"time"

	"oxbowloft/internal/scale/hollow"
	"oxbowloft/internal/scale/resources"
	"oxbowloft/internal/scale/traffic"
)

const kibibyte = 1 << 10

// reading is what was counted up to one moment.
type reading struct {
	at       time.Time
	sent     []traffic.Counts // by member
	received []traffic.Counts
	usage    resources.Usage
}

func readAll(fleet *hollow.Fleet) (reading, error) {
	usage, err := resources.Read()
	if err != nil {
		return reading{}, err
	}
	taken := reading{at: time.Now(), usage: usage}
	for _, each := range fleet.Members() {
		taken.sent = append(taken.sent, each.Counter.Sent())
		taken.received = append(taken.received, each.Counter.Received())
	}
	return taken, nil
}

// measureRest measures a fleet in which nothing happens. Memory, goroutines and descriptors
// count from what the process had before the fleet was started.
func measureRest(ctx context.Context, fleet *hollow.Fleet, length time.Duration, empty resources.Usage) (*Rest, error) {
	before, err := readAll(fleet)
	if err != nil {
		return nil, err
	}
	if err := hollow.Sleep(ctx, length); err != nil {
		return nil, err
	}
	after, err := readAll(fleet)
	if err != nil {
		return nil, err
	}
	return restBetween(before, after, empty), nil
}

func restBetween(before, after reading, empty resources.Usage) *Rest {
	seconds := after.at.Sub(before.at).Seconds()
	sent := ratesOf(before.sent, after.sent, seconds)
	received := ratesOf(before.received, after.received, seconds)
	members := float64(len(after.sent))
	processor := after.usage.Processor - before.usage.Processor
	return &Rest{
		Seconds:       seconds,
		BytesOut:      spreadOf(sent.bytes),
		BytesIn:       spreadOf(received.bytes),
		MessagesOut:   spreadOf(sent.messages),
		MessagesIn:    spreadOf(received.messages),
		StreamOut:     spreadOf(sent.streamBytes),
		ExchangeBytes: exchangeBytes(before.sent, after.sent),
		KindsOut:      sent.kinds,
		PerMember: PerMember{
			ProcessorMillis: processor.Seconds() * 1000 / seconds / members,
			ResidentKiB:     float64(after.usage.ResidentBytes-empty.ResidentBytes) / kibibyte / members,
			Goroutines:      float64(after.usage.Goroutines-empty.Goroutines) / members,
			Descriptors:     float64(after.usage.Descriptors-empty.Descriptors) / members,
		},
	}
}

// exchangeBytes returns the mean length of one side of a full exchange of state. What was under
// way as the reading was taken is counted in part.
func exchangeBytes(before, after []traffic.Counts) float64 {
	var exchanges, bytes uint64
	for number := range after {
		counts := after[number].Sub(before[number])
		exchanges += counts.Messages[traffic.PushPull]
		bytes += counts.StreamBytes
	}
	if exchanges == 0 {
		return 0
	}
	return float64(bytes) / float64(exchanges)
}

// rates are one direction's, by member, and by kind the mean over the members.
type rates struct {
	bytes, streamBytes, messages []float64
	kinds                        map[string]float64
}

func ratesOf(before, after []traffic.Counts, seconds float64) rates {
	out := rates{kinds: map[string]float64{}}
	for number := range after {
		counts := after[number].Sub(before[number])
		out.bytes = append(out.bytes, float64(counts.Bytes())/seconds)
		out.streamBytes = append(out.streamBytes, float64(counts.StreamBytes)/seconds)
		out.messages = append(out.messages, float64(counts.AllMessages())/seconds)
		for kind, count := range counts.Messages {
			out.kinds[traffic.Kind(kind).String()] += float64(count) / seconds / float64(len(after))
		}
	}
	return out
}
