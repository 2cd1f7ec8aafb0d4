package enginefaker

import (
	"net/http"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/jsoncoder"
)

// Kinds of orders.
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

type emptyBody struct{}

func (eng *engine) serveOrder(wtr http.ResponseWriter, req *http.Request) {
	ord, err := jsoncoder.Read[order](req)
	if err == nil {
		err = ord.check()
	}
	if err != nil {
		jsoncoder.WriteError(wtr, http.StatusBadRequest, err)
		return
	}
	if seen, taken := eng.acceptOrder(ord); !taken {
		jsoncoder.Write(wtr, http.StatusConflict, fenceAnswer{Fence: seen})
		return
	}
	jsoncoder.Write(wtr, http.StatusOK, emptyBody{})
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
		return errors.NotValidf("enginefaker: load order for group %q with rank %d of %d members", ord.Group, ord.Rank, len(ord.Members))
	}
	return nil
}

// acceptOrder returns the newest fence that the engine has seen and whether it accepted the order.
func (eng *engine) acceptOrder(ord order) (int64, bool) {
	eng.sim.mut.Lock()
	defer eng.sim.mut.Unlock()
	if ord.Order == orderStage {
		go eng.stageWeights(eng.started, ord)
		return eng.newestFence, true
	}
	if eng.checksFence && ord.Fence < eng.newestFence {
		return eng.newestFence, false
	}
	eng.newestFence = max(eng.newestFence, ord.Fence)
	if ord.Order == orderUnload {
		eng.breakJobs()
		eng.setOrder(order{Fence: ord.Fence}, stateEmpty, "unloaded")
		return eng.newestFence, true
	}
	if ord.Group == eng.ord.Group && ord.Fence == eng.ord.Fence {
		return eng.newestFence, true
	}
	eng.breakJobs()
	eng.setOrder(ord, stateLoading, "")
	go eng.loadWeights(eng.generation, ord)
	return eng.newestFence, true
}
