// Command latecrash sends a stream again and again that crashes each worker that runs it half a second after its first event.
//
// It exits with 1 if the request reaches workers in more than three retries
// later than the settling time after it has crashed the third, 0 if it does
// not, and 2 if the case could not run.
package main
