package reporter

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/requester"
	"github.com/lovagelever/lovagelever/slocounter"
)

// Burn rates above which an alarm is raised if both windows of a pair exceed them; a burn rate of 1 uses up the error budget exactly at the end of its period.
const (
	FastBurnThreshold = 14.4
	SlowBurnThreshold = 6
)

// Row is the burn of one workspace and request class: Burn maps each window to its burn rate, and BudgetLeft is the unused share of the longest window's error budget.
type Row struct {
	Workspace  string             `json:"workspace"`
	Class      string             `json:"class"`
	Target     float64            `json:"target"`
	Good       int64              `json:"good"`
	Total      int64              `json:"total"`
	Burn       map[string]float64 `json:"burn"`
	BudgetLeft float64            `json:"budget_left"`
	Alarm      string             `json:"alarm"`
}

// Report is the error-budget burn as counted by the entries that answered; Missing names the entries that did not.
type Report struct {
	Revision int64    `json:"revision"`
	Answered []string `json:"answered"`
	Missing  []string `json:"missing"`
	Rows     []Row    `json:"rows"`
}

// EntryClient sends the requests of a reporter to the entries.
type EntryClient interface {
	Catalog(ctx context.Context) (requester.Revision, error)
	Status(ctx context.Context) (requester.Status, error)
	Burn(ctx context.Context, address string) ([]slocounter.SeriesCounts, error)
}

// Reporter builds reports.
type Reporter struct {
	ent EntryClient
}

// New returns a reporter.
func New(ent EntryClient) *Reporter {
	return &Reporter{ent: ent}
}

// Report collects the counts of every member entry; it fails if no entry returns the catalog or the status.
func (rep *Reporter) Report(ctx context.Context) (Report, error) {
	cat, err := rep.ent.Catalog(ctx)
	if err != nil {
		return Report{}, errors.Annotate(err, "reporter: fetch catalog")
	}
	sta, err := rep.ent.Status(ctx)
	if err != nil {
		return Report{}, errors.Annotate(err, "reporter: fetch status")
	}
	out := Report{Revision: cat.Revision, Answered: []string{}, Missing: []string{}}
	sums := map[[2]string]map[string]slocounter.Count{}
	for _, ent := range sta.Entries {
		lines, err := rep.ent.Burn(ctx, ent.Address)
		if err != nil {
			out.Missing = append(out.Missing, ent.Name)
			continue
		}
		out.Answered = append(out.Answered, ent.Name)
		sumLines(sums, lines)
	}
	out.Rows = objectiveRows(cat.Catalog.Rules, sums)
	return out, nil
}

func sumLines(sums map[[2]string]map[string]slocounter.Count, lines []slocounter.SeriesCounts) {
	for _, lin := range lines {
		id := [2]string{lin.Workspace, lin.Class}
		if sums[id] == nil {
			sums[id] = map[string]slocounter.Count{}
		}
		for win, cou := range lin.Windows {
			sum := sums[id][win]
			sums[id][win] = slocounter.Count{Good: sum.Good + cou.Good, Total: sum.Total + cou.Total}
		}
	}
}

// objectiveRows returns one row for each objective of the rules, including those without requests.
func objectiveRows(rul cataloger.Rules, sums map[[2]string]map[string]slocounter.Count) []Row {
	out := []Row{}
	for workspace, rule := range rul.Workspaces {
		for class, obj := range rule.Objectives {
			out = append(out, objectiveRow(workspace, class, obj.Target, sums[[2]string{workspace, class}]))
		}
	}
	slices.SortFunc(out, func(one, two Row) int {
		return cmp.Or(cmp.Compare(one.Workspace, two.Workspace), cmp.Compare(one.Class, two.Class))
	})
	return out
}

func objectiveRow(workspace, class string, target float64, counts map[string]slocounter.Count) Row {
	longest := counts[slocounter.WindowSlowLong.String()]
	out := Row{Workspace: workspace, Class: class, Target: target, Good: longest.Good, Total: longest.Total, Burn: map[string]float64{}}
	for _, win := range slocounter.Windows() {
		out.Burn[win.String()] = burnRate(counts[win.String()], target)
	}
	out.BudgetLeft = 1 - out.Burn[slocounter.WindowSlowLong.String()]
	out.Alarm = alarm(out.Burn)
	return out
}

// burnRate returns the share of failed requests divided by the share that the target allows.
func burnRate(cou slocounter.Count, target float64) float64 {
	if cou.Total == 0 {
		return 0
	}
	failed := float64(cou.Total-cou.Good) / float64(cou.Total)
	return failed / (1 - target)
}

func alarm(burns map[string]float64) string {
	allAbove := func(threshold float64, wins ...time.Duration) bool {
		return !slices.ContainsFunc(wins, func(win time.Duration) bool { return burns[win.String()] <= threshold })
	}
	switch {
	case allAbove(FastBurnThreshold, slocounter.WindowFast, slocounter.WindowFastLong):
		return "fast"
	case allAbove(SlowBurnThreshold, slocounter.WindowSlow, slocounter.WindowSlowLong):
		return "slow"
	default:
		return ""
	}
}
