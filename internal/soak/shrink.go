package soak

import "context"

// Shrink looks for a smaller set of events that still violates the rule, by leaving out parts of
// it, in at most tries runs. Real processes don't repeat a run exactly: the returned events have
// violated the rule once, and are the given ones if no smaller set did.
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
