package planner

import (
	"fmt"
	"strings"
)

// repairGroups repairs the groups that lost a member: with spares of the domain, by forming the group elsewhere,
// or by retiring it when other groups suffice.
func (rnd *round) repairGroups() {
	for _, grp := range rnd.groups {
		if len(grp.lost) > 0 && grp.mayChange() {
			rnd.repairGroup(grp)
		}
	}
	rnd.releaseForRepair()
}

// mayChange reports whether a group takes new decisions: nothing is pending, it is not quiesced, and its zone and domain are up.
func (grp *groupState) mayChange() bool {
	return !grp.pending && !grp.Quiesced && !grp.zoneOut && !grp.domainDown
}

func (rnd *round) repairGroup(grp *groupState) {
	reason := "lost " + strings.Join(grp.lost, ", ")
	if rnd.activeGroups(grp.Model, grp) >= rnd.quota(grp.Model) {
		rnd.proposeRetire(grp, reason+", and other groups suffice")
		return
	}
	if grp.hasUncertainMember() {
		rnd.setWaitReason(grp, reason+", and another member is in doubt")
		return
	}
	if grp.spareLoading {
		rnd.setWaitReason(grp, reason+", a spare is loading the weights")
		return
	}
	if !rnd.queueHasRoom(repairQueueFactor) {
		rnd.setWaitReason(grp, reason+", the weight store is busy")
		return
	}
	vms := rnd.renewedMembers(grp)
	if vms != nil && !rnd.opt.ReformElsewhere {
		rnd.proposeReplacement(grp, vms, reason)
		return
	}
	rnd.reformElsewhere(grp, reason)
}

func (rnd *round) reformElsewhere(grp *groupState, reason string) {
	plc, err := rnd.place(grp.Model)
	if err != nil {
		grp.noCapacity = true
		rnd.setWaitReason(grp, fmt.Sprintf("%s, no spare in domain %s and no room elsewhere", reason, grp.Domain))
		return
	}
	rnd.proposeRetire(grp, reason+", formed elsewhere")
	rnd.enqueue(grp.Model, plc.VMs)
	rnd.proposeForm(rnd.newForm(grp.Model, plc.VMs, "", reason+" of "+grp.Name))
}

// releaseForRepair retires one group without capacity when its VMs allow another such group of its domain to be repaired.
func (rnd *round) releaseForRepair() {
	firstByDomain := map[string]*groupState{}
	for _, grp := range rnd.groups {
		if !grp.noCapacity {
			continue
		}
		receiver, found := firstByDomain[grp.Domain]
		if !found {
			firstByDomain[grp.Domain] = grp
			continue
		}
		if rnd.canComplete(grp, receiver) {
			rnd.proposeRetire(grp, "gives its VMs to "+receiver.Name)
			return
		}
	}
}

// canComplete reports whether the spares of the domain and the VMs of the donor suffice to repair the receiver.
func (rnd *round) canComplete(donor, receiver *groupState) bool {
	mod := rnd.inv.Models[receiver.Model]
	num := len(rnd.spares(receiver.Domain, receiver.Model, mod.VMsPerReplica))
	for _, name := range donor.VMs {
		if rnd.usable(name) && rnd.inv.VMs[name].Accelerators >= mod.AcceleratorsPerVM {
			num++
		}
	}
	return num >= len(receiver.lost)+len(receiver.outgoing)
}
