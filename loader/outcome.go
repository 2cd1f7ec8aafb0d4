package loader

import (
	"encoding/json"
	"io"
	"net"
	"net/http"

	"github.com/juju/errors"
)

// lossOf tells a request that no entry took from one whose answer was lost.
func lossOf(err error) string {
	opr, typed := errors.AsType[*net.OpError](err)
	if typed && opr.Op == "dial" {
		return OutcomeNoEntry
	}
	return OutcomeLost
}

func refusalOf(res *http.Response) string {
	var body struct {
		Error struct {
			Type string `json:"type"`
		} `json:"error"`
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxReply)).Decode(&body); err != nil || body.Error.Type == "" {
		return OutcomeBroken
	}
	return body.Error.Type
}
