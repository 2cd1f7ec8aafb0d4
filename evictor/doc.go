// Package evictor proposes to evict entries that no longer answer.
package evictor
