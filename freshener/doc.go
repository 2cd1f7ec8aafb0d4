// Package freshener judges whether an entry knows enough to take new work.
package freshener
