package gateserver

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/lovagelever/lovagelever/explainer"
)

// explain answers a question of an operator where a request would go now.
func (gat *Server) explain(ctx echo.Context) error {
	que, err := explainer.ParseQuestion(ctx.QueryParams())
	if err != nil {
		return ctx.String(http.StatusBadRequest, err.Error())
	}
	exp := gat.gat.Explain(que, gat.dis.Explain)
	exp.Entry, exp.AvailabilityZone = gat.set.Name, gat.set.Zone
	return ctx.JSON(http.StatusOK, exp)
}
