// Package conductor carries out what is decided on replica groups while this entry leads.
//
// Each decision is first appended to the store at the offset that the leader
// has read up to, so that a leader that was replaced unnoticed decides nothing.
// Orders name the count of orders that the backend server has begun, so that an
// order which is carried out late changes nothing after a newer one.
package conductor
