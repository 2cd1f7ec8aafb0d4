// Package confirmer makes sure that an entry which follows others knows what
// they know.
//
// Heartbeats bring news within a fraction of a second, but say nothing about
// how long they were on the way: one that waited in a queue looks like the
// present state of its sender. The confirmer asks an entry that reads the store
// for its positions. The answer is as new as the request but for what that
// entry's own connection to the store holds up, which is noticed within 1.1 s.
// If none answers, the topics are read from the store.
package confirmer
