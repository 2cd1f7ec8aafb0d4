// Package evictor proposes the eviction of entries that no longer answer.
package evictor
