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
}

// Health says how a formation stands.
type Health int

// A formation is Whole when all members are listed and answer; Leaving when one of them drains; Lost when one is gone or does not answer.
const (
	Whole Health = iota
	Leaving
	Lost
)

// Check judges a formation by the list of servers.
func (frm Formation) Check(vie *registrar.View) Health {
	out := Whole
	for _, lif := range frm.Members {
		ser, listed := vie.Servers[lif.ID]
		switch {
		case !listed || ser.Started != lif.Started || vie.Doubted(lif):
			return Lost
		case ser.Draining:
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

// Opened reports whether the head says that it takes requests.
func (frm Formation) Opened(vie *registrar.View) bool {
	head, listed := vie.Servers[frm.Members[0].ID]
	return listed && head.Group.Name == frm.Name && head.Group.Epoch == frm.Epoch && head.Group.State == registrar.Open
}
