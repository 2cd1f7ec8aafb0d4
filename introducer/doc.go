// Package introducer tells callers which entries they may connect to.
package introducer
