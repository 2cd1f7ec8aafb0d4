package scaler

import "github.com/juju/errors"

// ErrNotReady says that the deployment did not become ready in time.
const ErrNotReady = errors.ConstError("deployment is not ready")

// ErrNotReached says that what was waited for did not happen in time.
const ErrNotReached = errors.ConstError("not reached in time")
