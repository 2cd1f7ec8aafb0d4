package grouper

import (
	"slices"

	"github.com/lovagelever/lovagelever/registrar"
)

// Formation is a replica group that was decided on; Epoch is the offset of its record.
type Formation struct {
	Name    string           `json:"name"`
	Epoch   int64            `json:"epoch"`
	Service string           `json:"service"`
	Model   string           `json:"model"`
	Members []registrar.Life `json:"members"`
	// Standby says that the group was not to be opened when it was formed.
	Standby bool `json:"standby,omitempty"`
}

// Health says how a formation stands.
type Health int

// A formation is Whole when all members are listed and answer; Leaving when one of them drains or is off the list, which may be its way to leave; Lost when one has started again or does not answer.
const (
	Healthy Health = iota
	Leaving
	Lost
)

// Check judges a formation by the list of servers.
func (frm Formation) Check(vie *registrar.View) Health {
	out := Healthy
	for _, lif := range frm.Members {
		ser, listed := vie.Servers[lif.ID]
		switch {
		case listed && ser.Started != lif.Started, vie.Confirmed(lif):
			return Lost
		case !listed, ser.Draining:
			out = Leaving
		}
	}
	if head := vie.Servers[frm.Members[0].ID]; head.Group.Name == frm.Name && head.Group.State == registrar.Broken {
		return Lost
	}
	return out
}

// Has reports whether a life of a server is a member.
func (frm Formation) Has(lif registrar.Life) bool {
	return slices.Contains(frm.Members, lif)
}

// isReady reports whether every member says that it is ready under the group's own name and epoch.
func (frm Formation) isReady(vie *registrar.View) bool {
	return frm.ReadyMembers(vie) == len(frm.Members)
}

// ReadyMembers counts the members that say that they are ready under the group's own name, epoch and rank.
func (frm Formation) ReadyMembers(vie *registrar.View) int {
	ready := 0
	for rank, lif := range frm.Members {
		ser := vie.Servers[lif.ID]
		if ser.Life() == lif && ser.Group.Rank == rank && frm.readyAt(ser) {
			ready++
		}
	}
	return ready
}

// readyAt reports whether a server says that it is ready under the group's own name and epoch.
func (frm Formation) readyAt(ser registrar.Server) bool {
	return ser.Group.Name == frm.Name && ser.Group.Epoch == frm.Epoch && (ser.Group.State == registrar.Ready || ser.Group.State == registrar.Open)
}

// IsOpen reports whether the head says that it takes requests.
func (frm Formation) IsOpen(vie *registrar.View) bool {
	head, listed := vie.Servers[frm.Members[0].ID]
	return listed && head.Group.Name == frm.Name && head.Group.Epoch == frm.Epoch && head.Group.State == registrar.Open
}
