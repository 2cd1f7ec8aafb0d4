package enginefaker

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/lovagelever/lovagelever/jsoncoder"
)

const (
	maxHeldModels      = 2
	leaseRetryInterval = 500 * time.Millisecond
)

type leaseRequest struct {
	VM        string  `json:"vm"`
	Gigabytes float64 `json:"gigabytes"`
}

type leaseAnswer struct {
	WaitMS int64 `json:"wait_ms"`
}

type storeLoad struct {
	GigabytesPerSecond float64 `json:"gigabytes_per_second"`
}

func (eng *engine) loadWeights(generation int64, ord order) {
	eng.fetchWeights(ord, func() bool { return eng.generation == generation }, func() {
		eng.setOrder(ord, stateReady, "")
	})
}

func (eng *engine) stageWeights(started string, ord order) {
	eng.fetchWeights(ord, func() bool { return eng.started == started }, func() {})
}

// fetchWeights transfers the weights unless the engine holds them, then adds them to the held weights and calls done if current still holds.
// It retries while the weight store is unavailable, and gives up when current no longer holds or the Simulator closes.
func (eng *engine) fetchWeights(ord order, current func() bool, done func()) {
	name := ord.Model + "@" + ord.Version
	for !eng.holdsWeights(name) {
		span, err := eng.leaseTransfer(ord.WeightsGigabytes)
		if err == nil {
			eng.sim.wait(span)
			break
		}
		if !eng.sim.wait(leaseRetryInterval) || !eng.checkWithLock(current) {
			return
		}
	}
	eng.machine.WaitWhilePaused(context.Background())
	eng.sim.mut.Lock()
	defer eng.sim.mut.Unlock()
	if !current() {
		return
	}
	eng.addHeldWeights(name)
	done()
}

func (eng *engine) checkWithLock(current func() bool) bool {
	eng.sim.mut.Lock()
	defer eng.sim.mut.Unlock()
	return current()
}

func (eng *engine) holdsWeights(name string) bool {
	return eng.checkWithLock(func() bool { return slices.Contains(eng.heldWeights, name) })
}

func (eng *engine) addHeldWeights(name string) {
	eng.heldWeights = slices.DeleteFunc(eng.heldWeights, func(old string) bool { return old == name })
	eng.heldWeights = append(eng.heldWeights, name)
	eng.heldWeights = eng.heldWeights[max(0, len(eng.heldWeights)-maxHeldModels):]
}

// leaseTransfer reserves a transfer at the weight store and returns how long it takes, including the wait for its start.
func (eng *engine) leaseTransfer(gigabytes float64) (time.Duration, error) {
	if eng.sim.opt.WeightStore == "" {
		return 0, nil
	}
	ctx, url := context.Background(), "http://"+eng.sim.opt.WeightStore+"/v1/leases"
	lod, err := jsoncoder.Call[emptyBody, storeLoad](ctx, eng.client, http.MethodGet, url, emptyBody{})
	if err != nil {
		return 0, err
	}
	lea, err := jsoncoder.Call[leaseRequest, leaseAnswer](ctx, eng.client, http.MethodPost, url, leaseRequest{VM: eng.name, Gigabytes: gigabytes})
	if err != nil {
		return 0, err
	}
	wait := time.Duration(lea.WaitMS) * time.Millisecond
	return wait + time.Duration(gigabytes/lod.GigabytesPerSecond*float64(time.Second)), nil
}
