// Package assigner assigns duties to entries by rendezvous hashing,
// so that only the duties of an entry that leaves move.
package assigner
