// Package smoketester runs a trial of a deployment: it sends requests as a caller and checks the responses.
package smoketester
