// Package dispatcher decides which backend server a request is sent to, and
// whether it waits or is refused when none has a place.
//
// It answers two loads: more requests than places, where it serves first what
// can still be served well and refuses at once what cannot start in time; and
// places that vanish, where it spreads what is left over the other units. It
// does no input or output.
package dispatcher
