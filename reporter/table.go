package reporter

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/slocounter"
)

// Write writes the report as a table.
func (rep Report) Write(out io.Writer) error {
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	head := []string{"WORKSPACE", "CLASS", "TARGET", "GOOD", "TOTAL"}
	for _, win := range slocounter.Windows() {
		head = append(head, "BURN "+shortDuration(win.String()))
	}
	head = append(head, "BUDGET LEFT", "ALARM")
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(tab, format+"\n", args...) }
	line("%s", strings.Join(head, "\t"))
	for _, row := range rep.Rows {
		burns := ""
		for _, win := range slocounter.Windows() {
			burns += fmt.Sprintf("%.2f\t", row.Burn[win.String()])
		}
		line("%s\t%s\t%g\t%d\t%d\t%s%.0f%%\t%s", row.Workspace, row.Class, row.Target, row.Good, row.Total, burns, 100*row.BudgetLeft, row.Alarm)
	}
	line("\nrevision %d, answered: %s", rep.Revision, strings.Join(rep.Answered, ", "))
	if len(rep.Missing) > 0 {
		line("did not answer, their counts are missing: %s", strings.Join(rep.Missing, ", "))
	}
	return errors.Annotate(tab.Flush(), "reporter: write table")
}

// shortDuration drops the trailing zero units of a duration.
func shortDuration(text string) string {
	text = strings.TrimSuffix(text, "0s")
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}
