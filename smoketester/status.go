package smoketester

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/requester"
)

const (
	servingTimeout  = 40 * time.Second
	revisionTimeout = 5 * time.Second
)

// awaitServing waits until every model has all its wanted groups serving; it fails with ErrNotServing on a timeout.
func (tri *Trial) awaitServing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, servingTimeout)
	defer cancel()
	missing := "no status yet"
	for {
		sta, err := tri.requester.Status(ctx)
		if err == nil {
			missing = missingGroups(sta)
		}
		if missing == "" {
			tri.printf("every model serves: %s", servingSummary(sta))
			return nil
		}
		if tri.pause(ctx, minPause) != nil {
			return errors.Annotate(ErrNotServing, missing)
		}
	}
}

func missingGroups(sta requester.Status) string {
	if len(sta.Models) == 0 {
		return "no model is known"
	}
	for _, mod := range sta.Models {
		if mod.Serving < mod.Wanted || mod.Serving == 0 {
			return servingSummary(sta)
		}
	}
	return ""
}

func servingSummary(sta requester.Status) string {
	parts := make([]string, len(sta.Models))
	for i, mod := range sta.Models {
		parts[i] = fmt.Sprintf("%s %d of %d groups", mod.Name, mod.Serving, mod.Wanted)
	}
	return strings.Join(parts, ", ")
}

// awaitRevision waits until all entries have the current revision and returns it with the number of entries that have it; it fails with ErrNotInForce.
func (tri *Trial) awaitRevision(ctx context.Context) (int64, int, error) {
	ctx, cancel := context.WithTimeout(ctx, revisionTimeout)
	defer cancel()
	var revision int64
	count := 0
	for {
		sta, err := tri.requester.Status(ctx)
		if err == nil {
			revision, count = sta.Revision, entriesAtRevision(sta)
		}
		if err == nil && count == len(tri.Entries) {
			return revision, count, nil
		}
		if tri.pause(ctx, minPause) != nil {
			return revision, count, errors.Annotatef(ErrNotInForce, "revision %d at %d entries", revision, count)
		}
	}
}

func entriesAtRevision(sta requester.Status) int {
	count := 0
	for _, ent := range sta.Entries {
		if ent.Reachable && ent.Fresh && ent.Revision == sta.Revision {
			count++
		}
	}
	return count
}
