package demo

// AccountStats holds the call counts of one client account and its latency
// percentiles in milliseconds.
type AccountStats struct {
	Account string  `json:"account"`
	Heavy   bool    `json:"heavy"`
	Calls   int64   `json:"calls"`
	Failed  int64   `json:"failed"`
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`
	P999    float64 `json:"p999_ms"`
}

// Result is the outcome of a run.
type Result struct {
	Deployment Deployment `json:"deployment"`
	Policy     string     `json:"policy"`
	Seconds    float64    `json:"seconds"`
	// Calls counts the calls that were due after the warm-up, Failed those of
	// them that failed.
	Calls  int64 `json:"calls"`
	Failed int64 `json:"failed"`
	// NotRun counts the failed calls that were reported as not run, Unknown those
	// whose run state was reported as unknown.
	NotRun  int64 `json:"not_run"`
	Unknown int64 `json:"unknown"`
	// FalseNotRun counts the calls that were reported as not run but had run,
	// DoubleRuns the writes that ran more than once, and WrongAnswers the calls
	// that got the response to another call.
	FalseNotRun  int   `json:"false_not_run"`
	DoubleRuns   int   `json:"double_runs"`
	WrongAnswers int64 `json:"wrong_answers"`
	// ColdOverload, SlotOverload and MeasureOverBudget count what the targets got
	// beyond the limit for cold targets, the number of slots and the budget of
	// measuring requests.
	ColdOverload      int `json:"cold_overload"`
	SlotOverload      int `json:"slot_overload"`
	MeasureOverBudget int `json:"measure_over_budget"`
	// DomainOutMs is the time from taking the failure domain out of service to the
	// last call that started there before it was brought back.
	DomainOutMs float64 `json:"domain_out_ms"`
	// AddedP50 and AddedP99 are percentiles of the latency without the time at the
	// target, over the calls that succeeded.
	AddedP50 float64 `json:"added_p50_ms"`
	AddedP99 float64 `json:"added_p99_ms"`
	// FalseNotRunKinds counts, by problem kind, the calls that had run although
	// their caller was told that they had not.
	FalseNotRunKinds map[string]int `json:"false_not_run_kinds,omitempty"`
	// Load is the offered share of Capacity.
	Load float64 `json:"load"`
	// Capacity is the capacity of all targets when warm, in calls per second.
	Capacity float64 `json:"capacity_calls_per_second"`
	// Others are the statistics of all accounts except the heavy one.
	Others     AccountStats   `json:"others"`
	Usage      Usage          `json:"usage"`
	Outage     Outage         `json:"absence"`
	Accounts   []AccountStats `json:"accounts"`
	Failures   map[string]int `json:"failures"`
	Errors     []string       `json:"errors,omitempty"`
	Violations []string       `json:"broken_promises"`
}

// fill sets the metrics that the load generator collected.
func (r *Result) fill(g *generator) {
	r.Calls, r.Failed, r.NotRun = g.total.Load(), g.failed.Load(), g.notRun.Load()
	r.Unknown, r.WrongAnswers = g.unknown.Load(), g.wrongAnswers.Load()
	r.AddedP50, r.AddedP99 = percentile(g.addedLatency, 50), percentile(g.addedLatency, 99)
	r.Failures = g.failures
	others := &account{name: "others", latency: newHistogram()}
	for _, a := range g.accounts {
		r.Accounts = append(r.Accounts, a.summary())
		if !a.heavy {
			others.latency.Merge(a.latency)
			others.failed += a.failed
		}
	}
	r.Others = others.summary()
	r.Usage.SendDelayP99 = percentile(g.sendDelay, 99)
}

// summary returns the statistics of the account.
func (a *account) summary() AccountStats {
	return AccountStats{
		Account: a.name, Heavy: a.heavy, Calls: a.latency.TotalCount(), Failed: a.failed,
		P50: percentile(a.latency, 50), P99: percentile(a.latency, 99), P999: percentile(a.latency, 99.9),
	}
}
