package sender

import "github.com/juju/errors"

// ErrNotSent means that no byte of the request was sent.
const ErrNotSent = errors.ConstError("request was not sent")

// ErrWithdrawn is an ErrNotSent because the request was withdrawn while its connection was being opened.
const ErrWithdrawn = errors.ConstError("request was withdrawn")

// ErrLost means that the request was sent, but the response is missing, incomplete or not HTTP; the request may have run.
const ErrLost = errors.ConstError("response was lost")

func notSent(err error, doing string) error {
	return errors.WithType(errors.Annotate(err, "sender: "+doing), ErrNotSent)
}

func lost(err error, doing string) error {
	return errors.WithType(errors.Annotate(err, "sender: "+doing), ErrLost)
}
