package grouper

import (
	"slices"

	"github.com/lovagelever/lovagelever/registrar"
)

// Formation is the recorded decision to form a replica group. Era is the era of the store in which it was decided. Epoch rises with each decision: in the first era it is the offset of its record.
type Formation struct {
	Name    string               `json:"name"`
	Epoch   int64                `json:"epoch"`
	Era     int64                `json:"era,omitempty"`
	Service string               `json:"service"`
	Model   string               `json:"model"`
	Members []registrar.Instance `json:"members"`
	// Standby means that the group is formed but not opened until it is needed.
	Standby bool `json:"standby,omitempty"`
}

// Health is the state of a formation as derived from the server list.
type Health int

// A formation is Healthy when all its members are listed and answer. It is Leaving when a member drains or is off the list, which may mean that it is shutting down. It is Lost when a member has restarted or does not answer, or when its head reports the group broken.
const (
	Healthy Health = iota
	Leaving
	Lost
)

// String returns the name of the health state in log lines.
func (hea Health) String() string {
	switch hea {
	case Healthy:
		return "healthy"
	case Leaving:
		return "leaving"
	}
	return "lost"
}

// Check returns the health of the formation according to the server list.
func (frm Formation) Check(vie *registrar.View) Health {
	out := Healthy
	for _, ins := range frm.Members {
		out = max(out, memberHealth(vie, ins))
	}
	if head := vie.Servers[frm.Members[0].ID]; head.Group.Name == frm.Name && head.Group.State == registrar.Broken {
		return Lost
	}
	return out
}

// Includes reports whether a membership is one in this group.
func (frm Formation) Includes(mem registrar.Membership) bool {
	return mem.Name == frm.Name && mem.Epoch == frm.Epoch
}

// IsSuperseded reports whether a member reports a later group: the record of this formation's end was lost.
func (frm Formation) IsSuperseded(vie *registrar.View) bool {
	for _, ins := range frm.Members {
		if ser, listed := vie.Servers[ins.ID]; listed && ser.Instance() == ins && ser.Group.Epoch > frm.Epoch {
			return true
		}
	}
	return false
}

// UnhealthyMembers returns the members for which the formation is not healthy.
func (frm Formation) UnhealthyMembers(vie *registrar.View) []registrar.Instance {
	var out []registrar.Instance
	for _, ins := range frm.Members {
		if memberHealth(vie, ins) != Healthy {
			out = append(out, ins)
		}
	}
	return out
}

func memberHealth(vie *registrar.View, ins registrar.Instance) Health {
	ser, listed := vie.Servers[ins.ID]
	switch {
	case listed && ser.Started != ins.Started:
		return Lost
	// A member that drains stops listening while its group still has work.
	case !listed, ser.Draining:
		return Leaving
	case vie.SuspicionConfirmed(ins):
		return Lost
	}
	return Healthy
}

// Has reports whether the given instance of a server is a member.
func (frm Formation) Has(ins registrar.Instance) bool {
	return slices.Contains(frm.Members, ins)
}

// isReady reports whether every member reports ready under the group's name and epoch.
func (frm Formation) isReady(vie *registrar.View) bool {
	return frm.ReadyMembers(vie) == len(frm.Members)
}

// ReadyMembers returns the number of members that report ready under the group's name, epoch and their rank.
func (frm Formation) ReadyMembers(vie *registrar.View) int {
	ready := 0
	for rank, ins := range frm.Members {
		ser := vie.Servers[ins.ID]
		if ser.Instance() == ins && ser.Group.Rank == rank && frm.readyAt(ser) {
			ready++
		}
	}
	return ready
}

// readyAt reports whether a server reports ready under the group's name and epoch.
func (frm Formation) readyAt(ser registrar.Server) bool {
	return ser.Group.Name == frm.Name && ser.Group.Epoch == frm.Epoch && (ser.Group.State == registrar.Ready || ser.Group.State == registrar.Open)
}

// IsOpen reports whether the head accepts requests for the group.
func (frm Formation) IsOpen(vie *registrar.View) bool {
	head, listed := vie.Servers[frm.Members[0].ID]
	return listed && head.Group.Name == frm.Name && head.Group.Epoch == frm.Epoch && head.Group.State == registrar.Open
}
