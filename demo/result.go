package demo

// AccountStats is what one client account saw, in milliseconds.
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
	Deployment        Deployment `json:"deployment"`
	Policy            string     `json:"policy"`
	Seconds           float64    `json:"seconds"`
	Calls             int64      `json:"calls"`
	Failed            int64      `json:"failed"`
	NotRun            int64      `json:"not_run"`
	Unknown           int64      `json:"unknown"`
	FalseNotRun       int        `json:"false_not_run"`
	DoubleRuns        int        `json:"double_runs"`
	WrongAnswers      int64      `json:"wrong_answers"`
	ColdOverload      int        `json:"cold_overload"`
	SlotOverload      int        `json:"slot_overload"`
	MeasureOverBudget int        `json:"measure_over_budget"`
	DomainOutMs       float64    `json:"domain_out_ms"`
	AddedP50          float64    `json:"added_p50_ms"`
	AddedP99          float64    `json:"added_p99_ms"`
	// FalseNotRunKinds counts the problems with which calls that had run were
	// reported as not run.
	FalseNotRunKinds map[string]int `json:"false_not_run_kinds,omitempty"`
	// Load is the share of Capacity that was offered.
	Load float64 `json:"load"`
	// Capacity is what all targets bear when warm, in calls a second.
	Capacity float64 `json:"capacity_calls_per_second"`
	// Others is the latency of all accounts but the heavy one.
	Others     AccountStats   `json:"others"`
	Usage      Usage          `json:"usage"`
	Outage     Outage         `json:"absence"`
	Accounts   []AccountStats `json:"accounts"`
	Failures   map[string]int `json:"failures"`
	Errors     []string       `json:"errors,omitempty"`
	Violations []string       `json:"broken_promises"`
}

// fill takes over what the callers saw.
func (r *Result) fill(l *load) {
	r.Calls, r.Failed, r.NotRun = l.total.Load(), l.failed.Load(), l.notRun.Load()
	r.Unknown, r.WrongAnswers = l.unknown.Load(), l.wrong.Load()
	r.AddedP50, r.AddedP99 = quantile(l.added, 50), quantile(l.added, 99)
	r.Failures = l.failures
	others := &account{name: "others", latency: newHistogram()}
	for _, a := range l.accounts {
		r.Accounts = append(r.Accounts, a.summary())
		if !a.heavy {
			others.latency.Merge(a.latency)
			others.failed += a.failed
		}
	}
	r.Others = others.summary()
	r.Usage.SendDelayP99 = quantile(l.late, 99)
}

// summary condenses what the account saw.
func (a *account) summary() AccountStats {
	return AccountStats{
		Account: a.name, Heavy: a.heavy, Calls: a.latency.TotalCount(), Failed: a.failed,
		P50: quantile(a.latency, 50), P99: quantile(a.latency, 99), P999: quantile(a.latency, 99.9),
	}
}
