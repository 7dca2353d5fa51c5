package soak

import "context"

// Shrink looks for fewer events that still break the rule, by leaving out parts of them, in
// no more than tries runs. Real processes don't play the same run twice: what it returns
// has failed once, and the events given are returned where nothing shorter did.
func Shrink(ctx context.Context, plan *Plan, seed uint64, events []Event, rule Rule, tries int) []Event {
	for size := (len(events) + 1) / 2; size > 0 && tries > 0; {
		shorter := false
		for from := 0; from < len(events) && tries > 0 && ctx.Err() == nil; from += size {
			without := append(append([]Event(nil), events[:from]...), events[min(len(events), from+size):]...)
			tries--
			report, err := Run(ctx, plan, seed, without)
			if err == nil && report.violates(rule) {
				events, shorter = without, true
				break
			}
		}
		if !shorter {
			size /= 2
		}
		size = min(size, len(events))
	}
	return events
}

func (r *Report) violates(rule Rule) bool {
	for _, v := range r.Violations {
		if v.Rule == rule {
			return true
		}
	}
	return false
}
