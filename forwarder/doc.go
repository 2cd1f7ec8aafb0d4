// Package forwarder passes calls on to plain services.
//
// A call that may not be repeated runs at most once: the claimer decides who
// runs it, and a call without a key is sent to one backend server only.
package forwarder
