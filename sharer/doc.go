// Package sharer tells other entries by datagrams how many requests this entry
// runs on each unit and which backend servers do not answer it.
//
// A datagram that is lost is made good by the next one; an entry from which
// none comes counts as gone.
package sharer
