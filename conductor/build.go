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

// leaveFor is how long a head that leaves and does not answer any more may go on with what runs on it before its members are taken; streams of the sheets in docs/ADAPTER.md last up to 3 s.
const leaveFor = 3 * time.Second

func gone(err error) bool {
	return errors.Is(err, detector.ErrDown) || errors.Is(err, ErrServerReplaced)
}

// complete has all members join, and opens the head once each of them says that it is ready.
func (con *Conductor) complete(term context.Context, frm grouper.Formation, open bool) {
	defer func() {
		con.mux.Lock()
		con.forming--
		con.mux.Unlock()
		con.unclaim(term, frm.Name)
	}()
	began := con.opt.Clock.Now()
	ctx, cancel := con.whileWhole(term, frm)
	defer cancel()
	if err := con.joinAll(ctx, frm); err != nil {
		con.logGroup(frm, began).WithError(err).Info("group not formed")
		return
	}
	if err := con.awaitReady(ctx, frm); err != nil {
		con.logGroup(frm, began).WithError(err).Info("group not formed")
		return
	}
	if !open {
		con.logGroup(frm, began).Info("group stands by")
		return
	}
	head := con.server(frm.Members[0])
	err := con.carry(ctx, head, Order{Kind: Open, Group: frm.Name, Epoch: frm.Epoch}, func(gro registrar.Membership) bool {
		return gro.Name == frm.Name && gro.Epoch == frm.Epoch && gro.State == registrar.Open
	})
	if err != nil {
		con.logGroup(frm, began).WithError(err).Info("group not opened")
		return
	}
	for ctx.Err() == nil && !frm.IsOpen(con.opt.View()) {
		if con.pause(ctx, lookEvery) != nil {
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

// whileWhole returns a context that ends when a member is lost or leaves.
func (con *Conductor) whileWhole(ctx context.Context, frm grouper.Formation) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for con.pause(ctx, lookEvery) == nil {
			if frm.Check(con.opt.View()) != grouper.Healthy {
				cancel()
				return
			}
		}
	}()
	return ctx, cancel
}

func (con *Conductor) server(lif registrar.Life) registrar.Server {
	con.mux.Lock()
	defer con.mux.Unlock()
	return con.servers[lif]
}

func (con *Conductor) joinAll(ctx context.Context, frm grouper.Formation) error {
	var names []string
	for _, lif := range frm.Members {
		names = append(names, lif.ID)
	}
	var wgr sync.WaitGroup
	failed := make(chan error, len(frm.Members))
	for _, lif := range frm.Members {
		ser := con.server(lif)
		if ser.Group.Name == frm.Name && ser.Group.Epoch == frm.Epoch {
			continue
		}
		wgr.Add(1)
		go func() {
			defer wgr.Done()
			if err := con.leaveOther(ctx, ser, frm); err != nil {
				failed <- err
				return
			}
			failed <- con.carry(ctx, ser, Order{Kind: Join, Group: frm.Name, Epoch: frm.Epoch, Model: frm.Model, Members: names}, func(gro registrar.Membership) bool {
				return gro.Name == frm.Name && gro.Epoch == frm.Epoch
			})
		}()
	}
	wgr.Wait()
	close(failed)
	for err := range failed {
		if err != nil {
			return err
		}
	}
	return nil
}

// leaveOther has a server leave the group that it is in, so that it is never taken from one whose head may still serve.
func (con *Conductor) leaveOther(ctx context.Context, ser registrar.Server, frm grouper.Formation) error {
	for {
		rep, err := con.report(ctx, ser)
		if gone(err) {
			return err
		}
		if err == nil {
			if rep.Group.Name == "" || rep.Group.Name == frm.Name && rep.Group.Epoch == frm.Epoch {
				return nil
			}
			if err = con.send(ctx, ser, Order{Kind: Leave, Group: rep.Group.Name, Epoch: rep.Group.Epoch}); err == nil {
				return nil
			}
		}
		con.opt.Logger.WithError(err).WithFields(logrus.Fields{"server": ser.ID, "group": rep.Group.Name, "for": frm.Name}).Info("server has not left its group yet")
		if err := con.pause(ctx, reportLag); err != nil {
			return err
		}
	}
}

// awaitReady waits until each member reports that it is ready under the group's own name and epoch.
func (con *Conductor) awaitReady(ctx context.Context, frm grouper.Formation) error {
	for {
		if frm.ReadyMembers(con.opt.View()) == len(frm.Members) {
			return nil
		}
		if err := con.pause(ctx, lookEvery); err != nil {
			return err
		}
	}
}

// dissolve ends the service of a group's head as far as that can be reached; its other members leave when they join another group.
func (con *Conductor) dissolve(ctx context.Context, frm grouper.Formation) {
	began := con.opt.Clock.Now()
	head := con.server(frm.Members[0])
	con.logGroup(frm, began).WithField("health", frm.Check(con.opt.View())).Info("group is dissolved")
	for ctx.Err() == nil {
		rep, err := con.report(ctx, head)
		switch {
		case head.ID == "" || con.ended(head, err):
			con.dissolved(frm, began, "its head has ended")
			return
		case err != nil && con.spared(frm, began):
		case err != nil:
			con.dissolved(frm, began, "its head does not answer")
			return
		case rep.Group.Name != frm.Name || rep.Group.Epoch != frm.Epoch:
			con.dissolved(frm, began, "its head is in no group, or in another")
			return
		case con.closeHead(ctx, frm, head, rep.Group.State):
			con.dissolved(frm, began, "its head has left")
			return
		}
		if con.pause(ctx, lookEvery) != nil {
			return
		}
	}
}

// spared reports whether a head that does not answer may still be ending what runs on it, because it leaves.
func (con *Conductor) spared(frm grouper.Formation, began time.Time) bool {
	return frm.Check(con.opt.View()) == grouper.Leaving && con.opt.Clock.Since(began) < leaveFor
}

// ended reports whether a head that was asked has certainly ended: it has started again, or nothing listens although it neither drains nor is off the list. One that leaves stops to listen while it still ends what runs.
func (con *Conductor) ended(head registrar.Server, err error) bool {
	if errors.Is(err, ErrServerReplaced) {
		return true
	}
	now, listed := con.opt.View().Servers[head.ID]
	return errors.Is(err, detector.ErrDown) && listed && now.Life() == head.Life() && !now.Draining
}

// closeHead takes the next step to end the service of a head that answers; it reports true when the head has left the group.
func (con *Conductor) closeHead(ctx context.Context, frm grouper.Formation, head registrar.Server, sta registrar.State) bool {
	lost := frm.Check(con.opt.View()) == grouper.Lost
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
	for _, kin := range kinds {
		if err := con.send(ctx, head, Order{Kind: kin, Group: frm.Name, Epoch: frm.Epoch}); err != nil {
			con.opt.Logger.WithError(err).WithFields(logrus.Fields{"group": frm.Name, "order": kin, "server": head.ID}).Info("order to head failed")
			_ = con.pause(ctx, reportLag)
			return false
		}
	}
	return kinds[len(kinds)-1] == Leave
}

func (con *Conductor) dissolved(frm grouper.Formation, began time.Time, why string) {
	con.logGroup(frm, began).WithField("why", why).Info("group dissolved")
	con.mux.Lock()
	defer con.mux.Unlock()
	con.retired = append(con.retired, frm.Name)
}

// stage has servers load weights onto their hosts while no group is being formed.
func (con *Conductor) stage(ctx context.Context, ser router.Service, list []grouper.Staging) {
	for _, sta := range list {
		con.mux.Lock()
		waits := con.forming > 0 || !con.opt.BeforeFirstRequest() && len(con.staging) >= stagedAtOnce
		con.mux.Unlock()
		if waits || !con.opt.BeforeFirstRequest() && !con.takeLoads(ser, 1) {
			return
		}
		con.mux.Lock()
		con.staging[sta.Server.Life()] = sta.Model
		con.mux.Unlock()
		go con.stageOne(ctx, sta)
	}
}

const (
	// stagedWithin bounds how long a server counts as busy with a load onto its host: the longest load of the sheets takes 16 s.
	stagedWithin = 20 * time.Second
	// stagedAtOnce bounds the loads onto hosts once requests come, so that groups which are formed find the weight store free: it serves 7 loads at full speed.
	stagedAtOnce = 3
)

func (con *Conductor) stageOne(ctx context.Context, sta grouper.Staging) {
	lif := sta.Server.Life()
	ctx, cancel := context.WithTimeout(ctx, stagedWithin)
	defer cancel()
	err := con.send(ctx, sta.Server, Order{Kind: Stage, Model: sta.Model})
	con.opt.Logger.WithError(err).WithFields(logrus.Fields{"server": sta.Server.ID, "model": sta.Model}).Info("weights are staged")
	for err == nil {
		now, listed := con.opt.View().Servers[lif.ID]
		if !listed || now.Life() != lif || slices.Contains(now.Staged, sta.Model) {
			break
		}
		err = con.pause(ctx, lookEvery)
	}
	con.mux.Lock()
	defer con.mux.Unlock()
	delete(con.staging, lif)
}
