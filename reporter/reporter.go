package reporter

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/burner"
	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/requester"
)

// Alarms: both windows of a pair burn faster than the factor, in parts of a burn that uses the budget up just at the end of its period.
const (
	FactorFast = 14.4
	FactorSlow = 6
)

// Row is the burn of one workspace and class; Burn is by window, and BudgetLeft is the share of the longest window's budget that is not used.
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

// Report is the burn as the entries that answered have counted it.
type Report struct {
	Revision int64    `json:"revision"`
	Answered []string `json:"answered"`
	Missing  []string `json:"missing"`
	Rows     []Row    `json:"rows"`
}

// Entries is what a reporter asks.
type Entries interface {
	Catalog(ctx context.Context) (requester.Revision, error)
	Status(ctx context.Context) (requester.Status, error)
	Burn(ctx context.Context, address string) ([]burner.Line, error)
}

// Reporter makes reports.
type Reporter struct {
	ent Entries
}

// New returns a reporter.
func New(ent Entries) *Reporter {
	return &Reporter{ent: ent}
}

// Report asks every entry that is a member; it fails when no entry answers at all.
func (rep *Reporter) Report(ctx context.Context) (Report, error) {
	cat, err := rep.ent.Catalog(ctx)
	if err != nil {
		return Report{}, errors.Annotate(err, "reporter: catalog")
	}
	sta, err := rep.ent.Status(ctx)
	if err != nil {
		return Report{}, errors.Annotate(err, "reporter: status")
	}
	out := Report{Revision: cat.Revision, Answered: []string{}, Missing: []string{}}
	sums := map[[2]string]map[string]burner.Count{}
	for _, ent := range sta.Entries {
		lines, err := rep.ent.Burn(ctx, ent.Address)
		if err != nil {
			out.Missing = append(out.Missing, ent.Name)
			continue
		}
		out.Answered = append(out.Answered, ent.Name)
		addLines(sums, lines)
	}
	out.Rows = rows(cat.Catalog.Rules, sums)
	return out, nil
}

func addLines(sums map[[2]string]map[string]burner.Count, lines []burner.Line) {
	for _, lin := range lines {
		id := [2]string{lin.Workspace, lin.Class}
		if sums[id] == nil {
			sums[id] = map[string]burner.Count{}
		}
		for win, cou := range lin.Windows {
			sum := sums[id][win]
			sums[id][win] = burner.Count{Good: sum.Good + cou.Good, Total: sum.Total + cou.Total}
		}
	}
}

// rows has one row for each objective of the rules, also where nothing was counted.
func rows(rul cataloger.Rules, sums map[[2]string]map[string]burner.Count) []Row {
	out := []Row{}
	for workspace, one := range rul.Workspaces {
		for class, obj := range one.Objectives {
			out = append(out, row(workspace, class, obj.Target, sums[[2]string{workspace, class}]))
		}
	}
	slices.SortFunc(out, func(one, two Row) int {
		return cmp.Or(cmp.Compare(one.Workspace, two.Workspace), cmp.Compare(one.Class, two.Class))
	})
	return out
}

func row(workspace, class string, target float64, counts map[string]burner.Count) Row {
	longest := counts[burner.WindowSlowLong.String()]
	out := Row{Workspace: workspace, Class: class, Target: target, Good: longest.Good, Total: longest.Total, Burn: map[string]float64{}}
	for _, win := range burner.Windows() {
		out.Burn[win.String()] = burn(counts[win.String()], target)
	}
	out.BudgetLeft = 1 - out.Burn[burner.WindowSlowLong.String()]
	out.Alarm = alarm(out.Burn)
	return out
}

// burn is the share of failed requests in parts of the share that the target allows.
func burn(cou burner.Count, target float64) float64 {
	if cou.Total == 0 {
		return 0
	}
	failed := float64(cou.Total-cou.Good) / float64(cou.Total)
	return failed / (1 - target)
}

func alarm(burns map[string]float64) string {
	over := func(factor float64, wins ...time.Duration) bool {
		return !slices.ContainsFunc(wins, func(win time.Duration) bool { return burns[win.String()] <= factor })
	}
	switch {
	case over(FactorFast, burner.WindowFast, burner.WindowFastLong):
		return "fast"
	case over(FactorSlow, burner.WindowSlow, burner.WindowSlowLong):
		return "slow"
	default:
		return ""
	}
}
