package registrar

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// View is a snapshot of all backend servers.
type View struct {
	// Servers maps IDs to all listed servers.
	Servers map[string]Server
	// Groups holds the replica groups that the members report, sorted by name.
	Groups []Group
	// suspicions maps each suspected instance to whether the suspicion is confirmed, and down holds those at whose addresses nothing listens.
	suspicions map[Instance]bool
	down       map[Instance]bool
	leaving    map[Instance]time.Time
	zonesOut   map[string]bool
}

// Group is a replica group as reported by its members.
type Group struct {
	Name    string
	Epoch   int64
	Service string
	Model   string
	Zone    string
	// Members maps ranks to the members that are listed.
	Members map[int]Server
}

// Head returns the member that receives the group's requests, rank 0.
func (grp Group) Head() (Server, bool) {
	head, listed := grp.Members[0]
	return head, listed
}

func newView(servers map[string]Server, leaving map[Instance]time.Time, zonesOut map[string]bool) *View {
	vie := &View{Servers: maps.Clone(servers), suspicions: map[Instance]bool{}, down: map[Instance]bool{}, leaving: maps.Clone(leaving), zonesOut: maps.Clone(zonesOut)}
	for ins := range leaving {
		if ser := servers[ins.ID]; ser.Instance() == ins {
			ser.Draining = true
			vie.Servers[ins.ID] = ser
		}
	}
	type key struct {
		name  string
		epoch int64
	}
	groups := map[key]*Group{}
	for _, ser := range vie.Servers {
		if ser.Group.Name == "" {
			continue
		}
		id := key{ser.Group.Name, ser.Group.Epoch}
		grp := groups[id]
		if grp == nil {
			grp = &Group{Name: id.name, Epoch: id.epoch, Service: ser.Service, Zone: ser.Zone, Members: map[int]Server{}}
			groups[id] = grp
		}
		grp.Members[ser.Group.Rank] = ser
		if ser.Group.Rank == 0 {
			grp.Model, grp.Zone = ser.Loaded, ser.Zone
		}
	}
	for _, grp := range groups {
		vie.Groups = append(vie.Groups, *grp)
	}
	slices.SortFunc(vie.Groups, func(one, two Group) int { return strings.Compare(one.Name, two.Name) })
	return vie
}

// Usable reports whether a listed server can get new work: it is not draining, this entry does not suspect it, and its availability zone is in service.
func (vie *View) Usable(ser Server) bool {
	return !ser.Draining && !vie.zonesOut[ser.Zone] && !vie.Suspected(ser.Instance())
}

// Leaving reports whether a server instance has said in an answer that it leaves.
func (vie *View) Leaving(ins Instance) bool {
	_, leaving := vie.leaving[ins]
	return leaving
}

// Suspected reports whether this entry suspects a server instance.
func (vie *View) Suspected(ins Instance) bool {
	_, suspected := vie.suspicions[ins]
	return suspected
}

// SuspicionConfirmed reports whether the suspicion of an instance is confirmed: its VM answered that nothing listens at the address, or it has lasted for SilenceTolerance and another entry shares it or none is heard from.
func (vie *View) SuspicionConfirmed(ins Instance) bool {
	return vie.suspicions[ins]
}

// Down reports whether nothing listens at the address of a suspected instance, as opposed to one that only does not answer.
func (vie *View) Down(ins Instance) bool {
	return vie.down[ins]
}

// ZoneOut reports whether an availability zone gets no new work.
func (vie *View) ZoneOut(zone string) bool {
	return vie.zonesOut[zone]
}

// Serves reports whether a group takes requests: its head is open, and exactly size members, the number that the model needs, are usable and report that they are ready under the same name and epoch.
func (vie *View) Serves(grp Group, size int) bool {
	head, listed := grp.Head()
	if !listed || head.Group.State != Open || len(grp.Members) != size {
		return false
	}
	for rank := range size {
		mem, present := grp.Members[rank]
		if !present || !vie.Usable(mem) {
			return false
		}
		if mem.Group.State != Ready && mem.Group.State != Open {
			return false
		}
	}
	return true
}
