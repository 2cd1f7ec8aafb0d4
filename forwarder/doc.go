// Package forwarder forwards calls to services other than model engines.
//
// A call that is not idempotent runs at most once: the claimer decides which
// entry runs a call with an idempotency key, and a call without a key is not
// retried once a backend server may have run it.
package forwarder
