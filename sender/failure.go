package sender

import "github.com/juju/errors"

// ErrNotSent means that no byte of the request was sent.
const ErrNotSent = errors.ConstError("request was not sent")

// ErrWithdrawn is an ErrNotSent because the request was withdrawn while its connection was being opened.
const ErrWithdrawn = errors.ConstError("request was withdrawn")

// ErrLost means that the request was sent, but the response is missing, incomplete or not HTTP; the request may have run.
const ErrLost = errors.ConstError("response was lost")

// ErrSpoilt is an ErrLost on a connection that was kept from an earlier request, and may have been of no use before this one was sent.
const ErrSpoilt = errors.ConstError("kept connection was spoilt")

func notSent(err error, doing string) error {
	return errors.WithType(errors.Annotate(err, "sender: "+doing), ErrNotSent)
}

func (exc *Exchange) lost(err error, doing string) error {
	err = errors.WithType(errors.Annotate(err, "sender: "+doing), ErrLost)
	if exc.Kept {
		return errors.WithType(err, ErrSpoilt)
	}
	return err
}
