// Package storyteller tells the story of one request from the logs of several entries.
package storyteller
