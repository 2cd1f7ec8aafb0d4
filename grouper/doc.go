// Package grouper plans which replica groups to form, of which backend
// servers, and which weights idle servers stage on their hosts.
//
// When servers are lost while requests are running, it prefers survivors that
// hold the weights and idle servers that have them staged to loads from the
// weight store, since the store starts only a few loads per second. The package
// does no I/O.
package grouper
