// Package queuer orders the requests that wait for one unit.
//
// The queue is bounded in total and for each workspace. Among those that wait,
// a higher priority goes first, and within a priority the workspaces share by
// weight (start-time fair queuing, with the expected tokens as cost).
//
// A low priority does not starve: every AgedEvery-th request that leaves the
// queue is taken from the flow (the requests of one workspace, priority and
// lane) that was served longest ago among those
// whose first request has waited longer than AgeAfter. With n flows
// waiting, the first request of each leaves within AgeAfter and AgedEvery * n
// departures.
//
// A Queue is not safe for concurrent use.
package queuer
