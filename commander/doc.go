// Package commander is the command line.
package commander
