package trier

import "github.com/juju/errors"

// The ways in which a trial can fall short.
const (
	ErrUnknownDeployment = errors.ConstError("the deployment is unknown")
	ErrNotServing        = errors.ConstError("not every model serves in time")
	ErrNotWhole          = errors.ConstError("the answer is not whole")
	ErrNotOnce           = errors.ConstError("the side effect did not run once")
	ErrNotInForce        = errors.ConstError("the revision is not in force at every entry")
	ErrRefused           = errors.ConstError("the request was refused")
	ErrFellShort         = errors.ConstError("the deployment fell short")
)
