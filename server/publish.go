package server

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/follower"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
	"github.com/lovagelever/lovagelever/refuser"
	"github.com/lovagelever/lovagelever/requester"
)

const (
	publishTimeout  = 10 * time.Second
	catchUpTimeout  = 3 * time.Second
	confirmTimeout  = 3 * time.Second
	confirmEvery    = 50 * time.Millisecond
	maxPublishBytes = 4 << 20
)

func (srv *Server) publish(ctx echo.Context) error {
	var pub requester.Publication
	dec := json.NewDecoder(http.MaxBytesReader(ctx.Response(), ctx.Request().Body, maxPublishBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&pub); err != nil {
		return refuser.Invalid("not a publication: " + err.Error())
	}
	if uid, err := uuid.Parse(pub.ID); err != nil || uid.Version() != 7 {
		return refuser.Invalid("the id of a publication must be a version 7 UUID")
	}
	if jud, known := srv.follower.Verdict(pub.ID); known {
		return srv.answerPublication(ctx, jud)
	}
	if sta := srv.freshness(); !sta.MayPublish {
		return refuser.NotRun("this entry cannot publish: needs the log and most peers, has "+sta.Explanation, retryAfter)
	}
	jud, err := srv.propose(ctx.Request().Context(), pub)
	if err != nil {
		return err
	}
	return srv.answerPublication(ctx, jud)
}

// propose appends a record with the difference between the catalog in force and the publication.
func (srv *Server) propose(ctx context.Context, pub requester.Publication) (follower.Verdict, error) {
	vie := srv.catchUp(ctx, pub.BasedOn)
	if vie.Revision < pub.BasedOn {
		return follower.Verdict{}, refuser.NotRun("this entry has not folded the revision that the publication was made from", retryAfter)
	}
	if vie.Revision > pub.BasedOn {
		return follower.Verdict{Reason: reducer.ReasonConflict}, nil
	}
	next := vie.Catalog
	if pub.Inventory != nil {
		next.Inventory = *pub.Inventory
	}
	if pub.Rules != nil {
		next.Rules = *pub.Rules
	}
	if problems := cataloger.Validate(next); len(problems) > 0 {
		return follower.Verdict{}, invalidPublication(problems)
	}
	rec, err := recorder.New(srv.clock.Now(), recorder.KindPublication, srv.self(), recorder.Publication{BasedOn: pub.BasedOn, Change: cataloger.Diff(vie.Catalog, next)})
	if err != nil {
		return follower.Verdict{}, refuser.Invalid("the publication could not be encoded")
	}
	rec.ID = pub.ID
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), publishTimeout)
	defer stop()
	jud, err := srv.appender.Append(ctx, rec)
	if err != nil {
		ref := refuser.OutcomeUnknown("the log did not confirm the publication: send it again with the same id")
		ref.RetryAfter = retryAfter
		return jud, ref
	}
	return jud, nil
}

// catchUp waits until this entry has applied a revision, at most catchUpTimeout, and returns the view.
func (srv *Server) catchUp(ctx context.Context, revision int64) *reducer.View {
	ctx, stop := context.WithTimeout(ctx, catchUpTimeout)
	defer stop()
	for {
		changed := srv.follower.Changed()
		vie := srv.view()
		if vie.Revision >= revision {
			return vie
		}
		select {
		case <-ctx.Done():
			return srv.view()
		case <-changed:
		}
	}
}

// confirm waits until a majority of entries has applied an offset, so that a failure of this entry cannot lose it.
func (srv *Server) confirm(ctx context.Context, offset int64) error {
	ctx, stop := context.WithTimeout(ctx, confirmTimeout)
	defer stop()
	for !srv.gossiper.AppliedByMajority(offset) {
		select {
		case <-ctx.Done():
			ref := refuser.OutcomeUnknown("the publication stands in the log, but most entries have not confirmed it: send it again with the same id")
			ref.RetryAfter = retryAfter
			return ref
		case <-srv.clock.After(confirmEvery):
		}
	}
	return nil
}

func (srv *Server) answerPublication(ctx echo.Context, jud follower.Verdict) error {
	switch jud.Reason {
	case reducer.Accepted:
		if err := srv.confirm(ctx.Request().Context(), jud.Offset); err != nil {
			return err
		}
		return ctx.JSON(http.StatusOK, requester.PublicationResult{Revision: jud.Revision, Offset: jud.Offset})
	case reducer.ReasonConflict:
		return refuser.Conflict("the publication was made from an old revision: fetch /v1/catalog and try again")
	default:
		ref := refuser.Invalid("the publication is void: " + string(jud.Reason))
		ref.Status = http.StatusUnprocessableEntity
		return ref
	}
}

func invalidPublication(problems []cataloger.Problem) refuser.Refusal {
	var text bytes.Buffer
	for num, pro := range problems {
		if num > 0 {
			text.WriteString("; ")
		}
		text.WriteString(pro.Path + ": " + pro.Message)
	}
	ref := refuser.Invalid(text.String())
	ref.Status = http.StatusUnprocessableEntity
	return ref
}

func (srv *Server) catalog(ctx echo.Context) error {
	vie := srv.view()
	return ctx.JSON(http.StatusOK, requester.Revision{Revision: vie.Revision, Catalog: vie.Catalog})
}
