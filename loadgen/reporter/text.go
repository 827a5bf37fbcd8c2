package reporter

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// WriteText writes the report as text.
func (r Report) WriteText(out io.Writer) error {
	fmt.Fprintf(out, "seed %d, rate %g/s, %.1f s, sent %d, skipped %d\n\n", r.Seed, r.Rate, r.Seconds, r.Sent, r.Skipped)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "service\tway\tcalls\tok\tlost\tresent\treplayed\twrong\ttruncated\tp50 us\tp90\tp99\tp99.9\tmax\t")
	for _, g := range r.Groups {
		q := g.ResponseTime
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", g.Service, g.Way, g.Calls, g.OK,
			g.Lost, g.Retries, g.Replayed, g.Wrong, g.Truncated, q.P50, q.P90, q.P99, q.P999, q.Max)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(out)
	for _, g := range r.Groups {
		fmt.Fprintf(out, "%s %s: statuses %s; outcomes %s\n", g.Service, g.Way, formatCounts(g.Statuses), formatCounts(g.Outcomes))
	}
	for _, a := range r.Added {
		fmt.Fprintf(out, "%s: mesh adds %d us at p50, %d at p90, %d at p99, %d at p99.9\n", a.Service, a.P50, a.P90, a.P99, a.P999)
	}
	fmt.Fprintf(out, "\nruns %d, doubled %d, refused yet run %d, answered without a run %d, stand-ins not read %d\n",
		r.Audit.Runs, len(r.Audit.Doubled), len(r.Audit.Refused), len(r.Audit.Missing), len(r.Unread))
	writeExamples(out, "doubled", r.Audit.Doubled)
	writeExamples(out, "refused yet run", r.Audit.Refused)
	writeExamples(out, "answered without a run", r.Audit.Missing)
	writeExamples(out, "not read", r.Unread)
	writeExamples(out, "fault", r.AnswerErrs)
	writeExamples(out, "lost", r.Causes)
	result := "passed"
	if !r.Passed {
		result = "FAILED"
	}
	_, err := fmt.Fprintln(out, result)
	return err
}

// formatCounts returns the counts as name=count, sorted by name.
func formatCounts(counts map[string]int) string {
	if len(counts) == 0 {
		return "none"
	}
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s=%d", name, counts[name]))
	}
	return strings.Join(parts, " ")
}

// writeExamples writes the first lines, each after the title.
func writeExamples(out io.Writer, title string, lines []string) {
	for _, line := range lines[:min(len(lines), maxExamples)] {
		fmt.Fprintf(out, "%s: %s\n", title, line)
	}
}
