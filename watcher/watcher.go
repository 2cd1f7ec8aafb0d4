package watcher

import (
	"encoding/json"
	"math"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/prober"
	"github.com/lovagelever/lovagelever/reducer"
)

const (
	// vmSubjectPrefix and the name of a VM form the subject of its status.
	vmSubjectPrefix = "vm/"
	// unchangedReportInterval is how often an unchanged status counts as reported again.
	unchangedReportInterval = 5 * time.Second
	// recentIntervals is the number of probe intervals for which an answer counts as recent.
	recentIntervals = 3
	// stepRatio is the ratio of successive values to which a step duration is rounded; it is coarse so that facts change rarely.
	stepRatio = 1.25
)

// Facts exchanges facts between entries: each is a body under a subject, such as the status of a VM, from an origin, the incarnation of an entry.
type Facts interface {
	Set(subject string, body []byte)
	Get(subject, origin string) ([]byte, bool)
	LastHeard(inc string) time.Time
}

// Options configures a Watcher; Leaving returns the time until a VM leaves, if it is leaving.
type Options struct {
	View          func() *reducer.View
	Leaving       func(vm string) (time.Duration, bool)
	Self          func() string
	Facts         Facts
	Clock         clockwork.Clock
	Interval      time.Duration
	ProberOptions prober.Options
	OnReport      func(unit string, pro prober.Probe)
}

// VMStatus is the status of one VM that a watcher publishes; its load and step duration are rounded so that it changes rarely.
type VMStatus struct {
	Alive   bool   `json:"alive"`
	Group   string `json:"group,omitempty"`
	Fence   int64  `json:"fence,omitempty"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	State   string `json:"state,omitempty"`
	Reason  string `json:"reason,omitempty"`
	Warm    bool   `json:"warm,omitempty"`
	// Running is the number of running and queued requests, rounded up to a power of two.
	Running int     `json:"running,omitempty"`
	StepMS  float64 `json:"step_ms,omitempty"`
	Started string  `json:"started,omitempty"`
	Weights string  `json:"weights,omitempty"`
}

// Watcher probes the VMs that its entry is responsible for.
type Watcher struct {
	opt     Options
	pro     *prober.Prober
	mtx     sync.Mutex
	records map[string]vmRecord
}

type vmRecord struct {
	status      VMStatus
	healthSince time.Time
	reportedAt  time.Time
}

// New returns a watcher; the caller must run its prober.
func New(opt Options) *Watcher {
	wat := &Watcher{opt: opt, records: map[string]vmRecord{}}
	proberOptions := opt.ProberOptions
	proberOptions.Clock = opt.Clock
	proberOptions.Interval = opt.Interval
	proberOptions.Targets = wat.targets
	proberOptions.OnProbe = wat.onProbe
	wat.pro = prober.New(proberOptions)
	return wat
}

// Prober returns the prober of the watcher.
func (wat *Watcher) Prober() *prober.Prober {
	return wat.pro
}

// Responsible returns the incarnation of the entry that probes a VM.
func Responsible(vie *reducer.View, vm string) string {
	if grp, grouped := vie.GroupByVM[vm]; grouped {
		return vie.Homes[grp].Incarnation
	}
	spec := vie.Catalog.Inventory.VMs[vm]
	if spec.WorkerKind == cataloger.WorkerService {
		return vie.Homes[vm].Incarnation
	}
	return vie.Watchers[spec.Domain].Incarnation
}

func (wat *Watcher) targets() []prober.Target {
	vie := wat.opt.View()
	self := wat.opt.Self()
	var out []prober.Target
	for name, vm := range vie.Catalog.Inventory.VMs {
		if Responsible(vie, name) == self {
			out = append(out, prober.Target{VM: name, Address: vm.Address})
		}
	}
	return out
}

func (wat *Watcher) onProbe(vm string, pro prober.Probe) {
	wat.publishStatus(vm, pro)
	vie := wat.opt.View()
	if unit, reports := unitOf(vie, vm); reports {
		wat.opt.OnReport(unit, pro)
	}
}

// unitOf returns the unit of a VM, which is its group or else the VM itself, and whether the VM reports the load of the unit; only the first VM of a group and a service VM do.
func unitOf(vie *reducer.View, vm string) (string, bool) {
	if grp, grouped := vie.Groups[vie.GroupByVM[vm]]; grouped {
		return grp.Name, grp.VMs[0] == vm
	}
	return vm, vie.Catalog.Inventory.VMs[vm].WorkerKind == cataloger.WorkerService
}

func (wat *Watcher) publishStatus(vm string, pro prober.Probe) {
	sta := pro.Status
	vst := VMStatus{
		Alive:   pro.FailingSince.IsZero(),
		Group:   sta.Group,
		Fence:   sta.Fence,
		Model:   sta.Model,
		Version: sta.Version,
		State:   sta.State,
		Reason:  sta.Reason,
		Warm:    sta.Warm,
		Running: RoundUpToPowerOfTwo(sta.Running + sta.Queued),
		StepMS:  roundMS(sta.StepMS),
		Started: sta.Started,
		Weights: strings.Join(sta.Weights, " "),
	}
	data, err := json.Marshal(vst)
	if err != nil {
		return
	}
	wat.opt.Facts.Set(vmSubjectPrefix+vm, data)
}

// RoundUpToPowerOfTwo rounds a count up to a power of two so that facts change rarely.
func RoundUpToPowerOfTwo(count int) int {
	if count <= 1 {
		return count
	}
	return 1 << int(math.Ceil(math.Log2(float64(count))))
}

// roundMS rounds a duration in milliseconds to a power of stepRatio.
func roundMS(val float64) float64 {
	if val <= 0 {
		return 0
	}
	steps := math.Round(math.Log(val) / math.Log(stepRatio))
	return math.Round(100*math.Pow(stepRatio, steps)) / 100
}

// Recent reports whether the last answer is recent enough for the VM to count as present.
func (wat *Watcher) Recent(pro prober.Probe, now time.Time) bool {
	return !pro.LastSuccess.IsZero() && now.Sub(pro.LastSuccess) <= recentIntervals*wat.opt.Interval
}
