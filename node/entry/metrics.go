package entry

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"zinniafall/policy/problem"
)

// countProblem counts a problem returned to a caller.
func countProblem(p *problem.Error) {
	name := fmt.Sprintf(`zinniafall_entry_problems_total{kind=%q,run=%q}`, p.Kind, p.Run)
	metrics.GetOrCreateCounter(name).Inc()
}
