// Command besideit sends a request that crashes its workers again and again, always beside the same sound request of the same caller.
//
// It exits with 1 if the request reaches workers in more than three retries
// later than the settling time after it has crashed the third, 0 if it does
// not, and 2 if the case could not run.
package main
