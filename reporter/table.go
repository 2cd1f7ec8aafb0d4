package reporter

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/burner"
)

// Write prints the report as a table.
func (rep Report) Write(out io.Writer) error {
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	head := []string{"WORKSPACE", "CLASS", "TARGET", "GOOD", "TOTAL"}
	for _, win := range burner.Windows() {
		head = append(head, "BURN "+short(win.String()))
	}
	head = append(head, "BUDGET LEFT", "ALARM")
	fmt.Fprintln(tab, strings.Join(head, "\t"))
	for _, one := range rep.Rows {
		fmt.Fprintf(tab, "%s\t%s\t%g\t%d\t%d\t", one.Workspace, one.Class, one.Target, one.Good, one.Total)
		for _, win := range burner.Windows() {
			fmt.Fprintf(tab, "%.2f\t", one.Burn[win.String()])
		}
		fmt.Fprintf(tab, "%.0f%%\t%s\n", 100*one.BudgetLeft, one.Alarm)
	}
	if err := tab.Flush(); err != nil {
		return errors.Annotate(err, "reporter: write table")
	}
	fmt.Fprintf(out, "\nrevision %d, answered: %s\n", rep.Revision, strings.Join(rep.Answered, ", "))
	if len(rep.Missing) > 0 {
		fmt.Fprintf(out, "did not answer, their counts are missing: %s\n", strings.Join(rep.Missing, ", "))
	}
	return nil
}

// short drops the zero units of a duration.
func short(text string) string {
	text = strings.TrimSuffix(text, "0s")
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}
