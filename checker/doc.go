// Package checker reads publication files and finds every fault in them.
package checker
