// Package joiner makes an entry a member and lets it leave.
package joiner
