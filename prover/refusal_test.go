//go:build soak

package prover

import (
	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/requester"
)

func asRefusal(err error) (*requester.Refusal, bool) {
	return errors.AsType[*requester.Refusal](err)
}

func isUnsent(err error) bool {
	return errors.Is(err, requester.ErrNoAnswer)
}
