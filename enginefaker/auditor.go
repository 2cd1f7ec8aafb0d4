package enginefaker

// auditor keeps its own account of which VM is ready in which group, to check every step of a group against it.
type auditor map[string]membership

type membership struct {
	group string
	fence int64
	ready bool
}

func (aud auditor) note(vm string, ord order, state string) {
	aud[vm] = membership{group: ord.Group, fence: ord.Fence, ready: state == stateReady}
}

// missing reports whether a member of the group that this process serves is not ready in it.
func (aud auditor) missing(ord order) bool {
	want := membership{group: ord.Group, fence: ord.Fence, ready: true}
	for _, mem := range ord.Members {
		have, local := aud[mem.VM]
		if local && have != want {
			return true
		}
	}
	return false
}
