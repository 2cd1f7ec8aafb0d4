package server

import (
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"

	"github.com/lovagelever/lovagelever/refuser"
)

const (
	headerWorkspace = "X-Workspace"
	headerRequestID = "X-Request-Id"
	headerKey       = "Idempotency-Key"
	headerReplayed  = "X-Replayed"
	headerTimeoutMS = "X-Timeout-Ms"

	headerTimeout  = 5 * time.Second
	bodyTimeout    = 20 * time.Second
	maxHeaderBytes = 32 << 10
	requestIDKey   = "request_id"
)

func (srv *Server) routes() *echo.Echo {
	ech := echo.New()
	ech.HideBanner = true
	ech.HidePort = true
	ech.HTTPErrorHandler = srv.refuse
	ech.Use(middleware.Recover(), srv.nameRequest)
	ech.GET("/v1/locate", srv.locate)
	ech.POST("/v1/chat/completions", srv.complete)
	ech.Any("/v1/services/:service", srv.forward)
	ech.Any("/v1/services/:service/*", srv.forward)
	ech.POST("/v1/publications", srv.publish)
	ech.GET("/v1/catalog", srv.catalog)
	ech.GET("/v1/status", srv.status)
	ech.GET("/v1/self", srv.selfStatus)
	ech.GET("/v1/burn", srv.burn)
	ech.GET("/healthz", srv.health)
	ech.GET("/metrics", echo.WrapHandler(srv.mtr.handler()))
	return ech
}

// nameRequest gives each request an ID of this entry's own making, so that no two share one.
func (srv *Server) nameRequest(next echo.HandlerFunc) echo.HandlerFunc {
	return func(ctx echo.Context) error {
		id := uuid.NewString()
		ctx.Set(requestIDKey, id)
		ctx.Response().Header().Set(headerRequestID, id)
		return next(ctx)
	}
}

func requestID(ctx echo.Context) string {
	id, _ := ctx.Get(requestIDKey).(string)
	return id
}

// refuse writes every error as a refusal.
func (srv *Server) refuse(err error, ctx echo.Context) {
	if ctx.Response().Committed {
		return
	}
	ref := refuser.From(err)
	if web, own := errors.AsType[*echo.HTTPError](err); own {
		ref = refuser.Invalid(http.StatusText(web.Code))
		ref.Status = web.Code
	}
	if err := ref.WithRequestID(requestID(ctx)).Write(ctx.Response()); err != nil {
		srv.log.WithError(err).Debug("refusal not written")
	}
}

func (srv *Server) locate(ctx echo.Context) error {
	workspace := ctx.QueryParam("workspace")
	if _, known := srv.view().Catalog.Inventory.Workspaces[workspace]; !known {
		return refuser.Unknown("workspace " + quoted(workspace) + " is not in the inventory")
	}
	ans := srv.loc.Locate(workspace, ctx.QueryParam("model"))
	if ans.Entry == "" {
		return refuser.NotRun("no entry takes new work now", time.Second)
	}
	return ctx.JSON(http.StatusOK, ans)
}

func (srv *Server) burn(ctx echo.Context) error {
	return ctx.JSON(http.StatusOK, srv.bur.Lines())
}

// health answers 200 while this entry takes new work.
func (srv *Server) health(ctx echo.Context) error {
	if ref := srv.closed(); ref != nil {
		return *ref
	}
	return ctx.String(http.StatusOK, "ok\n")
}
