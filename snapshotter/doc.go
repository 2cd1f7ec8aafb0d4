// Package snapshotter appends snapshots before the log forgets what came before them.
package snapshotter
