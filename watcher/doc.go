// Package watcher decides which VMs an entry probes and publishes their status to other entries.
//
// A VM of a replica group is probed by the group's home, which above all needs
// to know that every member is present, and a service VM by its own home; any
// other VM is probed by the watcher of its fabric domain.
package watcher
