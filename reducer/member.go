package reducer

import "github.com/lovagelever/lovagelever/recorder"

func (sta *State) applyJoin(mem recorder.Member) Reason {
	if mem.Incarnation == "" || mem.Name == "" {
		return ReasonMalformed
	}
	_, live := sta.Members[mem.Incarnation]
	_, gone := sta.Departed[mem.Incarnation]
	if live || gone {
		return ReasonDuplicate
	}
	for inc, old := range sta.Members {
		if old.Name == mem.Name {
			sta.removeMember(inc, Departed{Name: old.Name, RPCAddress: old.RPCAddress, Evicted: true})
		}
	}
	sta.Members[mem.Incarnation] = Member{Member: mem, JoinOffset: sta.Offset}
	return Accepted
}

func (sta *State) applyDrain(dep recorder.Departure) Reason {
	mem, live := sta.Members[dep.Incarnation]
	if !live {
		return ReasonUnknownMember
	}
	mem.Draining = true
	sta.Members[dep.Incarnation] = mem
	return Accepted
}

func (sta *State) applyLeave(dep recorder.Departure) Reason {
	mem, live := sta.Members[dep.Incarnation]
	if !live {
		return ReasonUnknownMember
	}
	sta.removeMember(dep.Incarnation, Departed{Name: mem.Name, RPCAddress: mem.RPCAddress, Successor: dep.Successor})
	return Accepted
}

func (sta *State) applyEvict(writer string, dep recorder.Departure) Reason {
	if _, live := sta.Members[writer]; !live {
		return ReasonNotMember
	}
	mem, live := sta.Members[dep.Incarnation]
	if !live {
		return ReasonUnknownMember
	}
	sta.removeMember(dep.Incarnation, Departed{Name: mem.Name, RPCAddress: mem.RPCAddress, Evicted: true})
	return Accepted
}

func (sta *State) removeMember(inc string, dep Departed) {
	delete(sta.Members, inc)
	dep.Offset = sta.Offset
	sta.Departed[inc] = dep
	if len(sta.Departed) <= MaxDeparted {
		return
	}
	oldest := inc
	for name, old := range sta.Departed {
		first := sta.Departed[oldest]
		if old.Offset < first.Offset || old.Offset == first.Offset && name < oldest {
			oldest = name
		}
	}
	delete(sta.Departed, oldest)
}
