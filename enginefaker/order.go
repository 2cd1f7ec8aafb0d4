package enginefaker

import (
	"net/http"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/jsoncoder"
)

// Kinds of order.
const (
	orderLoad   = "load"
	orderUnload = "unload"
	orderStage  = "stage"
)

type order struct {
	Order            string   `json:"order"`
	Group            string   `json:"group"`
	Fence            int64    `json:"fence"`
	Model            string   `json:"model"`
	Version          string   `json:"version"`
	Adapters         []string `json:"adapters"`
	WeightsGigabytes float64  `json:"weights_gigabytes"`
	Members          []member `json:"members"`
	Rank             int      `json:"rank"`
}

type member struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
}

type fenceAnswer struct {
	Group string `json:"group,omitempty"`
	Fence int64  `json:"fence"`
}

type empty struct{}

func (eng *engine) serveOrder(wtr http.ResponseWriter, req *http.Request) {
	ord, err := jsoncoder.Read[order](req)
	if err == nil {
		err = ord.check()
	}
	if err != nil {
		jsoncoder.Fail(wtr, http.StatusBadRequest, err)
		return
	}
	if seen, taken := eng.take(ord); !taken {
		jsoncoder.Write(wtr, http.StatusConflict, fenceAnswer{Fence: seen})
		return
	}
	jsoncoder.Write(wtr, http.StatusOK, empty{})
}

func (ord order) check() error {
	switch ord.Order {
	case orderUnload, orderStage:
		return nil
	case orderLoad:
	default:
		return errors.NotValidf("enginefaker: order %q", ord.Order)
	}
	if ord.Group == "" || ord.Rank < 0 || ord.Rank >= len(ord.Members) {
		return errors.NotValidf("enginefaker: group %q with rank %d of %d", ord.Group, ord.Rank, len(ord.Members))
	}
	return nil
}

// take returns the newest fence that the engine has seen and whether it took the order.
func (eng *engine) take(ord order) (int64, bool) {
	eng.fkr.mut.Lock()
	defer eng.fkr.mut.Unlock()
	if ord.Order == orderStage {
		go eng.stage(eng.started, ord)
		return eng.seen, true
	}
	if eng.checks && ord.Fence < eng.seen {
		return eng.seen, false
	}
	eng.seen = max(eng.seen, ord.Fence)
	if ord.Order == orderUnload {
		eng.breakJobs()
		eng.turn(order{Fence: ord.Fence}, stateEmpty, "unloaded")
		return eng.seen, true
	}
	if ord.Group == eng.ord.Group && ord.Fence == eng.ord.Fence {
		return eng.seen, true
	}
	eng.breakJobs()
	eng.turn(ord, stateLoading, "")
	go eng.load(eng.generation, ord)
	return eng.seen, true
}
