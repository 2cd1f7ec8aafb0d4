// Package reducer applies the records of the log to the control state.
//
// Applying records is deterministic: all entries that apply the same records
// in offset order hold the same state and accept the same records. A record is
// only a proposal; State.Apply accepts or rejects it.
package reducer
