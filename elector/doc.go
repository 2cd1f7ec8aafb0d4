// Package elector lets one entry at a time lead, by a lease of the platform's store.
//
// The lease only spares work: whatever the leader decides is guarded by
// conditional appends and by the counts of orders at the backend servers.
package elector
