// Package snapshotter appends snapshots of the control state to the log before
// the log drops the records that the snapshots replace.
package snapshotter
