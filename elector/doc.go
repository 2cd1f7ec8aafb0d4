// Package elector elects one entry at a time as the leader, by a lease in the platform's store.
//
// The lease only avoids duplicate work. Safety does not depend on it: the
// leader's decisions are guarded by conditional appends and by the counts of
// orders at the backend servers.
package elector
