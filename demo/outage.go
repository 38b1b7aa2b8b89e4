package demo

import "time"

const (
	// shareWindow is the time window over which the share of calls of the
	// returned domain is measured.
	shareWindow = 500 * time.Millisecond
	// fullShareFraction is the fraction of its share before the outage at which
	// the returned domain counts as carrying its full share again.
	fullShareFraction = 0.9
	// endWindow is the time window before the end of the run over which the last
	// share is measured.
	endWindow = 2 * time.Second
	// minWindowCalls is the number of calls below which a window is too small to
	// measure a share.
	minWindowCalls = 50
)

// PhaseStats summarizes the calls that were due in one phase of a run; the latency
// percentiles are in milliseconds.
type PhaseStats struct {
	Calls  int64   `json:"calls"`
	Failed int64   `json:"failed"`
	P50    float64 `json:"p50_ms"`
	P99    float64 `json:"p99_ms"`
}

// Outage compares the calls before, during and after the time in which a failure
// domain is out of service. Before begins with the straggler's recovery, Out with
// the command that takes the domain out and After with the command that brings
// it back.
type Outage struct {
	Before PhaseStats `json:"before"`
	Out    PhaseStats `json:"out"`
	After  PhaseStats `json:"after"`
	// ShareBefore is the domain's share of all calls that started in Before.
	ShareBefore float64 `json:"share_before"`
	// ShareAtEnd is the domain's share in the last two seconds of the run.
	ShareAtEnd float64 `json:"share_at_end"`
	// FullShareMs is the time from the command that brings the domain back to
	// the end of the first half second in which it got 90% of ShareBefore, in
	// milliseconds; nil if that did not happen during the run.
	FullShareMs *float64 `json:"full_share_ms"`
}

// fillOutage sets the statistics of the outage.
func (r *Result) fillOutage(g *generator, s *scenario, samples []sample) {
	r.Outage = Outage{
		Before:      phaseStats(g.records, s.recoveredAt, s.takenOutAt),
		Out:         phaseStats(g.records, s.takenOutAt, s.broughtBackAt),
		After:       phaseStats(g.records, s.broughtBackAt, time.Time{}),
		ShareBefore: domainShareBetween(samples, s.recoveredAt, s.takenOutAt),
	}
	if len(samples) > 0 {
		end := samples[len(samples)-1].at
		r.Outage.ShareAtEnd = domainShareBetween(samples, end.Add(-endWindow), end)
	}
	if elapsed, ok := timeToFullShare(samples, s.broughtBackAt, r.Outage.ShareBefore); ok {
		ms := float64(elapsed.Microseconds()) / 1000
		r.Outage.FullShareMs = &ms
	}
}

// phaseStats summarizes the calls that were due in [from, to). A zero from means
// an empty phase, a zero to the end of the run.
func phaseStats(records []callRecord, from, to time.Time) PhaseStats {
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
	p.P50, p.P99 = percentile(latency, 50), percentile(latency, 99)
	return p
}

// domainShareBetween returns the domain's share of the calls that started between
// the first and the last sample in [from, to]; 0 if there were none.
func domainShareBetween(samples []sample, from, to time.Time) float64 {
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
	return domainShare(*first, *last)
}

// domainShare returns the domain's share of the calls that started between two
// samples.
func domainShare(first, last sample) float64 {
	return float64(last.domain-first.domain) / float64(last.total-first.total)
}

// timeToFullShare returns the time from broughtBack to the end of the first
// window in which the domain had its full share again.
func timeToFullShare(samples []sample, broughtBack time.Time, shareBefore float64) (time.Duration, bool) {
	if broughtBack.IsZero() || shareBefore <= 0 {
		return 0, false
	}
	first := 0
	for first < len(samples) && samples[first].at.Before(broughtBack) {
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
		if domainShare(samples[first], samples[last]) >= fullShareFraction*shareBefore {
			return samples[last].at.Sub(broughtBack), true
		}
	}
	return 0, false
}
