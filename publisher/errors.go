package publisher

import "github.com/juju/errors"

// Errors of a publication.
const (
	ErrConflict       = errors.ConstError("the publication was made from a revision that is not current")
	ErrInvalid        = errors.ConstError("the publication is not valid")
	ErrNotInForce     = errors.ConstError("not in force everywhere in time")
	ErrOutcomeUnknown = errors.ConstError("the outcome of the publication is unknown")
	ErrNotAccepted    = errors.ConstError("the publication was not accepted")
)
