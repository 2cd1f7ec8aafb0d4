package scaler

import (
	"context"
	"encoding/json"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/logfaker"
	"github.com/lovagelever/lovagelever/requester"
	"github.com/lovagelever/lovagelever/sampler"
)

const (
	pollInterval    = 200 * time.Millisecond
	takeoverTimeout = 90 * time.Second
)

// Options describe a deployment: the addresses of all entries and of the log, the number of engine VMs, and the file that lists its processes.
type Options struct {
	Entries   []string
	Engines   int
	Log       string
	Processes string
	Clock     clockwork.Clock
}

// Scaler measures one deployment.
type Scaler struct {
	opt Options
	req *requester.Requester
}

// New returns a scaler; it fails with requester.ErrNoEntry.
func New(opt Options) (*Scaler, error) {
	req, err := requester.New(opt.Entries)
	if err != nil {
		return nil, err
	}
	return &Scaler{opt: opt, req: req}, nil
}

// AwaitReady waits until every entry is a fresh member and every model has its replicas serving; it fails with ErrNotReady.
func (sca *Scaler) AwaitReady(ctx context.Context, within time.Duration) error {
	end := sca.opt.Clock.Now().Add(within)
	for sca.opt.Clock.Now().Before(end) && ctx.Err() == nil {
		sta, err := sca.req.Status(ctx)
		if err == nil && ready(sta, len(sca.opt.Entries)) {
			return nil
		}
		sca.opt.Clock.Sleep(pollInterval)
	}
	return errors.Trace(ErrNotReady)
}

func ready(sta requester.Status, entries int) bool {
	if len(sta.Entries) != entries || len(sta.Models) == 0 {
		return false
	}
	for _, ent := range sta.Entries {
		if !ent.Reachable || !ent.Fresh || ent.Revision != sta.Revision {
			return false
		}
	}
	for _, mod := range sta.Models {
		if mod.Serving < mod.Wanted {
			return false
		}
	}
	return true
}

func (sca *Scaler) logCounts(ctx context.Context) (logfaker.Counts, error) {
	var cnt logfaker.Counts
	data, err := sampler.Fetch(ctx, "http://"+sca.opt.Log+"/v1/counts")
	if err != nil {
		return cnt, err
	}
	return cnt, errors.Annotate(json.Unmarshal(data, &cnt), "scaler: counts of the log")
}
