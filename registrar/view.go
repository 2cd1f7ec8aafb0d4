package registrar

import (
	"maps"
	"slices"
	"strings"
)

// View is the state of all backend servers at one moment.
type View struct {
	// Servers holds all listed servers by ID.
	Servers map[string]Server
	// Groups holds the replica groups by the word of their members, in the order of their names.
	Groups []Group
	// suspicions holds the lives that do not answer this entry, and whether that is confirmed.
	suspicions map[Life]bool
	zonesOut   map[string]bool
}

// Group is a replica group as its members report it.
type Group struct {
	Name    string
	Epoch   int64
	Service string
	Model   string
	Zone    string
	// Members holds those that are listed, by rank.
	Members map[int]Server
}

// Head returns the member that takes the requests.
func (grp Group) Head() (Server, bool) {
	head, listed := grp.Members[0]
	return head, listed
}

func newView(servers map[string]Server, zonesOut map[string]bool) *View {
	vie := &View{Servers: maps.Clone(servers), suspicions: map[Life]bool{}, zonesOut: maps.Clone(zonesOut)}
	type key struct {
		name  string
		epoch int64
	}
	groups := map[key]*Group{}
	for _, ser := range vie.Servers {
		if ser.Group.Name == "" {
			continue
		}
		at := key{ser.Group.Name, ser.Group.Epoch}
		grp := groups[at]
		if grp == nil {
			grp = &Group{Name: at.name, Epoch: at.epoch, Service: ser.Service, Zone: ser.Zone, Members: map[int]Server{}}
			groups[at] = grp
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

// Usable reports whether a server may get new work: it is listed, stays, answers, and its availability zone is in service.
func (vie *View) Usable(ser Server) bool {
	return !ser.Draining && !vie.zonesOut[ser.Zone] && !vie.Suspected(ser.Life())
}

// Suspected reports whether a life of a server does not answer this entry.
func (vie *View) Suspected(lif Life) bool {
	_, suspected := vie.suspicions[lif]
	return suspected
}

// Confirmed reports whether a life of a server answers neither this entry nor another, or certainly has ended.
func (vie *View) Confirmed(lif Life) bool {
	return vie.suspicions[lif]
}

// ZoneOut reports whether an availability zone gets no new work.
func (vie *View) ZoneOut(zone string) bool {
	return vie.zonesOut[zone]
}

// Serves reports whether a group takes requests: its head is open, and as many members as the model needs report that they are ready under the same name and epoch.
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
