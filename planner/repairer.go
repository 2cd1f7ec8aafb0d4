package planner

import (
	"fmt"
	"strings"
)

// repair brings back the groups that lost a member.
func (rnd *round) repair() {
	for _, uni := range rnd.units {
		if len(uni.lost) > 0 && uni.repairable() {
			rnd.repairUnit(uni)
		}
	}
	rnd.donate()
}

func (uni *unit) repairable() bool {
	return !uni.pending && !uni.Quiesced && !uni.zoneOut && !uni.dark
}

func (rnd *round) repairUnit(uni *unit) {
	why := "lost " + strings.Join(uni.lost, ", ")
	if rnd.activeGroups(uni.Model, uni) >= rnd.quota(uni.Model) {
		rnd.proposeRetire(uni, why+", and other groups suffice")
		return
	}
	if uni.unsettled() {
		rnd.waits(uni, why+", and another member is in doubt")
		return
	}
	if uni.staging {
		rnd.waits(uni, why+", a spare loads the weights")
		return
	}
	if !rnd.queueRoom(aheadForRepair) {
		rnd.waits(uni, why+", the weight store is busy")
		return
	}
	vms := rnd.renewed(uni)
	if vms != nil && !rnd.opt.ReformElsewhere {
		rnd.proposeReplacement(uni, vms, why)
		return
	}
	rnd.reformElsewhere(uni, why)
}

func (rnd *round) reformElsewhere(uni *unit, why string) {
	plc, err := rnd.place(uni.Model)
	if err != nil {
		uni.stuck = true
		rnd.waits(uni, fmt.Sprintf("%s, no spare in domain %s and no room elsewhere", why, uni.Domain))
		return
	}
	rnd.proposeRetire(uni, why+", formed elsewhere")
	rnd.enqueue(uni.Model, plc.VMs)
	rnd.proposeForm(rnd.formOf(uni.Model, plc.VMs, "", why+" of "+uni.Name))
}

// donate retires one stuck group of a domain when its VMs let another stuck group of that domain be repaired.
func (rnd *round) donate() {
	first := map[string]*unit{}
	for _, uni := range rnd.units {
		if !uni.stuck {
			continue
		}
		one, found := first[uni.Domain]
		if !found {
			first[uni.Domain] = uni
			continue
		}
		if rnd.helps(uni, one) {
			rnd.proposeRetire(uni, "gives its VMs to "+one.Name)
			return
		}
	}
}

func (rnd *round) helps(from, into *unit) bool {
	mod := rnd.inv.Models[into.Model]
	num := len(rnd.spares(into.Domain, into.Model, mod.VMsPerReplica))
	for _, name := range from.VMs {
		if rnd.usable(name) && rnd.inv.VMs[name].Accelerators >= mod.AcceleratorsEach {
			num++
		}
	}
	return num >= len(into.lost)+len(into.bad)
}
