// Package checker parses publication files and reports every error in them with its file, line and key.
package checker
