package reducer

// assertWhole panics when the folded state breaks an invariant; it is cheap enough for every record.
func (sta *State) assertWhole() {
	vms := 0
	for _, grp := range sta.Groups {
		vms += len(grp.VMs)
	}
	if vms != len(sta.Owners) {
		panic("reducer: a VM is in two groups, or owned by none that is live")
	}
}
