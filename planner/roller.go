package planner

// roll brings models to the version of the catalog, one group at a time: a new group first where there is room, in place otherwise.
func (rnd *round) roll() {
	for _, model := range rnd.models {
		if uni := rnd.oldest(model); uni != nil && !rnd.quiescing(model) && len(rnd.formed[model]) == 0 {
			rnd.rollUnit(uni)
		}
	}
}

func (rnd *round) oldest(model string) *unit {
	var out *unit
	for _, uni := range rnd.byModel[model] {
		if uni.settled() && rnd.old(uni) && (out == nil || uni.Fence < out.Fence) {
			out = uni
		}
	}
	return out
}

func (rnd *round) rollUnit(uni *unit) {
	why := "version " + rnd.inv.Models[uni.Model].Version
	if !uni.serving {
		rnd.proposeQuiesce(uni, true, why)
		return
	}
	active := rnd.activeGroups(uni.Model, nil)
	if active > rnd.quota(uni.Model) || rnd.servingGroups(uni.Model, nil) < active || !rnd.queueRoom(aheadForNew) {
		rnd.waits(uni, why+" follows when the model's other groups serve")
		return
	}
	if !rnd.formOne(uni.Model, why) {
		rnd.proposeQuiesce(uni, true, why)
	}
}
