package generator

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"almondstep"
)

// WriteHeader writes the header of a table of reports.
func WriteHeader(w *tabwriter.Writer) {
	_, _ = fmt.Fprintln(w, "policy\tclass\tanswers\tcomplete\tpartial\tnotRun\tunknown\terrors\tp50 ms\tp99 ms\tp99.9 ms\tcoverage\textra/1000")
}

// WriteRows writes a report's rows, labeled with the name of a policy.
func (r *Report) WriteRows(w *tabwriter.Writer, policy string) {
	for _, c := range r.Classes() {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%.5f\t%.1f\n",
			policy, c.Class, c.Answers(),
			c.Outcomes[almondstep.OutcomeComplete], c.Outcomes[almondstep.OutcomePartial],
			c.Outcomes[almondstep.OutcomeNotRun], c.Outcomes[almondstep.OutcomeUnknown], c.Errors,
			millis(c.Percentile(50)), millis(c.Percentile(99)), millis(c.Percentile(99.9)),
			c.Coverage(), c.ExtraPerMille())
	}
}

// Write writes the report as a table of its own.
func (r *Report) Write(out io.Writer, policy string) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	WriteHeader(w)
	r.WriteRows(w, policy)
	return w.Flush()
}

func millis(d time.Duration) string {
	return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond))
}
