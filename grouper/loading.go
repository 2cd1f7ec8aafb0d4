package grouper

import (
	"slices"

	"github.com/lovagelever/lovagelever/router"
)

// canLoad reports whether the weight store can start so many more loads and still run all of them at full speed. Loads that share its bandwidth all end late and together, and none of their groups serves until then.
func (rnd *round) canLoad(loads int) bool {
	limit := rnd.inp.Engine.FullSpeedLoads
	if loads == 0 || limit == 0 || rnd.inp.BeforeFirstRequest {
		return true
	}
	return rnd.loading == 0 || rnd.loading+loads <= limit
}

// countLoading returns the number of loads from the weight store that are under way, by members of groups being formed and by hosts that stage weights.
func (rnd *round) countLoading() int {
	num := len(rnd.inp.Staging)
	for _, frm := range rnd.inp.Formations {
		mod, known := rnd.model(frm.Model)
		if frm.Service != rnd.inp.Service || !known || rnd.inp.Dissolving[frm.Name] {
			continue
		}
		for _, ins := range frm.Members {
			ser := rnd.inp.View.Servers[ins.ID]
			if ser.Instance() == ins && !frm.readyAt(ser) && (rnd.isSpare(frm) || rnd.readyIn(mod, ser) > mod.HostLoadTime) {
				num++
			}
		}
	}
	return num
}

func (rnd *round) model(name string) (router.Model, bool) {
	num := slices.IndexFunc(rnd.inp.Engine.Models, func(mod router.Model) bool { return mod.Name == name })
	if num < 0 {
		return router.Model{}, false
	}
	return rnd.inp.Engine.Models[num], true
}
