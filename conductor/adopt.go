package conductor

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/grouper"
	"github.com/lovagelever/lovagelever/registrar"
	"github.com/lovagelever/lovagelever/router"
)

// adoptAfter is how long a group without a decision must be listed before it is adopted: the end of a group is decided up to this long before its servers are listed without it.
const adoptAfter = 2 * time.Second

// epochsPerEra is the number of epochs of an era of the store, above the number of decisions that one can hold.
const epochsPerEra = 1 << 20

// nextEpoch returns the epoch of the decision that is appended next. It follows from the position of its record, so that no other decision has it, also one that ended before any server reported it, and it is above all of earlier eras.
func (con *Conductor) nextEpoch() int64 {
	con.mux.Lock()
	defer con.mux.Unlock()
	return con.end.Era*epochsPerEra + con.end.Offset
}

// groupName returns a name that no group of another era of the store has.
func (con *Conductor) groupName(epoch int64) string {
	era := con.era()
	if era == 0 {
		return fmt.Sprintf("g%d", epoch)
	}
	return fmt.Sprintf("g%d-%d", era, epoch-era*epochsPerEra)
}

// era returns the era of the store in which the decisions were loaded.
func (con *Conductor) era() int64 {
	con.mux.Lock()
	defer con.mux.Unlock()
	return con.end.Era
}

// isDecided reports whether the decision on a group stands.
func (con *Conductor) isDecided(frm grouper.Formation) bool {
	con.mux.Lock()
	defer con.mux.Unlock()
	now, found := con.formations[frm.Name]
	return found && now.Epoch == frm.Epoch
}

// adopt records the groups that serve although the store has lost the decisions on them, and dissolves those that are not complete.
func (con *Conductor) adopt(ctx context.Context, ser router.Service, groups []registrar.Group) error {
	var recs []Record
	var complete []grouper.Formation
	for _, grp := range con.overdue(groups) {
		frm, whole := formationOf(ser, grp)
		con.opt.Logger.WithFields(logrus.Fields{"group": frm.Name, "epoch": frm.Epoch, "model": frm.Model, "complete": whole, "members": frm.Members}).Warn("group serves without a decision")
		if !whole {
			con.dissolveUnknown(ctx, frm)
			continue
		}
		data, err := json.Marshal(frm)
		if err != nil {
			return errors.Annotate(err, "conductor: encode group")
		}
		recs, complete = append(recs, Record{Name: frm.Name, Value: data}), append(complete, frm)
	}
	if len(recs) == 0 {
		return nil
	}
	if err := con.appendRecords(ctx, recs); err != nil {
		return err
	}
	con.mux.Lock()
	defer con.mux.Unlock()
	for _, frm := range complete {
		con.formations[frm.Name] = frm
	}
	return nil
}

// overdue returns the groups that have been without a decision for adoptAfter.
func (con *Conductor) overdue(groups []registrar.Group) []registrar.Group {
	con.mux.Lock()
	defer con.mux.Unlock()
	now := con.opt.Clock.Now()
	since := map[string]time.Time{}
	var out []registrar.Group
	for _, grp := range groups {
		first, seen := con.unknownSince[grp.Name]
		if !seen {
			first = now
		}
		since[grp.Name] = first
		if now.Sub(first) >= adoptAfter {
			out = append(out, grp)
		}
	}
	con.unknownSince = since
	return out
}

// formationOf returns the formation that matches a reported group, and whether it has all members that its model needs.
func formationOf(ser router.Service, grp registrar.Group) (grouper.Formation, bool) {
	frm := grouper.Formation{Name: grp.Name, Epoch: grp.Epoch, Service: ser.Name, Model: grp.Model}
	size := 0
	for _, mod := range ser.Engine.Models {
		if mod.Name == grp.Model {
			size = mod.Size
		}
	}
	for rank := range max(size, 1) {
		if mem, present := grp.Members[rank]; present {
			frm.Members = append(frm.Members, mem.Instance())
		}
	}
	return frm, size > 0 && len(frm.Members) == size && len(grp.Members) == size
}

func (con *Conductor) dissolveUnknown(ctx context.Context, frm grouper.Formation) {
	if !con.markBusy(frm.Name) {
		return
	}
	con.mux.Lock()
	con.formations[frm.Name], con.dissolving[frm.Name] = frm, true
	con.mux.Unlock()
	go con.dissolve(ctx, frm)
}
