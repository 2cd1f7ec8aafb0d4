package server

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"github.com/lovagelever/lovagelever/collector"
	"github.com/lovagelever/lovagelever/refuser"
)

const retryAfter = time.Second

// unavailable returns the refusal to answer with while this entry accepts no new work, or nil.
func (srv *Server) unavailable() *refuser.Refusal {
	if sta := srv.freshness(); !sta.Fresh {
		ref := refuser.NotRun("this entry takes no new work: "+sta.Explanation, retryAfter)
		return &ref
	}
	if srv.zoneOutTooLong() {
		ref := refuser.NotRun("availability zone "+srv.settings.Zone+" is out: ask /v1/locate again", retryAfter)
		return &ref
	}
	if srv.divergences.Load() > 0 {
		ref := refuser.NotRun("this entry's control state differs from a peer's", retryAfter)
		return &ref
	}
	return nil
}

// zoneOutTooLong reports whether this entry's availability zone has been out for longer than callers keep a locate answer.
func (srv *Server) zoneOutTooLong() bool {
	if !srv.view().Catalog.Rules.ZoneDisabled(srv.settings.Zone) {
		srv.zoneOutSince.Store(0)
		return false
	}
	now := srv.clock.Now().UnixNano()
	srv.zoneOutSince.CompareAndSwap(0, now)
	return time.Duration(now-srv.zoneOutSince.Load()) > srv.settings.LocateValidFor
}

// checkCaller returns the workspace of a request; it fails if the workspace is unknown or this entry accepts no new work.
func (srv *Server) checkCaller(ctx echo.Context) (string, error) {
	workspace := ctx.Request().Header.Get(headerWorkspace)
	if ref := srv.unavailable(); ref != nil {
		return workspace, *ref
	}
	if _, known := srv.view().Catalog.Inventory.Workspaces[workspace]; !known {
		return workspace, refuser.NotFound("workspace " + quoted(workspace) + " is not in the inventory")
	}
	return workspace, nil
}

// readBody reads the body of a request; release ends the counting of its memory.
func (srv *Server) readBody(ctx echo.Context) (data []byte, release func(), err error) {
	limit := int64(srv.settings.MaxBodyBytes)
	bod, err := srv.bodies.ReadBody(http.MaxBytesReader(ctx.Response(), ctx.Request().Body, limit), ctx.Request().ContentLength)
	if _, over := errors.AsType[*http.MaxBytesError](err); over {
		return nil, nil, refuser.TooLarge("the body is over " + strconv.FormatInt(limit, 10) + " bytes")
	}
	if err == nil {
		if data, err = bod.Join(); err == nil {
			return data, bod.Release, nil
		}
		bod.Release()
	}
	if errors.Is(err, collector.ErrNoRoom) {
		return nil, nil, refuser.NotRun("the memory of this entry is in use", retryAfter)
	}
	return nil, nil, refuser.Invalid("the body could not be read")
}

// timeout returns how long the caller waits for the whole answer, at most the request timeout of this entry.
func (srv *Server) timeout(ctx echo.Context) (time.Duration, error) {
	text := ctx.Request().Header.Get(headerTimeoutMS)
	if text == "" {
		return srv.settings.RequestTimeout, nil
	}
	millis, err := strconv.ParseInt(text, 10, 32)
	if err != nil || millis <= 0 {
		return 0, refuser.Invalid(headerTimeoutMS + " must be a whole number of milliseconds above 0")
	}
	return min(time.Duration(millis)*time.Millisecond, srv.settings.RequestTimeout), nil
}

func allowed(name string, list []string) bool {
	return slices.Contains(list, name)
}

// quoted returns a caller's text, cut to 64 bytes and quoted, for use in a message.
func quoted(text string) string {
	const most = 64
	return strconv.Quote(text[:min(len(text), most)])
}
