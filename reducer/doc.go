// Package reducer folds the records of the log into the control state.
//
// The fold is deterministic: every entry that folds the same records in the
// order of their offsets holds the same state and accepts the same records.
// A record is a proposal; the fold is the judge.
package reducer
