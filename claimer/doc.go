// Package claimer lets each call that carries an idempotency key run at most once.
//
// A key that an entry issued names the entry's incarnation, and only that
// incarnation runs it. A key that a caller made is claimed in the log, and the
// owner of the folded claim runs it. Whoever runs a key keeps its outcome for
// as long as the key could be sent again, so that a repeat gets the same answer.
package claimer
