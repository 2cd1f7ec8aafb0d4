package enginefaker

// auditor records independently of the engines which VM is ready in which group, so that every step of a group can be checked against it.
type auditor map[string]membership

type membership struct {
	group string
	fence int64
	ready bool
}

func (aud auditor) record(vm string, ord order, state string) {
	aud[vm] = membership{group: ord.Group, fence: ord.Fence, ready: state == stateReady}
}

// memberMissing reports whether a member of the group that this process serves is not ready in the group.
func (aud auditor) memberMissing(ord order) bool {
	want := membership{group: ord.Group, fence: ord.Fence, ready: true}
	for _, mem := range ord.Members {
		have, local := aud[mem.VM]
		if local && have != want {
			return true
		}
	}
	return false
}
