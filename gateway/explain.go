package gateway

import (
	"slices"
	"strings"
	"time"

	"github.com/lovagelever/lovagelever/dispatcher"
	"github.com/lovagelever/lovagelever/explainer"
	"github.com/lovagelever/lovagelever/refuser"
	"github.com/lovagelever/lovagelever/router"
)

// Explain returns where a request would go now, without sending it; it changes nothing. The explanation lacks the name and availability zone of the entry.
func (gat *Gateway) Explain(que explainer.Question, explain func(req dispatcher.Request) dispatcher.Explanation) explainer.Explanation {
	job := &job{gat: gat, tab: gat.opt.Table(), arrived: gat.opt.Clock.Now()}
	if job.tab == nil {
		return explainer.Explanation{Refusal: refusalOf(elsewhere("this entry knows no configuration yet", retryAfterStopping))}
	}
	out := explainer.Explanation{ConfigVersion: job.tab.Version}
	if err := job.findQuestion(que); err != nil {
		out.Refusal = refusalOf(err)
		return out
	}
	req := job.slotRequest(placeOptions{})
	out.Route, out.Service, out.Pool, out.Workspace = job.rou.Name, job.ser.Name, req.Pool, job.wsp.Name
	out.Priority, out.ObjectiveMS = req.Priority, job.rou.Objective.Milliseconds()
	describe(explain(req), &out)
	return out
}

// findQuestion determines the route, the service and the workspace that a question asks for.
func (job *job) findQuestion(que explainer.Question) error {
	path, _, _ := strings.Cut(que.Path, "?")
	rou, found := job.tab.Match(que.Host, path)
	if !found {
		return refuser.NotFound("no route")
	}
	job.rou = rou
	num := slices.IndexFunc(job.tab.Workspaces, func(wsp router.Workspace) bool { return wsp.Name == que.Workspace })
	if num < 0 && !rou.Public && job.tab.HasWorkspaces() {
		return refuser.NotFound("no workspace " + que.Workspace)
	}
	if num >= 0 {
		job.wsp = job.tab.Workspaces[num]
	}
	ser, found := job.tab.Target(rou, "")
	if !found {
		return refuser.NotRun("no service has a share of route "+rou.Name, refuser.DefaultRetryAfter)
	}
	job.ser = ser
	job.cal = Call{Model: que.Model, PromptTokens: que.PromptTokens, AnswerTokens: que.AnswerTokens}
	job.setDeadline()
	return nil
}

// describe adds what the dispatcher says to an explanation.
func describe(exp dispatcher.Explanation, out *explainer.Explanation) {
	out.Waiting, out.Leaving, out.Refusal = exp.Waiting, exp.Leaving, refusalOf(exp.Refusal)
	for _, opt := range exp.Options {
		out.Units = append(out.Units, explainer.Unit{
			ID: opt.Unit.ID, AvailabilityZone: opt.Unit.Zone, InUse: opt.Work.Requests, Slots: opt.Unit.Slots,
			UnreadTokens: opt.Work.Unread, CommittedTokens: opt.Work.Committed, FirstEventMS: milliseconds(opt.FirstEvent), Obstacle: opt.Obstacle,
		})
	}
	if exp.Refusal == nil && len(out.Units) > 0 && out.Units[0].Obstacle == "" {
		out.Preferred = out.Units[0].ID
	}
}

func refusalOf(err error) *explainer.Refusal {
	if err == nil {
		return nil
	}
	ref := refuser.FromError(err)
	return &explainer.Refusal{Status: ref.Status, Message: ref.Message, RetryAfterMS: milliseconds(ref.RetryAfter)}
}

func milliseconds(dur time.Duration) float64 {
	return float64(dur.Microseconds()) / float64(time.Millisecond/time.Microsecond)
}
