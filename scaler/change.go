package scaler

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/requester"
	"github.com/lovagelever/lovagelever/sampler"
)

const (
	changePollInterval = 25 * time.Millisecond
	changeTimeout      = 30 * time.Second
	changePause        = 500 * time.Millisecond
)

// Changes holds the latencies of published changes, in seconds from publishing until every entry had them in force.
type Changes struct {
	Count  int     `json:"changes"`
	Failed int     `json:"changes_failed"`
	Median float64 `json:"in_force_median_seconds"`
	Worst  float64 `json:"in_force_worst_seconds"`
}

// MeasureChanges publishes count changes of the rules in sequence and measures their latencies.
func (sca *Scaler) MeasureChanges(ctx context.Context, count int) (Changes, error) {
	out := Changes{Count: count}
	var took []float64
	for num := range count {
		secs, err := sca.publishChange(ctx, num)
		if errors.Is(err, ErrNotReached) {
			out.Failed++
			continue
		}
		if err != nil {
			return out, err
		}
		took = append(took, secs)
		sca.opt.Clock.Sleep(changePause)
	}
	if len(took) == 0 {
		return out, nil
	}
	slices.Sort(took)
	out.Median, out.Worst = took[len(took)/2], took[len(took)-1]
	return out, nil
}

func (sca *Scaler) publishChange(ctx context.Context, num int) (float64, error) {
	cur, err := sca.req.Catalog(ctx)
	if err != nil {
		return 0, err
	}
	rul := cur.Catalog.Rules
	for name, one := range rul.Workspaces {
		one.Weight = num%2 + 1
		rul.Workspaces[name] = one
	}
	id, err := uuid.NewV7()
	if err != nil {
		return 0, errors.Annotate(err, "scaler: generate ID")
	}
	begun := sca.opt.Clock.Now()
	acc, err := sca.req.Publish(ctx, sca.opt.Entries[num%len(sca.opt.Entries)], requester.Publication{ID: id.String(), BasedOn: cur.Revision, Rules: &rul})
	if err != nil {
		return 0, err
	}
	if !sca.awaitRevisionEverywhere(ctx, acc.Revision, begun.Add(changeTimeout)) {
		return 0, errors.Trace(ErrNotReached)
	}
	return sca.opt.Clock.Since(begun).Seconds(), nil
}

// awaitRevisionEverywhere polls every entry directly until it reports the revision.
func (sca *Scaler) awaitRevisionEverywhere(ctx context.Context, revision int64, end time.Time) bool {
	reached := make([]bool, len(sca.opt.Entries))
	var wai sync.WaitGroup
	for i, address := range sca.opt.Entries {
		wai.Add(1)
		go func() {
			defer wai.Done()
			reached[i] = sca.awaitRevision(ctx, address, revision, end)
		}()
	}
	wai.Wait()
	return !slices.Contains(reached, false)
}

func (sca *Scaler) awaitRevision(ctx context.Context, address string, revision int64, end time.Time) bool {
	for sca.opt.Clock.Now().Before(end) && ctx.Err() == nil {
		var ent requester.Entry
		data, err := sampler.Fetch(ctx, "http://"+address+"/v1/self")
		if err == nil && json.Unmarshal(data, &ent) == nil && ent.Revision >= revision {
			return true
		}
		sca.opt.Clock.Sleep(changePollInterval)
	}
	return false
}
