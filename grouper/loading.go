package grouper

import (
	"slices"

	"github.com/lovagelever/lovagelever/router"
)

// canLoad reports whether the weight store can start so many more loads and still run all of them at full speed. Loads that share its bandwidth all end late and together, and none of their groups serves until then. A group that does not fit reserves the rest of the weight store, so that smaller groups cannot starve it.
func (rnd *round) canLoad(loads int) bool {
	limit := rnd.pic.Engine.FullSpeedLoads
	if loads == 0 || limit == 0 || rnd.pic.BeforeFirstRequest {
		return true
	}
	if rnd.storeReserved || rnd.loading > 0 && rnd.loading+loads > limit {
		rnd.storeReserved = true
		return false
	}
	return true
}

// countLoading returns the number of loads from the weight store that are under way, by members of groups being formed and by hosts that stage weights.
func (rnd *round) countLoading() int {
	num := len(rnd.pic.Staging)
	for _, frm := range rnd.pic.Formations {
		mod, known := rnd.model(frm.Model)
		if frm.Service != rnd.pic.Service || !known || rnd.pic.Dissolving[frm.Name] {
			continue
		}
		for _, lif := range frm.Members {
			ser := rnd.pic.View.Servers[lif.ID]
			if ser.Instance() == lif && !frm.readyAt(ser) && rnd.readyIn(mod, ser) > mod.HostLoadTime {
				num++
			}
		}
	}
	return num
}

func (rnd *round) model(name string) (router.Model, bool) {
	num := slices.IndexFunc(rnd.pic.Engine.Models, func(mod router.Model) bool { return mod.Name == name })
	if num < 0 {
		return router.Model{}, false
	}
	return rnd.pic.Engine.Models[num], true
}
