package trier

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/lovagelever/lovagelever/requester"
)

const (
	workTimeout = 90 * time.Second
	workers     = 5
)

// Trial is one run as a caller of a deployment; Entries and ServiceControl are IP:PORT.
type Trial struct {
	Deployment     string
	Entries        []string
	ServiceControl string
	Out            io.Writer
	Clock          clockwork.Clock

	work      work
	requester *requester.Requester
	client    *http.Client
	outcome   outcome
	saying    sync.Mutex
}

// Run makes the trial and prints what it saw; it fails with ErrFellShort, or with why it could not start.
func (tri *Trial) Run(ctx context.Context) error {
	if err := tri.prepare(); err != nil {
		return err
	}
	if err := tri.awaitServing(ctx); err != nil {
		return err
	}
	rev, err := tri.requester.Catalog(ctx)
	if err != nil {
		return err
	}
	workspaces := make([]string, 0, len(rev.Catalog.Inventory.Workspaces))
	for name := range rev.Catalog.Inventory.Workspaces {
		workspaces = append(workspaces, name)
	}
	slices.Sort(workspaces)
	if len(workspaces) == 0 {
		return errors.Annotate(ErrFellShort, "the catalog has no workspaces")
	}
	tri.serveAll(ctx, workspaces)
	return tri.conclude(ctx)
}

func (tri *Trial) prepare() error {
	wrk, err := workOf(tri.Deployment)
	if err != nil {
		return err
	}
	req, err := requester.New(tri.Entries)
	if err != nil {
		return err
	}
	tri.work, tri.requester, tri.client = wrk, req, &http.Client{}
	return nil
}

// serveAll asks for the first workspace step by step, then for all others at once.
func (tri *Trial) serveAll(ctx context.Context, workspaces []string) {
	ctx, cancel := context.WithTimeout(ctx, workTimeout)
	defer cancel()
	tri.serve(ctx, workspaces[0])
	var grp errgroup.Group
	grp.SetLimit(workers)
	for _, name := range workspaces[1:] {
		grp.Go(func() error {
			tri.serve(ctx, name)
			return nil
		})
	}
	_ = grp.Wait()
}

// serve asks for everything that one workspace needs and notes what fell short.
func (tri *Trial) serve(ctx context.Context, workspace string) {
	tri.outcome.answer(workspace, tri.compose(ctx, workspace))
	tri.outcome.answer(workspace, tri.summarize(ctx, workspace))
	key, err := tri.effect(ctx, workspace)
	tri.outcome.effect(workspace, key, err)
}

// conclude reads the counts and the status and prints the last line.
func (tri *Trial) conclude(ctx context.Context) error {
	cnt, err := tri.counts(ctx)
	tri.outcome.compare(cnt, err)
	revision, entries, err := tri.inForce(ctx)
	tri.outcome.note("status", err)
	for _, problem := range tri.outcome.problems {
		tri.say("fell short: %s", problem)
	}
	tri.say("served: %s: model answers whole %d of %d, side effects run once %d of %d, revision %d in force on %d of %d entries",
		tri.Deployment, tri.outcome.whole, tri.outcome.answers, tri.outcome.once, tri.outcome.effects, revision, entries, len(tri.Entries))
	if len(tri.outcome.problems) > 0 {
		return errors.Annotate(ErrFellShort, tri.outcome.problems[0])
	}
	return nil
}

func (tri *Trial) say(format string, args ...any) {
	tri.saying.Lock()
	defer tri.saying.Unlock()
	_, _ = fmt.Fprintf(tri.Out, format+"\n", args...)
}
