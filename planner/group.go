package planner

import (
	"slices"

	"github.com/lovagelever/lovagelever/reducer"
)

// groupState is a replica group with the state that a round derives for it.
type groupState struct {
	reducer.Group
	zoneOut       bool
	domainDown    bool
	serving       bool     // every member is ready and the availability zone is not out
	memberUnknown bool     // the health of a member is neither live nor dead
	spareLoading  bool     // a spare is loading the weights for a repair
	recentlyDead  []string // members that have been dead for less than the grace period
	lost          []string // see isLost
	outgoing      []string // live members that should be replaced
	pending       bool     // a proposed record about the group is not in the view yet
	stopping      bool     // a retirement or a replacement is proposed
	superseded    bool     // to be replaced by a whole other group; no longer counts as active
	reforming     bool     // quiesced, and to be formed again with replaced members
	noCapacity    bool     // repair found no spare in the domain and no room elsewhere
}

func (rnd *round) newGroupState(group reducer.Group) *groupState {
	grp := &groupState{Group: group, zoneOut: rnd.vie.Catalog.Rules.ZoneDisabled(group.Zone), domainDown: rnd.downDomains[group.Domain]}
	if pen, isPending := rnd.mem.pending[group.Name]; isPending {
		grp.pending = true
		grp.stopping = pen.kind != pendingQuiesce
		grp.Quiesced = grp.Quiesced || pen.kind == pendingQuiesce
	}
	ready := 0
	for _, name := range group.VMs {
		obs := rnd.obs.VMs[name]
		switch {
		case rnd.isLost(name):
			grp.lost = append(grp.lost, name)
		case obs.Health == HealthDead:
			grp.recentlyDead = append(grp.recentlyDead, name)
		case obs.Health != HealthLive:
			grp.memberUnknown = true
		case rnd.needsReplacement(name):
			grp.outgoing = append(grp.outgoing, name)
		}
		if obs.Health == HealthLive && obs.reportsGroup(group) && obs.State == StateReady {
			ready++
		}
	}
	grp.serving = ready == len(group.VMs) && !grp.zoneOut
	return grp
}

// hasUncertainMember reports whether the health of a member is unclear: suspect, unknown, or dead for less than the grace period.
func (grp *groupState) hasUncertainMember() bool {
	return grp.memberUnknown || len(grp.recentlyDead) > 0
}

// reportsGroup reports whether the engine is in this group, with the fence of the group.
func (obs Observation) reportsGroup(grp reducer.Group) bool {
	return obs.Group == grp.Name && obs.Fence == grp.Fence
}

// holds reports whether the engine has all weights of a model version, serving or preloaded.
func (obs Observation) holds(model, version string) bool {
	if obs.State == StateReady && obs.Model == model && obs.Version == version {
		return true
	}
	return slices.Contains(obs.PreloadedWeights, model+"@"+version)
}

// isLost reports whether a VM has been dead for the grace period, or is avoided because its loads failed and does not serve.
func (rnd *round) isLost(vm string) bool {
	obs := rnd.obs.VMs[vm]
	if obs.Health == HealthDead {
		return rnd.now.Sub(obs.HealthSince) >= rnd.opt.GracePeriod
	}
	return rnd.mem.avoided[vm].failed && !rnd.servesItsGroup(vm)
}

// servesItsGroup reports whether a VM is ready in the group that the view assigns it to.
func (rnd *round) servesItsGroup(vm string) bool {
	obs := rnd.obs.VMs[vm]
	return obs.State == StateReady && obs.reportsGroup(rnd.vie.Groups[rnd.vie.GroupByVM[vm]])
}

// needsReplacement reports whether a VM should be replaced although it is live: it is leaving or a straggler.
func (rnd *round) needsReplacement(vm string) bool {
	return rnd.obs.VMs[vm].Leaving || rnd.isStraggler(vm)
}

// active reports whether a group counts towards the wanted number of groups of its model.
func (grp *groupState) active() bool {
	if grp.stopping || grp.superseded || grp.zoneOut || grp.domainDown {
		return false
	}
	return !grp.Quiesced || grp.reforming
}

// activeGroups counts the active and proposed groups of a model.
func (rnd *round) activeGroups(model string, except *groupState) int {
	num := len(rnd.proposedZones[model])
	for _, grp := range rnd.byModel[model] {
		if grp != except && grp.active() {
			num++
		}
	}
	return num
}

// servingGroups counts the groups of a model that serve and take new work.
func (rnd *round) servingGroups(model string, except *groupState) int {
	num := 0
	for _, grp := range rnd.byModel[model] {
		if grp != except && grp.serving && !grp.Quiesced && !grp.stopping {
			num++
		}
	}
	return num
}

// quiescing reports whether a group of the model, in a domain that is up, is quiesced or stopping.
func (rnd *round) quiescing(model string) bool {
	for _, grp := range rnd.byModel[model] {
		if (grp.Quiesced || grp.stopping) && !grp.domainDown {
			return true
		}
	}
	return false
}
