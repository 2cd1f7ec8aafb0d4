// Package follower reads the log, applies its records to the control state,
// and keeps recent records and a state that peers can catch up from.
package follower
