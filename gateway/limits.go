package gateway

import "time"

const (
	// defaultBodyBytes is the maximum body size in bytes if the configuration sets none.
	defaultBodyBytes = 4 << 20
	// unknownBodyTimeout is how long a body may take until the request's deadline is known, refusedBodyTimeout how long the rest of the body of a refused request may: the server reads it first, so that the connection can be kept.
	unknownBodyTimeout = 3 * time.Second
	refusedBodyTimeout = 300 * time.Millisecond
	// queueWaitShare is the fraction of a route's objective that a request may wait for a slot; the rest is left for the backend server to run it.
	queueWaitShare = 0.6
	// waitObjectives is how long a stream may wait for a slot where units are chosen by predicted times, in multiples of the route's objective; callers abandon a stream after patienceObjectives.
	waitObjectives = 2
	// resumedQueueWait is how long a request that has partly run may wait for another slot; callers abandon a silent stream after callerPatience.
	resumedQueueWait = 1200 * time.Millisecond
	// retryAfterNoMemory is the Retry-After of an entry without memory for more requests, short because another entry can take the request at once.
	retryAfterNoMemory = 100 * time.Millisecond
	// writeMargin is how long after a request's deadline the end of its answer may still be written.
	writeMargin = 500 * time.Millisecond
	// costPerSecond converts the expected work of a request in seconds to the cost that the queue counts in.
	costPerSecond = 100.0
	// plainCallWork is the expected work of a plain call, from the work column of the sheets in docs/ADAPTER.md.
	plainCallWork = 60 * time.Millisecond
	// maxSends is the maximum number of backend servers that one request is sent to, including those that rejected it.
	maxSends = 4
	// attemptObjectives is how long a repeatable plain call may be without a response before it is sent to a second unit, in multiples of the route's objective.
	attemptObjectives = 2.5
	// firstEventCheckShare is the fraction of a stream's objective after which a unit that has sent no event is checked.
	firstEventCheckShare = 0.75
	// pauseCheckShare is the fraction of a route's longest normal pause between events after which a silent unit is checked.
	pauseCheckShare = 0.6
	// Callers abandon a stream after a silence of callerPatience, patienceObjectives times the route's objective or patiencePauses times its longest normal pause, whichever is longest.
	callerPatience     = 2 * time.Second
	patienceObjectives = 4
	patiencePauses     = 8
	// resumeMargin is how long before callers abandon a silent stream it is requested from a second unit, which needs that time to begin.
	resumeMargin = 700 * time.Millisecond
	// maxEventBytes is the maximum size of one event in bytes; the largest of the sites in docs/ADAPTER.md has 390.
	maxEventBytes = 256 << 10
)
