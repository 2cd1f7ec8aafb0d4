package smoketester

import "github.com/juju/errors"

// Errors of a trial.
const (
	ErrUnknownDeployment = errors.ConstError("unknown deployment")
	ErrNotServing        = errors.ConstError("not all models serve before the timeout")
	ErrIncomplete        = errors.ConstError("the answer is incomplete")
	ErrNotRunOnce        = errors.ConstError("the side effect did not run once")
	ErrNotInForce        = errors.ConstError("the revision is not in force at every entry")
	ErrRefused           = errors.ConstError("the request was refused")
	ErrTrialFailed       = errors.ConstError("the trial failed")
)
