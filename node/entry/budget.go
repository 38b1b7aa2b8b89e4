package entry

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"zinniafall/policy/model"
	"zinniafall/policy/retry"
)

// slowQuantile is the quantile of the answer time after which a call counts
// as slow, in percent.
const slowQuantile = 95

// The range of the histogram of answer times, in microseconds.
const (
	minAnswerTime    = 1
	maxAnswerTime    = 60_000_000
	answerTimeDigits = 1
	// answerTimeWindow is the number of answers after which old ones fade.
	answerTimeWindow = 4096
	// answerTimeMinimum is the number of answers before hedging starts.
	answerTimeMinimum = 100
)

// serviceBudget holds the retry budget and the answer times of one service.
type serviceBudget struct {
	*retry.Budget
	times    *hdrhistogram.Histogram
	previous time.Duration
}

func (e *Entry) budget(service model.Service) *serviceBudget {
	b := e.budgets[service]
	if b == nil {
		b = &serviceBudget{Budget: retry.NewBudget(e.opts.Retry), times: hdrhistogram.New(minAnswerTime, maxAnswerTime, answerTimeDigits)}
		if e.entries > 0 {
			b.SetEntries(time.Now(), e.entries)
		}
		e.budgets[service] = b
	}
	return b
}

// SetEntries divides what all entries together may spend by their number.
func (e *Entry) SetEntries(entries int) {
	e.binder.setMembers(entries)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.entries = entries
	for _, b := range e.budgets {
		b.SetEntries(time.Now(), entries)
	}
}

func (b *serviceBudget) observe(elapsed time.Duration) {
	_ = b.times.RecordValue(max(elapsed.Microseconds(), minAnswerTime))
	if b.times.TotalCount() >= answerTimeWindow {
		b.previous = b.quantile()
		b.times.Reset()
	}
}

func (b *serviceBudget) quantile() time.Duration {
	return time.Duration(b.times.ValueAtQuantile(slowQuantile)) * time.Microsecond
}

// slow returns the answer time above which a call counts as slow, 0 while it
// is not known.
func (b *serviceBudget) slow() time.Duration {
	if b.times.TotalCount() < answerTimeMinimum {
		return b.previous
	}
	return b.quantile()
}
