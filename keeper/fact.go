package keeper

import (
	"encoding/json"
	"time"

	"github.com/lovagelever/lovagelever/reducer"
	"github.com/lovagelever/lovagelever/watcher"
)

const (
	unitSubjectPrefix = "unit/"
	// loadIntervalPerEntry times the number of members is the minimum interval between two facts of a unit that differ only in its load.
	loadIntervalPerEntry = 40 * time.Millisecond
	// minLoadInterval is the lower bound of that interval.
	minLoadInterval = time.Second
)

// UnitStatus is the status of a unit that its home publishes to the other entries; Running and Waiting are rounded up to powers of two.
type UnitStatus struct {
	Stage   watcher.Stage `json:"stage"`
	Reason  string        `json:"reason,omitempty"`
	Fence   int64         `json:"fence"`
	Warm    bool          `json:"warm"`
	Running int           `json:"running"`
	Waiting int           `json:"waiting"`
	Limit   int           `json:"limit"`
	Started string        `json:"started"`
}

func (kee *Keeper) publish(unit string, stage watcher.Stage, reason string) {
	adm, _ := kee.opt.Admitter.Status(unit)
	sta := UnitStatus{
		Stage:   stage,
		Reason:  reason,
		Fence:   adm.Fence,
		Warm:    adm.Warm,
		Running: watcher.RoundUpToPowerOfTwo(adm.Running + adm.ForeignLoad),
		Waiting: watcher.RoundUpToPowerOfTwo(adm.Waiting),
		Limit:   adm.Limit,
		Started: kee.serverStart(unit),
	}
	data, err := json.Marshal(sta)
	if err != nil || !kee.shouldPublish(unit, sta) {
		return
	}
	kee.opt.Facts.Set(unitSubjectPrefix+unit, data)
}

// publishedStatus is the last status of a unit that was published, with its time; a change of the load that waits is not recorded.
type publishedStatus struct {
	sta UnitStatus
	at  time.Time
}

// shouldPublish reports whether to publish the status of a unit now, and records it: a change of the load alone waits for the minimum interval, so that the traffic does not grow with the number of entries.
func (kee *Keeper) shouldPublish(unit string, sta UnitStatus) bool {
	now := kee.opt.Clock.Now()
	last, known := kee.published[unit]
	if known && sta == last.sta {
		return true
	}
	interval := max(minLoadInterval, loadIntervalPerEntry*time.Duration(len(kee.opt.View().Members)))
	if known && sta.withoutLoad() == last.sta.withoutLoad() && now.Sub(last.at) < interval {
		return false
	}
	kee.published[unit] = publishedStatus{sta: sta, at: now}
	return true
}

// withoutLoad returns the status with the load set to zero.
func (sta UnitStatus) withoutLoad() UnitStatus {
	sta.Running, sta.Waiting, sta.Limit = 0, 0, 0
	return sta
}

func (kee *Keeper) serverStart(unit string) string {
	vie := kee.opt.View()
	vm := unit
	if grp, grouped := vie.Groups[unit]; grouped {
		vm = grp.VMs[0]
	}
	pro, _ := kee.opt.Stager.Prober().Get(vm)
	return pro.Status.Started
}

// UnitStatus returns the status that the home of a unit published; it returns false if there is none, or if it belongs to a group with another fencing token.
func (kee *Keeper) UnitStatus(vie *reducer.View, unit string) (UnitStatus, bool) {
	body, found := kee.opt.Facts.Get(unitSubjectPrefix+unit, vie.Homes[unit].Incarnation)
	var sta UnitStatus
	if !found || json.Unmarshal(body, &sta) != nil {
		return UnitStatus{}, false
	}
	if grp, grouped := vie.Groups[unit]; grouped && grp.Fence != sta.Fence {
		return UnitStatus{}, false
	}
	return sta, true
}
