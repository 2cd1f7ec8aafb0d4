package conductor

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/detector"
	"github.com/lovagelever/lovagelever/grouper"
	"github.com/lovagelever/lovagelever/registrar"
	"github.com/lovagelever/lovagelever/router"
)

// leaveTimeout is how long a leaving head that no longer answers may keep running its requests before its members are reassigned. Streams of the data sheets in docs/ADAPTER.md last up to 3 s.
const leaveTimeout = 3 * time.Second

// errSuperseded means that a server is in a later group than the one that is being formed.
const errSuperseded = errors.ConstError("server is in a later group")

// errServing means that a server is in a group that accepts or finishes requests, and that was not ended by this leader.
const errServing = errors.ConstError("server is in a group that serves")

// errStaleReport means that a report is older than the last order to the server.
const errStaleReport = errors.ConstError("report is older than the last order")

func isGone(err error) bool {
	return errors.Is(err, detector.ErrDown) || errors.Is(err, ErrServerReplaced)
}

// formGroup has all members join, and opens the head once each of them reports ready.
func (con *Conductor) formGroup(term context.Context, frm grouper.Formation, open bool) {
	withdrawn := false
	defer func() {
		con.mux.Lock()
		con.forming--
		con.mux.Unlock()
		if withdrawn {
			con.withdraw(term, frm)
			return
		}
		con.clearBusy(term, frm.Name)
	}()
	began := con.opt.Clock.Now()
	ctx, cancel := con.contextWhileHealthy(term, frm)
	defer cancel()
	if err := con.joinAll(ctx, frm); err != nil {
		con.logGroup(frm, began).WithError(err).Info("group not formed")
		withdrawn = errors.Is(err, errServing)
		return
	}
	if err := con.awaitReady(ctx, frm); err != nil {
		con.logGroup(frm, began).WithError(err).Info("group not formed")
		return
	}
	if !open {
		con.logGroup(frm, began).Info("group is on standby")
		return
	}
	if err := con.openHead(ctx, frm); err != nil {
		con.logGroup(frm, began).WithError(err).Info("group not opened")
		return
	}
	for ctx.Err() == nil && !frm.IsOpen(con.opt.View()) {
		if con.sleep(ctx, pollInterval) != nil {
			break
		}
	}
	con.logGroup(frm, began).Info("group opened")
}

func (con *Conductor) logGroup(frm grouper.Formation, began time.Time) *logrus.Entry {
	return con.opt.Logger.WithFields(logrus.Fields{
		"group": frm.Name, "epoch": frm.Epoch, "model": frm.Model, "after_ms": con.opt.Clock.Since(began).Milliseconds(),
	})
}

// contextWhileHealthy returns a context that is canceled when a member is lost or leaves, or when the decision on the group does not stand any longer.
func (con *Conductor) contextWhileHealthy(ctx context.Context, frm grouper.Formation) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for con.sleep(ctx, pollInterval) == nil {
			if vie := con.opt.View(); frm.Check(vie) != grouper.Healthy || frm.IsSuperseded(vie) || !con.isDecided(frm) {
				cancel()
				return
			}
		}
	}()
	return ctx, cancel
}

func (con *Conductor) server(ins registrar.Instance) registrar.Server {
	con.mux.Lock()
	defer con.mux.Unlock()
	return con.servers[ins]
}

// joinAll has the members that are not listed in the group join it. When one of them fails for good, the others stop too.
func (con *Conductor) joinAll(ctx context.Context, frm grouper.Formation) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, len(frm.Members))
	var wgr sync.WaitGroup
	for _, ins := range frm.Members {
		ser := con.server(ins)
		if frm.Includes(ser.Group) {
			continue
		}
		wgr.Add(1)
		go func() {
			defer wgr.Done()
			if err := con.joinMember(ctx, ser, frm); err != nil {
				failed <- err
				cancel()
			}
		}()
	}
	wgr.Wait()
	close(failed)
	return <-failed
}

// joinMember repeats the orders that take a server into a group until its report shows that it has joined. It fails when the server is gone, must not be taken, or the context ends.
func (con *Conductor) joinMember(ctx context.Context, ser registrar.Server, frm grouper.Formation) error {
	began := con.opt.Clock.Now()
	for {
		err := con.tryJoin(ctx, ser, frm, began)
		if err == nil || isGone(err) || errors.Is(err, errSuperseded) || errors.Is(err, errServing) {
			return err
		}
		con.opt.Logger.WithError(err).WithFields(logrus.Fields{"server": ser.ID, "group": frm.Name}).Info("server has not joined yet; retrying")
		if err := con.sleep(ctx, reportLag); err != nil {
			return err
		}
	}
}

// tryJoin sends a server the orders that its report calls for. Each of them has the count of that report, so that it has no effect if the server has begun another order since.
func (con *Conductor) tryJoin(ctx context.Context, ser registrar.Server, frm grouper.Formation, began time.Time) error {
	rep, err := con.report(ctx, ser)
	if err != nil {
		return err
	}
	num := rep.Orders
	switch {
	case con.isStale(ser, rep):
		return errors.Annotatef(errStaleReport, "conductor: server %s", ser.ID)
	case frm.Includes(rep.Group):
		return nil
	case rep.Group.Epoch > frm.Epoch:
		return errors.Annotatef(errSuperseded, "conductor: server %s", ser.ID)
	case rep.Group.Name != "":
		if err := con.release(ctx, ser, rep, began); errors.Is(err, errServing) {
			return err
		} else if err != nil {
			return errors.Annotatef(errNotReleased, "conductor: server %s: %v", ser.ID, err)
		}
		if err := con.sendAfter(ctx, ser, Order{Kind: Leave, Group: rep.Group.Name, Epoch: rep.Group.Epoch}, num); err != nil {
			return err
		}
		num++
	}
	var names []string
	for _, ins := range frm.Members {
		names = append(names, ins.ID)
	}
	return con.sendAfter(ctx, ser, Order{Kind: Join, Group: frm.Name, Epoch: frm.Epoch, Model: frm.Model, Members: names}, num)
}

// openHead opens the head of a group whose members are all ready.
func (con *Conductor) openHead(ctx context.Context, frm grouper.Formation) error {
	head := con.server(frm.Members[0])
	return con.sendUntilDone(ctx, head, Order{Kind: Open, Group: frm.Name, Epoch: frm.Epoch}, func(gro registrar.Membership) bool {
		return frm.Includes(gro) && gro.State == registrar.Open
	})
}

// awaitReady waits until each member reports ready under the group's name and epoch.
func (con *Conductor) awaitReady(ctx context.Context, frm grouper.Formation) error {
	for {
		if frm.ReadyMembers(con.opt.View()) == len(frm.Members) {
			return nil
		}
		if err := con.sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// dissolve closes the head of a group, as far as it can be reached. The other members leave when they join another group.
func (con *Conductor) dissolve(ctx context.Context, frm grouper.Formation) {
	began := con.opt.Clock.Now()
	head := con.server(frm.Members[0])
	vie := con.opt.View()
	con.logGroup(frm, began).WithFields(logrus.Fields{"health": frm.Check(vie).String(), "unhealthy": frm.UnhealthyMembers(vie)}).Info("dissolving group")
	for ctx.Err() == nil {
		rep, err := con.report(ctx, head)
		switch {
		case head.ID == "" || con.hasEnded(head, err):
			con.finishDissolving(frm, began, "its head has ended")
			return
		case err != nil && con.mayStillDrain(frm, began):
		case err != nil:
			con.finishDissolving(frm, began, "its head does not answer")
			return
		case con.isStale(head, rep):
		case !frm.Includes(rep.Group):
			con.finishDissolving(frm, began, "its head is in no group, or in another")
			return
		case con.closeHead(ctx, frm, head, rep):
			con.finishDissolving(frm, began, "its head has left")
			return
		}
		if con.sleep(ctx, pollInterval) != nil {
			return
		}
	}
}

// mayStillDrain reports whether a head that does not answer may still be finishing its requests, because it is leaving.
func (con *Conductor) mayStillDrain(frm grouper.Formation, began time.Time) bool {
	return frm.Check(con.opt.View()) == grouper.Leaving && con.opt.Clock.Since(began) < leaveTimeout
}

// hasEnded reports whether a head has certainly ended, given the error of a call to it: it has restarted, or nothing listens although it is listed and does not drain. A leaving server stops listening while it still finishes its requests.
func (con *Conductor) hasEnded(head registrar.Server, err error) bool {
	if errors.Is(err, ErrServerReplaced) {
		return true
	}
	now, listed := con.opt.View().Servers[head.ID]
	return errors.Is(err, detector.ErrDown) && listed && now.Instance() == head.Instance() && !now.Draining
}

// closeHead takes the next step to close a head that has answered with a report. It reports true when the head has left the group.
func (con *Conductor) closeHead(ctx context.Context, frm grouper.Formation, head registrar.Server, rep Report) bool {
	lost := frm.Check(con.opt.View()) == grouper.Lost
	sta := rep.Group.State
	var kinds []Kind
	switch {
	case sta == registrar.Open && !lost:
		kinds = []Kind{CloseGracefully}
	case sta == registrar.Draining && !lost:
		return false
	case sta == registrar.Open, sta == registrar.Draining:
		kinds = []Kind{CloseNow, Leave}
	default:
		kinds = []Kind{Leave}
	}
	for num, kin := range kinds {
		if err := con.sendAfter(ctx, head, Order{Kind: kin, Group: frm.Name, Epoch: frm.Epoch}, rep.Orders+int64(num)); err != nil {
			con.opt.Logger.WithError(err).WithFields(logrus.Fields{"group": frm.Name, "order": kin, "server": head.ID}).Info("order to the head failed; retrying")
			_ = con.sleep(ctx, reportLag)
			return false
		}
	}
	return kinds[len(kinds)-1] == Leave
}

func (con *Conductor) finishDissolving(frm grouper.Formation, began time.Time, why string) {
	con.logGroup(frm, began).WithField("why", why).Info("group dissolved")
	con.retire(frm.Name)
}

// retire has the end of a group recorded in the next step.
func (con *Conductor) retire(group string) {
	con.mux.Lock()
	defer con.mux.Unlock()
	con.retired = append(con.retired, group)
	con.ended[group] = true
}

// stage has servers load weights onto their hosts while no group is being formed.
func (con *Conductor) stage(ctx context.Context, ser router.Service, list []grouper.Staging) {
	for _, sta := range list {
		con.mux.Lock()
		waits := con.forming > 0 || !con.opt.BeforeFirstRequest() && len(con.staging) >= maxConcurrentStages
		con.mux.Unlock()
		if waits || !con.opt.BeforeFirstRequest() && !con.reserveLoads(ser, 1) {
			return
		}
		con.mux.Lock()
		con.staging[sta.Server.Instance()] = sta.Model
		con.mux.Unlock()
		go con.stageOne(ctx, sta)
	}
}

const (
	// stageTimeout bounds how long a server counts as loading onto its host. The longest load of the data sheets in docs/ADAPTER.md takes 16 s.
	stageTimeout = 20 * time.Second
	// maxConcurrentStages bounds the loads onto hosts once requests arrive, so that groups being formed find the weight store free: it serves 7 loads at full speed.
	maxConcurrentStages = 3
)

func (con *Conductor) stageOne(ctx context.Context, sta grouper.Staging) {
	ins := sta.Server.Instance()
	ctx, cancel := context.WithTimeout(ctx, stageTimeout)
	defer cancel()
	err := con.send(ctx, sta.Server, Order{Kind: Stage, Model: sta.Model})
	con.opt.Logger.WithError(err).WithFields(logrus.Fields{"server": sta.Server.ID, "model": sta.Model}).Info("staging weights")
	for err == nil {
		now, listed := con.opt.View().Servers[ins.ID]
		if !listed || now.Instance() != ins || slices.Contains(now.Staged, sta.Model) {
			break
		}
		err = con.sleep(ctx, pollInterval)
	}
	con.mux.Lock()
	defer con.mux.Unlock()
	delete(con.staging, ins)
}
