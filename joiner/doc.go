// Package joiner manages the cluster membership of an entry: it joins, rejoins
// after an eviction, drains and leaves.
package joiner
