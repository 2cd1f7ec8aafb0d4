// Package balancer selects the unit that a request is sent to.
//
// Requests with the same prompt prefix go to the same few units, chosen by
// rendezvous hashing, as long as the load of these units stays bounded. All
// other requests go to the less loaded of two random units.
package balancer
