package window

import (
	"fmt"
	"testing"
)

// BenchmarkRequestAtLimits measures a request to a machine near its default limits:
// 4,096 backends and 127 open plans.
func BenchmarkRequestAtLimits(b *testing.B) {
	m, _ := New(Settings{})
	index := uint64(0)
	do := func(e Entry) Answer {
		data, err := Encode(e)
		if err != nil {
			b.Fatal(err)
		}
		index++
		return m.Apply(index, data)
	}
	for i := range 16 {
		var put []Backend
		for j := range 256 {
			put = append(put, Backend{fmt.Sprintf("b%04d", i*256+j), fmt.Sprint("r", i/4), fmt.Sprint("z", i%4),
				10, 10 * minute, 300, true})
		}
		do(PutBackends{put})
	}
	for r := range 4 {
		for z := range 4 {
			do(SetFloor{Scope{fmt.Sprint("r", r), fmt.Sprint("z", z)}, []Step{{0, 2400}, {8 * 60 * minute, 2500}}})
		}
	}
	for i := range 127 {
		e := Request{ID: fmt.Sprint("p", i), Region: fmt.Sprint("r", i%4), Zone: fmt.Sprint("z", i/4%4), Amount: 40,
			Duration: 60 * minute, LatestEnd: 13 * day, Priority: i % 4}
		if a := do(e); a.Result != OK {
			b.Fatal(a.Describe())
		}
	}
	for b.Loop() {
		do(Request{ID: "last", Region: "r0", Zone: "z0", Amount: 40, Duration: 60 * minute, LatestEnd: 13 * day, Priority: 9})
		do(Cancel{"last"})
		m.endedPlans = nil
	}
}
