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

// stallMargin is added to the time after which a head that cannot be reached has noticed that its members are gone.
const stallMargin = time.Second

func gone(err error) bool {
	return errors.Is(err, detector.ErrDown) || errors.Is(err, ErrStranger)
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
	for ctx.Err() == nil && !frm.Opened(con.opt.View()) {
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
			if frm.Check(con.opt.View()) != grouper.Whole {
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

// dissolve makes sure that the head of a group takes no requests and never will, so that its members may join another.
func (con *Conductor) dissolve(ctx context.Context, frm grouper.Formation) {
	began := con.opt.Clock.Now()
	head := con.server(frm.Members[0])
	con.logGroup(frm, began).WithField("health", frm.Check(con.opt.View())).Info("group is dissolved")
	var silent time.Time
	for ctx.Err() == nil {
		rep, err := con.report(ctx, head)
		switch {
		case head.ID == "" || gone(err):
			con.dissolved(frm, began, "its head is gone")
			return
		case err != nil && silent.IsZero():
			silent = con.opt.Clock.Now()
			con.dismiss(ctx, frm)
		case err != nil && con.opt.Clock.Since(silent) >= con.opt.Stall+stallMargin:
			con.dissolved(frm, began, "its head was out of reach until it must have broken")
			return
		case err == nil:
			silent = time.Time{}
			if rep.Group.Name != frm.Name || rep.Group.Epoch != frm.Epoch {
				con.dissolved(frm, began, "its head is in no group, or in another")
				return
			}
			if con.closeHead(ctx, frm, head, rep.Group.State) {
				con.dissolved(frm, began, "its head has left")
				return
			}
		}
		if con.pause(ctx, lookEvery) != nil {
			return
		}
	}
}

// closeHead takes the next step to end the service of a head that answers; it reports true when the head has left the group.
func (con *Conductor) closeHead(ctx context.Context, frm grouper.Formation, head registrar.Server, sta registrar.State) bool {
	lost := frm.Check(con.opt.View()) == grouper.Lost
	var kinds []Kind
	switch {
	case sta == registrar.Open && !lost:
		kinds = []Kind{CloseWait}
	case sta == registrar.Draining && !lost:
		return false
	case sta == registrar.Open, sta == registrar.Draining:
		kinds = []Kind{CloseCut, Leave}
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

// dismiss has the members other than the head leave, so that a head that cannot be reached stands still and breaks.
func (con *Conductor) dismiss(ctx context.Context, frm grouper.Formation) {
	for _, lif := range frm.Members[1:] {
		ser := con.server(lif)
		if ser.ID == "" {
			continue
		}
		go func() {
			if err := con.send(ctx, ser, Order{Kind: Leave, Group: frm.Name, Epoch: frm.Epoch}); err != nil {
				con.opt.Logger.WithError(err).WithFields(logrus.Fields{"group": frm.Name, "server": ser.ID}).Info("member could not be dismissed")
			}
		}()
	}
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
		waits := con.forming > 0 || !con.opt.Early() && len(con.staging) >= stagedAtOnce
		con.mux.Unlock()
		if waits || !con.opt.Early() && !con.takeLoads(ser, 1) {
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
