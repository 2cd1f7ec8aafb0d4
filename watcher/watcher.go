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
	subjectVM = "vm/"
	// unchangedReportInterval is how long a status that has not changed counts as one report.
	unchangedReportInterval = 5 * time.Second
	// recentIntervals is the number of probe intervals for which an answer counts as recent.
	recentIntervals = 3
)

// Facts exchanges facts between entries.
type Facts interface {
	Set(subject string, body []byte)
	Get(subject, origin string) ([]byte, bool)
	LastHeard(inc string) time.Time
}

// Options configures a Watcher; Leaving returns the time until a VM leaves, if it is leaving.
type Options struct {
	View     func() *reducer.View
	Leaving  func(vm string) (time.Duration, bool)
	Self     func() string
	Facts    Facts
	Clock    clockwork.Clock
	Interval time.Duration
	Client   prober.Options
	OnReport func(unit string, pro prober.Probe)
}

// VMStatus is the status of one VM that a watcher publishes; it changes rarely.
type VMStatus struct {
	Alive   bool    `json:"alive"`
	Group   string  `json:"group,omitempty"`
	Fence   int64   `json:"fence,omitempty"`
	Model   string  `json:"model,omitempty"`
	Version string  `json:"version,omitempty"`
	State   string  `json:"state,omitempty"`
	Reason  string  `json:"reason,omitempty"`
	Warm    bool    `json:"warm,omitempty"`
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
	proberOptions := opt.Client
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
	if unit, first := unitOf(vie, vm); first {
		wat.opt.OnReport(unit, pro)
	}
}

// unitOf returns the unit whose load a VM reports, and whether it reports one: its group if the VM has rank 0, or itself if it is a service VM.
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
		StepMS:  quantizeMS(sta.StepMS),
		Started: sta.Started,
		Weights: strings.Join(sta.Weights, " "),
	}
	data, err := json.Marshal(vst)
	if err != nil {
		return
	}
	wat.opt.Facts.Set(subjectVM+vm, data)
}

// RoundUpToPowerOfTwo rounds a count up to a power of two so that facts change rarely.
func RoundUpToPowerOfTwo(count int) int {
	if count <= 1 {
		return count
	}
	return 1 << int(math.Ceil(math.Log2(float64(count))))
}

// quantizeMS rounds a duration in milliseconds to a power of 1.25.
func quantizeMS(val float64) float64 {
	if val <= 0 {
		return 0
	}
	steps := math.Round(math.Log(val) / math.Log(1.25))
	return math.Round(100*math.Pow(1.25, steps)) / 100
}

// Recent reports whether the last answer is recent enough for the VM to count as present.
func (wat *Watcher) Recent(pro prober.Probe, now time.Time) bool {
	return !pro.LastSuccess.IsZero() && now.Sub(pro.LastSuccess) <= recentIntervals*wat.opt.Interval
}
