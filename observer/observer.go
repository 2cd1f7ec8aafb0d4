package observer

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

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

	req *requester.Requester
	clk clockwork.Clock
}

// New returns an observer of the entries at the addresses; it fails with requester.ErrNoEntry.
func New(addresses []string, clk clockwork.Clock) (*Observer, error) {
	req, err := requester.New(addresses)
	if err != nil {
		return nil, err
	}
	return &Observer{req: req, clk: clk}, nil
}

// Watch sums the downtime since a fault until all groups serve for two seconds after a loss, or the span has passed; the time until the first report counts as lost.
func (obs *Observer) Watch(ctx context.Context, since time.Time, span time.Duration) Loss {
	var los Loss
	last := obs.clk.Since(since)
	missing := 0
	for obs.clk.Since(since) < span && ctx.Err() == nil {
		sta, err := obs.req.Status(ctx)
		now := obs.clk.Since(since)
		los.GroupSeconds += float64(missing) * (now - last).Seconds()
		last = now
		if err == nil {
			missing = Missing(sta)
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
