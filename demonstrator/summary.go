package demonstrator

import (
	"fmt"
	"text/tabwriter"
	"time"

	"almondstep"
)

// row is one line of the demo's output.
type row struct {
	what      string
	outcome   string
	coverage  string
	version   almondstep.Version
	took      time.Duration
	guarantee string
	held      bool
}

// verdict is the printed result of a guarantee's check.
func (r row) verdict() string {
	if r.held {
		return "held"
	}
	return "BROKEN"
}

// record prints a row at once and keeps it for the summary.
func (d *Demo) record(r row) {
	d.rows = append(d.rows, r)
	line := fmt.Sprintf("%-52s %s", r.what, r.outcome)
	if r.coverage != "" {
		line += fmt.Sprintf("  %s, version %d", r.coverage, r.version)
	}
	if r.took > 0 {
		line += fmt.Sprintf("  %.1f ms", float64(r.took)/float64(time.Millisecond))
	}
	_, _ = fmt.Fprintf(d.Out, "%s  [%s]\n", line, r.verdict())
}

// summary prints the checks per guarantee and returns ErrCheckFailed if any failed.
func (d *Demo) summary() error {
	var order []string
	checked := make(map[string]int)
	broken := make(map[string]int)
	for _, r := range d.rows {
		if checked[r.guarantee] == 0 {
			order = append(order, r.guarantee)
		}
		checked[r.guarantee]++
		if !r.held {
			broken[r.guarantee]++
		}
	}
	_, _ = fmt.Fprintln(d.Out)
	w := tabwriter.NewWriter(d.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "promise\tchecked\tbroken")
	total := 0
	for _, p := range order {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\n", p, checked[p], broken[p])
		total += broken[p]
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if total > 0 {
		return ErrCheckFailed
	}
	return nil
}
