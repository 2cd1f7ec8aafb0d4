// Package requester asks the entries of a deployment, one after the other until one answers.
package requester
