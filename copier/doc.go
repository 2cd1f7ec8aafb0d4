// Package copier forwards requests without any routing decision; it is the baseline for the cost of an entry.
package copier
