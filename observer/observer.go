package observer

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/requester"
)

const (
	pollInterval   = 100 * time.Millisecond
	recoveryWindow = 2 * time.Second
)

// Downtime is the downtime of replica groups after a fault; FirstSeen, when an entry first reported a missing group, and RecoveredAt are in seconds since the fault.
type Downtime struct {
	GroupSeconds float64 `json:"group_seconds"`
	MaxMissing   int     `json:"groups_missing_most"`
	FirstSeen    float64 `json:"first_seen_seconds"`
	RecoveredAt  float64 `json:"whole_again_seconds"`
	Recovered    bool    `json:"recovered"`
	Polls        int     `json:"polls"`
}

// Observer polls the status of the entries; with Planned, nothing counts as downtime before an entry reports it, and a watch lasts its whole span.
type Observer struct {
	Planned bool

	reqs []*requester.Requester
	clk  clockwork.Clock
}

// New returns an observer of the entries at the addresses; it fails with requester.ErrNoEntry.
func New(addresses []string, clk clockwork.Clock) (*Observer, error) {
	if len(addresses) == 0 {
		return nil, errors.Trace(requester.ErrNoEntry)
	}
	obs := &Observer{clk: clk}
	for _, address := range addresses {
		req, err := requester.New([]string{address})
		if err != nil {
			return nil, err
		}
		obs.reqs = append(obs.reqs, req)
	}
	return obs, nil
}

// missing polls every entry and returns the smallest number of missing replicas, since an entry that has just started knows of no serving replica.
func (obs *Observer) missing(ctx context.Context) (int, bool) {
	fewest, reported := 0, false
	var mtx sync.Mutex
	var wai sync.WaitGroup
	for _, req := range obs.reqs {
		wai.Add(1)
		go func() {
			defer wai.Done()
			sta, err := req.Status(ctx)
			mtx.Lock()
			defer mtx.Unlock()
			if num := MissingReplicas(sta); err == nil && len(sta.Models) > 0 && (!reported || num < fewest) {
				fewest, reported = num, true
			}
		}()
	}
	wai.Wait()
	return fewest, reported
}

// Watch sums the downtime since a fault until all groups have served for two seconds after a loss, or the span has passed; without Planned, the time until the first report counts as downtime.
func (obs *Observer) Watch(ctx context.Context, since time.Time, span time.Duration) Downtime {
	var dow Downtime
	last := obs.clk.Since(since)
	missing := 0
	for obs.clk.Since(since) < span && ctx.Err() == nil {
		num, told := obs.missing(ctx)
		now := obs.clk.Since(since)
		dow.GroupSeconds += float64(missing) * (now - last).Seconds()
		last = now
		if told {
			missing = num
			dow.update(missing, now)
			if dow.FirstSeen == now.Seconds() && !obs.Planned {
				dow.GroupSeconds += float64(missing) * dow.FirstSeen
			}
		}
		if !obs.Planned && dow.Recovered && now.Seconds()-dow.RecoveredAt > recoveryWindow.Seconds() {
			return dow
		}
		obs.clk.Sleep(pollInterval)
	}
	return dow
}

func (dow *Downtime) update(missing int, now time.Duration) {
	dow.Polls++
	switch {
	case missing > 0 && dow.MaxMissing == 0:
		dow.FirstSeen = now.Seconds()
	case missing == 0 && dow.MaxMissing > 0 && !dow.Recovered:
		dow.RecoveredAt = now.Seconds()
		dow.Recovered = true
	case missing > 0:
		dow.Recovered = false
	}
	dow.MaxMissing = max(dow.MaxMissing, missing)
}

// MissingReplicas returns how many wanted replicas of all models do not serve.
func MissingReplicas(sta requester.Status) int {
	sum := 0
	for _, mod := range sta.Models {
		sum += max(0, mod.Wanted-mod.Serving)
	}
	return sum
}
