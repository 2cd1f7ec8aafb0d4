package scaler

import "github.com/juju/errors"

// ErrNotReady means that the deployment did not become ready before the timeout.
const ErrNotReady = errors.ConstError("deployment is not ready")

// ErrNotReached means that a change or takeover did not complete before its timeout.
const ErrNotReached = errors.ConstError("not reached in time")
