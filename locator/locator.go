package locator

import (
	"slices"
	"strings"
	"time"

	"github.com/lovagelever/lovagelever/assigner"
	"github.com/lovagelever/lovagelever/balancer"
	"github.com/lovagelever/lovagelever/reducer"
)

// Answer names the entries that a workspace should use for a time.
type Answer struct {
	Entry     string        `json:"entry"`
	Second    string        `json:"second"`
	ValidFor  time.Duration `json:"-"`
	ValidMS   int64         `json:"valid_ms"`
	KeyPrefix string        `json:"key_prefix"`
	Revision  int64         `json:"revision"`
}

// Entries tells what the entries say of themselves.
type Entries interface {
	Prefix(incarnation string) (string, bool)
	Usable(mem reducer.Member) bool
}

// Options are what a locator needs; Candidates lists the groups of a model that serve.
type Options struct {
	View       func() *reducer.View
	Candidates func(vie *reducer.View, model string) []balancer.Candidate
	Entries    Entries
	Self       func() string
	ValidFor   time.Duration
}

// Locator answers callers.
type Locator struct {
	opt Options
}

// New returns a locator.
func New(opt Options) *Locator {
	return &Locator{opt: opt}
}

// Locate names the entries for a workspace and a model; an empty model stands for the workspace's first.
func (loc *Locator) Locate(workspace, model string) Answer {
	vie := loc.opt.View()
	if spec := vie.Catalog.Inventory.Workspaces[workspace]; model == "" && len(spec.Models) > 0 {
		model = spec.Models[0]
	}
	usable := loc.usable(vie)
	chosen := loc.byGroup(vie, workspace, model, usable)
	for _, mem := range byHash(workspace, usable) {
		if len(chosen) < 2 && !slices.ContainsFunc(chosen, sameEntry(mem)) {
			chosen = append(chosen, mem)
		}
	}
	ans := Answer{ValidFor: loc.opt.ValidFor, ValidMS: loc.opt.ValidFor.Milliseconds(), Revision: vie.Revision}
	if len(chosen) > 0 {
		ans.Entry = chosen[0].Address
		ans.KeyPrefix = loc.prefix(chosen[0])
	}
	if len(chosen) > 1 {
		ans.Second = chosen[1].Address
	}
	return ans
}

func (loc *Locator) prefix(mem reducer.Member) string {
	if pre, told := loc.opt.Entries.Prefix(mem.Incarnation); told {
		return pre
	}
	pre, _ := loc.opt.Entries.Prefix(loc.opt.Self())
	return pre
}

// usable are the entries that may take new callers: neither draining, nor in a zone taken out.
func (loc *Locator) usable(vie *reducer.View) []reducer.Member {
	var out []reducer.Member
	for _, mem := range vie.Members {
		if !mem.Draining && !vie.Catalog.Rules.ZoneOut(mem.Zone) && loc.opt.Entries.Usable(mem) {
			out = append(out, mem)
		}
	}
	return out
}

// byGroup names the homes of the groups that the workspace prefers, those with room first.
func (loc *Locator) byGroup(vie *reducer.View, workspace, model string, usable []reducer.Member) []reducer.Member {
	cands := loc.opt.Candidates(vie, model)
	slices.SortFunc(cands, func(one, two balancer.Candidate) int {
		if full := rank(one) - rank(two); full != 0 {
			return full
		}
		return compareScore(workspace, one.Unit, two.Unit)
	})
	var out []reducer.Member
	for _, can := range cands {
		mem, live := vie.HomeOf(can.Unit)
		if live && slices.ContainsFunc(usable, sameEntry(mem)) && !slices.ContainsFunc(out, sameEntry(mem)) {
			out = append(out, mem)
		}
		if len(out) == 2 {
			break
		}
	}
	return out
}

func rank(can balancer.Candidate) int {
	if can.Queued > 0 || can.Running >= can.Limit {
		return 1
	}
	return 0
}

func sameEntry(mem reducer.Member) func(reducer.Member) bool {
	return func(oth reducer.Member) bool { return oth.Incarnation == mem.Incarnation }
}

func byHash(subject string, members []reducer.Member) []reducer.Member {
	out := slices.Clone(members)
	slices.SortFunc(out, func(one, two reducer.Member) int { return compareScore(subject, one.Name, two.Name) })
	return out
}

func compareScore(subject, one, two string) int {
	scoreOne, scoreTwo := assigner.Score(subject, one), assigner.Score(subject, two)
	switch {
	case scoreOne > scoreTwo:
		return -1
	case scoreOne < scoreTwo:
		return 1
	default:
		return strings.Compare(one, two)
	}
}
