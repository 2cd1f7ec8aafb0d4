// Package publisher sends a publication and waits until it is in force at every entry.
package publisher
