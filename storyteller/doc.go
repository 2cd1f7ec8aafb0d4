// Package storyteller reconstructs the history of one request from the logs of several entries.
package storyteller
