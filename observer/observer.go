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
	pollEvery  = 100 * time.Millisecond
	wholeAgain = 2 * time.Second
)

// Loss is the group downtime after a fault, in seconds since the fault; First is when an entry first told of a group that does not serve.
type Loss struct {
	GroupSeconds float64 `json:"group_seconds"`
	Most         int     `json:"groups_missing_most"`
	First        float64 `json:"first_seen_seconds"`
	Whole        float64 `json:"whole_again_seconds"`
	Recovered    bool    `json:"recovered"`
	Polls        int     `json:"polls"`
}

// Observer asks the entries for their status; with Planned nothing counts as lost before an entry tells of it, and a watch lasts its whole span.
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

// missing asks every entry and returns the fewest missing replicas, since an entry that has just started knows of none.
func (obs *Observer) missing(ctx context.Context) (int, bool) {
	fewest, told := 0, false
	var mtx sync.Mutex
	var wai sync.WaitGroup
	for _, req := range obs.reqs {
		wai.Add(1)
		go func() {
			defer wai.Done()
			sta, err := req.Status(ctx)
			mtx.Lock()
			defer mtx.Unlock()
			if num := Missing(sta); err == nil && len(sta.Models) > 0 && (!told || num < fewest) {
				fewest, told = num, true
			}
		}()
	}
	wai.Wait()
	return fewest, told
}

// Watch sums the downtime since a fault until all groups serve for two seconds after a loss, or the span has passed; the time until the first report counts as lost.
func (obs *Observer) Watch(ctx context.Context, since time.Time, span time.Duration) Loss {
	var los Loss
	last := obs.clk.Since(since)
	missing := 0
	for obs.clk.Since(since) < span && ctx.Err() == nil {
		num, told := obs.missing(ctx)
		now := obs.clk.Since(since)
		los.GroupSeconds += float64(missing) * (now - last).Seconds()
		last = now
		if told {
			missing = num
			los.note(missing, now)
			if los.First == now.Seconds() && !obs.Planned {
				los.GroupSeconds += float64(missing) * los.First
			}
		}
		if !obs.Planned && los.Recovered && now.Seconds()-los.Whole > wholeAgain.Seconds() {
			return los
		}
		obs.clk.Sleep(pollEvery)
	}
	return los
}

func (los *Loss) note(missing int, now time.Duration) {
	los.Polls++
	switch {
	case missing > 0 && los.Most == 0:
		los.First = now.Seconds()
	case missing == 0 && los.Most > 0 && !los.Recovered:
		los.Whole = now.Seconds()
		los.Recovered = true
	case missing > 0:
		los.Recovered = false
	}
	los.Most = max(los.Most, missing)
}

// Missing returns how many wanted replicas of all models do not serve.
func Missing(sta requester.Status) int {
	sum := 0
	for _, mod := range sta.Models {
		sum += max(0, mod.Wanted-mod.Serving)
	}
	return sum
}
