package server

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/lovagelever/lovagelever/messenger"
	"github.com/lovagelever/lovagelever/placer"
	"github.com/lovagelever/lovagelever/reducer"
	"github.com/lovagelever/lovagelever/requester"
	"github.com/lovagelever/lovagelever/watcher"
)

const (
	selfTimeout      = time.Second
	maxParallelCalls = 64
)

func (srv *Server) selfStatus(ctx echo.Context) error {
	return ctx.JSON(http.StatusOK, srv.describe())
}

func (srv *Server) describe() requester.Entry {
	vie := srv.view()
	booted, _ := srv.follower.Bootstrapped()
	homed := 0
	for unit, hom := range vie.Homes {
		if _, grouped := vie.Groups[unit]; grouped && hom.Incarnation == srv.self() {
			homed++
		}
	}
	return requester.Entry{
		Name:         srv.settings.Name,
		Incarnation:  srv.self(),
		Zone:         srv.settings.Zone,
		Address:      srv.settings.AdvertiseAddress,
		Reachable:    true,
		Fresh:        srv.freshness().Fresh,
		Revision:     vie.Revision,
		Offset:       vie.Offset,
		Draining:     srv.draining.Load(),
		BootedFrom:   booted,
		GroupsAtHome: homed,
	}
}

func (srv *Server) status(ctx echo.Context) error {
	vie := srv.view()
	return ctx.JSON(http.StatusOK, requester.Status{
		Revision:        vie.Revision,
		AnsweredBy:      srv.settings.Name,
		Entries:         srv.fetchEntries(ctx.Request().Context(), vie),
		Groups:          srv.groupStatus(vie),
		RejectedRecords: rejectedRecords(vie),
		Models:          srv.modelStatus(vie),
	})
}

// fetchEntries asks every member for its status, sorted by name; a member that does not answer is reported as not reachable.
func (srv *Server) fetchEntries(ctx context.Context, vie *reducer.View) []requester.Entry {
	var wai sync.WaitGroup
	var mtx sync.Mutex
	var out []requester.Entry
	slots := make(chan struct{}, maxParallelCalls)
	for _, mem := range vie.Members {
		wai.Add(1)
		go func() {
			defer wai.Done()
			slots <- struct{}{}
			ent := srv.fetchEntry(ctx, mem)
			<-slots
			mtx.Lock()
			defer mtx.Unlock()
			out = append(out, ent)
		}()
	}
	wai.Wait()
	slices.SortFunc(out, func(one, two requester.Entry) int { return cmp.Compare(one.Name, two.Name) })
	return out
}

func (srv *Server) fetchEntry(ctx context.Context, mem reducer.Member) requester.Entry {
	if mem.Incarnation == srv.self() {
		return srv.describe()
	}
	ctx, stop := context.WithTimeout(ctx, selfTimeout)
	defer stop()
	ent, err := messenger.Call[string, requester.Entry](ctx, srv.messenger, mem.RPCAddress, "Self", srv.self())
	if err != nil || ent.Incarnation != mem.Incarnation {
		return requester.Entry{Name: mem.Name, Incarnation: mem.Incarnation, Zone: mem.Zone, Address: mem.Address, Draining: mem.Draining}
	}
	return ent
}

func (srv *Server) groupStatus(vie *reducer.View) []requester.Group {
	out := []requester.Group{}
	for name, grp := range vie.Groups {
		sta, known := srv.keeper.UnitStatus(vie, name)
		if !known {
			sta.Stage, sta.Reason = watcher.StageLoading, "its home has not reported its status yet"
		}
		home, _ := vie.HomeOf(name)
		out = append(out, requester.Group{
			Name:    name,
			Model:   grp.Model,
			Version: grp.Version,
			Fence:   grp.Fence,
			Domain:  grp.Domain,
			Zone:    grp.Zone,
			VMs:     grp.VMs,
			Home:    home.Name,
			Stage:   string(sta.Stage),
			Reason:  sta.Reason,
			Warm:    sta.Warm,
			Running: sta.Running,
			Limit:   sta.Limit,
		})
	}
	slices.SortFunc(out, func(one, two requester.Group) int { return cmp.Compare(one.Name, two.Name) })
	return out
}

func (srv *Server) modelStatus(vie *reducer.View) []requester.Model {
	reasons := srv.waitReasons()
	stranded := placer.Stranded(vie)
	out := []requester.Model{}
	for name, mod := range vie.Catalog.Inventory.Models {
		out = append(out, requester.Model{
			Name:                 name,
			Wanted:               mod.Replicas,
			Serving:              len(srv.servingGroups(vie, name)),
			StrandedAccelerators: stranded,
			Reason:               reasons[name],
		})
	}
	slices.SortFunc(out, func(one, two requester.Model) int { return cmp.Compare(one.Name, two.Name) })
	return out
}

func rejectedRecords(vie *reducer.View) []requester.RejectedRecord {
	out := []requester.RejectedRecord{}
	for _, voi := range vie.RejectedRecords {
		out = append(out, requester.RejectedRecord{
			Offset: voi.Offset,
			ID:     voi.ID,
			Kind:   string(voi.Kind),
			Writer: voi.Writer,
			Reason: string(voi.Reason),
		})
	}
	return out
}
