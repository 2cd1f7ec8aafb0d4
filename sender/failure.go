package sender

import "github.com/juju/errors"

// ErrNotSent says that no byte of the request left this entry.
const ErrNotSent = errors.ConstError("request was not sent")

// ErrLost says that the request was sent and its answer is missing, broken or no HTTP; the request may have run.
const ErrLost = errors.ConstError("answer was lost")

func notSent(err error, doing string) error {
	return errors.WithType(errors.Annotate(err, "sender: "+doing), ErrNotSent)
}

func lost(err error, doing string) error {
	return errors.WithType(errors.Annotate(err, "sender: "+doing), ErrLost)
}
