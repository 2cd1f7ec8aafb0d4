// Package conductor carries out the decisions on replica groups while this entry is the leader.
//
// Each decision is first appended to the store at the offset up to which the
// leader has read, so that a leader that was replaced without noticing cannot
// decide anything. Each order carries the number of orders that the backend
// server has begun, so that an order that arrives late has no effect after a
// newer one.
package conductor
