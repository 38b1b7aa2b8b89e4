package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable prints a table for each deployment and load, with a row for each
// metric and a column for each policy. A cell is min/median/max.
func WriteTable(out io.Writer, rows []Row) {
	for start := 0; start < len(rows); {
		end := start + 1
		for end < len(rows) && rows[end].sameTable(rows[start]) {
			end++
		}
		writeTable(out, rows[start:end])
		start = end
	}
}

func (r Row) sameTable(other Row) bool {
	return r.Deployment == other.Deployment && r.Load == other.Load
}

// writeTable prints the table for rows of one deployment and load.
func writeTable(out io.Writer, rows []Row) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "%s, load %.2f", rows[0].Deployment, rows[0].Load)
	for _, row := range rows {
		_, _ = fmt.Fprintf(w, "\t%s (%d runs)", row.Policy, row.Runs)
	}
	_, _ = fmt.Fprintln(w)
	for i := range metrics {
		_, _ = fmt.Fprint(w, metrics[i].name)
		for _, row := range rows {
			_, _ = fmt.Fprintf(w, "\t%s", row.Metrics[i].cell(row.Runs))
		}
		_, _ = fmt.Fprintln(w)
	}
	writeFailures(w, rows)
	_, _ = fmt.Fprintln(w)
	_ = w.Flush()
}

// writeFailures prints the violated guarantees and the failed runs.
func writeFailures(w io.Writer, rows []Row) {
	for _, row := range rows {
		for guarantee, runs := range row.Violations {
			_, _ = fmt.Fprintf(w, "BROKEN in %d of %d runs of %s: %s\n", runs, row.Runs, row.Policy, guarantee)
		}
		for _, text := range row.Errors {
			_, _ = fmt.Fprintf(w, "no result from a run of %s: %s\n", row.Policy, text)
		}
	}
}

// cell returns the summary as text. If some of the runs have no value, it says
// how many have one.
func (s Summary) cell(runs int) string {
	if s.Runs == 0 {
		return "-"
	}
	text := fmt.Sprintf("%.4g/%.4g/%.4g", s.Min, s.Median, s.Max)
	if s.Runs < runs {
		text += fmt.Sprintf(" (%d of %d)", s.Runs, runs)
	}
	return text
}
