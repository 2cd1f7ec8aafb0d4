package invoker

// NotRunError says that the service certainly did not run the call and will not.
type NotRunError struct {
	Cause error
}

// Error gives the cause.
func (nre *NotRunError) Error() string { return "invoker: not run: " + nre.Cause.Error() }

// Unwrap returns the cause.
func (nre *NotRunError) Unwrap() error { return nre.Cause }

// MayHaveRunError says that the call was handed over and its outcome is unknown.
type MayHaveRunError struct {
	Cause error
}

// Error gives the cause.
func (mhe *MayHaveRunError) Error() string { return "invoker: may have run: " + mhe.Cause.Error() }

// Unwrap returns the cause.
func (mhe *MayHaveRunError) Unwrap() error { return mhe.Cause }
