package grouper

import (
	"slices"

	"github.com/lovagelever/lovagelever/router"
)

// mayLoad reports whether so many more loads leave the weight store its full speed: those that share it end together and late, and until then none of their groups serves. What does not fit keeps the rest of the store for itself, so that small groups do not pass it by for ever.
func (rnd *round) mayLoad(loads int) bool {
	most := rnd.pic.Engine.LoadsAtOnce
	if loads == 0 || most == 0 || rnd.pic.BeforeFirstRequest {
		return true
	}
	if rnd.kept || rnd.loading > 0 && rnd.loading+loads > most {
		rnd.kept = true
		return false
	}
	return true
}

// countLoading counts the members of groups in the making, and the hosts, that load from the weight store.
func (rnd *round) countLoading() int {
	num := len(rnd.pic.Staging)
	for _, frm := range rnd.pic.Formations {
		mod, known := rnd.model(frm.Model)
		if frm.Service != rnd.pic.Service || !known || rnd.pic.Dissolving[frm.Name] {
			continue
		}
		for _, lif := range frm.Members {
			ser := rnd.pic.View.Servers[lif.ID]
			if ser.Life() == lif && !frm.readyAt(ser) && rnd.readyIn(mod, ser) > mod.StagedIn {
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
