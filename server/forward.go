package server

import (
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/lovagelever/lovagelever/forwarder"
	"github.com/lovagelever/lovagelever/refuser"
)

func (srv *Server) forward(ctx echo.Context) error {
	workspace, err := srv.checkCaller(ctx)
	if err != nil {
		return err
	}
	service := ctx.Param("service")
	inv := srv.view().Catalog.Inventory
	if _, known := inv.Services[service]; !known || !allowed(service, inv.Workspaces[workspace].Services) {
		return refuser.NotFound("service " + quoted(service) + " is not open to the workspace")
	}
	body, release, err := srv.readBody(ctx)
	if err != nil {
		return err
	}
	defer release()
	srv.inFlight.Add(1)
	defer srv.inFlight.Done()
	cal := srv.serviceCall(ctx, workspace, service, body)
	if cal.Within, err = srv.timeout(ctx); err != nil {
		return err
	}
	timer := srv.startTimer(workspace, srv.classOf(service, cal.Method))
	ans := srv.forwarder.Forward(ctx.Request().Context(), cal)
	if ans.Refusal != nil {
		timer.finish(*ans.Refusal)
		return *ans.Refusal
	}
	timer.finish(nil)
	return writeAnswer(ctx, ans)
}

func (srv *Server) serviceCall(ctx echo.Context, workspace, service string, body []byte) forwarder.Call {
	req := ctx.Request()
	path := "/" + strings.TrimPrefix(ctx.Param("*"), "/")
	if req.URL.RawQuery != "" {
		path += "?" + req.URL.RawQuery
	}
	return forwarder.Call{
		RequestID: requestID(ctx),
		Workspace: workspace,
		Service:   service,
		Method:    req.Method,
		Path:      path,
		Header:    req.Header,
		Body:      body,
		Key:       req.Header.Get(headerKey),
	}
}

func (srv *Server) classOf(service, method string) string {
	if allowed(method, srv.view().Catalog.Inventory.Services[service].Idempotent) {
		return classIdempotent
	}
	return classNonIdempotent
}

func writeAnswer(ctx echo.Context, ans forwarder.Answer) error {
	out := ctx.Response()
	for name, vals := range ans.Header {
		if name == headerRequestID {
			continue
		}
		for _, val := range vals {
			out.Header().Add(name, val)
		}
	}
	if ans.Replayed {
		out.Header().Set(headerReplayed, "true")
	}
	out.WriteHeader(ans.Status)
	_, err := out.Write(ans.Body)
	return err
}
