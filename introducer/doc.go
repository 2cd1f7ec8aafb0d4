// Package introducer tells callers which entries they can connect to.
package introducer
