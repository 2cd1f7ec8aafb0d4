package scaler

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/requester"
)

// Takeover holds the seconds from the loss of an entry until it was evicted, and until every group had another home and served again.
type Takeover struct {
	Victim    string  `json:"victim"`
	Homes     int     `json:"homes"`
	Evicted   float64 `json:"evicted_seconds"`
	TakenOver float64 `json:"taken_over_seconds"`
}

// AwaitTakeover waits until a lost entry's work is taken over; it fails with ErrNotReached on a timeout.
func (sca *Scaler) AwaitTakeover(ctx context.Context, victim string, lost time.Time) (Takeover, error) {
	out := Takeover{Victim: victim}
	for sca.opt.Clock.Since(lost) < takeoverTimeout && ctx.Err() == nil {
		sta, err := sca.req.Status(ctx)
		if err == nil {
			out.update(sta, sca.opt.Clock.Since(lost).Seconds())
		}
		if out.TakenOver > 0 {
			return out, nil
		}
		sca.opt.Clock.Sleep(pollInterval)
	}
	return out, errors.Trace(ErrNotReached)
}

func (tak *Takeover) update(sta requester.Status, after float64) {
	homes, serving := 0, 0
	for _, grp := range sta.Groups {
		if grp.Home == tak.Victim {
			homes++
		}
		if grp.Stage == "serving" {
			serving++
		}
	}
	tak.Homes = max(tak.Homes, homes)
	for _, ent := range sta.Entries {
		if ent.Name == tak.Victim {
			return
		}
	}
	if tak.Evicted == 0 {
		tak.Evicted = after
	}
	if homes == 0 && serving == len(sta.Groups) && serving > 0 {
		tak.TakenOver = after
	}
}
