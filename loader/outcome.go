package loader

import (
	"encoding/json"
	"io"
	"net"
	"net/http"

	"github.com/juju/errors"
)

// transportOutcome returns OutcomeNoEntry for a failed connection attempt, and OutcomeLost for a request whose answer was lost.
func transportOutcome(err error) string {
	opr, typed := errors.AsType[*net.OpError](err)
	if typed && opr.Op == "dial" {
		return OutcomeNoEntry
	}
	return OutcomeLost
}

// refusalType returns the error type in a refusal, or OutcomeBroken if there is none.
func refusalType(res *http.Response) string {
	var body struct {
		Error struct {
			Type string `json:"type"`
		} `json:"error"`
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxErrorBodySize)).Decode(&body); err != nil || body.Error.Type == "" {
		return OutcomeBroken
	}
	return body.Error.Type
}
