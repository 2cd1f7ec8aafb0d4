package server

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"github.com/lovagelever/lovagelever/refuser"
)

const closedRetry = time.Second

// closed says why this entry takes no new work, or nil.
func (srv *Server) closed() *refuser.Refusal {
	if sta := srv.standing(); !sta.Fresh {
		ref := refuser.NotRun("this entry takes no new work: "+sta.Explanation, closedRetry)
		return &ref
	}
	if srv.zoneOutLong() {
		ref := refuser.NotRun("availability zone "+srv.set.Zone+" is out: ask /v1/locate again", closedRetry)
		return &ref
	}
	if srv.diverged.Load() > 0 {
		ref := refuser.NotRun("this entry's state differs from a peer's at the same log offset", closedRetry)
		return &ref
	}
	return nil
}

// zoneOutLong reports whether this entry's zone has been out for longer than callers keep an answer.
func (srv *Server) zoneOutLong() bool {
	if !srv.view().Catalog.Rules.ZoneOut(srv.set.Zone) {
		srv.zoneOutSince.Store(0)
		return false
	}
	now := srv.clk.Now().UnixNano()
	srv.zoneOutSince.CompareAndSwap(0, now)
	return time.Duration(now-srv.zoneOutSince.Load()) > srv.set.LocateValidFor
}

// enter checks that a workspace is known and that this entry takes new work.
func (srv *Server) enter(ctx echo.Context) (string, error) {
	workspace := ctx.Request().Header.Get(headerWorkspace)
	if ref := srv.closed(); ref != nil {
		return workspace, *ref
	}
	if _, known := srv.view().Catalog.Inventory.Workspaces[workspace]; !known {
		return workspace, refuser.Unknown("workspace " + quoted(workspace) + " is not in the inventory")
	}
	return workspace, nil
}

func (srv *Server) readBody(ctx echo.Context) ([]byte, error) {
	limit := int64(srv.set.MaxBodyBytes)
	data, err := io.ReadAll(http.MaxBytesReader(ctx.Response(), ctx.Request().Body, limit))
	if _, over := errors.AsType[*http.MaxBytesError](err); over {
		return nil, refuser.TooLarge("the body is over " + strconv.FormatInt(limit, 10) + " bytes")
	}
	if err != nil {
		return nil, refuser.Invalid("the body could not be read")
	}
	return data, nil
}

// timeout is how long the caller waits for the whole answer, at most the request timeout of this entry.
func (srv *Server) timeout(ctx echo.Context) (time.Duration, error) {
	text := ctx.Request().Header.Get(headerTimeoutMS)
	if text == "" {
		return srv.set.RequestTimeout, nil
	}
	millis, err := strconv.ParseInt(text, 10, 32)
	if err != nil || millis <= 0 {
		return 0, refuser.Invalid(headerTimeoutMS + " must be a whole number of milliseconds above 0")
	}
	return min(time.Duration(millis)*time.Millisecond, srv.set.RequestTimeout), nil
}

func allowed(name string, list []string) bool {
	return slices.Contains(list, name)
}

// quoted shortens and quotes a caller's text for a message.
func quoted(text string) string {
	const most = 64
	return strconv.Quote(text[:min(len(text), most)])
}
