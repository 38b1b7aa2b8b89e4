package entry

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"zinniafall/policy/model"
	"zinniafall/policy/retry"
)

// slowQuantile is the percentile of the answer time above which a call counts
// as slow.
const slowQuantile = 95

// Range and precision of the histogram of answer times, in microseconds.
const (
	minAnswerTime    = 1
	maxAnswerTime    = 60_000_000
	answerTimeDigits = 1
	// answerTimeWindow is the number of answers after which the histogram
	// starts afresh. The last threshold applies until it has enough answers
	// again.
	answerTimeWindow = 4096
	// minHedgeAnswers is the number of answers required before the percentile
	// is used to start hedged attempts.
	minHedgeAnswers = 100
)

// serviceBudget holds the retry budget and the answer times of one service.
type serviceBudget struct {
	*retry.Budget
	answerTimes *hdrhistogram.Histogram
	// previousThreshold is the slow threshold of the last full window.
	previousThreshold time.Duration
}

// budget returns the budget of the service and creates it if it does not
// exist. The caller holds e.mu.
func (e *Entry) budget(service model.Service) *serviceBudget {
	b := e.budgets[service]
	if b == nil {
		b = &serviceBudget{Budget: retry.NewBudget(e.opts.Retry), answerTimes: hdrhistogram.New(minAnswerTime, maxAnswerTime, answerTimeDigits)}
		if e.entries > 0 {
			b.SetEntries(time.Now(), e.entries)
		}
		e.budgets[service] = b
	}
	return b
}

// SetEntries sets the number of entries that share the retry budgets and the
// store budget for bindings.
func (e *Entry) SetEntries(entries int) {
	e.binder.setMembers(entries)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.entries = entries
	for _, b := range e.budgets {
		b.SetEntries(time.Now(), entries)
	}
}

// recordAnswerTime records the time from the start of an attempt to the head of
// its answer. When the histogram holds a full window, its threshold is kept and
// the histogram starts afresh, so that the threshold follows recent answers.
// Times beyond the range of the histogram are ignored.
func (b *serviceBudget) recordAnswerTime(elapsed time.Duration) {
	_ = b.answerTimes.RecordValue(max(elapsed.Microseconds(), minAnswerTime))
	if b.answerTimes.TotalCount() >= answerTimeWindow {
		b.previousThreshold = b.quantile()
		b.answerTimes.Reset()
	}
}

func (b *serviceBudget) quantile() time.Duration {
	return time.Duration(b.answerTimes.ValueAtQuantile(slowQuantile)) * time.Microsecond
}

// slowThreshold returns the answer time above which a call counts as slow, or
// 0 while too few answers have been recorded.
func (b *serviceBudget) slowThreshold() time.Duration {
	if b.answerTimes.TotalCount() < minHedgeAnswers {
		return b.previousThreshold
	}
	return b.quantile()
}
