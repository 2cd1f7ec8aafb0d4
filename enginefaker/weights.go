package enginefaker

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/lovagelever/lovagelever/jsoncoder"
)

const (
	heldModels = 2
	retryAfter = 500 * time.Millisecond
)

type lease struct {
	VM        string  `json:"vm"`
	Gigabytes float64 `json:"gigabytes"`
}

type leased struct {
	WaitMS int64 `json:"wait_ms"`
}

type storeLoad struct {
	GigabytesPerSecond float64 `json:"gigabytes_per_second"`
}

func (eng *engine) load(generation int64, ord order) {
	eng.transfer(ord, func() bool { return eng.generation == generation }, func() {
		eng.turn(ord, stateReady, "")
	})
}

func (eng *engine) stage(started string, ord order) {
	eng.transfer(ord, func() bool { return eng.started == started }, func() {})
}

// transfer gets the weights unless the engine holds them, and then calls done while current stays true.
func (eng *engine) transfer(ord order, current func() bool, done func()) {
	name := ord.Model + "@" + ord.Version
	for !eng.holds(name) {
		span, err := eng.lease(ord.WeightsGigabytes)
		if err == nil {
			eng.fkr.wait(span)
			break
		}
		if !eng.fkr.wait(retryAfter) || !eng.is(current) {
			return
		}
	}
	eng.machine.Wait(context.Background())
	eng.fkr.mut.Lock()
	defer eng.fkr.mut.Unlock()
	if !current() {
		return
	}
	eng.hold(name)
	done()
}

func (eng *engine) is(current func() bool) bool {
	eng.fkr.mut.Lock()
	defer eng.fkr.mut.Unlock()
	return current()
}

func (eng *engine) holds(name string) bool {
	return eng.is(func() bool { return slices.Contains(eng.held, name) })
}

func (eng *engine) hold(name string) {
	eng.held = slices.DeleteFunc(eng.held, func(old string) bool { return old == name })
	eng.held = append(eng.held, name)
	eng.held = eng.held[max(0, len(eng.held)-heldModels):]
}

// lease returns how long the transfer takes, the wait for its start included.
func (eng *engine) lease(gigabytes float64) (time.Duration, error) {
	if eng.fkr.opt.WeightStore == "" {
		return 0, nil
	}
	ctx, url := context.Background(), "http://"+eng.fkr.opt.WeightStore+"/v1/leases"
	lod, err := jsoncoder.Call[empty, storeLoad](ctx, eng.client, http.MethodGet, url, empty{})
	if err != nil {
		return 0, err
	}
	lea, err := jsoncoder.Call[lease, leased](ctx, eng.client, http.MethodPost, url, lease{VM: eng.name, Gigabytes: gigabytes})
	if err != nil {
		return 0, err
	}
	wait := time.Duration(lea.WaitMS) * time.Millisecond
	return wait + time.Duration(gigabytes/lod.GigabytesPerSecond*float64(time.Second)), nil
}
