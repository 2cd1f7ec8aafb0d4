// Package advertiser tells callers which entries they can connect to.
package advertiser
