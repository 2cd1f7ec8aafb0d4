package planner

// rollVersions updates the groups of each model to the catalog version, one at a time: it forms a new group first where there is room, and updates in place otherwise.
func (rnd *round) rollVersions() {
	for _, model := range rnd.models {
		if grp := rnd.oldestOutdated(model); grp != nil && !rnd.quiescing(model) && len(rnd.proposedZones[model]) == 0 {
			rnd.rollGroup(grp)
		}
	}
}

func (rnd *round) oldestOutdated(model string) *groupState {
	var out *groupState
	for _, grp := range rnd.byModel[model] {
		if grp.stable() && rnd.outdated(grp) && (out == nil || grp.Fence < out.Fence) {
			out = grp
		}
	}
	return out
}

func (rnd *round) rollGroup(grp *groupState) {
	reason := "version " + rnd.inv.Models[grp.Model].Version
	if !grp.serving {
		rnd.proposeQuiesce(grp, true, reason)
		return
	}
	active := rnd.activeGroups(grp.Model, nil)
	if active > rnd.quota(grp.Model) || rnd.servingGroups(grp.Model, nil) < active || !rnd.queueHasRoom(newGroupQueueFactor) {
		rnd.setWaitReason(grp, reason+" waits until the model's other groups serve")
		return
	}
	if !rnd.formGroup(grp.Model, reason) {
		rnd.proposeQuiesce(grp, true, reason)
	}
}
