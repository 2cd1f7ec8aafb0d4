package invoker

// NotRunError means that the service has not run the call and never will.
type NotRunError struct {
	Cause error
}

// Error returns the message with the cause.
func (nre *NotRunError) Error() string { return "invoker: not run: " + nre.Cause.Error() }

// Unwrap returns the cause.
func (nre *NotRunError) Unwrap() error { return nre.Cause }

// MayHaveRunError means that the call may have reached the service and that its outcome is unknown.
type MayHaveRunError struct {
	Cause error
}

// Error returns the message with the cause.
func (mhe *MayHaveRunError) Error() string { return "invoker: may have run: " + mhe.Cause.Error() }

// Unwrap returns the cause.
func (mhe *MayHaveRunError) Unwrap() error { return mhe.Cause }
