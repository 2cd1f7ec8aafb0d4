// Package watcher decides which VMs an entry probes and passes on what it sees.
//
// A VM of a replica group is probed by the group's home, which needs to know
// most of all that every member is there; any other VM by the watcher of its
// fabric domain.
package watcher
