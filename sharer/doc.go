// Package sharer divides the room of a pool among workspaces while there is too
// little of it.
//
// Every entry measures the work that it started and refused, by class (a pool and
// a priority) and workspace, and tells the others. From the sums each computes
// the same level: the work per second up to which workspaces are served whole,
// so that all together get what the pool serves. A workspace above the level is
// admitted in part, so that it gets the level. Each entry admits the same part of
// what it receives itself: shares are kept in sum whatever the number of entries,
// and an entry that the others do not hear changes neither.
package sharer
