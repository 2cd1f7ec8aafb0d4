package locator

import (
	"slices"
	"strings"
	"time"

	"github.com/lovagelever/lovagelever/assigner"
	"github.com/lovagelever/lovagelever/balancer"
	"github.com/lovagelever/lovagelever/reducer"
)

// Answer holds the addresses of the entries that a workspace should use for the duration ValidFor; ValidMS is the same in milliseconds.
type Answer struct {
	Entry     string        `json:"entry"`
	Second    string        `json:"second"`
	ValidFor  time.Duration `json:"-"`
	ValidMS   int64         `json:"valid_ms"`
	KeyPrefix string        `json:"key_prefix"`
	Revision  int64         `json:"revision"`
}

// EntryStates gives the state that entries report: the prefix of the idempotency keys that an entry issues, and whether it accepts new work and was heard recently.
type EntryStates interface {
	Prefix(incarnation string) (string, bool)
	Usable(mem reducer.Member) bool
}

// Options configures a Locator; Candidates lists the serving groups of a model, and Self returns the incarnation of this entry.
type Options struct {
	View       func() *reducer.View
	Candidates func(vie *reducer.View, model string) []balancer.Candidate
	Entries    EntryStates
	Self       func() string
	ValidFor   time.Duration
}

// Locator chooses the entries for callers.
type Locator struct {
	opt Options
}

// New returns a Locator with the given options.
func New(opt Options) *Locator {
	return &Locator{opt: opt}
}

// Locate returns the entries for a workspace and a model; an empty model means the first model of the workspace.
func (loc *Locator) Locate(workspace, model string) Answer {
	vie := loc.opt.View()
	if spec := vie.Catalog.Inventory.Workspaces[workspace]; model == "" && len(spec.Models) > 0 {
		model = spec.Models[0]
	}
	usable := loc.usableEntries(vie)
	chosen := loc.homesByPreference(vie, workspace, model, usable)
	for _, mem := range sortByScore(workspace, usable) {
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
	if pre, known := loc.opt.Entries.Prefix(mem.Incarnation); known {
		return pre
	}
	pre, _ := loc.opt.Entries.Prefix(loc.opt.Self())
	return pre
}

// usableEntries returns the entries that accept new callers: not draining, in an availability zone that is in service, and usable by their reported state.
func (loc *Locator) usableEntries(vie *reducer.View) []reducer.Member {
	var out []reducer.Member
	for _, mem := range vie.Members {
		if !mem.Draining && !vie.Catalog.Rules.ZoneDisabled(mem.Zone) && loc.opt.Entries.Usable(mem) {
			out = append(out, mem)
		}
	}
	return out
}

// homesByPreference returns up to two usable homes of the model's groups, groups with free capacity first, then by rendezvous hashing of the workspace.
func (loc *Locator) homesByPreference(vie *reducer.View, workspace, model string, usable []reducer.Member) []reducer.Member {
	cands := loc.opt.Candidates(vie, model)
	slices.SortFunc(cands, func(one, two balancer.Candidate) int {
		if order := loadRank(one) - loadRank(two); order != 0 {
			return order
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

func loadRank(can balancer.Candidate) int {
	if can.Queued > 0 || can.Running >= can.Limit {
		return 1
	}
	return 0
}

func sameEntry(mem reducer.Member) func(reducer.Member) bool {
	return func(oth reducer.Member) bool { return oth.Incarnation == mem.Incarnation }
}

func sortByScore(subject string, members []reducer.Member) []reducer.Member {
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
