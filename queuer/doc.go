// Package queuer implements the queue of requests waiting for one unit.
//
// The queue is bounded in total and per workspace. Higher priorities are served
// first; within a priority the workspaces share the unit by weight, using
// start-time fair queuing with the expected tokens as cost. A flow is the FIFO
// queue of the requests with the same workspace, priority and lane.
//
// Aging keeps low priorities from starving: every AgingInterval-th request popped
// comes from the least recently served flow among those whose first request has
// waited longer than AgingThreshold. With n flows waiting, the first request of
// each leaves within AgingThreshold plus AgingInterval * n pops.
//
// A Queue is not safe for concurrent use.
package queuer
