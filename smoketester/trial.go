package smoketester

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
	workTimeout             = 90 * time.Second
	maxConcurrentWorkspaces = 5
)

// Trial acts as a caller of a deployment and checks the responses; Entries and ServiceControl are IP:PORT addresses.
type Trial struct {
	Deployment     string
	Entries        []string
	ServiceControl string
	Out            io.Writer
	Clock          clockwork.Clock

	workload  workload
	requester *requester.Requester
	client    *http.Client
	tally     tally
	outLock   sync.Mutex
}

// Run runs the trial and prints its results; it fails with ErrTrialFailed if a check failed, or with the reason why it could not start.
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
		return errors.Annotate(ErrTrialFailed, "the catalog has no workspaces")
	}
	tri.tryWorkspaces(ctx, workspaces)
	return tri.report(ctx)
}

func (tri *Trial) prepare() error {
	wrk, err := workloadOf(tri.Deployment)
	if err != nil {
		return err
	}
	req, err := requester.New(tri.Entries)
	if err != nil {
		return err
	}
	tri.workload, tri.requester, tri.client = wrk, req, &http.Client{}
	return nil
}

// tryWorkspaces runs the requests of the first workspace alone, then those of all others concurrently.
func (tri *Trial) tryWorkspaces(ctx context.Context, workspaces []string) {
	ctx, cancel := context.WithTimeout(ctx, workTimeout)
	defer cancel()
	tri.tryWorkspace(ctx, workspaces[0])
	var grp errgroup.Group
	grp.SetLimit(maxConcurrentWorkspaces)
	for _, name := range workspaces[1:] {
		grp.Go(func() error {
			tri.tryWorkspace(ctx, name)
			return nil
		})
	}
	_ = grp.Wait()
}

// tryWorkspace runs all requests of one workspace in sequence and records the results.
func (tri *Trial) tryWorkspace(ctx context.Context, workspace string) {
	tri.tally.addAnswer(workspace, tri.compose(ctx, workspace))
	tri.tally.addAnswer(workspace, tri.summarize(ctx, workspace))
	key, err := tri.callOnce(ctx, workspace)
	tri.tally.addSideEffect(workspace, key, err)
}

// report checks the run counts and the revision, then prints the problems and the summary line.
func (tri *Trial) report(ctx context.Context) error {
	cnt, err := tri.fetchRunCounts(ctx)
	tri.tally.checkRuns(cnt, err)
	revision, entries, err := tri.awaitRevision(ctx)
	tri.tally.addProblem("status", err)
	for _, problem := range tri.tally.problems {
		tri.printf("failed: %s", problem)
	}
	tri.printf("served: %s: model answers whole %d of %d, side effects run once %d of %d, revision %d in force on %d of %d entries",
		tri.Deployment, tri.tally.completeAnswers, tri.tally.answers, tri.tally.ranOnce, tri.tally.sideEffects, revision, entries, len(tri.Entries))
	if len(tri.tally.problems) > 0 {
		return errors.Annotate(ErrTrialFailed, tri.tally.problems[0])
	}
	return nil
}

func (tri *Trial) printf(format string, args ...any) {
	tri.outLock.Lock()
	defer tri.outLock.Unlock()
	_, _ = fmt.Fprintf(tri.Out, format+"\n", args...)
}
