// Command caller acts as a caller of a deployment and checks the responses.
package main
