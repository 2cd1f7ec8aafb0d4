package reducer

// assertInvariants panics if the state breaks an invariant; it is cheap enough to run after every record.
func (sta *State) assertInvariants() {
	vms := 0
	for _, grp := range sta.Groups {
		vms += len(grp.VMs)
	}
	if vms != len(sta.GroupByVM) {
		panic("reducer: a VM is in two groups, or owned by none that is live")
	}
}
