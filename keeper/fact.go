package keeper

import (
	"encoding/json"
	"time"

	"github.com/lovagelever/lovagelever/reducer"
	"github.com/lovagelever/lovagelever/watcher"
)

const (
	subjectUnit = "unit/"
	// loadPerEntry, times the members, is how far apart two facts of a unit are that differ in its load only.
	loadPerEntry = 40 * time.Millisecond
	// loadApart is how far apart they are at least.
	loadApart = time.Second
)

// Standing is what a home tells the other entries of a unit; counts are rounded up to powers of two.
type Standing struct {
	Stage   watcher.Stage `json:"stage"`
	Reason  string        `json:"reason,omitempty"`
	Fence   int64         `json:"fence"`
	Warm    bool          `json:"warm"`
	Running int           `json:"running"`
	Waiting int           `json:"waiting"`
	Limit   int           `json:"limit"`
	Started string        `json:"started"`
}

func (kee *Keeper) tell(unit string, stage watcher.Stage, why string) {
	adm, _ := kee.opt.Admitter.Status(unit)
	sta := Standing{
		Stage:   stage,
		Reason:  why,
		Fence:   adm.Fence,
		Warm:    adm.Warm,
		Running: watcher.Coarse(adm.Running + adm.Foreign),
		Waiting: watcher.Coarse(adm.Waiting),
		Limit:   adm.Limit,
		Started: kee.started(unit),
	}
	data, err := json.Marshal(sta)
	if err != nil || !kee.due(unit, sta) {
		return
	}
	kee.opt.Facts.Set(subjectUnit+unit, data)
}

// told is what the other entries were last told of a unit, and when.
type told struct {
	sta Standing
	at  time.Time
}

// due reports whether to tell of a unit now, and notes that: a change of its load alone waits, so that the traffic does not grow with the entries.
func (kee *Keeper) due(unit string, sta Standing) bool {
	now := kee.opt.Clock.Now()
	last, known := kee.told[unit]
	if known && sta == last.sta {
		return true
	}
	apart := max(loadApart, loadPerEntry*time.Duration(len(kee.opt.View().Members)))
	if known && sta.unloaded() == last.sta.unloaded() && now.Sub(last.at) < apart {
		return false
	}
	kee.told[unit] = told{sta: sta, at: now}
	return true
}

// unloaded is the standing without its load.
func (sta Standing) unloaded() Standing {
	sta.Running, sta.Waiting, sta.Limit = 0, 0, 0
	return sta
}

func (kee *Keeper) started(unit string) string {
	vie := kee.opt.View()
	vm := unit
	if grp, grouped := vie.Groups[unit]; grouped {
		vm = grp.VMs[0]
	}
	pro, _ := kee.opt.Stager.Prober().Get(vm)
	return pro.Status.Started
}

// Standing returns what the home of a unit says of it.
func (kee *Keeper) Standing(vie *reducer.View, unit string) (Standing, bool) {
	body, told := kee.opt.Facts.Get(subjectUnit+unit, vie.Homes[unit].Incarnation)
	var sta Standing
	if !told || json.Unmarshal(body, &sta) != nil {
		return Standing{}, false
	}
	if grp, grouped := vie.Groups[unit]; grouped && grp.Fence != sta.Fence {
		return Standing{}, false
	}
	return sta, true
}
