package executor

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/enginecaller"
	"github.com/lovagelever/lovagelever/planner"
	"github.com/lovagelever/lovagelever/reducer"
)

func (ste *Executor) order(ctx context.Context, act planner.Action) {
	switch {
	case act.Load != nil:
		ste.send(ctx, act.Load.VM, act.Load.Address, loadOrder(*act.Load))
	case act.Stage != nil:
		ste.send(ctx, act.Stage.VM, act.Stage.Address, stageOrder(*act.Stage))
	case act.Unload != nil:
		unl := act.Unload
		ste.send(ctx, unl.VM, unl.Address, enginecaller.Order{Order: enginecaller.Unload, Group: unl.Group, Fence: unl.Fence})
	}
}

func loadOrder(loa planner.LoadOrder) enginecaller.Order {
	ord := enginecaller.Order{
		Order:            enginecaller.Load,
		Group:            loa.Group,
		Fence:            loa.Fence,
		Model:            loa.Model,
		Version:          loa.Version,
		Adapters:         loa.Adapters,
		WeightsGigabytes: loa.WeightsGigabytes,
		Rank:             loa.Rank,
	}
	for _, mem := range loa.Members {
		ord.Members = append(ord.Members, enginecaller.Member(mem))
	}
	return ord
}

func stageOrder(sta planner.StageOrder) enginecaller.Order {
	return enginecaller.Order{
		Order:            enginecaller.Stage,
		Fence:            sta.Fence,
		Model:            sta.Model,
		Version:          sta.Version,
		Adapters:         sta.Adapters,
		WeightsGigabytes: sta.WeightsGigabytes,
	}
}

// send sends an order in the background. Right before sending, it checks that this entry's view is fresh and still justifies the order, and otherwise drops the order.
func (ste *Executor) send(ctx context.Context, vm, address string, ord enginecaller.Order) {
	log := ste.opt.Logger.WithFields(logrus.Fields{"order": ord.Order, "vm": vm, "group": ord.Group, "fence": ord.Fence})
	go func() {
		if !ste.opt.Freshness().MayDecide || !stillValid(ste.opt.View(), vm, ord) {
			log.Info("order not sent: the view of this entry is stale or has changed")
			return
		}
		if err := ste.opt.Orders.Send(ctx, address, ord); err != nil {
			log.WithError(err).Warn("engine did not accept the order")
			return
		}
		log.Debug("engine accepted the order")
	}()
}

// stillValid reports whether the view still justifies the order: a load needs the VM in the order's group with the same fence, other orders need a VM in no group.
func stillValid(vie *reducer.View, vm string, ord enginecaller.Order) bool {
	owner := vie.GroupByVM[vm]
	if ord.Order != enginecaller.Load {
		return owner == ""
	}
	return owner == ord.Group && vie.Groups[owner].Fence == ord.Fence
}
