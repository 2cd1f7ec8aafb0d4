// Package assigner assigns duties to entries by rendezvous hashing.
package assigner
