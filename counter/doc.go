// Package counter counts the bytes that pass through connections.
package counter
