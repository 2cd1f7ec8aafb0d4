// Command latewithdrawal restarts two entries, one after the other, while the store carries out their withdrawals late, and then sends a request that crashes its workers to one entry after another.
//
// It exits with 1 if the request reaches workers in more than three retries
// later than the settling time after it has crashed the third, 0 if it does
// not, and 2 if the case could not run.
package main
