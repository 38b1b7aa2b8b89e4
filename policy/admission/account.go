package admission

import (
	"time"

	"zinniafall/policy/fairqueue"
)

// accountState is the owner's state of an account. It is lost when the fair
// queue evicts the account's flow.
type accountState struct {
	latency   latencyBaseline
	slotUsage fairqueue.Usage
}

// latencyBaseline is the mean latency of one account, as the logarithm of
// seconds.
type latencyBaseline struct {
	generation int
	count      int
	mean       float64
}

// usageTimeConstant is the time constant of the moving average of the slots in
// use.
const usageTimeConstant = 500 * time.Millisecond
