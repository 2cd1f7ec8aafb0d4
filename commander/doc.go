// Package commander implements the command line and its exit codes.
package commander
