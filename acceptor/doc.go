// Package acceptor bounds what the connections of clients cost a process in memory and descriptors.
//
// It wraps the listeners of the process and counts all their connections together. The head of a request is read whole
// before the HTTP server parses it, since a parsed head needs many times its size, and is refused if it is too large or
// there is no room for it. When the limits are reached, connections are closed in this order: those with the largest
// unfinished head or message, the oldest ones that have sent no whole request, those that have been idle longest, and
// those whose request is not received whole. A connection whose whole request is being handled stays open.
package acceptor
