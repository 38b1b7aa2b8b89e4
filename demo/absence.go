package demo

import "time"

const (
	// shareWindow is the time over which the domain's share of the calls is
	// taken.
	shareWindow = 500 * time.Millisecond
	// fullShare is the part of its share before the absence at which the
	// returned domain counts as carrying its full share again.
	fullShare = 0.9
	// endWindow is the time before the end over which the last share is taken.
	endWindow = 2 * time.Second
	// minWindowCalls is the number of calls below which a window says nothing
	// about shares.
	minWindowCalls = 50
)

// PhaseStats is what callers saw of the calls that were due in one phase.
type PhaseStats struct {
	Calls  int64   `json:"calls"`
	Failed int64   `json:"failed"`
	P50    float64 `json:"p50_ms"`
	P99    float64 `json:"p99_ms"`
}

// Outage is the service around the absence of a failure domain: from the
// straggler's recovery to the command that takes the domain out, from there to
// the command that brings it back, and from there to the end.
type Outage struct {
	Before PhaseStats `json:"before"`
	Out    PhaseStats `json:"out"`
	After  PhaseStats `json:"after"`
	// ShareBefore is the domain's share of all starts of calls before.
	ShareBefore float64 `json:"share_before"`
	// ShareAtEnd is the domain's share in the run's last two seconds.
	ShareAtEnd float64 `json:"share_at_end"`
	// FullShareMs is the time from the command that brings the domain back to
	// the end of the first half second in which it got 90% of ShareBefore, in
	// milliseconds; nil when the run did not see it.
	FullShareMs *float64 `json:"full_share_ms"`
}

// fillAbsence takes over how service went around the absence.
func (r *Result) fillAbsence(l *load, s *script, samples []sample) {
	r.Outage = Outage{
		Before:      phaseOf(l.records, s.recoveredAt, s.outAt),
		Out:         phaseOf(l.records, s.outAt, s.inAt),
		After:       phaseOf(l.records, s.inAt, time.Time{}),
		ShareBefore: shareBetween(samples, s.recoveredAt, s.outAt),
	}
	if len(samples) > 0 {
		end := samples[len(samples)-1].at
		r.Outage.ShareAtEnd = shareBetween(samples, end.Add(-endWindow), end)
	}
	if back, ok := fullShareAfter(samples, s.inAt, r.Outage.ShareBefore); ok {
		ms := float64(back.Microseconds()) / 1000
		r.Outage.FullShareMs = &ms
	}
}

// phaseOf condenses the calls that were due in [from, to); a zero from is an
// empty phase, a zero to is the end of the run.
func phaseOf(records []record, from, to time.Time) PhaseStats {
	latency := newHistogram()
	var p PhaseStats
	for _, c := range records {
		if from.IsZero() || c.due.Before(from) || (!to.IsZero() && !c.due.Before(to)) {
			continue
		}
		p.Calls++
		if c.failed {
			p.Failed++
		}
		recordLatency(latency, c.latency)
	}
	p.P50, p.P99 = quantile(latency, 50), quantile(latency, 99)
	return p
}

// shareBetween returns the domain's share of the calls that started between
// the samples next to the two moments; 0 when there were none.
func shareBetween(samples []sample, from, to time.Time) float64 {
	var first, last *sample
	for i := range samples {
		s := &samples[i]
		if first == nil && !s.at.Before(from) {
			first = s
		}
		if !s.at.After(to) {
			last = s
		}
	}
	if first == nil || last == nil || last.total <= first.total {
		return 0
	}
	return share(*first, *last)
}

// share is the domain's part of the calls that started between two samples.
func share(first, last sample) float64 {
	return float64(last.domain-first.domain) / float64(last.total-first.total)
}

// fullShareAfter returns the time from the domain's return to the end of the
// first window in which it had its full share.
func fullShareAfter(samples []sample, in time.Time, before float64) (time.Duration, bool) {
	if in.IsZero() || before <= 0 {
		return 0, false
	}
	first := 0
	for first < len(samples) && samples[first].at.Before(in) {
		first++
	}
	for last := first; last < len(samples); last++ {
		for samples[last].at.Sub(samples[first].at) > shareWindow {
			first++
		}
		if samples[last].at.Sub(samples[first].at) < shareWindow-2*sampleInterval {
			continue
		}
		if samples[last].total-samples[first].total < minWindowCalls {
			continue
		}
		if share(samples[first], samples[last]) >= fullShare*before {
			return samples[last].at.Sub(in), true
		}
	}
	return 0, false
}
