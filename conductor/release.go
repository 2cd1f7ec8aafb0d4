package conductor

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/grouper"
	"github.com/lovagelever/lovagelever/registrar"
)

// errNotReleased means that the head of a server's group has not left the group yet.
const errNotReleased = errors.ConstError("head of the group has not left it")

// release returns nil once the group that a server reports cannot open without it: its head has left the group, or has ended. An order to open the head that is still on its way has no effect then, also if it is from a leader whose decision the store has lost. It fails with errServing when the group serves, though this leader has not ended it.
func (con *Conductor) release(ctx context.Context, ser registrar.Server, rep Report, began time.Time) error {
	gro := rep.Group
	if gro.Rank == 0 {
		return con.releaseHead(ctx, ser, rep)
	}
	head, known := con.headOf(gro)
	if !known {
		return nil
	}
	frm := headOnly(gro, head)
	hea := frm.Check(con.opt.View())
	if hea == grouper.Lost && con.hasEndedGroup(gro.Name) {
		return nil
	}
	rep, err := con.report(ctx, head)
	switch {
	case con.hasEnded(head, err):
		return nil
	case err != nil && (hea == grouper.Lost || hea == grouper.Leaving && con.opt.Clock.Since(began) >= leaveTimeout):
		return nil
	case err != nil:
		return err
	case con.isStale(head, rep):
		return errors.Annotatef(errStaleReport, "conductor: head %s", head.ID)
	case !frm.Includes(rep.Group):
		return nil
	}
	if err := con.releaseHead(ctx, head, rep); err != nil {
		return err
	}
	return con.sendAfter(ctx, head, Order{Kind: Leave, Group: gro.Name, Epoch: gro.Epoch}, rep.Orders)
}

// releaseHead returns nil when a head may be ordered to leave the group that it reports. It closes one that still accepts or finishes requests if this leader has ended the group.
func (con *Conductor) releaseHead(ctx context.Context, head registrar.Server, rep Report) error {
	gro := rep.Group
	if gro.State != registrar.Open && gro.State != registrar.Draining {
		return nil
	}
	if !con.hasEndedGroup(gro.Name) {
		return errors.Annotatef(errServing, "conductor: group %s", gro.Name)
	}
	con.closeHead(ctx, headOnly(gro, head), head, rep)
	return errors.Annotatef(errNotReleased, "conductor: group %s", gro.Name)
}

// headOnly returns a formation by which the health of a group's head can be checked.
func headOnly(gro registrar.Membership, head registrar.Server) grouper.Formation {
	return grouper.Formation{Name: gro.Name, Epoch: gro.Epoch, Members: []registrar.Instance{head.Instance()}}
}

// headOf returns the server that is listed as the head of a group, or was until leaveTimeout ago.
func (con *Conductor) headOf(gro registrar.Membership) (registrar.Server, bool) {
	con.mux.Lock()
	defer con.mux.Unlock()
	for ins, oth := range con.servers {
		if con.opt.Clock.Since(con.lastListed[ins]) < leaveTimeout && oth.Group.Name == gro.Name && oth.Group.Epoch == gro.Epoch && oth.Group.Rank == 0 {
			return oth, true
		}
	}
	return registrar.Server{}, false
}

func (con *Conductor) hasEndedGroup(group string) bool {
	con.mux.Lock()
	defer con.mux.Unlock()
	return con.ended[group]
}

// withdraw ends a group that cannot be formed since a member serves in another one.
func (con *Conductor) withdraw(ctx context.Context, frm grouper.Formation) {
	con.mux.Lock()
	con.dissolving[frm.Name] = true
	con.mux.Unlock()
	if con.sleep(ctx, reportLag) == nil {
		con.dissolve(ctx, frm)
	}
}
