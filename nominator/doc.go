// Package nominator decides which entries read the store for all others and may lead.
package nominator
